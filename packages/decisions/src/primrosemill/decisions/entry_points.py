"""Chooses the few VMs of each failure domain that callers are sent to.

Few VMs know the slots of their instances better than many, so a domain has
only as many entry points as its instances can keep busy. VMs that can carry
clearly more go first; among equals rendezvous hashing decides. So every VM
names the same without a message, and one that comes or goes moves its own
place only.
"""

import math
import typing

from primrosemill.configuration import document as documents
from primrosemill.decisions import homes as home_vms
from primrosemill.decisions import leads
from primrosemill.decisions import vm_capacity

LEAST_ENTRY_POINTS = 2  # in a failure domain, so that one may fail
SLOTS_PER_POINT = 18.0  # slots of instances that one VM keeps busy with ease

# VMs that are told of news on one instance: the entry points of 300 VMs fit,
# and beyond that the cost of a message does not grow with the fleet.
MOST_TOLD = 48
# VMs of the own domain that are told of good answers; entry points go first,
# as most requests come to them.
MOST_TOLD_AT_HOME = 12


class View(typing.NamedTuple):
    """The VMs that take callers, and the slots of all services together."""

    vms: tuple[home_vms.Vm, ...]
    slots: int


def entry_points(view: View, domain: str) -> tuple[home_vms.Vm, ...]:
    """Return the VMs that callers in a failure domain should use.

    A domain without VMs is served by the entry points of all others.
    """
    vms_by_domain: dict[str, list[home_vms.Vm]] = {}
    for vm in view.vms:
        vms_by_domain.setdefault(vm.domain, []).append(vm)
    count = _count(view.slots, len(vms_by_domain))
    if domain in vms_by_domain:
        return _strongest(vms_by_domain[domain], domain, count)
    found: list[home_vms.Vm] = []
    for name in sorted(vms_by_domain):
        found += _strongest(vms_by_domain[name], name, count)
    return tuple(found)


def told_ids(view: View, own: home_vms.Vm, domain: str) -> tuple[str, ...]:
    """Return the VMs that should hear of news on an instance in a domain.

    These are the entry points of all domains, as each may use the instance,
    and then the other VMs of the own domain. Where there are too many, the
    entry points of the instance's domain and the own one go first.
    """
    domains = sorted({vm.domain for vm in view.vms})
    domains.sort(key=lambda each: each not in (own.domain, domain))
    found = []
    for each in domains:
        found += entry_points(view, each)
    found += [vm for vm in view.vms if vm.domain == own.domain]
    ids = dict.fromkeys(vm.id for vm in found if vm != own)
    return tuple(ids)[:MOST_TOLD]


def told_at_home_ids(view: View, own: home_vms.Vm) -> tuple[str, ...]:
    """Return the VMs of the own domain that hear of good answers."""
    found = list(entry_points(view, own.domain))
    found += [vm for vm in view.vms if vm.domain == own.domain]
    ids = dict.fromkeys(vm.id for vm in found if vm != own)
    return tuple(ids)[:MOST_TOLD_AT_HOME]


def led_ids(
    own: home_vms.Vm,
    points: typing.Sequence[home_vms.Vm],
    instances: typing.Iterable[documents.Instance],
) -> frozenset[str]:
    """Return the instances of the own domain that this VM fills first.

    A VM that is no entry point fills none first: the few requests that reach
    it go wherever there is room.
    """
    if own not in points:
        return frozenset()
    local = [each for each in instances if each.domain == own.domain]
    ranks = leads.ranks_of(own.id, leads.rank_homes(local, points))
    return frozenset(key for key, rank in ranks.items() if rank == 0)


def _count(slots: int, domains: int) -> int:
    wanted = math.ceil(slots / max(1, domains) / SLOTS_PER_POINT)
    return max(LEAST_ENTRY_POINTS, wanted)


def _strongest(
    vms: list[home_vms.Vm], domain: str, count: int
) -> tuple[home_vms.Vm, ...]:
    seed = home_vms.seed_of(domain)
    ranked = sorted(
        vms,
        key=lambda vm: (
            vm_capacity.level(vm.carries),
            home_vms.weigh(seed, vm.id),
            vm.id,
        ),
        reverse=True,
    )
    return tuple(ranked[:count])
