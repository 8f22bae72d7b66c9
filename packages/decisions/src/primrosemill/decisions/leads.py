"""Assignment of each instance of a service to one lead among the home VMs.

Home VMs are the VMs to which the service's callers are directed. The lead of
an instance fills its slots first, so that home VMs rarely compete for the
same slots. Leads are assigned by rendezvous hashing with two changes: a home
in the instance's own failure domain is preferred, because the network hop is
part of the time that a slot is held, and no home leads more than its equal
share (V. Mirrokni et al., "Consistent hashing with bounded loads", 2016),
because homes get equal shares of the callers.
"""

import math
import typing

from primrosemill.configuration import document as documents
from primrosemill.decisions import home_vms


class _Pair(typing.NamedTuple):
    """A home VM and an instance; pairs are assigned in descending order."""

    local: bool
    weight: int
    instance_id: str
    vm_id: str


def rank_homes(
    instances: typing.Sequence[documents.Instance],
    homes: typing.Sequence[home_vms.Vm],
) -> dict[str, tuple[str, ...]]:
    """Return the ids of the homes by instance, the lead first.

    The other homes follow in the order in which they should use the instance
    when the instances that they lead have no free slot.
    """
    if not homes:
        return {instance.id: () for instance in instances}
    pairs = _rank_pairs(instances, homes)
    lead_by_id = _assign_leads(pairs, len(instances), len(homes))
    ranked_by_id: dict[str, list[str]] = {
        instance_id: [lead] for instance_id, lead in lead_by_id.items()
    }
    for pair in pairs:
        if lead_by_id[pair.instance_id] == pair.vm_id:
            continue
        ranked_by_id[pair.instance_id].append(pair.vm_id)
    return {key: tuple(value) for key, value in ranked_by_id.items()}


def ranks_of(
    vm_id: str, ranked_by_id: dict[str, tuple[str, ...]]
) -> dict[str, int]:
    """Return a VM's rank by instance; the lead has rank 0.

    A VM that isn't a home of the service ranks after all homes.
    """
    rank_by_id = {}
    for instance_id, ranked in ranked_by_id.items():
        rank = len(ranked)
        if vm_id in ranked:
            rank = ranked.index(vm_id)
        rank_by_id[instance_id] = rank
    return rank_by_id


def _rank_pairs(
    instances: typing.Sequence[documents.Instance],
    homes: typing.Sequence[home_vms.Vm],
) -> list[_Pair]:
    pairs = []
    for instance in instances:
        seed = home_vms.hash_seed(instance.id)
        for vm in homes:
            weight = home_vms.rendezvous_weight(seed, vm.id)
            local = vm.domain == instance.domain
            pairs.append(_Pair(local, weight, instance.id, vm.id))
    pairs.sort(reverse=True)
    return pairs


def _assign_leads(
    pairs: list[_Pair], instance_count: int, home_count: int
) -> dict[str, str]:
    """Return the lead by instance: its best home below the equal share."""
    share = math.ceil(instance_count / home_count)
    count_by_vm: dict[str, int] = {}
    lead_by_id: dict[str, str] = {}
    for pair in pairs:
        if pair.instance_id in lead_by_id:
            continue
        count = count_by_vm.get(pair.vm_id, 0)
        if count >= share:
            continue
        count_by_vm[pair.vm_id] = count + 1
        lead_by_id[pair.instance_id] = pair.vm_id
    return lead_by_id
