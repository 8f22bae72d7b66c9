"""Keeps the latest evidence reports of a service's other home VMs."""

import typing

from primrosemill.decisions import evidence
from primrosemill.decisions import home_vms
from primrosemill.decisions import standings

EVIDENCE_LIFETIME = 3.0  # seconds that a report counts as evidence
MAX_REPORT_AGE = 5.0  # seconds; the evidence exchange drops older reports
REMOVED_STATES = frozenset({standings.State.EJECTED, standings.State.TRIAL})


class ReceivedReport(typing.NamedTuple):
    """A peer's report and the time at which it arrived."""

    report: evidence.Report
    received_at: float
    entries_by_id: dict[str, evidence.InstanceEvidence]


class PeerReports:
    """Holds the last report of each peer that is home to the service.

    The homes are in rank order. The first one, the owner, may eject
    instances. VMs that agree on the homes also agree on the owner, without
    exchanging messages.
    """

    def __init__(self, own_vm: home_vms.Vm) -> None:
        self.own_vm = own_vm
        self.homes: tuple[home_vms.Vm, ...] = (own_vm,)
        self._reports_by_vm: dict[str, ReceivedReport] = {}

    @property
    def owner(self) -> str:
        """Return the id of the home VM that may eject instances."""
        return self.homes[0].id

    @property
    def is_owner(self) -> bool:
        """Return whether this VM may eject instances."""
        return self.owner == self.own_vm.id

    @property
    def spans_domains(self) -> bool:
        """Return whether the homes lie in more than one failure domain."""
        return len({home.domain for home in self.homes}) > 1

    def set_homes(self, homes: typing.Sequence[home_vms.Vm]) -> bool:
        """Set the homes in rank order; return whether this VM became owner.

        The reports of VMs that are not home any more are dropped.
        """
        was_owner = self.is_owner
        self.homes = tuple(homes) or (self.own_vm,)
        home_ids = {home.id for home in self.homes}
        self._reports_by_vm = {
            vm_id: received
            for vm_id, received in self._reports_by_vm.items()
            if vm_id in home_ids
        }
        return self.is_owner and not was_owner

    def receive(self, report: evidence.Report, now: float) -> bool:
        """Store a report; return False if its sender is not another home."""
        if report.vm_id == self.own_vm.id:
            return False
        if all(home.id != report.vm_id for home in self.homes):
            return False
        entries_by_id = {
            entry.instance_id: entry for entry in report.instances
        }
        self._reports_by_vm[report.vm_id] = ReceivedReport(
            report, now, entries_by_id
        )
        return True

    def all_reported_since(self, since: float) -> bool:
        """Return whether every other home reported after ``since``."""
        for home in self.homes:
            if home.id == self.own_vm.id:
                continue
            received = self._reports_by_vm.get(home.id)
            if received is None or received.received_at <= since:
                return False
        return True

    def has_reported(self, vm_id: str) -> bool:
        """Return whether a report of a home is stored, however old."""
        return vm_id in self._reports_by_vm

    def fresh_reports(self, now: float) -> list[ReceivedReport]:
        """Return the reports that are recent enough to count as evidence."""
        return [
            received
            for received in self._reports_by_vm.values()
            if now - received.received_at <= EVIDENCE_LIFETIME
        ]

    def suspected_by_peers(
        self, now: float, min_score: float
    ) -> frozenset[str]:
        """Return the instances to which a peer gives at least this score."""
        return frozenset(
            entry.instance_id
            for received in self.fresh_reports(now)
            for entry in received.report.instances
            if entry.score >= min_score
        )

    def removed_by_peers(self) -> frozenset[str]:
        """Return the instances removed as of any peer's last report.

        Reports of any age count.
        """
        removed_ids = set()
        for received in self._reports_by_vm.values():
            for entry in received.report.instances:
                if entry.state in REMOVED_STATES:
                    removed_ids.add(entry.instance_id)
        return frozenset(removed_ids)

    def ejected_by_owner(self) -> frozenset[str]:
        """Return the instances ejected as of the owner's last report."""
        received = self._reports_by_vm.get(self.owner)
        if received is None:
            return frozenset()
        return frozenset(
            entry.instance_id
            for entry in received.report.instances
            if entry.state in REMOVED_STATES
        )

    def reported_draining(self, now: float, max_age: float) -> frozenset[str]:
        """Return the instances for which a peer itself saw a draining sign."""
        return frozenset(
            entry.instance_id
            for received in self._reports_by_vm.values()
            if now - received.received_at <= max_age
            for entry in received.report.instances
            if entry.draining
        )
