"""Keeps what one VM works out of the members and the instances it knows.

Each is worked out once for a change of what it follows from, not for each
caller that asks or message that is sent.
"""

import typing

from primrosemill.configuration import document as documents
from primrosemill.decisions import entry_points
from primrosemill.decisions import homes


class _LeadBasis(typing.NamedTuple):
    """What the instances that a VM leads follow from."""

    points: tuple[homes.Vm, ...]
    instances: tuple[documents.Instance, ...]


class EntryView:
    """Says which VMs are entry points, and what this one leads."""

    def __init__(self, own: homes.Vm) -> None:
        self._own = own
        self._view = entry_points.View((), 0)
        self.points: tuple[homes.Vm, ...] = ()
        self._points_by_domain: dict[str, tuple[homes.Vm, ...]] = {}
        self._told_by_domain: dict[str, tuple[str, ...]] = {}
        self._told_at_home: tuple[str, ...] | None = None
        self._lead_basis_by_service: dict[str, _LeadBasis] = {}

    @property
    def domains(self) -> int:
        """Return the number of failure domains with VMs for callers."""
        return len({vm.domain for vm in self._view.vms})

    def update(self, vms: tuple[homes.Vm, ...], slots: int) -> None:
        """Take the VMs that take callers, and the slots of all services."""
        self._view = entry_points.View(vms, slots)
        self._points_by_domain.clear()
        self._told_by_domain.clear()
        self._told_at_home = None
        self.points = self.points_of(self._own.domain)

    def points_of(self, domain: str) -> tuple[homes.Vm, ...]:
        """Return the entry points for callers in a domain."""
        points = self._points_by_domain.get(domain)
        if points is None:
            points = entry_points.entry_points(self._view, domain)
            if any(vm.domain == domain for vm in self._view.vms):
                # Callers may ask for any name, so others are not kept.
                self._points_by_domain[domain] = points
        return points

    def recipients_for(self, domain: str) -> tuple[str, ...]:
        """Return the VMs to tell of news on an instance in a domain."""
        told = self._told_by_domain.get(domain)
        if told is None:
            told = entry_points.told_ids(self._view, self._own, domain)
            self._told_by_domain[domain] = told
        return told

    def own_domain_recipients(self) -> tuple[str, ...]:
        """Return the VMs of the own domain to tell of good answers."""
        if self._told_at_home is None:
            self._told_at_home = entry_points.told_at_home_ids(
                self._view, self._own
            )
        return self._told_at_home

    def changed_leads(
        self, services_by_name: typing.Mapping[str, documents.Service]
    ) -> dict[str, frozenset[str]]:
        """Return what this VM leads now, by service, where that may differ.

        Call it after :meth:`update`, with all services.
        """
        for name in self._lead_basis_by_service.keys() - (
            services_by_name.keys()
        ):
            del self._lead_basis_by_service[name]
        led_by_service = {}
        for name, service in services_by_name.items():
            basis = _LeadBasis(self.points, service.instances)
            if self._lead_basis_by_service.get(name) == basis:
                continue
            self._lead_basis_by_service[name] = basis
            led_by_service[name] = entry_points.led_ids(
                self._own, self.points, service.instances
            )
        return led_by_service
