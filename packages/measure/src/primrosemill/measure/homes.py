"""Measures the balance, stability and cost of the placement of home VMs.

The home VMs of a service are the entry VMs to which its callers are directed.
Rendezvous hashing is compared with modulo hashing and with a hash ring with
virtual nodes, for the same VMs and services in the same run.
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
REMOVALS = 30  # VMs that are removed, one at a time
SERVICE_COUNT = 500
INSTANCES_PER_SERVICE = 20
# Per service; 98,000 over 500 services.
DEMAND = 196.0  # requests a second
Placement = dict[str, frozenset[str]]  # ids of the homes by service
PlacementFunction = typing.Callable[
    [list[home_vms.HomeRequirement], list[home_vms.Vm]], Placement
]


class Fleet(typing.NamedTuple):
    """The VMs and failure domains of a fleet.

    The instances of each service are in ``domains_per_service`` of them.
    """

    vm_count: int
    domains: tuple[str, ...]
    domains_per_service: int


class Figures(typing.NamedTuple):
    """Results of a placement.

    ``mean``, ``deviation`` and ``highest`` are of the number of homes per VM.
    ``missing_domain`` is the share of services without a home in one of the
    failure domains of their instances. ``moved`` is the share of homes that
    move when one VM is removed. Both are from 0 to 1.
    """

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
    """Return services, each with instances in some of the failure domains."""
    services_by_name = {}
    for number in range(SERVICE_COUNT):
        name = f"service-{number}"
        domains = generator.sample(fleet.domains, fleet.domains_per_service)
        instances = tuple(
            documents.Instance(
                f"{name}-{each}", "127.0.0.1", 9, domains[each % len(domains)]
            )
            for each in range(INSTANCES_PER_SERVICE)
        )
        services_by_name[name] = documents.Service(
            name, 1, instances, (), 3, 300, 0, 0.5, DEMAND, 0.0, "/", 10.0
        )
    return services_by_name


def build_vms(fleet: Fleet) -> list[home_vms.Vm]:
    """Return the VMs of a fleet, evenly over its failure domains."""
    return [
        home_vms.Vm(f"vm-{number}", fleet.domains[number % len(fleet.domains)])
        for number in range(fleet.vm_count)
    ]


def place_by_rendezvous(
    requirements: list[home_vms.HomeRequirement], vms: list[home_vms.Vm]
) -> Placement:
    """Place homes by rendezvous hashing, as the product does."""
    return {
        requirement.service: frozenset(
            vm.id for vm in home_vms.choose_homes(requirement, vms)
        )
        for requirement in requirements
    }


def place_by_modulo(
    requirements: list[home_vms.HomeRequirement], vms: list[home_vms.Vm]
) -> Placement:
    """Place homes at the hash modulo the number of VMs and the next VMs."""
    placement = {}
    for requirement in requirements:
        first = home_vms.hash_seed(requirement.service)
        placement[requirement.service] = frozenset(
            vms[(first + step) % len(vms)].id
            for step in range(requirement.count)
        )
    return placement


def place_on_ring(
    requirements: list[home_vms.HomeRequirement], vms: list[home_vms.Vm]
) -> Placement:
    """Place homes at the next VMs on a ring with virtual nodes."""
    points = sorted(
        (home_vms.rendezvous_weight(number, vm.id), vm.id)
        for vm in vms
        for number in range(VIRTUAL_NODES)
    )
    placement = {}
    for requirement in requirements:
        home_ids: set[str] = set()
        index = bisect.bisect(
            points, (home_vms.hash_seed(requirement.service), "")
        )
        while len(home_ids) < min(requirement.count, len(vms)):
            home_ids.add(points[index % len(points)][1])
            index += 1
        placement[requirement.service] = frozenset(home_ids)
    return placement


PLACEMENT_FUNCTIONS_BY_NAME: dict[str, PlacementFunction] = {
    "rendezvous": place_by_rendezvous,
    "modulo": place_by_modulo,
    "ring": place_on_ring,
}


def measure_placement(
    place: PlacementFunction,
    requirements: list[home_vms.HomeRequirement],
    vms: list[home_vms.Vm],
    generator: random.Random,
) -> Figures:
    """Return the balance, and the share of homes that a removal moves."""
    before = place(requirements, vms)
    counts = collections.Counter(
        vm_id for home_ids in before.values() for vm_id in home_ids
    )
    homes_per_vm = [counts.get(vm.id, 0) for vm in vms]
    domain_by_vm_id = {vm.id: vm.domain for vm in vms}
    missing = 0
    for requirement in requirements:
        home_domains = {
            domain_by_vm_id[vm_id] for vm_id in before[requirement.service]
        }
        missing += not home_domains.issuperset(requirement.domains)
    moved = 0
    for removed in generator.sample(vms, REMOVALS):
        after = place(requirements, [vm for vm in vms if vm != removed])
        for service, home_ids in after.items():
            moved += len(home_ids - before[service])
    return Figures(
        statistics.mean(homes_per_vm),
        statistics.pstdev(homes_per_vm),
        max(homes_per_vm),
        missing / len(requirements),
        moved / REMOVALS / sum(homes_per_vm),
    )


def measure_leads(
    services_by_name: dict[str, documents.Service],
    placement: Placement,
    vms: list[home_vms.Vm],
) -> None:
    """Print the balance of leads, and how many move when a home is removed.

    The lead of an instance is the home that fills its slots first.
    """
    vms_by_id = {vm.id: vm for vm in vms}
    highest: collections.Counter[str] = collections.Counter()
    moved, led_by_removed, total = 0, 0, 0
    for name, service in services_by_name.items():
        homes = [vms_by_id[vm_id] for vm_id in sorted(placement[name])]
        ranked_by_id = leads.rank_homes(service.instances, homes)
        ranked_after_by_id = leads.rank_homes(service.instances, homes[1:])
        pure = [
            max(
                homes,
                key=lambda vm: home_vms.rendezvous_weight(
                    home_vms.hash_seed(instance.id), vm.id
                ),
            ).id
            for instance in service.instances
        ]
        bounded = [home_ids[0] for home_ids in ranked_by_id.values()]
        for method, lead_ids in (("pure", pure), ("bounded", bounded)):
            most = max(collections.Counter(lead_ids).values())
            highest[method] = max(highest[method], most)
        total += len(ranked_by_id)
        led_by_removed += bounded.count(homes[0].id)
        moved += sum(
            ranked_by_id[key][0] != ranked_after_by_id[key][0]
            for key in ranked_by_id
        )
    click.echo(
        f"  leads: at most {highest['bounded']} of {INSTANCES_PER_SERVICE}"
        f" at one home ({highest['pure']} by rendezvous alone);"
        f" a home that goes moves"
        f" {moved / total:.3f} of them, its own share is"
        f" {led_by_removed / total:.3f}"
    )


def measure_cost(
    services_by_name: dict[str, documents.Service], vms: list[home_vms.Vm]
) -> None:
    """Print the time of a whole placement and of adding or removing a VM."""
    started = time.perf_counter()
    table = home_vms.HomeTable()
    table.set_services(services_by_name)
    services_set_at = time.perf_counter()
    requirements = [
        home_vms.find_requirement(each) for each in services_by_name.values()
    ]
    place_by_rendezvous(requirements, vms)
    placement_time = time.perf_counter() - services_set_at
    table.set_vms(vms)
    removals_started = time.perf_counter()
    for vm in vms[:REMOVALS]:
        table.remove_vm(vm.id)
    removals_ended = time.perf_counter()
    for vm in vms[:REMOVALS]:
        table.add_vm(vm)
    additions_ended = time.perf_counter()
    click.echo(
        f"  cost: whole choice {placement_time * 1e3:.1f} ms,"
        f" a VM that goes"
        f" {(removals_ended - removals_started) / REMOVALS * 1e3:.2f} ms,"
        f" one that comes"
        f" {(additions_ended - removals_ended) / REMOVALS * 1e3:.2f} ms"
        f" (services alone {(services_set_at - started) * 1e3:.1f} ms)"
    )


def measure_fleet(fleet: Fleet) -> None:
    """Print the figures of one fleet."""
    services_by_name = build_services(fleet, random.Random(SEED))
    vms = build_vms(fleet)
    requirements = [
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
    for name, place in PLACEMENT_FUNCTIONS_BY_NAME.items():
        figures = measure_placement(
            place, requirements, vms, random.Random(SEED)
        )
        click.echo(
            f"  {name:<12}{figures.mean:>10.2f}{figures.deviation:>11.2f}"
            f"{figures.highest:>6}{figures.missing_domain:>21.3f}"
            f"{figures.moved:>17.4f}"
        )
    placement = place_by_rendezvous(requirements, vms)
    measure_leads(services_by_name, placement, vms)
    measure_cost(services_by_name, vms)


@click.command()
def main() -> None:
    """Measure the placement of home VMs at 36 and at 690 VMs."""
    for fleet in FLEETS:
        measure_fleet(fleet)
