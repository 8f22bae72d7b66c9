"""Reads the store and pulls from peers, and puts new versions in force."""

import typing

import trio

from primrosemill.configuration import assembly
from primrosemill.configuration import document as documents
from primrosemill.configuration import faults
from primrosemill.configuration import values
from primrosemill.configuration import versions
from primrosemill.fleet import interfaces
from primrosemill.fleet import members
from primrosemill.fleet import membership
from primrosemill.fleet import messages
from primrosemill.fleet import observations
from primrosemill.fleet import pulls
from primrosemill.fleet import spread
from primrosemill.fleet import store_watch
from primrosemill.fleet import transport

WATCH_WAIT = 10.0  # seconds
STEP = 0.1  # seconds between looks whether a start may serve
STORE_STEP = 0.25  # seconds between looks whether to watch the store

# VMs chosen at random that hear of a new version at once: the randomized
# forwarding of Banerjee et al., "Resilient Multicast using Overlays".
CROSS_EDGES = 3

DocumentHandler = typing.Callable[[documents.Document], None]


class Follower:
    """Keeps one VM's configuration up to date."""

    def __init__(
        self,
        view: membership.Membership,
        configuration: spread.Spread,
        watch: store_watch.StoreWatch,
        store: interfaces.Store,
        link: transport.Transport,
        observe: observations.Observer,
        on_document: DocumentHandler,
    ) -> None:
        self.in_force = trio.Event()
        self.expected_size = 1
        self._view = view
        self._configuration = configuration
        self._watch = watch
        self._store = store
        self._link = link
        self._observe = observe
        self._on_document = on_document
        self._version_in_force = 0
        self._accepted = trio.Event()
        self._news = trio.Event()

    def start(self, nursery: trio.Nursery) -> None:
        """Start the tasks that follow the store and the peers."""
        nursery.start_soon(self.put_in_force)
        nursery.start_soon(self.follow_store)
        nursery.start_soon(self.follow_peers)

    def forget(self, vm_id: str) -> None:
        """Drop what was heard from a VM that is gone."""
        self._configuration.forget(vm_id)

    def fleet_size(self) -> int:
        """Return how many VMs the fleet has, as far as this VM knows."""
        known = 1 + len(self._view.table.present_by_id)
        return max(known, self.expected_size)

    def watchers(self) -> int:
        """Return how many other VMs hold a working watch."""
        return sum(
            entry.watching for entry in self._view.table.present_by_id.values()
        )

    def hear(self, vm_id: str, version: messages.VersionInForce) -> None:
        """Note the version that a peer's heartbeat carries."""
        conflict = self._configuration.hear(vm_id, version)
        if version.number > self._configuration.document.version:
            self._news.set()
        if conflict is not None:
            self._observe(observations.VersionConflict(vm_id, conflict))

    async def put_in_force(self) -> None:
        """Put the newest document in force as soon as that is safe."""
        while True:
            document = self._configuration.document
            if document.version == self._version_in_force:
                await self._accepted.wait()
                self._accepted = trio.Event()
                continue
            if not self._configuration.ready(trio.current_time()):
                await trio.sleep(STEP)
                continue
            self._version_in_force = document.version
            self._view.version = self._configuration.version
            self._on_document(document)
            self.in_force.set()
            for each in self._view.announce_version(CROSS_EDGES):
                await self._link.send(each.ip, each.port, each.message)

    async def follow_store(self) -> None:
        """Watch the store whenever this VM is one of those that should."""
        while True:
            await trio.sleep(STORE_STEP)
            started = self._watch.should_start(
                trio.current_time(),
                self.watchers(),
                self.fleet_size(),
                self._configuration.assembled is None,
            )
            if started:
                await self._watch_until_failure()
                self._view.set_watching(False)

    async def _watch_until_failure(self) -> None:
        result = await self._store.read(values.INDEX_KEY)
        known = ""
        while True:
            if result.is_error():
                self._observe(observations.StoreFailed(result.error))
                self._watch.note_failure(trio.current_time())
                return
            self._observe(observations.StoreAnswered())
            if result.ok is not None:
                known = values.digest(result.ok)
                if not await self._take_from_store(result.ok):
                    return
            if self._watch.should_stop(self.watchers(), self.fleet_size()):
                return
            self._view.set_watching(True)
            result = await self._store.watch(
                values.INDEX_KEY, known, WATCH_WAIT
            )

    async def _take_from_store(self, index_value: bytes) -> bool:
        """Offer the store's version; tells whether to watch on."""
        index = assembly.decode_index(index_value)
        if index.is_error():
            self._refuse(spread.Source.STORE, (index.error,))
            return True
        in_force = self._configuration.document.version
        if index.ok["version"] < in_force:
            fault = faults.OlderVersion(in_force, index.ok["version"])
            self._refuse(spread.Source.STORE, (fault,))
            self._watch.note_stale(trio.current_time())
            return False
        values_by_key = self._held_values()
        for key in values.part_keys(index.ok):
            if key in values_by_key:
                continue
            part = await self._read_part(key)
            if part.is_error():
                self._observe(observations.StoreFailed(part.error))
                self._watch.note_failure(trio.current_time())
                return False
            values_by_key[key] = part.ok
        await self._offer(index_value, values_by_key, spread.Source.STORE)
        return True

    async def _read_part(self, key: str) -> typing.Any:
        wait = self._watch.reserve_read(trio.current_time(), self.fleet_size())
        await trio.sleep(wait)
        return await self._store.read(key)

    def _held_values(self) -> dict[str, bytes]:
        if self._configuration.assembled is None:
            return {}
        return dict(self._configuration.assembled.values_by_key)

    async def _offer(
        self,
        index_value: bytes,
        values_by_key: dict[str, bytes],
        source: spread.Source,
    ) -> bool:
        """Check a version, with pauses in which requests go on."""
        steps = assembly.assemble_in_steps(
            index_value, values_by_key, self._configuration.assembled
        )
        outcome = next(steps)
        while outcome is None:
            await trio.lowlevel.checkpoint()
            outcome = next(steps)
        result = self._configuration.accept(outcome, source)
        if result.is_error():
            self._refuse(source, result.error.faults)
            return False
        if result.ok:
            self._accepted.set()
            version = self._configuration.document.version
            self._observe(observations.VersionAccepted(version, source))
        return True

    def _refuse(
        self, source: spread.Source, found: tuple[faults.Fault, ...]
    ) -> None:
        self._observe(observations.VersionRefused(source, found))

    async def follow_peers(self) -> None:
        """Pull whatever version a peer is ahead with."""
        while True:
            order = self._configuration.next_pull(trio.current_time())
            if order is None:
                with trio.move_on_after(spread.PULL_PAUSE):
                    await self._news.wait()
                self._news = trio.Event()
                continue
            if self._view.state_of(order.vm_id) is members.State.GONE:
                self._configuration.forget(order.vm_id)
                continue
            if not await self._pull(order):
                self._configuration.note_failed_pull(
                    order.vm_id, trio.current_time()
                )
                self._observe(
                    observations.PullFailed(order.vm_id, order.version.number)
                )

    async def _pull(self, order: spread.PullOrder) -> bool:
        entry = self._view.table.members_by_id[order.vm_id].entry
        with self._link.open_requests(entry.ip, entry.port) as requests:
            index_value = await pulls.collect_one(requests, values.INDEX_KEY)
            if index_value is None:
                return False
            index = assembly.decode_index(index_value)
            if index.is_error():
                self._refuse(spread.Source.PEER, (index.error,))
                return False
            in_force = self._configuration.document.version
            if not versions.is_news(in_force, index.ok["version"]):
                # The store or another peer was faster.
                return in_force >= order.version.number
            values_by_key = self._held_values()
            missing = values.part_keys(index.ok).keys() - values_by_key.keys()
            collected = await pulls.collect(requests, sorted(missing))
        if collected is None:
            return False
        values_by_key.update(collected)
        return await self._offer(
            index_value, values_by_key, spread.Source.PEER
        )

    async def pull_members(self, entry: messages.Entry) -> None:
        """Merge the table of members of another VM."""
        with self._link.open_requests(entry.ip, entry.port) as requests:
            entries = await pulls.collect_members(requests)
        if entries is not None:
            self._view.merge_table(entries, trio.current_time())

    def answer_pull(self, pull: messages.Pull) -> messages.PullAnswer:
        """Answer a peer from the values in force here."""
        held: dict[str, bytes] = {}
        if self._configuration.assembled is not None:
            held = self._configuration.assembled.values_by_key
        if any(want.key == pulls.MEMBERS_KEY for want in pull.wants):
            table = pulls.encode_members(self._view.entries())
            held = {pulls.MEMBERS_KEY: table}
        return pulls.answer(pull, self._view.version, held)
