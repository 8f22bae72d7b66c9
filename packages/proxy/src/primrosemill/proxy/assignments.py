"""Computes the home VMs of every service from the members of the fleet.

The home VMs of a service are the VMs that callers should use for it. The lead
of an instance is the home VM that fills its slots first. Every VM computes
both by itself: VMs with the same view of the members get the same result
without a message.
"""

import typing

from primrosemill.configuration import document as documents
from primrosemill.decisions import home_vms
from primrosemill.decisions import leads


class Assignment(typing.NamedTuple):
    """A service's home VMs in rank order, and this VM's rank per instance.

    A rank of 0 means that this VM leads the instance.
    """

    service: str
    homes: tuple[home_vms.Vm, ...]
    rank_by_instance_id: dict[str, int]

    @property
    def led_ids(self) -> frozenset[str]:
        """Return the ids of the instances that this VM leads."""
        return frozenset(
            instance_id
            for instance_id, rank in self.rank_by_instance_id.items()
            if rank == 0
        )


OnChange = typing.Callable[[Assignment], None]


class Assignments:
    """Keeps the home VMs of all services and reports those that change."""

    def __init__(self, own_vm: home_vms.Vm, on_change: OnChange) -> None:
        self.own_vm = own_vm
        self.other_homes_by_service: dict[str, list[str]] = {}
        self._on_change = on_change
        self._table = home_vms.HomeTable()
        self._services_by_name: dict[str, documents.Service] = {}

    @property
    def vm_count(self) -> int:
        """Return the number of VMs that may be home VMs."""
        return self._table.vm_count

    def homes(self, service: str) -> tuple[home_vms.Vm, ...]:
        """Return the home VMs of a service, none if it is unknown."""
        return self._table.homes(service)

    def set_document(self, document: documents.Document) -> None:
        """Apply a new version and report the services that it changes."""
        before_by_name = self._services_by_name
        self._services_by_name = document.services_by_name
        changed = set(self._table.set_services(document.services_by_name))
        for name, service in document.services_by_name.items():
            if before_by_name.get(name) is not service:
                changed.add(name)
        self._report(changed)

    def set_vms(self, vms: typing.Iterable[home_vms.Vm]) -> None:
        """Set the VMs that may be home VMs now."""
        self._report(self._table.set_vms(vms))

    def _report(self, names: typing.Iterable[str]) -> None:
        for name in sorted(names):
            service = self._services_by_name.get(name)
            if service is None:
                self.other_homes_by_service.pop(name, None)
                continue
            vms = self._table.homes(name)
            self.other_homes_by_service[name] = [
                vm.id for vm in vms if vm != self.own_vm
            ]
            ranked_by_id = leads.rank_homes(service.instances, vms)
            rank_by_instance_id = leads.ranks_of(self.own_vm.id, ranked_by_id)
            self._on_change(Assignment(name, vms, rank_by_instance_id))
