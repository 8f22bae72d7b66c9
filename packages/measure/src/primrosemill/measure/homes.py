"""Measures the balance, movement and cost of home VMs.

Rendezvous hashing stands beside modulo hashing and a hash ring with virtual
nodes, over the same VMs and services in the same run.
"""

import bisect
import collections
import random
import statistics
import time
import typing

import click

from primrosemill.configuration import document as documents
from primrosemill.decisions import home_vms
from primrosemill.decisions import leads

SEED = 1
VIRTUAL_NODES = 100  # on the ring, for each VM
REMOVALS = 30
SERVICE_COUNT = 500
INSTANCES = 20
DEMAND = 196.0  # requests a second; 98,000 over 500 services
Placement = dict[str, frozenset[str]]
Place = typing.Callable[
    [list[home_vms.HomeRequirement], list[home_vms.Vm]], Placement
]


class Fleet(typing.NamedTuple):
    """A size of fleet: its VMs, and failure domains of each service."""

    vm_count: int
    domains: tuple[str, ...]
    domains_per_service: int


class Figures(typing.NamedTuple):
    """What a way of placing homes met; shares run from 0 to 1."""

    mean: float
    deviation: float
    highest: int
    missing_domain: float
    moved: float


FLEETS = (
    Fleet(36, ("a", "b", "c"), 3),
    Fleet(690, tuple("abcdefghi"), 3),
)


def build_services(
    fleet: Fleet, generator: random.Random
) -> dict[str, documents.Service]:
    """Return services whose instances lie in some failure domains."""
    services_by_name = {}
    for number in range(SERVICE_COUNT):
        name = f"service-{number}"
        domains = generator.sample(fleet.domains, fleet.domains_per_service)
        instances = tuple(
            documents.Instance(
                f"{name}-{each}", "127.0.0.1", 9, domains[each % len(domains)]
            )
            for each in range(INSTANCES)
        )
        services_by_name[name] = documents.Service(
            name, 1, instances, (), 3, 300, 0, 0.5, DEMAND, 0.0, "/", 10.0
        )
    return services_by_name


def build_vms(fleet: Fleet) -> list[home_vms.Vm]:
    """Return the VMs of a fleet, spread over its failure domains."""
    return [
        home_vms.Vm(f"vm-{number}", fleet.domains[number % len(fleet.domains)])
        for number in range(fleet.vm_count)
    ]


def place_by_rendezvous(
    needs: list[home_vms.HomeRequirement], vms: list[home_vms.Vm]
) -> Placement:
    """Place homes as the fleet does."""
    return {
        need.service: frozenset(
            vm.id for vm in home_vms.choose_homes(need, vms)
        )
        for need in needs
    }


def place_by_modulo(
    needs: list[home_vms.HomeRequirement], vms: list[home_vms.Vm]
) -> Placement:
    """Place homes at the hash modulo the number of VMs, and onwards."""
    placement = {}
    for need in needs:
        first = home_vms.hash_seed(need.service)
        placement[need.service] = frozenset(
            vms[(first + step) % len(vms)].id for step in range(need.count)
        )
    return placement


def place_on_ring(
    needs: list[home_vms.HomeRequirement], vms: list[home_vms.Vm]
) -> Placement:
    """Place homes at the next VMs on a ring with virtual nodes."""
    points = sorted(
        (home_vms.rendezvous_weight(number, vm.id), vm.id)
        for vm in vms
        for number in range(VIRTUAL_NODES)
    )
    placement = {}
    for need in needs:
        found: set[str] = set()
        at = bisect.bisect(points, (home_vms.hash_seed(need.service), ""))
        while len(found) < min(need.count, len(vms)):
            found.add(points[at % len(points)][1])
            at += 1
        placement[need.service] = frozenset(found)
    return placement


PLACES_BY_NAME: dict[str, Place] = {
    "rendezvous": place_by_rendezvous,
    "modulo": place_by_modulo,
    "ring": place_on_ring,
}


def measure_placement(
    place: Place,
    needs: list[home_vms.HomeRequirement],
    vms: list[home_vms.Vm],
    generator: random.Random,
) -> Figures:
    """Return the balance, and the places moved when one VM goes."""
    before = place(needs, vms)
    counts = collections.Counter(
        vm_id for placed in before.values() for vm_id in placed
    )
    per_vm = [counts.get(vm.id, 0) for vm in vms]
    domain_by_vm = {vm.id: vm.domain for vm in vms}
    missing = 0
    for need in needs:
        found = {domain_by_vm[vm_id] for vm_id in before[need.service]}
        missing += not found.issuperset(need.domains)
    moved = 0
    for gone in generator.sample(vms, REMOVALS):
        after = place(needs, [vm for vm in vms if vm != gone])
        for service, placed in after.items():
            moved += len(placed - before[service])
    return Figures(
        statistics.mean(per_vm),
        statistics.pstdev(per_vm),
        max(per_vm),
        missing / len(needs),
        moved / REMOVALS / sum(per_vm),
    )


def measure_leads(
    services_by_name: dict[str, documents.Service],
    placement: Placement,
    vms: list[home_vms.Vm],
) -> None:
    """Print how even leads are, and how many move with one home."""
    vms_by_id = {vm.id: vm for vm in vms}
    highest: collections.Counter[str] = collections.Counter()
    moved, due, total = 0, 0, 0
    for name, service in services_by_name.items():
        placed = [vms_by_id[vm_id] for vm_id in sorted(placement[name])]
        ranked = leads.rank_homes(service.instances, placed)
        after = leads.rank_homes(service.instances, placed[1:])
        pure = [
            max(
                placed,
                key=lambda vm: home_vms.rendezvous_weight(
                    home_vms.hash_seed(each.id), vm.id
                ),
            ).id
            for each in service.instances
        ]
        bounded = [each[0] for each in ranked.values()]
        for way, chosen in (("pure", pure), ("bounded", bounded)):
            top = max(collections.Counter(chosen).values())
            highest[way] = max(highest[way], top)
        total += len(ranked)
        due += bounded.count(placed[0].id)
        moved += sum(ranked[key][0] != after[key][0] for key in ranked)
    click.echo(
        f"  leads: at most {highest['bounded']} of {INSTANCES} at one home"
        f" ({highest['pure']} by rendezvous alone); a home that goes moves"
        f" {moved / total:.3f} of them, its own share is {due / total:.3f}"
    )


def measure_cost(
    services_by_name: dict[str, documents.Service], vms: list[home_vms.Vm]
) -> None:
    """Print the time of a fresh table and of one change."""
    started = time.perf_counter()
    table = home_vms.HomeTable()
    table.set_services(services_by_name)
    empty = time.perf_counter()
    needs = [
        home_vms.find_requirement(each) for each in services_by_name.values()
    ]
    place_by_rendezvous(needs, vms)
    whole = time.perf_counter() - empty
    table.set_vms(vms)
    changing = time.perf_counter()
    for vm in vms[:REMOVALS]:
        table.remove_vm(vm.id)
    removed = time.perf_counter()
    for vm in vms[:REMOVALS]:
        table.add_vm(vm)
    added = time.perf_counter()
    click.echo(
        f"  cost: whole choice {whole * 1e3:.1f} ms,"
        f" a VM that goes {(removed - changing) / REMOVALS * 1e3:.2f} ms,"
        f" one that comes {(added - removed) / REMOVALS * 1e3:.2f} ms"
        f" (services alone {(empty - started) * 1e3:.1f} ms)"
    )


def measure_fleet(fleet: Fleet) -> None:
    """Print the figures of one size of fleet."""
    services_by_name = build_services(fleet, random.Random(SEED))
    vms = build_vms(fleet)
    needs = [
        home_vms.find_requirement(each) for each in services_by_name.values()
    ]
    click.echo(
        f"{fleet.vm_count} VMs, {len(fleet.domains)} failure domains,"
        f" {SERVICE_COUNT} services, seed {SEED}"
    )
    click.echo(
        "  way         homes a VM  deviation  most  no home in a domain"
        "  moved by one VM (ideal"
        f" {1 / fleet.vm_count:.4f})"
    )
    for name, place in PLACES_BY_NAME.items():
        figures = measure_placement(place, needs, vms, random.Random(SEED))
        click.echo(
            f"  {name:<12}{figures.mean:>10.2f}{figures.deviation:>11.2f}"
            f"{figures.highest:>6}{figures.missing_domain:>21.3f}"
            f"{figures.moved:>17.4f}"
        )
    placement = place_by_rendezvous(needs, vms)
    measure_leads(services_by_name, placement, vms)
    measure_cost(services_by_name, vms)


@click.command()
def main() -> None:
    """Measure home VMs at 36 and at 690 VMs."""
    for fleet in FLEETS:
        measure_fleet(fleet)
