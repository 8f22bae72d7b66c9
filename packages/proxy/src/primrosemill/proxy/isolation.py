"""What a VM does while it reaches no instance.

It passes requests on to other VMs, and asks that callers are sent to those
until its paths work again. See docs/design/peer-forwarding.md.
"""

import random
import time
import typing

import trio

from primrosemill.configuration import checks
from primrosemill.configuration import document as documents
from primrosemill.decisions import detachment
from primrosemill.decisions import home_vms
from primrosemill.proxy import counters
from primrosemill.proxy import entry_settings
from primrosemill.proxy import entry_view
from primrosemill.proxy import forwarding_tickets
from primrosemill.proxy import path_watch
from primrosemill.proxy import peer_forwarding
from primrosemill.proxy import peers as fleet_peers
from primrosemill.telemetry import events

CHECK_INTERVAL = 0.1  # seconds
NANOSECONDS_PER_MS = 1_000_000


class Vm(typing.NamedTuple):
    """The parts of a VM that decide where its requests and callers go.

    ``address_of`` returns a VM's address for callers, if it is known, and
    ``on_change`` is called as the VM detaches or takes callers again.
    ``needs_keys`` returns whether requests have keys, which instances must
    not see.
    """

    own: home_vms.Vm
    paths: path_watch.PathWatch
    view: entry_view.EntryView
    peers: fleet_peers.Peers
    address_of: typing.Callable[[str], str | None]
    on_change: typing.Callable[[], None]
    needs_keys: typing.Callable[[], bool]


class Isolation:
    """Forwards the requests of one VM and moves its callers."""

    def __init__(
        self,
        vm: Vm,
        settings: entry_settings.EntrySettings,
        generator: random.Random,
        counts: counters.Counters,
    ) -> None:
        self._vm = vm
        self._stopping = False
        self._detachment = detachment.Detachment(generator)
        self.forwarding = peer_forwarding.PeerForwarding(
            vm.paths,
            self._find_helpers,
            forwarding_tickets.Issuer(
                vm.own.id,
                time.time_ns() // NANOSECONDS_PER_MS,
                settings.peer_key,
            ),
            generator,
            counts.forwardings.count,
        )
        self.inspector = forwarding_tickets.Inspector(
            settings.peer_key, vm.peers.is_present
        )

    @property
    def is_detached(self) -> bool:
        """Return whether callers are to be sent to other VMs."""
        return self._detachment.is_detached

    async def run(self) -> None:
        """Move callers as the paths of this VM change, until it stops."""
        while True:
            await trio.sleep(CHECK_INTERVAL)
            if self._stopping:
                return
            if self._update():
                await self._announce()

    def stop(self) -> None:
        """End the changes: a VM that stops does not take callers again."""
        self._stopping = True

    def _update(self) -> bool:
        """Decide anew; return whether the decision has changed."""
        others_serve = any(
            vm != self._vm.own for vm in self._vm.view.all_entry_points()
        )
        return self._detachment.update(
            self._vm.paths.is_isolated(),
            self.forwarding.served_at,
            others_serve,
            trio.current_time(),
        )

    async def _announce(self) -> None:
        events.emit(
            events.VM_DETACHED,
            vm_id=self._vm.own.id,
            detached=self.is_detached,
        )
        self._vm.on_change()
        if self.is_detached:
            await self._vm.peers.node.announce_leaving()
        else:
            await self._vm.peers.node.announce_serving()

    def _find_helpers(self) -> peer_forwarding.Helpers:
        """Return the VMs that may serve requests for this one.

        Those of the own failure domain come first, as bytes to others are
        billed, and among them the entry points.
        """
        view = self._vm.view
        points = view.entry_points_of(self._vm.own.domain)
        local = [vm for vm in view.local_vms() if vm not in points]
        remote = [vm for vm in view.all_entry_points() if vm not in points]
        groups = []
        for group in (points, local, remote):
            helpers = map(self._build_helper, group)
            groups.append([each for each in helpers if each is not None])
        return groups

    def _build_helper(self, vm: home_vms.Vm) -> documents.Instance | None:
        """Return another VM as an instance that takes requests."""
        address = self._vm.address_of(vm.id)
        if vm == self._vm.own or address is None:
            return None
        if self._vm.needs_keys() and not self._vm.peers.knows_customers(vm.id):
            # A build before customers passes the key on to an instance.
            return None
        ip, port = checks.split_address(address)
        return documents.Instance(vm.id, ip, port, vm.domain)
