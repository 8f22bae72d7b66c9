"""Gives each instance of a service one lead among the home VMs.

The lead fills the slots of its instances first, so that home VMs with few
slots before them rarely meet. Leads come from rendezvous hashing with two
amendments: a home in the instance's own failure domain goes first, because
the hop is part of the time that a slot is held, and no home leads more than
its equal share (V. Mirrokni et al., "Consistent hashing with bounded loads",
2016), because homes get equal shares of the callers.
"""

import math
import typing

from primrosemill.configuration import document as documents
from primrosemill.decisions import homes as home_vms


class _Pair(typing.NamedTuple):
    """A home for an instance; the greatest pair is settled first."""

    local: bool
    weight: int
    instance_id: str
    vm_id: str


def rank_homes(
    instances: typing.Sequence[documents.Instance],
    homes: typing.Sequence[home_vms.Vm],
) -> dict[str, tuple[str, ...]]:
    """Return the ids of the homes by instance, its lead first.

    The order behind the lead is the order in which others' requests should
    come to the instance when they find no slot of their own.
    """
    if not homes:
        return {instance.id: () for instance in instances}
    pairs = _rank_pairs(instances, homes)
    lead_by_id = _settle_leads(pairs, len(instances), len(homes))
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
    """Return a VM's rank at each instance; 0 is the lead.

    A VM that is not home to the service ranks behind all homes.
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
        seed = home_vms.seed_of(instance.id)
        for vm in homes:
            weight = home_vms.weigh(seed, vm.id)
            local = vm.domain == instance.domain
            pairs.append(_Pair(local, weight, instance.id, vm.id))
    pairs.sort(reverse=True)
    return pairs


def _settle_leads(
    pairs: list[_Pair], instance_count: int, home_count: int
) -> dict[str, str]:
    """Give each instance its best home with room; the shares are equal."""
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
