"""Choice of the entry points: the few VMs that callers are sent to.

Each VM sees only its own requests and what its peers report, so fewer VMs
have a better view of the instances' free slots. A failure domain therefore
has only as many entry points as its instances keep busy. VMs with clearly
more capacity rank first; rendezvous hashing orders the others. Every VM
computes the same entry points without messages, and a VM that joins or leaves
changes only its own place.
"""

import math
import typing

from primrosemill.configuration import document as documents
from primrosemill.decisions import home_vms
from primrosemill.decisions import leads
from primrosemill.decisions import vm_capacity

MIN_ENTRY_POINTS = 2  # per failure domain, so that one may fail
SLOTS_PER_ENTRY_POINT = 18.0  # instance slots that one VM easily keeps busy

# VMs that are notified of a change at one instance. This covers all entry
# points of a fleet of 300 VMs; in larger fleets the cost of a notification
# doesn't grow further.
MAX_RECIPIENTS = 48
# VMs of the own domain that are notified of good answers. Entry points come
# first, as they get most requests.
MAX_LOCAL_RECIPIENTS = 12


class FleetView(typing.NamedTuple):
    """The VMs that accept callers, and the total slots of all services."""

    vms: tuple[home_vms.Vm, ...]
    slots: int


def entry_points(view: FleetView, domain: str) -> tuple[home_vms.Vm, ...]:
    """Return the VMs that callers in a failure domain should use.

    A domain without VMs uses the entry points of all other domains.
    """
    vms_by_domain: dict[str, list[home_vms.Vm]] = {}
    for vm in view.vms:
        vms_by_domain.setdefault(vm.domain, []).append(vm)
    count = _entry_point_count(view.slots, len(vms_by_domain))
    if domain in vms_by_domain:
        return _most_capable(vms_by_domain[domain], domain, count)
    selected: list[home_vms.Vm] = []
    for name in sorted(vms_by_domain):
        selected += _most_capable(vms_by_domain[name], name, count)
    return tuple(selected)


def recipient_ids(
    view: FleetView, own: home_vms.Vm, domain: str
) -> tuple[str, ...]:
    """Return the VMs to notify of a change at an instance in ``domain``.

    These are the entry points of all domains, as each may use the instance,
    followed by the other VMs of the own domain. The entry points of the
    instance's domain and of the own domain come first, so that they remain
    if the list is truncated.
    """
    domains = sorted({vm.domain for vm in view.vms})
    domains.sort(key=lambda each: each not in (own.domain, domain))
    selected = []
    for each in domains:
        selected += entry_points(view, each)
    selected += [vm for vm in view.vms if vm.domain == own.domain]
    ids = dict.fromkeys(vm.id for vm in selected if vm != own)
    return tuple(ids)[:MAX_RECIPIENTS]


def local_recipient_ids(view: FleetView, own: home_vms.Vm) -> tuple[str, ...]:
    """Return the VMs of the own domain to notify of good answers."""
    selected = list(entry_points(view, own.domain))
    selected += [vm for vm in view.vms if vm.domain == own.domain]
    ids = dict.fromkeys(vm.id for vm in selected if vm != own)
    return tuple(ids)[:MAX_LOCAL_RECIPIENTS]


def led_ids(
    own: home_vms.Vm,
    points: typing.Sequence[home_vms.Vm],
    instances: typing.Iterable[documents.Instance],
) -> frozenset[str]:
    """Return the ids of the own domain's instances that this VM leads.

    The lead of an instance fills its slots first. A VM that isn't an entry
    point leads none: the few requests that reach it use any free slot.
    """
    if own not in points:
        return frozenset()
    local = [each for each in instances if each.domain == own.domain]
    ranks = leads.ranks_of(own.id, leads.rank_homes(local, points))
    return frozenset(key for key, rank in ranks.items() if rank == 0)


def _entry_point_count(slots: int, domains: int) -> int:
    needed = math.ceil(slots / max(1, domains) / SLOTS_PER_ENTRY_POINT)
    return max(MIN_ENTRY_POINTS, needed)


def _most_capable(
    vms: list[home_vms.Vm], domain: str, count: int
) -> tuple[home_vms.Vm, ...]:
    seed = home_vms.hash_seed(domain)
    ranked = sorted(
        vms,
        key=lambda vm: (
            vm_capacity.capacity_level(vm.capacity_rps),
            home_vms.rendezvous_weight(seed, vm.id),
            vm.id,
        ),
        reverse=True,
    )
    return tuple(ranked[:count])
