"""Keeps one VM's mirror of the feed up to date.

A few VMs of each failure domain read the feed (see ``feed_reader_policy``) and
push the changes to the other VMs of their domain. A VM that learns from a
heartbeat that a peer is ahead pulls the missing changes from that peer. A VM
for which no reader vouches (see ``feed_age_exchange``) reads the feed itself.
"""

import random
import typing

import msgspec
import trio

from primrosemill.decisions import vm_capacity
from primrosemill.fleet import awake_clock
from primrosemill.fleet import boot_clock
from primrosemill.fleet import feed
from primrosemill.fleet import feed_age_exchange
from primrosemill.fleet import feed_reader_policy
from primrosemill.fleet import members
from primrosemill.fleet import membership
from primrosemill.fleet import messages
from primrosemill.fleet import mirror
from primrosemill.fleet import observations
from primrosemill.fleet import outage_detector
from primrosemill.fleet import peer_builds
from primrosemill.fleet import pulls
from primrosemill.fleet import transport
from primrosemill.fleet import trimmed_encoding
from primrosemill.fleet import wire

# Seconds after which a watch is renewed. Bounds the time for which a dead
# connection hides changes.
WATCH_TIMEOUT = 1.2
# The wait of a watch that only tells whether this VM has all changes.
CHECK_TIMEOUT = 0.001  # seconds
# Seconds between a change and the next watch. Changes come in bursts, and
# those within this time are read with one call.
BURST_DELAY = 0.15
START_POLL_INTERVAL = 0.05  # seconds between checks until routes are known
POLL_INTERVAL = 0.1  # seconds between checks for missing readers
EXPIRY_POLL_INTERVAL = 0.25  # seconds between checks for expiry
# Seconds for which a newer routing of a peer may come by itself, before all
# that the peer has is pulled.
ROUTING_PULL_DELAY = 1.0
PULL_RETRY_DELAY = 0.5  # seconds before another pull from a peer that failed
ANNOUNCEMENT_FANOUT = 2  # random VMs of all domains pinged after a change
# Of the keys under which changes are pulled. Builds before customers know only
# the older one, under which all others answer without customers.
CHANGES_KEY_PREFIX = "changes/"
OLDER_CHANGES_KEY_PREFIX = "since/"
# Seconds for which a routing that a VM of an older build has told of may come
# from one that knows customers, before this VM reads the feed itself. Without
# it, all VMs would read each change that an old reader is the first to push.
CONFIRM_DELAY = 1.0
# Bytes of changes in a datagram; the rest holds the envelope.
PUSH_SIZE_LIMIT = wire.DATAGRAM_SIZE_LIMIT - 150
ANSWER_CACHE_SIZE = 8

_batch_decoder = msgspec.msgpack.Decoder(feed.Batch)

ChangeHandler = typing.Callable[[mirror.AppliedChanges, str, float], None]
Clock = typing.Callable[[], float]
# Called when all changes are applied that the feed had at a time, by the
# clock of the follower.
ReadHandler = typing.Callable[[float], None]


def ignore_read(sent_at: float) -> None:
    """Ignore a read of the feed."""


class _NewerRouting(typing.NamedTuple):
    """A version of the routing at a peer, to be pulled at a trio time."""

    vm_id: str
    version: int
    due: float


class _UnconfirmedRouting(typing.NamedTuple):
    """A version that a VM of an older build told; read at a trio time."""

    version: int
    due: float


class FeedFollower:
    """Follows the feed by reading it, or through peers that read it.

    ``watch_timeout`` is the time in seconds after which a watch is renewed.
    ``clock`` counts suspended time. ``age`` knows as of when the feed is known
    here, and asks the VMs that read it.
    """

    def __init__(
        self,
        view: membership.Membership,
        source: feed.Feed,
        reader_policy: feed_reader_policy.FeedReaderPolicy,
        link: transport.Transport,
        observe: observations.Observer,
        on_change: ChangeHandler,
        generator: random.Random,
        clock: Clock = boot_clock.now,
    ) -> None:
        self.in_force = trio.Event()
        self.mirror = mirror.Mirror()
        self._view = view
        self._feed = source
        self._reader_policy = reader_policy
        self._transport = link
        self._observe = observe
        self._on_change = on_change
        self._peer_positions_by_id: dict[str, feed.Position] = {}
        self._failed_at_by_id: dict[str, float] = {}
        self._peer_ahead = trio.Event()
        self._outage_detector = outage_detector.OutageDetector(
            trio.current_time()
        )
        self._encoded_by_key: dict[tuple[str, feed.Position], bytes] = {}
        self._newer_routing: _NewerRouting | None = None
        self._unconfirmed: _UnconfirmedRouting | None = None
        self._builds = peer_builds.PeerBuilds()
        self._view.version = self._view.version._replace(
            digest=peer_builds.KNOWS_CUSTOMERS
        )
        self.watch_timeout = WATCH_TIMEOUT
        self.clock = clock
        self.age = feed_age_exchange.FeedAgeExchange(
            view, link, self.mirror, generator, observe, clock
        )
        self.age.on_position = self._record_position
        self.age.on_voucher = self._record_voucher
        self.age.is_usable = self._is_usable

    def start(self, nursery: trio.Nursery) -> None:
        """Start the tasks that follow the feed and the peers."""
        nursery.start_soon(self._follow_feed)
        nursery.start_soon(self._follow_peers)
        nursery.start_soon(self._expire_retained)
        nursery.start_soon(self.age.run, self.in_force)
        nursery.start_soon(self._check_beside_calls)

    def record_peer_version(
        self, vm_id: str, version: messages.VersionInForce
    ) -> None:
        """Record the position of a peer's mirror, as in its heartbeat."""
        member = self._view.table.members_by_id.get(vm_id)
        if member is not None:
            self._builds.record(
                vm_id, member.entry.incarnation, version.digest
            )
        self._record_position(
            vm_id, feed.Position(version.epoch, version.number)
        )

    def _record_position(self, vm_id: str, position: feed.Position) -> None:
        """Record the position of a peer's mirror, to pull from it if ahead."""
        if position <= self.mirror.position:
            self._peer_positions_by_id.pop(vm_id, None)
            return
        self._peer_positions_by_id[vm_id] = position
        self._peer_ahead.set()

    def record_peer_routing(self, vm_id: str, version: int) -> None:
        """Record the version of the routing in force at a peer.

        After a restore of the feed, a peer at the same position may have a
        newer one that the feed does not offer any more.
        """
        if version > self._routing_version() and self._newer_routing is None:
            due = trio.current_time() + ROUTING_PULL_DELAY
            self._newer_routing = _NewerRouting(vm_id, version, due)

    def _routing_version(self) -> int:
        routing = self.mirror.routing
        return 0 if routing is None else routing.version

    def knows_customers(self, vm_id: str) -> bool:
        """Return whether another VM is known to be of a build with them."""
        entry = self._view.table.present_by_id.get(vm_id)
        return entry is not None and self._builds.knows_customers(
            vm_id, entry.incarnation
        )

    def record_customer_message(self, vm_id: str, incarnation: int) -> None:
        """Record a message that only builds with customers send.

        These reach VMs of other domains sooner than heartbeats do.
        """
        self._builds.record(vm_id, incarnation, peer_builds.KNOWS_CUSTOMERS)

    def is_older(self, entry: messages.Entry) -> bool:
        """Return whether a VM is known to be of a build before customers."""
        return self._builds.is_older(entry)

    def receive_changes(
        self, vm_id: str, incarnation: int, changes: messages.Changes
    ) -> None:
        """Merge changes that a process of a peer has read and pushed."""
        batch = changes.batch
        if self._builds.knows_customers(vm_id, incarnation):
            self._apply(batch, vm_id)
        else:
            self._apply_unconfirmed(batch, vm_id)
        if batch.position > self.mirror.position:
            # Earlier changes are missing here, so pull them.
            self._peer_positions_by_id[vm_id] = batch.position
            self._peer_ahead.set()

    def answer_pull(self, pull: messages.Pull) -> messages.PullAnswer:
        """Return the answer to a pull of changes or of the member table."""
        values_by_key: dict[str, bytes] = {}
        for want in pull.wants:
            if want.key == pulls.MEMBERS_KEY:
                values_by_key[want.key] = pulls.encode_members(
                    self._view.entries()
                )
            elif want.key.startswith(
                (CHANGES_KEY_PREFIX, OLDER_CHANGES_KEY_PREFIX)
            ):
                values_by_key[want.key] = self._encode_changes(want.key)
        return pulls.build_answer(pull, self._view.version, values_by_key)

    async def check_feed(self) -> bool:
        """Read the changes once, as no reader; return whether that worked."""
        sent_at = self.clock()
        result = await self._watch(CHECK_TIMEOUT)
        if result.is_error():
            self._observe(observations.StoreFailed(result.error))
            return False
        self._observe(observations.StoreAnswered())
        self._outage_detector.record_reader(trio.current_time())
        await self._apply_read(result.ok, sent_at)
        return True

    async def pull_members(self, entry: messages.Entry) -> None:
        """Pull and merge the member table of another VM."""
        with self._transport.open_pull_connection(
            entry.ip, entry.port
        ) as connection:
            entries = await pulls.pull_members(connection)
        if entries is not None:
            self._view.merge_table(entries, awake_clock.now())

    def forget(self, vm_id: str) -> None:
        """Drop the state kept for a VM that is gone."""
        self._peer_positions_by_id.pop(vm_id, None)
        self._failed_at_by_id.pop(vm_id, None)

    def _encode_changes(self, key: str) -> bytes:
        """Return the encoded changes after the position named by a key.

        The value is cached, because a peer pulls it in pieces and it must not
        change in between.
        """
        cached = self._encoded_by_key.get((key, self.mirror.position))
        if cached is not None:
            return cached
        batch = self.mirror.changes_since(
            _parse_changes_key(key), trio.current_time()
        )
        if key.startswith(OLDER_CHANGES_KEY_PREFIX):
            batch = trimmed_encoding.reduce_batch(batch)
        value = trimmed_encoding.encode_batch(batch)
        if len(self._encoded_by_key) >= ANSWER_CACHE_SIZE:
            self._encoded_by_key.clear()
        self._encoded_by_key[key, self.mirror.position] = value
        return value

    def _domain_peers(self) -> list[messages.Entry]:
        domain = self._view.own.domain
        return [
            entry
            for entry in self._view.table.present_by_id.values()
            if entry.domain == domain
        ]

    def _capable_peers(self) -> list[messages.Entry]:
        """Return the VMs of the domain with at least this one's capacity.

        A VM counts only these. So one with more capacity takes over from
        smaller ones, which are late with changes when they have much to do.
        VMs of builds before customers don't count: they drop the customers.
        """
        own_level = vm_capacity.capacity_level(self._view.own.capacity_rps)
        return [
            entry
            for entry in self._domain_peers()
            if vm_capacity.capacity_level(entry.capacity_rps) >= own_level
            and not self._builds.is_older(entry)
        ]

    def _reader_count(self) -> int:
        return sum(entry.watching for entry in self._capable_peers())

    def _record_voucher(self) -> None:
        self._outage_detector.record_reader(trio.current_time())

    def _is_usable(self, entry: messages.Entry) -> bool:
        return not self._builds.is_older(entry)

    async def _follow_feed(self) -> None:
        while True:
            if self._has_to_read(trio.current_time()):
                await self._read_until_failure()
                self._set_watching(False)
                self.age.end_calls()
            interval = START_POLL_INTERVAL
            if self.in_force.is_set():
                interval = POLL_INTERVAL
            wait = self._reader_policy.time_to_start(trio.current_time())
            with trio.move_on_after(min(interval, wait)):
                await self.age.changed.wait()

    async def _check_beside_calls(self) -> None:
        """Read once more while a call of this VM to the feed is overdue.

        Only the connection of that call may be broken.
        """
        while True:
            await self.age.changed.wait()
            if self.age.is_lost and self._view.own.watching:
                await self.check_feed()

    def _has_to_read(self, now: float) -> bool:
        """Return whether to begin to read the feed now."""
        if self.age.is_lost:
            self._reader_policy.record_loss(
                now, len(self._view.table.present_by_id) + 1
            )
            if self._reader_policy.should_start_alone(now):
                return True
        else:
            self._reader_policy.end_loss()
        reader_count = self._reader_count()
        peer_count = len(self._capable_peers())
        if self._has_to_confirm(now):
            reader_count = peer_count = 0
        return self._reader_policy.should_start(now, reader_count, peer_count)

    def _has_to_confirm(self, now: float) -> bool:
        """Return whether only the feed can tell a version's customers."""
        unconfirmed = self._unconfirmed
        if unconfirmed is None:
            return False
        if unconfirmed.version <= self._routing_version():
            self._unconfirmed = None
            return False
        return now >= unconfirmed.due or not self.in_force.is_set()

    def _set_watching(self, watching: bool) -> None:
        if self._view.own.watching != watching:
            other_count = self._reader_count()
            self._observe(observations.WatchChanged(watching, other_count))
        self._view.set_watching(watching)

    async def _read_until_failure(self) -> None:
        sent_at = self.clock()
        result = await self._read_first()
        if result.is_ok():
            self._outage_detector.record_answer(trio.current_time())
        while result.is_ok():
            self._reader_policy.record_success()
            self._observe(observations.StoreAnswered())
            # The feed was also reachable while the watch waited.
            self._outage_detector.record_reader(trio.current_time())
            self.age.record_call(self.watch_timeout)
            await self._apply_read(result.ok, sent_at)
            if await self._has_to_stop():
                return
            is_new = not self._view.own.watching
            self._set_watching(True)
            if is_new:
                await self.age.announce()
            if result.ok.batch.items:
                await trio.sleep(BURST_DELAY)
            sent_at = self.clock()
            self.age.record_call(self.watch_timeout)
            result = await self._watch(self.watch_timeout)
        self._reader_policy.record_failure(trio.current_time())
        self._observe(observations.StoreFailed(result.error))

    async def _read_first(self) -> feed.ReadResult:
        """Read everything, or what has changed if the feed was read before."""
        if not self.in_force.is_set():
            return await self._feed.read()
        return await self._watch(CHECK_TIMEOUT)

    async def _has_to_stop(self) -> bool:
        """Return whether to read no longer, as other VMs do."""
        peer_count = len(self._capable_peers())
        if not self._reader_policy.should_stop(
            self._reader_count(), peer_count
        ):
            return False
        return await self.age.find_voucher()

    async def _watch(self, wait: float) -> feed.ReadResult:
        """Wait for changes; read everything if the history is gone."""
        result = await self._feed.watch(self.mirror.position, wait)
        if result.is_error() and isinstance(result.error, feed.HistoryGone):
            self._observe(observations.HistoryLost(result.error.after))
            return await self._feed.read()
        return result

    async def _apply_read(self, read: feed.Read, sent_at: float) -> None:
        for bad in read.bad_items:
            self._observe(observations.BadItemRead(bad))
        before = self.mirror.position
        self._apply(read.batch, self._view.own.vm_id)
        if self.mirror.epoch == read.batch.epoch:
            # The mirror ignores batches of other epochs.
            self.age.record_read(sent_at)
        if self.mirror.position == before or not read.batch.items:
            return
        await self._push(read.batch)

    def _apply_unconfirmed(self, batch: feed.Batch, source: str) -> None:
        """Merge a batch of a VM whose build may not know customers.

        A newer routing without customers is not put in force: it may have
        had some.
        """
        version = peer_builds.newest_unconfirmed(batch)
        if version <= self._routing_version():
            self._apply(batch, source)
            return
        if self._unconfirmed is None:
            due = trio.current_time() + CONFIRM_DELAY
            self._unconfirmed = _UnconfirmedRouting(version, due)
        self._apply(peer_builds.without_unconfirmed(batch), source)

    def _apply(self, batch: feed.Batch, source: str) -> None:
        now = trio.current_time()
        applied = self.mirror.apply(
            batch, now, self._outage_detector.retention_time(now)
        )
        self._view.version = messages.VersionInForce(
            self.mirror.revision,
            peer_builds.KNOWS_CUSTOMERS,
            self.mirror.epoch,
        )
        if applied.new_epoch:
            self._observe(
                observations.EpochBegan(
                    batch.epoch, batch.revision, source, len(batch.items)
                )
            )
        if (
            applied.instances
            or applied.routing
            or applied.ignored_routing_version
        ):
            self._on_change(applied, source, now)
        self.age.apply_position()
        if self.mirror.routing is not None:
            self.in_force.set()

    async def _push(self, batch: feed.Batch) -> None:
        """Push changes to the own domain and ping some random VMs.

        Changes that exceed a datagram are announced, and the peers pull them;
        so are those that a build before customers could not decode, to VMs
        that may be of one.
        """
        if self._outage_detector.retention_time(trio.current_time()):
            after = feed.Position(batch.epoch, batch.after)
            batch = self.mirror.changes_since(after, trio.current_time())
        changes = messages.Changes(trimmed_encoding.trim_batch(batch))
        fits = len(msgspec.msgpack.encode(changes)) <= PUSH_SIZE_LIMIT
        is_reduced = trimmed_encoding.reduce_batch(batch) == batch
        for entry in self._domain_peers():
            if fits and (is_reduced or self.knows_customers(entry.vm_id)):
                await self._transport.send(entry.ip, entry.port, changes)
            else:
                await self._announce_to(entry)
        for each in self._view.announce_version(ANNOUNCEMENT_FANOUT):
            await self._transport.send(each.ip, each.port, each.message)

    async def _announce_to(self, entry: messages.Entry) -> None:
        """Send a peer an empty batch, which makes it pull the changes."""
        epoch, revision = self.mirror.position
        empty = feed.Batch(revision, revision, (), epoch=epoch)
        await self._transport.send(
            entry.ip, entry.port, messages.Changes(empty)
        )

    async def _follow_peers(self) -> None:
        """Pull from peers whose mirror is ahead of this one."""
        while True:
            await self._pull_newer_routing()
            vm_id = self._next_peer_ahead()
            if vm_id is None:
                with trio.move_on_after(PULL_RETRY_DELAY):
                    await self._peer_ahead.wait()
                self._peer_ahead = trio.Event()
                continue
            await self._pull_from(vm_id)

    def _next_peer_ahead(self) -> str | None:
        """Return a VM to pull from, preferably one of the own domain."""
        now = trio.current_time()
        own_domain = self._view.own.domain
        candidate = None
        for vm_id, position in list(self._peer_positions_by_id.items()):
            member = self._view.table.members_by_id.get(vm_id)
            gone = member is None or member.state is members.State.GONE
            if gone or position <= self.mirror.position:
                self.forget(vm_id)
                continue
            failed_at = self._failed_at_by_id.get(vm_id)
            if failed_at is not None and now - failed_at < PULL_RETRY_DELAY:
                continue
            if member.entry.domain == own_domain:
                return vm_id
            candidate = candidate or vm_id
        return candidate

    async def _pull_from(self, vm_id: str) -> None:
        wanted = self._peer_positions_by_id.get(vm_id, feed.Position())
        await self._pull_changes(vm_id, self.mirror.position)
        if self.mirror.position < wanted:
            self._failed_at_by_id[vm_id] = trio.current_time()
            self._observe(observations.PullFailed(vm_id, wanted.revision))

    async def _pull_changes(self, vm_id: str, after: feed.Position) -> None:
        """Pull and merge the changes after a point from a peer."""
        entry = self._view.table.members_by_id[vm_id].entry
        knows_customers = self.knows_customers(vm_id)
        position = "{}/{}".format(*after)
        value, apply = None, self._apply
        with self._transport.open_pull_connection(
            entry.ip, entry.port
        ) as connection:
            if not self._builds.is_older(entry):
                value = await pulls.pull_value(
                    connection, CHANGES_KEY_PREFIX + position
                )
            if value is None and not knows_customers:
                value = await pulls.pull_value(
                    connection, OLDER_CHANGES_KEY_PREFIX + position
                )
                apply = self._apply_unconfirmed
        batch = _decode_batch(value)
        if batch is not None:
            apply(batch, vm_id)

    async def _pull_newer_routing(self) -> None:
        """Pull all from a peer whose newer routing has not come by itself."""
        newer = self._newer_routing
        if newer is None or trio.current_time() < newer.due:
            return
        self._newer_routing = None
        member = self._view.table.members_by_id.get(newer.vm_id)
        gone = member is None or member.state is members.State.GONE
        if gone or newer.version <= self._routing_version():
            return
        await self._pull_changes(newer.vm_id, feed.Position())

    async def _expire_retained(self) -> None:
        """Report a change when an instance is retained or held no longer."""
        while True:
            expiry = self.mirror.next_expiry(trio.current_time())
            await trio.sleep(EXPIRY_POLL_INTERVAL)
            if expiry is not None and trio.current_time() >= expiry:
                self._on_change(
                    mirror.AppliedChanges(), "expiry", trio.current_time()
                )


def _parse_changes_key(key: str) -> feed.Position:
    """Return the position in a key; the initial one if it is malformed."""
    _, *parts = key.split("/")
    if len(parts) != 2 or not all(part.isdigit() for part in parts):
        return feed.Position()
    return feed.Position(int(parts[0]), int(parts[1]))


def _decode_batch(value: bytes | None) -> feed.Batch | None:
    if value is None:
        return None
    try:
        return _batch_decoder.decode(value)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return None
