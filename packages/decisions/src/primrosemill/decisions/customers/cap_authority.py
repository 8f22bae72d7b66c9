"""Who holds the customers of a slot, and which part of a cap a VM may grant.

The holder of a slot is chosen by weighted rendezvous hashing among the VMs
that may hold, so every VM with the same view chooses the same one. Views
differ for some seconds after a change and for as long as a cut lasts. So a VM
grants only the fraction of the fleet that it sees, the smallest one of all
its views of the last ``caps.SETTLE_TIME``, and nothing for a slot that another
VM held in one of them.

A VM that becomes holder while the former one is still there, or that has just
started, need not wait: it asks that VM, or the next in the order, to vouch.
That VM answers with the fraction that its own settled views give to one of the
two, and grants nothing itself for the settle time. No I/O; times are in
seconds.
"""

import math
import typing

from primrosemill.decisions import home_vms

from primrosemill.decisions.customers import caps

# A fleet whose processes have all started lately has granted nothing yet, so
# it need not wait for the settle time. Its VMs know each other by then.
FRESH_START_TIME = 0.8  # seconds
DEFAULT_CAPACITY = 100  # requests per second, of a VM that names none
_HASH_RANGE = 2.0**64


class View(typing.NamedTuple):
    """What a VM knows of the fleet.

    ``holders`` are the VMs that may hold caps. ``capable_count`` are the VMs
    that are there and keep to caps, this one included; ``fleet_count`` all
    VMs that may run requests, those included that vanished without leaving.
    ``position`` is this VM's place among the latter. Without
    ``is_size_known`` there may be any number of others.
    """

    holders: tuple[home_vms.Vm, ...]
    capable_count: int = 1
    fleet_count: int = 1
    position: int = 0
    is_size_known: bool = True

    @property
    def seen_fraction(self) -> float:
        """Return the part of a cap that the seen VMs may grant together."""
        if not self.is_size_known:
            return 0.0
        seen = self.capable_count / self.fleet_count
        return min(1.0, seen * caps.LOST_VM_TOLERANCE)


class _Pair(typing.NamedTuple):
    """The holder of a slot and the VM that follows; empty if there is none."""

    holder_id: str
    next_id: str


class _ViewTable:
    """A view, the time at which it began, and the holders found so far.

    A slot whose two first VMs in the view before are still there is looked up
    among these and the new VMs, as no other one can precede them.
    """

    def __init__(
        self, view: View, since: float, previous: "_ViewTable | None" = None
    ) -> None:
        self.view = view
        self.since = since
        self._pairs_by_slot: dict[int, _Pair] = {}
        self._former_pairs_by_slot: dict[int, _Pair] = {}
        self._kept_by_id: dict[str, home_vms.Vm] = {}
        self._added: list[home_vms.Vm] = []
        if previous is not None:
            former = set(previous.view.holders)
            self._former_pairs_by_slot = previous._pairs_by_slot
            self._kept_by_id = {
                vm.id: vm for vm in view.holders if vm in former
            }
            self._added = [vm for vm in view.holders if vm not in former]

    def pair(self, slot: int) -> _Pair:
        """Return the holder of a slot and the next in the order."""
        found = self._pairs_by_slot.get(slot)
        if found is None:
            found = _choose_pair(slot, self._candidates(slot))
            self._pairs_by_slot[slot] = found
        return found

    def _candidates(self, slot: int) -> typing.Sequence[home_vms.Vm]:
        former = self._former_pairs_by_slot.get(slot)
        if former is None:
            return self.view.holders
        kept = [self._kept_by_id.get(vm_id) for vm_id in former]
        if None in kept:
            return self.view.holders
        return [*kept, *self._added]


class _Vouched(typing.NamedTuple):
    """A fraction for which another VM vouched, usable between two times."""

    fraction: float
    since: float
    until: float


class Authority:
    """The parts of caps that one VM may grant."""

    def __init__(self, vm_id: str, now: float) -> None:
        self._vm_id = vm_id
        self._tables: list[_ViewTable] = []
        self._vouched_by_slot: dict[int, _Vouched] = {}
        # The VMs that this one vouched for, and until when.
        self._successors_by_slot: dict[int, tuple[str, float]] = {}
        self.restart(now)
        # Until when this process counts as fresh, if it never paused.
        self._fresh_until = now + caps.SETTLE_TIME
        self._fresh_ids: set[str] = set()

    @property
    def view(self) -> View:
        """Return the latest view."""
        return self._tables[-1].view

    def restart(self, now: float) -> None:
        """Forget the past, as others may have taken over meanwhile."""
        view = self._tables[-1].view if self._tables else View(())
        self._started_at = now
        unknown = _ViewTable(View(()), -math.inf)
        self._tables = [unknown, _ViewTable(view, now)]
        self._vouched_by_slot.clear()
        self._successors_by_slot.clear()
        self._fresh_until = -math.inf

    def is_fresh(self, now: float) -> bool:
        """Return whether this process has started lately and not paused."""
        return now < self._fresh_until

    def record_fresh(self, vm_id: str) -> None:
        """Record that the process of another VM is fresh, too."""
        self._fresh_ids.add(vm_id)

    def may_be_fresh(self, vm_id: str) -> bool:
        """Return whether it is unknown that another VM is fresh."""
        return vm_id not in self._fresh_ids

    def start_fresh(self, fleet_ids: frozenset[str], now: float) -> bool:
        """Grant at once if all VMs of the fleet have started lately.

        Any earlier process has ended, so nobody holds tokens or buckets.
        Return whether this VM does so from now on.
        """
        started_at = self._fresh_until - caps.SETTLE_TIME
        others = fleet_ids - {self._vm_id}
        if (
            not self.is_fresh(now)
            or self.has_settled(now)
            or now < started_at + FRESH_START_TIME
            or len(fleet_ids) != self.view.fleet_count
            or not others
            or not others <= self._fresh_ids
        ):
            return False
        # New buckets have been filling since the start of this process.
        settled_at = started_at - caps.SETTLE_TIME
        self._tables = [_ViewTable(self.view, settled_at)]
        self._started_at = -math.inf
        return True

    def set_view(self, view: View, now: float) -> None:
        """Set the view of the fleet."""
        if view != self.view:
            self._tables.append(_ViewTable(view, now, self._tables[-1]))

    def holder(self, slot: int) -> str:
        """Return the holder's id; empty if no VM is known to hold caps."""
        return self._tables[-1].pair(slot).holder_id

    def next_holder(self, slot: int) -> str:
        """Return the VM that holds a slot if its holder does not."""
        return self._tables[-1].pair(slot).next_id

    def has_settled(self, now: float) -> bool:
        """Return whether this VM has known the fleet for the settle time."""
        return now >= self._started_at + caps.SETTLE_TIME

    def fraction(self, slot: int, now: float) -> float:
        """Return the part of the caps of a slot that this VM may grant."""
        successor = self._successors_by_slot.get(slot)
        if successor is not None and now < successor[1]:
            return 0.0
        if self.holder(slot) != self._vm_id:
            return 0.0
        own = self._smallest(slot, now, self._vm_id)
        vouched = self._vouched_by_slot.get(slot)
        if vouched is not None and now < vouched.until:
            seen = self.view.seen_fraction
            own = max(own, min(vouched.fraction, seen))
        if own == 0.0 and self.has_settled(now):
            return caps.PROBATION * self.view.seen_fraction
        return own

    def since(self, slot: int, now: float) -> float:
        """Return since when a bucket of a slot may have been filling."""
        vouched = self._vouched_by_slot.get(slot)
        if vouched is not None and now < vouched.until:
            return vouched.since
        if self._smallest(slot, now, self._vm_id) > 0.0:
            return min(now, self._tables[0].since + caps.SETTLE_TIME)
        return now

    def voucher(self, slot: int, now: float) -> str | None:
        """Return the VM to ask for a slot that this VM holds unsettled."""
        if self.holder(slot) != self._vm_id:
            return None
        if self._smallest(slot, now, self._vm_id) > 0.0:
            return None
        for table in reversed(self._tables):
            former_id = table.pair(slot).holder_id
            if former_id not in ("", self._vm_id):
                return former_id
        return self.next_holder(slot) or None

    def vouch(self, slot: int, vm_id: str, now: float) -> float:
        """Return the fraction of a slot that another VM may grant.

        This VM grants nothing of it for the settle time.
        """
        successor = self._successors_by_slot.get(slot)
        if (
            successor is not None
            and now < successor[1]
            and successor[0] != vm_id
        ):
            return 0.0
        fraction = self._smallest(slot, now, self._vm_id, vm_id)
        vouched = self._vouched_by_slot.pop(slot, None)
        if vouched is not None and now < vouched.until:
            fraction = max(fraction, vouched.fraction)
        if fraction > 0.0:
            until = now + caps.SETTLE_TIME
            self._successors_by_slot[slot] = vm_id, until
        return fraction

    def accept_vouch(
        self, slot: int, fraction: float, sent_at: float, now: float
    ) -> None:
        """Use a fraction for which another VM vouched.

        ``sent_at`` is the time at which this VM asked for it.
        """
        if fraction <= 0.0 or now > sent_at + caps.TOKEN_LIFETIME:
            return
        self._successors_by_slot.pop(slot, None)
        until = sent_at + caps.SETTLE_TIME
        self._vouched_by_slot[slot] = _Vouched(fraction, now, until)

    def _smallest(self, slot: int, now: float, *vm_ids: str) -> float:
        """Return the smallest fraction of recent views held by these VMs."""
        while (
            len(self._tables) > 1
            and self._tables[1].since <= now - caps.SETTLE_TIME
        ):
            del self._tables[0]
        smallest = 1.0
        for table in self._tables:
            if table.pair(slot).holder_id not in vm_ids:
                return 0.0
            smallest = min(smallest, table.view.seen_fraction)
        return smallest


def _choose_pair(slot: int, holders: typing.Iterable[home_vms.Vm]) -> _Pair:
    """Choose by weighted rendezvous hashing, in proportion to capacity."""
    seed = home_vms.hash_seed(str(slot))
    ranked = sorted(
        (
            -math.log(
                (home_vms.rendezvous_weight(seed, vm.id) + 1) / _HASH_RANGE
            )
            / (vm.capacity_rps or DEFAULT_CAPACITY),
            vm.id,
        )
        for vm in holders
    )
    ids = [vm_id for _, vm_id in ranked[:2]] + ["", ""]
    return _Pair(ids[0], ids[1])
