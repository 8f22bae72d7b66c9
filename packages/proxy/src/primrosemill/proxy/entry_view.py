"""Caches what a VM derives from the known members and instances.

Each result is computed once per change of its inputs, not for each query
of a caller or each message to a peer.

An entry point is a VM that callers of a failure domain are directed to. The
lead of an instance is the entry point that fills its slots first.
"""

import typing

from primrosemill.configuration import document as documents
from primrosemill.decisions import entry_points
from primrosemill.decisions import home_vms


class _LeadInputs(typing.NamedTuple):
    """The inputs from which the led instances are computed."""

    points: tuple[home_vms.Vm, ...]
    instances: tuple[documents.Instance, ...]


class EntryView:
    """Names the entry points and the instances that this VM leads."""

    def __init__(self, own_vm: home_vms.Vm) -> None:
        self._own_vm = own_vm
        self._view = entry_points.FleetView((), 0)
        self.entry_points: tuple[home_vms.Vm, ...] = ()
        self._points_by_domain: dict[str, tuple[home_vms.Vm, ...]] = {}
        self._recipients_by_domain: dict[str, tuple[str, ...]] = {}
        self._own_domain_recipients: tuple[str, ...] | None = None
        self._lead_inputs_by_service: dict[str, _LeadInputs] = {}

    @property
    def domain_count(self) -> int:
        """Return the number of failure domains whose VMs accept callers."""
        return len({vm.domain for vm in self._view.vms})

    def update(self, vms: tuple[home_vms.Vm, ...], slots: int) -> None:
        """Set the VMs that accept callers and the slots of all services."""
        self._view = entry_points.FleetView(vms, slots)
        self._points_by_domain.clear()
        self._recipients_by_domain.clear()
        self._own_domain_recipients = None
        self.entry_points = self.entry_points_of(self._own_vm.domain)

    def entry_points_of(self, domain: str) -> tuple[home_vms.Vm, ...]:
        """Return the entry points for callers in a domain."""
        points = self._points_by_domain.get(domain)
        if points is None:
            points = entry_points.entry_points(self._view, domain)
            if any(vm.domain == domain for vm in self._view.vms):
                # Callers may ask for any name, so unknown ones are not cached.
                self._points_by_domain[domain] = points
        return points

    @property
    def domain(self) -> str:
        """Return the failure domain of this VM."""
        return self._own_vm.domain

    def local_vms(self) -> list[home_vms.Vm]:
        """Return the VMs of the own domain that accept callers."""
        return [vm for vm in self._view.vms if vm.domain == self.domain]

    def all_entry_points(self) -> list[home_vms.Vm]:
        """Return the entry points of all domains, by domain."""
        domains = sorted({vm.domain for vm in self._view.vms})
        return [
            vm for domain in domains for vm in self.entry_points_of(domain)
        ]

    def all_entry_point_ids(self) -> tuple[str, ...]:
        """Return the ids of the entry points of all domains, in order."""
        return tuple(sorted(vm.id for vm in self.all_entry_points()))

    def recipients_for(self, domain: str) -> tuple[str, ...]:
        """Return the VMs to notify of an instance in a domain."""
        recipients = self._recipients_by_domain.get(domain)
        if recipients is None:
            recipients = entry_points.recipient_ids(
                self._view, self._own_vm, domain
            )
            self._recipients_by_domain[domain] = recipients
        return recipients

    def own_domain_recipients(self) -> tuple[str, ...]:
        """Return the VMs to notify in this VM's own domain."""
        if self._own_domain_recipients is None:
            self._own_domain_recipients = entry_points.local_recipient_ids(
                self._view, self._own_vm
            )
        return self._own_domain_recipients

    def changed_leads(
        self, services_by_name: typing.Mapping[str, documents.Service]
    ) -> dict[str, frozenset[str]]:
        """Return the led instances of each service whose inputs changed.

        Must be called after :meth:`update`, with all services.
        """
        for name in self._lead_inputs_by_service.keys() - (
            services_by_name.keys()
        ):
            del self._lead_inputs_by_service[name]
        led_by_service = {}
        for name, service in services_by_name.items():
            inputs = _LeadInputs(self.entry_points, service.instances)
            if self._lead_inputs_by_service.get(name) == inputs:
                continue
            self._lead_inputs_by_service[name] = inputs
            led_by_service[name] = entry_points.led_ids(
                self._own_vm, self.entry_points, service.instances
            )
        return led_by_service
