"""Answers a caller's question which VMs to use for a service."""

import typing

from primrosemill.decisions import homes as home_vms

LIFETIME = 30.0  # seconds that a caller may keep an answer
MOST_ADDRESSES = 8


class Candidate(typing.NamedTuple):
    """A VM in a view of the fleet, with the address that callers reach.

    ``suspect`` and ``leaving`` VMs are not named to callers.
    """

    vm: home_vms.Vm
    address: str
    suspect: bool = False
    leaving: bool = False


class Answer(typing.NamedTuple):
    """The addresses to try in their order, and a lifetime in seconds."""

    addresses: tuple[str, ...]
    lifetime: float


def rank_for(
    caller: str, vms: typing.Iterable[home_vms.Vm]
) -> list[home_vms.Vm]:
    """Return VMs in the order of a caller, which spreads callers evenly."""
    seed = home_vms.seed_of(caller)
    return sorted(
        vms,
        key=lambda vm: (home_vms.weigh(seed, vm.id), vm.id),
        reverse=True,
    )


def first_home(
    caller: str, vms: typing.Iterable[home_vms.Vm]
) -> home_vms.Vm | None:
    """Return the VM that comes first for a caller."""
    return next(iter(rank_for(caller, vms)), None)


def answer(
    caller: str,
    caller_domain: str | None,
    homes: typing.Sequence[home_vms.Vm],
    candidates: typing.Sequence[Candidate],
    lifetime: float = LIFETIME,
) -> Answer:
    """Return the addresses of a service's homes for one caller.

    A home in the caller's own failure domain comes first where the domain is
    known; the next address lies in another domain each time, as far as there
    are some. When no home may be named, other live VMs are: any VM serves
    any request. Suspect VMs are named only when nobody else is there.
    """
    home_ids = {vm.id for vm in homes}
    staying = [each for each in candidates if not each.leaving]
    trusted = [each for each in staying if not each.suspect]
    named = [each for each in trusted if each.vm.id in home_ids]
    named = named or trusted or staying
    address_by_id = {each.vm.id: each.address for each in named}
    ranked = _alternate_domains(
        rank_for(caller, [each.vm for each in named]), caller_domain
    )
    ids = [vm.id for vm in ranked[:MOST_ADDRESSES]]
    return Answer(tuple(address_by_id[each] for each in ids), lifetime)


def _alternate_domains(
    ranked: list[home_vms.Vm], first_domain: str | None
) -> list[home_vms.Vm]:
    """Reorder VMs so that neighbours lie in different failure domains."""
    vms_by_domain: dict[str, list[home_vms.Vm]] = {}
    if first_domain is not None:
        vms_by_domain[first_domain] = []
    for vm in ranked:
        vms_by_domain.setdefault(vm.domain, []).append(vm)
    ordered = []
    turns = max((len(vms) for vms in vms_by_domain.values()), default=0)
    for turn in range(turns):
        for vms in vms_by_domain.values():
            ordered += vms[turn : turn + 1]
    return ordered
