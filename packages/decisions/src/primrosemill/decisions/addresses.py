"""Selection of the VM addresses that a caller should use for a service."""

import typing

from primrosemill.decisions import home_vms

LIFETIME = 30.0  # seconds that a caller may keep an answer
MAX_ADDRESSES = 8


class Candidate(typing.NamedTuple):
    """A VM of the fleet and the address at which callers reach it.

    The addresses of ``leaving`` VMs are not returned to callers, and those of
    ``suspect`` VMs only if there are no others.
    """

    vm: home_vms.Vm
    address: str
    suspect: bool = False
    leaving: bool = False


class Answer(typing.NamedTuple):
    """The addresses in the order to try them, and their lifetime in s."""

    addresses: tuple[str, ...]
    lifetime: float


def rank_vms(
    caller: str, vms: typing.Iterable[home_vms.Vm]
) -> list[home_vms.Vm]:
    """Return VMs ordered by rendezvous hashing for a caller."""
    seed = home_vms.hash_seed(caller)
    return sorted(
        vms,
        key=lambda vm: (home_vms.rendezvous_weight(seed, vm.id), vm.id),
        reverse=True,
    )


def first_home(
    caller: str, vms: typing.Iterable[home_vms.Vm]
) -> home_vms.Vm | None:
    """Return the first VM in a caller's order, or None without VMs."""
    return next(iter(rank_vms(caller, vms)), None)


def answer(
    caller: str,
    caller_domain: str | None,
    homes: typing.Sequence[home_vms.Vm],
    candidates: typing.Sequence[Candidate],
    lifetime: float = LIFETIME,
) -> Answer:
    """Return the addresses of a service's home VMs for one caller.

    Homes are the VMs to which the callers of a service are directed. If the
    caller's failure domain is known, a home in it comes first. Successive
    addresses lie in different domains as far as possible. If no home is
    eligible, other live VMs are returned, as any VM serves any request.
    Suspect VMs are returned only if there are no others.
    """
    home_ids = {vm.id for vm in homes}
    staying = [each for each in candidates if not each.leaving]
    trusted = [each for each in staying if not each.suspect]
    eligible = [each for each in trusted if each.vm.id in home_ids]
    eligible = eligible or trusted or staying
    address_by_id = {each.vm.id: each.address for each in eligible}
    ranked = _alternate_domains(
        rank_vms(caller, [each.vm for each in eligible]), caller_domain
    )
    ids = [vm.id for vm in ranked[:MAX_ADDRESSES]]
    return Answer(tuple(address_by_id[each] for each in ids), lifetime)


def _alternate_domains(
    ranked: list[home_vms.Vm], first_domain: str | None
) -> list[home_vms.Vm]:
    """Reorder VMs so that successive ones lie in different domains."""
    vms_by_domain: dict[str, list[home_vms.Vm]] = {}
    if first_domain is not None:
        vms_by_domain[first_domain] = []
    for vm in ranked:
        vms_by_domain.setdefault(vm.domain, []).append(vm)
    ordered = []
    longest = max((len(vms) for vms in vms_by_domain.values()), default=0)
    for position in range(longest):
        for vms in vms_by_domain.values():
            ordered += vms[position : position + 1]
    return ordered
