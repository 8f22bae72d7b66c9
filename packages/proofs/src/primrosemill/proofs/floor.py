"""Model of ejection by several VMs with lost, late and missing reports.

VMs report their ejections to each other. One of them, the owner, decides on
ejections with :func:`primrosemill.decisions.ejection.decide`; the others
adopt its decisions as far as the same function allows. The evidence is
adversarial: the owner may suspect any instance at any time. A report may be
lost, or be delivered after other steps. The owner may change; all VMs then
agree on the new one.
"""

import typing

import minicheck

from primrosemill.decisions import ejection
from primrosemill.decisions import standings

EMPTY = frozenset()


class Guards(typing.NamedTuple):
    """Rules of the protocol; tests disable one at a time."""

    floor: bool = True  # Instances are ejected only above the floor.
    one_owner: bool = True  # Only one VM decides on ejections.
    await_peers: bool = True  # After a change the owner awaits all reports.
    skip_old_reports: bool = True  # Reports from before it do not count.


class Size(typing.NamedTuple):
    """Size of the model; ``handover`` lets the owner change."""

    vm_count: int
    instance_count: int
    floor: int
    handover: bool


class Report(typing.NamedTuple):
    """A report in transit.

    ``is_current`` means that it was sent after the last change of the owner
    and after the last return of an instance.
    """

    ejected: frozenset[int]
    is_current: bool


class State(typing.NamedTuple):
    """State of the whole system.

    ``ejected`` holds the ejected instances by VM, ``reported`` the ones in
    the last report delivered, by pair of sender and receiver, ``in_transit``
    the reports on their way, by pair, and ``current_peers`` the peers with a
    current report at the owner.
    """

    owner: int
    ejected: tuple[frozenset[int], ...]
    reported: tuple[frozenset[int], ...]
    in_transit: tuple[Report | None, ...]
    current_peers: frozenset[int]


Step = tuple[str, State]


class FloorModel:
    """Transitions and invariants of the protocol."""

    def __init__(self, size: Size, guards: Guards) -> None:
        self._size = size
        self._guards = guards
        self._vms = range(size.vm_count)
        self._all = frozenset(range(size.instance_count))
        self._pairs = [
            (sender, receiver)
            for sender in self._vms
            for receiver in self._vms
            if sender != receiver
            # Without a handover the first VM stays the owner, so only
            # reports that it sends or receives matter.
            and (size.handover or 0 in (sender, receiver))
        ]
        self._index_by_pair = {
            pair: index for index, pair in enumerate(self._pairs)
        }

    def protocol(self) -> minicheck.Protocol:
        """Return the model for the checker."""
        initial = State(
            0,
            (EMPTY,) * self._size.vm_count,
            (EMPTY,) * len(self._pairs),
            (None,) * len(self._pairs),
            EMPTY,
        )
        return minicheck.Protocol(
            name="floor",
            candidate=True,
            fields=State._fields,
            initial=initial,
            transitions=self._transitions,
            invariants={
                "each VM keeps the floor": self._each_keeps_floor,
                "all VMs together keep the floor": self._all_keep_floor,
            },
        )

    def _each_keeps_floor(self, fields: dict) -> bool:
        return all(
            len(self._all - ejected) >= self._size.floor
            for ejected in fields["ejected"]
        )

    def _all_keep_floor(self, fields: dict) -> bool:
        ejected = EMPTY.union(*fields["ejected"])
        return len(self._all - ejected) >= self._size.floor

    def _transitions(self, state: State) -> list[Step]:
        state = State(*state)
        steps = []
        for vm in self._vms:
            if vm == state.owner or not self._guards.one_owner:
                steps.extend(self._ejection_steps(state, vm))
        steps.extend(self._return_steps(state))
        for sender, receiver in self._pairs:
            steps.extend(self._report_steps(state, sender, receiver))
        if self._size.handover:
            owner = (state.owner + 1) % self._size.vm_count
            changed = self._require_new_reports(state._replace(owner=owner))
            steps.append((f"vm {owner} becomes owner", changed))
        return steps

    def _ejection_steps(self, state: State, vm: int) -> list[Step]:
        """Return the steps in which a VM ejects one more instance."""
        if (
            self._guards.await_peers
            and len(state.current_peers) < self._size.vm_count - 1
        ):
            return []
        steps = []
        for instance in sorted(self._all - state.ejected[vm]):
            ejected = self._decide(state, vm, instance)
            if ejected != state.ejected[vm]:
                label = f"vm {vm} ejects {instance}"
                steps.append((label, _with_ejected(state, vm, ejected)))
        return steps

    def _decide(self, state: State, vm: int, suspect: int) -> frozenset[int]:
        """Return the ejections of a VM after it suspects another instance."""
        if not self._guards.floor:
            return state.ejected[vm] | {suspect}
        ejected_by_peers = EMPTY.union(
            *(
                reported
                for (_, receiver), reported in zip(
                    self._pairs, state.reported, strict=True
                )
                if receiver == vm
            )
        )
        suspects = [
            ejection.Suspect(
                str(instance),
                1.0,
                standings.State.EJECTED,
                instance in state.ejected[vm],
            )
            for instance in sorted(state.ejected[vm] | {suspect})
        ]
        capacity = ejection.Capacity(
            frozenset(map(str, self._all)),
            frozenset(map(str, ejected_by_peers)),
            self._size.floor,
        )
        state_by_id = ejection.decide(suspects, capacity)
        return frozenset(
            int(instance_id)
            for instance_id, decided_state in state_by_id.items()
            if decided_state is standings.State.EJECTED
        )

    def _return_steps(self, state: State) -> list[Step]:
        """Return the steps in which an instance passes the owner's trial."""
        steps = []
        owner = state.owner
        for instance in sorted(state.ejected[owner]):
            ejected = state.ejected[owner] - {instance}
            changed = self._require_new_reports(
                _with_ejected(state, owner, ejected)
            )
            steps.append((f"vm {owner} restores {instance}", changed))
        return steps

    def _report_steps(
        self, state: State, sender: int, receiver: int
    ) -> list[Step]:
        """Return the steps that send, or deliver or lose, a pair's report."""
        pair_index = self._index_by_pair[sender, receiver]
        report = state.in_transit[pair_index]
        if report is None:
            is_current = (
                not self._guards.skip_old_reports or not _has_old_report(state)
            )
            sent = _with_report(
                state, pair_index, Report(state.ejected[sender], is_current)
            )
            return [(f"vm {sender} reports to vm {receiver}", sent)]
        lost = _with_report(state, pair_index, None)
        reported = list(state.reported)
        reported[pair_index] = report.ejected
        delivered = lost._replace(reported=tuple(reported))
        if receiver == state.owner:
            if report.is_current or not self._guards.skip_old_reports:
                delivered = delivered._replace(
                    current_peers=state.current_peers | {sender}
                )
        elif sender == state.owner:
            delivered = self._adopt(delivered, receiver, report.ejected)
        return [
            (f"report from vm {sender} to vm {receiver} is lost", lost),
            (f"vm {receiver} receives the report of vm {sender}", delivered),
        ]

    def _adopt(
        self, state: State, vm: int, ejected_by_owner: frozenset[int]
    ) -> State:
        """Adopt the owner's ejections at a VM as far as the floor allows."""
        ejected = state.ejected[vm] & ejected_by_owner
        changed = _with_ejected(state, vm, ejected)
        for instance in sorted(ejected_by_owner - ejected):
            ejected = self._decide(changed, vm, instance)
            changed = _with_ejected(changed, vm, ejected)
        return changed

    def _require_new_reports(self, state: State) -> State:
        """Require new reports of all peers; those in transit are old."""
        in_transit = tuple(
            None if report is None else report._replace(is_current=False)
            for report in state.in_transit
        )
        return state._replace(current_peers=EMPTY, in_transit=in_transit)


def _with_ejected(state: State, vm: int, ejected: frozenset[int]) -> State:
    ejected_by_vm = list(state.ejected)
    ejected_by_vm[vm] = ejected
    return state._replace(ejected=tuple(ejected_by_vm))


def _has_old_report(state: State) -> bool:
    """Return whether a report from before the last change is in transit.

    Receivers drop reports that are older than the longest delay. Once the
    owner has waited for that long, no old report is left, and any report
    that a peer then sends is later than every old one it could receive.
    """
    return any(
        report is not None and not report.is_current
        for report in state.in_transit
    )


def _with_report(
    state: State, pair_index: int, report: Report | None
) -> State:
    in_transit = list(state.in_transit)
    in_transit[pair_index] = report
    return state._replace(in_transit=tuple(in_transit))


def check(
    size: Size, guards: Guards, max_states: int
) -> dict[str, typing.Any]:
    """Check the model; return the report of the model checker."""
    protocol = FloorModel(size, guards).protocol()
    return minicheck.check_safety(protocol, max_states=max_states)
