"""Keeps one VM's mirror of the feed: reads, pushes to peers and pulls."""

import typing

import msgspec
import trio

from primrosemill.fleet import feed
from primrosemill.fleet import members
from primrosemill.fleet import membership
from primrosemill.fleet import messages
from primrosemill.fleet import mirror
from primrosemill.fleet import observations
from primrosemill.fleet import outages
from primrosemill.fleet import pulls
from primrosemill.fleet import readers
from primrosemill.fleet import transport
from primrosemill.fleet import wire

# A watch is renewed this often, which bounds how long a silent connection
# hides changes.
WATCH_WAIT = 1.5  # seconds
# Changes come in bursts; those within this time cost one call together.
WATCH_PAUSE = 0.15  # seconds after changes before the next watch
STEP = 0.05  # seconds between looks whether this VM should read
PULL_PAUSE = 0.5  # seconds before a peer that failed is asked again
CROSS_EDGES = 2  # VMs of any domain that hear of a change at once
SINCE = "since/"  # prefix of the key under which a peer pulls changes
PUSH_SIZE = wire.DATAGRAM_SIZE_LIMIT - 150  # bytes of changes in a datagram
CACHED_ANSWERS = 8
NO_DIGEST = b""

_batch_decoder = msgspec.msgpack.Decoder(feed.Batch)

ChangeHandler = typing.Callable[[mirror.Applied, str, float], None]


class FeedFollower:
    """Reads the feed for its domain, or hears of it from those who do."""

    def __init__(
        self,
        view: membership.Membership,
        source: feed.Feed,
        choice: readers.Readers,
        link: transport.Transport,
        observe: observations.Observer,
        on_change: ChangeHandler,
    ) -> None:
        self.in_force = trio.Event()
        self.mirror = mirror.Mirror()
        self._view = view
        self._feed = source
        self._choice = choice
        self._link = link
        self._observe = observe
        self._on_change = on_change
        self._heard_by_id: dict[str, feed.Position] = {}
        self._failed_at_by_id: dict[str, float] = {}
        self._news = trio.Event()
        self._outages = outages.Outages(trio.current_time())
        self._answers_by_key: dict[tuple[str, feed.Position], bytes] = {}

    def start(self, nursery: trio.Nursery) -> None:
        """Start the tasks that follow the feed and the peers."""
        nursery.start_soon(self._follow_feed)
        nursery.start_soon(self._follow_peers)
        nursery.start_soon(self._expire_retained)

    def hear(self, vm_id: str, version: messages.VersionInForce) -> None:
        """Note how far a peer is, as its heartbeat tells."""
        position = feed.Position(version.epoch, version.number)
        if position <= self.mirror.position:
            self._heard_by_id.pop(vm_id, None)
            return
        self._heard_by_id[vm_id] = position
        self._news.set()

    def take_changes(self, vm_id: str, changes: messages.Changes) -> None:
        """Merge what a peer has read."""
        batch = changes.batch
        self._apply(batch, vm_id)
        if batch.position > self.mirror.position:
            # Something in between was missed.
            self._heard_by_id[vm_id] = batch.position
            self._news.set()

    def answer_pull(self, pull: messages.Pull) -> messages.PullAnswer:
        """Answer a peer that asks for changes or for the members."""
        held: dict[str, bytes] = {}
        for want in pull.wants:
            if want.key == pulls.MEMBERS_KEY:
                held[want.key] = pulls.encode_members(self._view.entries())
            elif want.key.startswith(SINCE):
                held[want.key] = self._encode_since(want.key)
        return pulls.answer(pull, self._view.version, held)

    async def pull_members(self, entry: messages.Entry) -> None:
        """Merge the table of members of another VM."""
        with self._link.open_requests(entry.ip, entry.port) as requests:
            entries = await pulls.collect_members(requests)
        if entries is not None:
            self._view.merge_table(entries, trio.current_time())

    def forget(self, vm_id: str) -> None:
        """Drop what was heard from a VM that is gone."""
        self._heard_by_id.pop(vm_id, None)
        self._failed_at_by_id.pop(vm_id, None)

    def _encode_since(self, key: str) -> bytes:
        """Encode the changes after the point that a key names.

        A value is pulled in pieces, so one that was begun stays the same.
        """
        cached = self._answers_by_key.get((key, self.mirror.position))
        if cached is not None:
            return cached
        batch = self.mirror.since(_parse_since(key), trio.current_time())
        value = msgspec.msgpack.encode(batch)
        if len(self._answers_by_key) >= CACHED_ANSWERS:
            self._answers_by_key.clear()
        self._answers_by_key[key, self.mirror.position] = value
        return value

    def _domain_peers(self) -> list[messages.Entry]:
        domain = self._view.own.domain
        return [
            entry
            for entry in self._view.table.present_by_id.values()
            if entry.domain == domain
        ]

    def _readers_heard(self) -> int:
        return sum(entry.watching for entry in self._domain_peers())

    def _anyone_reads(self) -> bool:
        """Tell whether any other VM says that it reads the feed."""
        present = self._view.table.present_by_id.values()
        return any(entry.watching for entry in present)

    async def _follow_feed(self) -> None:
        while True:
            now = trio.current_time()
            heard = self._readers_heard()
            if self._anyone_reads():
                self._outages.note_reader(now)
            if self._choice.should_start(
                now, heard, len(self._domain_peers())
            ):
                await self._read_until_failure()
                self._set_watching(False)
            await trio.sleep(STEP)

    def _set_watching(self, watching: bool) -> None:
        if self._view.own.watching != watching:
            others = self._readers_heard()
            self._observe(observations.WatchChanged(watching, others))
        self._view.set_watching(watching)

    async def _read_until_failure(self) -> None:
        result = await self._feed.read()
        if result.is_ok():
            self._outages.note_answer(trio.current_time())
        while result.is_ok():
            self._choice.note_success()
            self._observe(observations.StoreAnswered())
            # The feed was there all the while that a watch has waited.
            self._outages.note_reader(trio.current_time())
            await self._take_read(result.ok)
            if self._choice.should_stop(self._readers_heard()):
                return
            self._set_watching(True)
            if result.ok.batch.items:
                await trio.sleep(WATCH_PAUSE)
            result = await self._watch()
        self._choice.note_failure(trio.current_time())
        self._observe(observations.StoreFailed(result.error))

    async def _watch(self) -> feed.ReadResult:
        """Wait for changes; where they were forgotten, read all again."""
        result = await self._feed.watch(self.mirror.position, WATCH_WAIT)
        if result.is_error() and isinstance(result.error, feed.HistoryGone):
            self._observe(observations.HistoryLost(result.error.after))
            return await self._feed.read()
        return result

    async def _take_read(self, read: feed.Read) -> None:
        for bad in read.bad_items:
            self._observe(observations.BadItemRead(bad))
        before = self.mirror.position
        self._apply(read.batch, self._view.own.vm_id)
        if self.mirror.position == before or not read.batch.items:
            return
        await self._push(read.batch)

    def _apply(self, batch: feed.Batch, source: str) -> None:
        now = trio.current_time()
        applied = self.mirror.apply(batch, now, self._outages.retain(now))
        self._view.version = messages.VersionInForce(
            self.mirror.revision, NO_DIGEST, self.mirror.epoch
        )
        if applied.new_epoch:
            self._observe(
                observations.EpochBegan(
                    batch.epoch, batch.revision, source, len(batch.items)
                )
            )
        if applied.instances or applied.routing or applied.older_routing:
            self._on_change(applied, source, now)
        if self.mirror.routing is not None:
            self.in_force.set()

    async def _push(self, batch: feed.Batch) -> None:
        """Pass changes on to the domain, and the news to some others."""
        if self._outages.retain(trio.current_time()):
            after = feed.Position(batch.epoch, batch.after)
            batch = self.mirror.since(after, trio.current_time())
        changes = messages.Changes(batch)
        if len(msgspec.msgpack.encode(changes)) <= PUSH_SIZE:
            for entry in self._domain_peers():
                await self._link.send(entry.ip, entry.port, changes)
        else:
            for entry in self._domain_peers():
                await self._announce_to(entry)
        for each in self._view.announce_version(CROSS_EDGES):
            await self._link.send(each.ip, each.port, each.message)

    async def _announce_to(self, entry: messages.Entry) -> None:
        """Tell a peer of a revision that it then pulls."""
        epoch, revision = self.mirror.position
        empty = feed.Batch(revision, revision, (), epoch=epoch)
        await self._link.send(entry.ip, entry.port, messages.Changes(empty))

    async def _follow_peers(self) -> None:
        """Pull whatever a peer is ahead with."""
        while True:
            vm_id = self._next_peer()
            if vm_id is None:
                with trio.move_on_after(PULL_PAUSE):
                    await self._news.wait()
                self._news = trio.Event()
                continue
            await self._pull_from(vm_id)

    def _next_peer(self) -> str | None:
        """Return a VM that is ahead, one of the own domain if possible."""
        now = trio.current_time()
        own_domain = self._view.own.domain
        found = None
        for vm_id, position in list(self._heard_by_id.items()):
            member = self._view.table.members_by_id.get(vm_id)
            gone = member is None or member.state is members.State.GONE
            if gone or position <= self.mirror.position:
                self.forget(vm_id)
                continue
            failed_at = self._failed_at_by_id.get(vm_id)
            if failed_at is not None and now - failed_at < PULL_PAUSE:
                continue
            if member.entry.domain == own_domain:
                return vm_id
            found = found or vm_id
        return found

    async def _pull_from(self, vm_id: str) -> None:
        entry = self._view.table.members_by_id[vm_id].entry
        wanted = self._heard_by_id.get(vm_id, feed.Position())
        key = "{}{}/{}".format(SINCE, *self.mirror.position)
        with self._link.open_requests(entry.ip, entry.port) as requests:
            value = await pulls.collect_one(requests, key)
        batch = _decode_batch(value)
        if batch is not None:
            self._apply(batch, vm_id)
        if self.mirror.position < wanted:
            self._failed_at_by_id[vm_id] = trio.current_time()
            self._observe(observations.PullFailed(vm_id, wanted.revision))

    async def _expire_retained(self) -> None:
        """Take retained instances as gone once their time is over."""
        while True:
            expiry = self.mirror.next_expiry(trio.current_time())
            await trio.sleep(STEP)
            if expiry is not None and trio.current_time() >= expiry:
                self._on_change(
                    mirror.Applied(), "expiry", trio.current_time()
                )


def _parse_since(key: str) -> feed.Position:
    """Return the point that a key names; the beginning where it is odd."""
    parts = key.removeprefix(SINCE).split("/")
    if len(parts) != 2 or not all(part.isdigit() for part in parts):
        return feed.Position()
    return feed.Position(int(parts[0]), int(parts[1]))


def _decode_batch(value: bytes | None) -> feed.Batch | None:
    if value is None:
        return None
    try:
        return _batch_decoder.decode(value)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
