"""Keeps what the other home VMs of a service reported lately."""

import typing

from primrosemill.decisions import evidence
from primrosemill.decisions import homes as home_vms
from primrosemill.decisions import standings

FRESH = 3.0  # seconds; an older report carries no weight as evidence.
MOST_DELAY = 5.0  # seconds; the exchange drops a report that is older.
OUT_STATES = frozenset({standings.State.EJECTED, standings.State.TRIAL})


class Heard(typing.NamedTuple):
    """A peer's report and when it came."""

    report: evidence.Report
    received: float
    by_instance: dict[str, evidence.InstanceEvidence]


class Peers:
    """Holds the last report of each peer that is home to the service.

    The homes come in rank order. The first one owns the right to eject; all
    views that agree on the homes agree on the owner without a message.
    """

    def __init__(self, own: home_vms.Vm) -> None:
        self.own = own
        self.homes: tuple[home_vms.Vm, ...] = (own,)
        self._heard_by_vm: dict[str, Heard] = {}

    @property
    def owner(self) -> str:
        """Return the VM that may eject; a VM that is no home never is."""
        return self.homes[0].id

    @property
    def owning(self) -> bool:
        """Tell whether this VM may eject."""
        return self.owner == self.own.id

    @property
    def several_domains(self) -> bool:
        """Tell whether the homes lie in more than one failure domain."""
        return len({home.domain for home in self.homes}) > 1

    def set_homes(self, homes: typing.Sequence[home_vms.Vm]) -> bool:
        """Take the homes in rank order; return whether this VM now owns.

        The reports of VMs that are no homes any more are forgotten.
        """
        owned = self.owning
        self.homes = tuple(homes) or (self.own,)
        kept = {home.id for home in self.homes}
        self._heard_by_vm = {
            vm_id: heard
            for vm_id, heard in self._heard_by_vm.items()
            if vm_id in kept
        }
        return self.owning and not owned

    def take(self, report: evidence.Report, now: float) -> bool:
        """Keep a report; return False if its sender is no home."""
        if report.vm_id == self.own.id:
            return False
        if all(home.id != report.vm_id for home in self.homes):
            return False
        by_instance = {each.instance_id: each for each in report.instances}
        self._heard_by_vm[report.vm_id] = Heard(report, now, by_instance)
        return True

    def heard_from_all(self, since: float) -> bool:
        """Tell whether every other home reported after ``since``."""
        for home in self.homes:
            if home.id == self.own.id:
                continue
            heard = self._heard_by_vm.get(home.id)
            if heard is None or heard.received <= since:
                return False
        return True

    def heard_from(self, vm_id: str) -> bool:
        """Tell whether a home ever reported."""
        return vm_id in self._heard_by_vm

    def fresh(self, now: float) -> list[Heard]:
        """Return the reports that still carry weight as evidence."""
        return [
            heard
            for heard in self._heard_by_vm.values()
            if now - heard.received <= FRESH
        ]

    def suspected(self, now: float, least: float) -> frozenset[str]:
        """Return what a peer gives at least this score."""
        return frozenset(
            each.instance_id
            for heard in self.fresh(now)
            for each in heard.report.instances
            if each.score >= least
        )

    def out_elsewhere(self) -> frozenset[str]:
        """Return what any peer last reported as out, however long ago."""
        out = set()
        for heard in self._heard_by_vm.values():
            for each in heard.report.instances:
                if each.state in OUT_STATES:
                    out.add(each.instance_id)
        return frozenset(out)

    def ejected_by_owner(self) -> frozenset[str]:
        """Return what the owner last reported as ejected."""
        heard = self._heard_by_vm.get(self.owner)
        if heard is None:
            return frozenset()
        return frozenset(
            each.instance_id
            for each in heard.report.instances
            if each.state in OUT_STATES
        )

    def draining(self, now: float, memory: float) -> frozenset[str]:
        """Return the instances that a peer saw draining itself."""
        return frozenset(
            each.instance_id
            for heard in self._heard_by_vm.values()
            if now - heard.received <= memory
            for each in heard.report.instances
            if each.draining
        )
