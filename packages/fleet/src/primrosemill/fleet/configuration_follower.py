"""Keeps one VM's configuration up to date from the store and from peers.

A few VMs watch the store (see ``store_watch_policy``). The others learn of a
new version from heartbeats and pull it from a peer that has it in force.
"""

import typing

import trio

from primrosemill.configuration import assembly
from primrosemill.configuration import document as documents
from primrosemill.configuration import faults
from primrosemill.configuration import values
from primrosemill.configuration import versions
from primrosemill.fleet import awake_clock
from primrosemill.fleet import interfaces
from primrosemill.fleet import members
from primrosemill.fleet import membership
from primrosemill.fleet import messages
from primrosemill.fleet import observations
from primrosemill.fleet import pulls
from primrosemill.fleet import store_watch_policy
from primrosemill.fleet import transport
from primrosemill.fleet import version_tracker

WATCH_TIMEOUT = 10.0  # seconds
READY_POLL_INTERVAL = 0.1  # seconds between checks at start for readiness
WATCH_POLL_INTERVAL = 0.25  # seconds between checks for watching the store

# Random VMs that are pinged when a version comes into force, as in the
# randomized forwarding of Banerjee et al., "Resilient Multicast using
# Overlays".
ANNOUNCEMENT_FANOUT = 3

DocumentHandler = typing.Callable[[documents.Document], None]


class ConfigurationFollower:
    """Keeps one VM's configuration up to date."""

    def __init__(
        self,
        view: membership.Membership,
        tracker: version_tracker.VersionTracker,
        watch_policy: store_watch_policy.StoreWatchPolicy,
        store: interfaces.Store,
        link: transport.Transport,
        observe: observations.Observer,
        on_document: DocumentHandler,
    ) -> None:
        self.in_force = trio.Event()
        self.expected_size = 1
        self._view = view
        self._versions = tracker
        self._watch_policy = watch_policy
        self._store = store
        self._transport = link
        self._observe = observe
        self._on_document = on_document
        self._version_in_force = 0
        self._accepted = trio.Event()
        self._peer_ahead = trio.Event()

    def start(self, nursery: trio.Nursery) -> None:
        """Start the tasks that follow the store and the peers."""
        nursery.start_soon(self.put_in_force)
        nursery.start_soon(self.follow_store)
        nursery.start_soon(self.follow_peers)

    def forget(self, vm_id: str) -> None:
        """Drop the state kept for a VM that is gone."""
        self._versions.forget(vm_id)

    def fleet_size(self) -> int:
        """Return the number of VMs in the fleet as far as it is known."""
        known = 1 + len(self._view.table.present_by_id)
        return max(known, self.expected_size)

    def watcher_count(self) -> int:
        """Return the number of other VMs with a working watch."""
        return sum(
            entry.watching for entry in self._view.table.present_by_id.values()
        )

    def record_peer_version(
        self, vm_id: str, version: messages.VersionInForce
    ) -> None:
        """Record the version in a peer's heartbeat and report a conflict."""
        conflict = self._versions.record_peer_version(vm_id, version)
        if version.number > self._versions.document.version:
            self._peer_ahead.set()
        if conflict is not None:
            self._observe(observations.VersionConflict(vm_id, conflict))

    async def put_in_force(self) -> None:
        """Put each newly accepted document in force once it is ready."""
        while True:
            document = self._versions.document
            if document.version == self._version_in_force:
                await self._accepted.wait()
                self._accepted = trio.Event()
                continue
            if not self._versions.is_ready(trio.current_time()):
                await trio.sleep(READY_POLL_INTERVAL)
                continue
            self._version_in_force = document.version
            self._view.version = self._versions.version
            self._on_document(document)
            self.in_force.set()
            for each in self._view.announce_version(ANNOUNCEMENT_FANOUT):
                await self._transport.send(each.ip, each.port, each.message)

    async def follow_store(self) -> None:
        """Watch the store whenever the watch policy selects this VM."""
        while True:
            await trio.sleep(WATCH_POLL_INTERVAL)
            should_start = self._watch_policy.should_start(
                trio.current_time(),
                self.watcher_count(),
                self.fleet_size(),
                self._versions.assembled is None,
            )
            if should_start:
                await self._watch_until_failure()
                self._view.set_watching(False)

    async def _watch_until_failure(self) -> None:
        result = await self._store.read(values.INDEX_KEY)
        known = ""
        while True:
            if result.is_error():
                self._observe(observations.StoreFailed(result.error))
                self._watch_policy.record_failure(trio.current_time())
                return
            self._observe(observations.StoreAnswered())
            if result.ok is not None:
                known = values.digest(result.ok)
                if not await self._offer_from_store(result.ok):
                    return
            if self._watch_policy.should_stop(
                self.watcher_count(), self.fleet_size()
            ):
                return
            self._view.set_watching(True)
            result = await self._store.watch(
                values.INDEX_KEY, known, WATCH_TIMEOUT
            )

    async def _offer_from_store(self, index_value: bytes) -> bool:
        """Offer the store's version; return whether to keep watching."""
        index = assembly.decode_index(index_value)
        if index.is_error():
            self._report_refusal(version_tracker.Source.STORE, (index.error,))
            return True
        in_force = self._versions.document.version
        if index.ok["version"] < in_force:
            fault = faults.OlderVersion(in_force, index.ok["version"])
            self._report_refusal(version_tracker.Source.STORE, (fault,))
            self._watch_policy.record_stale(trio.current_time())
            return False
        values_by_key = self._accepted_values()
        for key in values.part_digests(index.ok):
            if key in values_by_key:
                continue
            part = await self._read_part(key)
            if part.is_error():
                self._observe(observations.StoreFailed(part.error))
                self._watch_policy.record_failure(trio.current_time())
                return False
            values_by_key[key] = part.ok
        await self._offer(
            index_value, values_by_key, version_tracker.Source.STORE
        )
        return True

    async def _read_part(self, key: str) -> typing.Any:
        wait = self._watch_policy.reserve_read(
            trio.current_time(), self.fleet_size()
        )
        await trio.sleep(wait)
        return await self._store.read(key)

    def _accepted_values(self) -> dict[str, bytes]:
        if self._versions.assembled is None:
            return {}
        return dict(self._versions.assembled.values_by_key)

    async def _offer(
        self,
        index_value: bytes,
        values_by_key: dict[str, bytes],
        source: version_tracker.Source,
    ) -> bool:
        """Check a version and accept it if valid and newer.

        Yields to other tasks between the steps of the check, so that it does
        not delay requests. Returns False if the version was refused.
        """
        steps = assembly.assemble_in_steps(
            index_value, values_by_key, self._versions.assembled
        )
        outcome = next(steps)
        while outcome is None:
            await trio.lowlevel.checkpoint()
            outcome = next(steps)
        result = self._versions.accept(outcome, source)
        if result.is_error():
            self._report_refusal(source, result.error.faults)
            return False
        if result.ok:
            self._accepted.set()
            version = self._versions.document.version
            self._observe(observations.VersionAccepted(version, source))
        return True

    def _report_refusal(
        self,
        source: version_tracker.Source,
        refusal_faults: tuple[faults.Fault, ...],
    ) -> None:
        self._observe(observations.VersionRefused(source, refusal_faults))

    async def follow_peers(self) -> None:
        """Pull newer versions from the peers that have them."""
        while True:
            target = self._versions.next_pull(trio.current_time())
            if target is None:
                with trio.move_on_after(version_tracker.PULL_RETRY_DELAY):
                    await self._peer_ahead.wait()
                self._peer_ahead = trio.Event()
                continue
            if self._view.state_of(target.vm_id) is members.State.GONE:
                self._versions.forget(target.vm_id)
                continue
            if not await self._pull(target):
                self._versions.record_failed_pull(
                    target.vm_id, trio.current_time()
                )
                self._observe(
                    observations.PullFailed(
                        target.vm_id, target.version.number
                    )
                )

    async def _pull(self, target: version_tracker.PullTarget) -> bool:
        entry = self._view.table.members_by_id[target.vm_id].entry
        with self._transport.open_pull_connection(
            entry.ip, entry.port
        ) as connection:
            index_value = await pulls.pull_value(connection, values.INDEX_KEY)
            if index_value is None:
                return False
            index = assembly.decode_index(index_value)
            if index.is_error():
                self._report_refusal(
                    version_tracker.Source.PEER, (index.error,)
                )
                return False
            in_force = self._versions.document.version
            if not versions.is_newer(in_force, index.ok["version"]):
                # The version has arrived from the store or another peer.
                return in_force >= target.version.number
            values_by_key = self._accepted_values()
            missing = (
                values.part_digests(index.ok).keys() - values_by_key.keys()
            )
            pulled = await pulls.pull_values(connection, sorted(missing))
        if pulled is None:
            return False
        values_by_key.update(pulled)
        return await self._offer(
            index_value, values_by_key, version_tracker.Source.PEER
        )

    async def pull_members(self, entry: messages.Entry) -> None:
        """Pull and merge the member table of another VM."""
        with self._transport.open_pull_connection(
            entry.ip, entry.port
        ) as connection:
            entries = await pulls.pull_members(connection)
        if entries is not None:
            self._view.merge_table(entries, awake_clock.now())

    def answer_pull(self, pull: messages.Pull) -> messages.PullAnswer:
        """Return the answer to a pull of values or of the member table."""
        values_by_key: dict[str, bytes] = {}
        if self._versions.assembled is not None:
            values_by_key = self._versions.assembled.values_by_key
        if any(want.key == pulls.MEMBERS_KEY for want in pull.wants):
            table = pulls.encode_members(self._view.entries())
            values_by_key = {pulls.MEMBERS_KEY: table}
        return pulls.build_answer(pull, self._view.version, values_by_key)
