"""Chooses the home VMs of a service by rendezvous hashing.

The home VMs of a service are the few entry VMs assigned to it, which lead its
instances and share evidence on them. A VM's weight for a service is a hash of
both names, and the VMs with the highest weights are its homes. VMs with the
same view of the live VMs choose the same homes without any messages, and a VM
that joins or leaves moves only its own places (D. Thaler and C. Ravishankar,
"Using name-based mappings to increase hit rates", 1998).
"""

import math
import typing

import xxhash

from primrosemill.configuration import document as documents

VM_CAPACITY = 200.0  # requests a second that one home VM can handle


class Vm(typing.NamedTuple):
    """An entry VM and the failure domain that it runs in.

    ``capacity_rps`` is in requests per second; 0 means unknown.
    """

    id: str
    domain: str
    capacity_rps: int = 0


class HomeRequirement(typing.NamedTuple):
    """How many home VMs a service needs, and in which failure domains."""

    service: str
    count: int
    domains: tuple[str, ...]


def hash_seed(name: str) -> int:
    """Return the hash seed of a name, for :func:`rendezvous_weight`."""
    return xxhash.xxh3_64_intdigest(name.encode())


def rendezvous_weight(seed: int, candidate: str) -> int:
    """Return the rendezvous weight of a candidate, a 64-bit number."""
    return xxhash.xxh3_64_intdigest(candidate.encode(), seed)


def find_requirement(
    service: documents.Service, vm_capacity: float = VM_CAPACITY
) -> HomeRequirement:
    """Return how many homes a service needs, and in which domains.

    A service gets one home for each failure domain of its instances, and more
    only if the demand exceeds ``vm_capacity`` requests a second for each of
    them, since fewer homes compete less for the same slots. Leaving instances
    count, so that a home doesn't move while an instance is replaced.
    """
    domains = tuple(sorted({each.domain for each in service.instances}))
    by_demand = math.ceil(service.demand / vm_capacity)
    return HomeRequirement(
        service.name, max(1, len(domains), by_demand), domains
    )


def choose_homes(
    requirement: HomeRequirement, vms: typing.Iterable[Vm]
) -> tuple[Vm, ...]:
    """Return the homes of a service, in descending order of weight.

    Each failure domain of the service fills its quota first. Places that a
    domain has too few VMs for go to the remaining VMs with the highest
    weights, in any domain.
    """
    seed = hash_seed(requirement.service)
    ranked = sorted(
        vms, key=lambda vm: (rendezvous_weight(seed, vm.id), vm.id)
    )
    ranked.reverse()
    open_by_domain = _quotas(requirement, seed)
    chosen_ids = set()
    for vm in ranked:
        if open_by_domain.get(vm.domain, 0) <= 0:
            continue
        open_by_domain[vm.domain] -= 1
        chosen_ids.add(vm.id)
    for vm in ranked:
        if len(chosen_ids) >= requirement.count:
            break
        chosen_ids.add(vm.id)
    return tuple(vm for vm in ranked if vm.id in chosen_ids)


def _quotas(requirement: HomeRequirement, seed: int) -> dict[str, int]:
    """Return the number of homes in each domain.

    A remainder goes to the domains with the highest weights.
    """
    if not requirement.domains:
        return {}
    per_domain, remainder = divmod(requirement.count, len(requirement.domains))
    ranked = sorted(
        requirement.domains,
        key=lambda domain: rendezvous_weight(seed, domain),
        reverse=True,
    )
    quota_by_domain = dict.fromkeys(ranked, per_domain)
    for domain in ranked[:remainder]:
        quota_by_domain[domain] += 1
    return quota_by_domain


class _ServiceHomes(typing.NamedTuple):
    """The homes of a service, and the weights needed to become one.

    ``min_weight_by_domain`` is the weight below which a new VM can't become
    home; empty if every new VM must be considered.
    """

    requirement: HomeRequirement
    seed: int
    homes: tuple[Vm, ...]
    min_weight_by_domain: dict[str, int]


class HomeTable:
    """Keeps the homes of all services up to date as VMs join and leave.

    A VM that joins costs one hash for each service, and only services whose
    homes may change are recomputed.
    """

    def __init__(self, vm_capacity: float = VM_CAPACITY) -> None:
        self._vm_capacity = vm_capacity
        self._vms_by_id: dict[str, Vm] = {}
        self._homes_by_service: dict[str, _ServiceHomes] = {}

    @property
    def vm_count(self) -> int:
        """Return the number of VMs that may be homes."""
        return len(self._vms_by_id)

    def homes(self, service: str) -> tuple[Vm, ...]:
        """Return the homes of a service; none if it is unknown."""
        entry = self._homes_by_service.get(service)
        return entry.homes if entry is not None else ()

    def set_services(
        self, services_by_name: dict[str, documents.Service]
    ) -> frozenset[str]:
        """Set the services; return those whose homes changed."""
        changed = set(self._homes_by_service) - set(services_by_name)
        for name in changed:
            del self._homes_by_service[name]
        for name, service in services_by_name.items():
            requirement = find_requirement(service, self._vm_capacity)
            entry = self._homes_by_service.get(name)
            if entry is not None and entry.requirement == requirement:
                continue
            if self._update_homes(requirement):
                changed.add(name)
        return frozenset(changed)

    def set_vms(self, vms: typing.Iterable[Vm]) -> frozenset[str]:
        """Set the live VMs; return the services whose homes changed."""
        vms_by_id = {vm.id: vm for vm in vms}
        changed: set[str] = set()
        for vm in list(self._vms_by_id.values()):
            if vms_by_id.get(vm.id) != vm:
                changed |= self.remove_vm(vm.id)
        for vm in vms_by_id.values():
            changed |= self.add_vm(vm)
        return frozenset(changed)

    def add_vm(self, vm: Vm) -> frozenset[str]:
        """Add a VM; return the services whose homes changed."""
        if self._vms_by_id.get(vm.id) == vm:
            return frozenset()
        self._vms_by_id[vm.id] = vm
        changed = set()
        for name, entry in self._homes_by_service.items():
            if not _may_join(entry, vm):
                continue
            if self._update_homes(entry.requirement):
                changed.add(name)
        return frozenset(changed)

    def remove_vm(self, vm_id: str) -> frozenset[str]:
        """Remove a VM; return the services that it was home to."""
        vm = self._vms_by_id.pop(vm_id, None)
        if vm is None:
            return frozenset()
        changed = set()
        for name, entry in self._homes_by_service.items():
            if vm in entry.homes:
                self._update_homes(entry.requirement)
                changed.add(name)
        return frozenset(changed)

    def _update_homes(self, requirement: HomeRequirement) -> bool:
        """Recompute the homes of a service; return whether they changed."""
        previous = self.homes(requirement.service)
        homes = choose_homes(requirement, self._vms_by_id.values())
        seed = hash_seed(requirement.service)
        min_weight_by_domain = _min_weights(requirement, seed, homes)
        entry = _ServiceHomes(requirement, seed, homes, min_weight_by_domain)
        self._homes_by_service[requirement.service] = entry
        return previous != homes


def _may_join(entry: _ServiceHomes, vm: Vm) -> bool:
    """Return whether a new VM may become home to a service."""
    if not entry.min_weight_by_domain:
        return True
    min_weight = entry.min_weight_by_domain.get(vm.domain)
    return (
        min_weight is not None
        and rendezvous_weight(entry.seed, vm.id) >= min_weight
    )


def _min_weights(
    requirement: HomeRequirement, seed: int, homes: tuple[Vm, ...]
) -> dict[str, int]:
    """Return the weights below which a new VM isn't chosen, by domain.

    If a domain has fewer VMs than its quota, they would depend on the VMs
    that fill its places. The result is then empty, and every new VM must be
    considered.
    """
    count_by_domain: dict[str, int] = {}
    min_weight_by_domain: dict[str, int] = {}
    for vm in homes:
        count_by_domain[vm.domain] = count_by_domain.get(vm.domain, 0) + 1
        min_weight_by_domain[vm.domain] = rendezvous_weight(seed, vm.id)
    if count_by_domain != _quotas(requirement, seed):
        return {}
    return min_weight_by_domain
