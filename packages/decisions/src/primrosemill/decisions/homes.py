"""Chooses the home VMs of a service by rendezvous hashing.

Each VM weighs a hash of the service and of itself, and the heaviest VMs are
home to the service. Views that agree on the live VMs agree on the homes
without a message, and a VM that comes or goes moves its own places only
(D. Thaler and C. Ravishankar, "Using name-based mappings to increase hit
rates", 1998).
"""

import math
import typing

import xxhash

from primrosemill.configuration import document as documents

VM_CAPACITY = 200.0  # requests a second that one home VM carries well


class Vm(typing.NamedTuple):
    """An entry VM and the failure domain it runs in.

    ``carries`` is in requests a second; 0 where nobody told.
    """

    id: str
    domain: str
    carries: int = 0


class HomeNeed(typing.NamedTuple):
    """How many home VMs a service needs, and in which failure domains."""

    service: str
    count: int
    domains: tuple[str, ...]


def seed_of(name: str) -> int:
    """Return the hash seed that stands for a name in :func:`weigh`."""
    return xxhash.xxh3_64_intdigest(name.encode())


def weigh(seed: int, candidate: str) -> int:
    """Return the rendezvous weight of a candidate, 64 bits."""
    return xxhash.xxh3_64_intdigest(candidate.encode(), seed)


def find_need(
    service: documents.Service, vm_capacity: float = VM_CAPACITY
) -> HomeNeed:
    """Return the homes that a service needs.

    There is one in each failure domain where the service has instances, and
    more only where the demand exceeds ``vm_capacity`` requests a second for
    each: few homes collide less at the slots. Leaving instances count, so
    that a home does not move while an instance is replaced.
    """
    domains = tuple(sorted({each.domain for each in service.instances}))
    by_demand = math.ceil(service.demand / vm_capacity)
    return HomeNeed(service.name, max(1, len(domains), by_demand), domains)


def choose_homes(need: HomeNeed, vms: typing.Iterable[Vm]) -> tuple[Vm, ...]:
    """Return the homes of a service, heaviest first.

    Every failure domain of the service fills its quota first; what a domain
    has too few VMs for goes to the heaviest VMs left anywhere.
    """
    seed = seed_of(need.service)
    ranked = sorted(vms, key=lambda vm: (weigh(seed, vm.id), vm.id))
    ranked.reverse()
    room_by_domain = _quotas(need, seed)
    taken = set()
    for vm in ranked:
        if room_by_domain.get(vm.domain, 0) <= 0:
            continue
        room_by_domain[vm.domain] -= 1
        taken.add(vm.id)
    for vm in ranked:
        if len(taken) >= need.count:
            break
        taken.add(vm.id)
    return tuple(vm for vm in ranked if vm.id in taken)


def _quotas(need: HomeNeed, seed: int) -> dict[str, int]:
    """Return the homes due in each domain; a remainder goes by weight."""
    if not need.domains:
        return {}
    each, remainder = divmod(need.count, len(need.domains))
    ranked = sorted(
        need.domains, key=lambda domain: weigh(seed, domain), reverse=True
    )
    quota_by_domain = dict.fromkeys(ranked, each)
    for domain in ranked[:remainder]:
        quota_by_domain[domain] += 1
    return quota_by_domain


class _Entry(typing.NamedTuple):
    """The homes of a service, and the least weight that joins them."""

    need: HomeNeed
    seed: int
    homes: tuple[Vm, ...]
    bar_by_domain: dict[str, int]


class HomeTable:
    """Keeps the homes of all services while VMs come and go.

    A change costs one hash for each service; only services whose homes
    change are chosen anew.
    """

    def __init__(self, vm_capacity: float = VM_CAPACITY) -> None:
        self._vm_capacity = vm_capacity
        self._vms_by_id: dict[str, Vm] = {}
        self._entries_by_service: dict[str, _Entry] = {}

    @property
    def vm_count(self) -> int:
        """Return the number of VMs that may be homes."""
        return len(self._vms_by_id)

    def homes(self, service: str) -> tuple[Vm, ...]:
        """Return the homes of a service, none when it is unknown."""
        entry = self._entries_by_service.get(service)
        return entry.homes if entry is not None else ()

    def set_services(
        self, services_by_name: dict[str, documents.Service]
    ) -> frozenset[str]:
        """Take a new document; returns the services whose homes changed."""
        changed = set(self._entries_by_service) - set(services_by_name)
        for name in changed:
            del self._entries_by_service[name]
        for name, service in services_by_name.items():
            need = find_need(service, self._vm_capacity)
            entry = self._entries_by_service.get(name)
            if entry is not None and entry.need == need:
                continue
            if self._choose(need):
                changed.add(name)
        return frozenset(changed)

    def set_vms(self, vms: typing.Iterable[Vm]) -> frozenset[str]:
        """Take a whole view; returns the services whose homes changed."""
        wanted_by_id = {vm.id: vm for vm in vms}
        changed: set[str] = set()
        for vm in list(self._vms_by_id.values()):
            if wanted_by_id.get(vm.id) != vm:
                changed |= self.remove_vm(vm.id)
        for vm in wanted_by_id.values():
            changed |= self.add_vm(vm)
        return frozenset(changed)

    def add_vm(self, vm: Vm) -> frozenset[str]:
        """Add a VM; returns the services that it became home to."""
        if self._vms_by_id.get(vm.id) == vm:
            return frozenset()
        self._vms_by_id[vm.id] = vm
        changed = set()
        for name, entry in self._entries_by_service.items():
            if not _may_join(entry, vm):
                continue
            if self._choose(entry.need):
                changed.add(name)
        return frozenset(changed)

    def remove_vm(self, vm_id: str) -> frozenset[str]:
        """Remove a VM; returns the services that it was home to."""
        vm = self._vms_by_id.pop(vm_id, None)
        if vm is None:
            return frozenset()
        changed = set()
        for name, entry in self._entries_by_service.items():
            if vm in entry.homes:
                self._choose(entry.need)
                changed.add(name)
        return frozenset(changed)

    def _choose(self, need: HomeNeed) -> bool:
        """Choose the homes of a service; tell whether they changed."""
        before = self.homes(need.service)
        homes = choose_homes(need, self._vms_by_id.values())
        seed = seed_of(need.service)
        bar_by_domain = _find_bars(need, seed, homes)
        entry = _Entry(need, seed, homes, bar_by_domain)
        self._entries_by_service[need.service] = entry
        return before != homes


def _may_join(entry: _Entry, vm: Vm) -> bool:
    """Tell whether a new VM could become home to a service."""
    if not entry.bar_by_domain:
        return True
    bar = entry.bar_by_domain.get(vm.domain)
    return bar is not None and weigh(entry.seed, vm.id) >= bar


def _find_bars(
    need: HomeNeed, seed: int, homes: tuple[Vm, ...]
) -> dict[str, int]:
    """Return the weight below which a new VM changes nothing, by domain.

    Where a domain has too few VMs the bars would depend on what fills its
    places, so there are none then and every new VM is looked at.
    """
    count_by_domain: dict[str, int] = {}
    bar_by_domain: dict[str, int] = {}
    for vm in homes:
        count_by_domain[vm.domain] = count_by_domain.get(vm.domain, 0) + 1
        bar_by_domain[vm.domain] = weigh(seed, vm.id)
    if count_by_domain != _quotas(need, seed):
        return {}
    return bar_by_domain
