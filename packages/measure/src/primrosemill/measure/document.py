"""Measures the size and checking time of a document of the target size.

The target is 500 services with 10,000 instances, 4,300 routes and 33,000
callers with limits of their own. The check of a change, which uses the
previous version, is compared with the check of the whole document.
"""

import gc
import random
import statistics
import time
import tracemalloc
import typing

import click

from primrosemill.configuration import assembly
from primrosemill.configuration import values
from primrosemill.publish import builders
from primrosemill.publish import publication

SERVICE_COUNT = 500
INSTANCES_PER_SERVICE = 20
ROUTE_COUNT = 4_300
CALLER_COUNT = 33_000
DOMAINS = tuple(f"domain-{number}" for number in range(9))
PORT = 9_000
FLOOR = 14  # instances of a service
DEMAND = 200.0  # requests a second
MILLISECONDS_PER_SECOND = 1_000.0
MEGABYTE = 1_000_000


class Change(typing.NamedTuple):
    """A changed plan, and what the change is."""

    name: str
    plan: publication.Plan


def build_plan(generator: random.Random) -> publication.Plan:
    """Build a plan of the target's size."""
    services = [_build_service(number) for number in range(SERVICE_COUNT)]
    limits_by_caller = {
        f"caller-{generator.getrandbits(48):012x}": builders.limit(
            float(generator.randint(5, 100)), generator.randint(10, 200)
        )
        for _ in range(CALLER_COUNT)
    }
    return publication.Plan(
        "target",
        DOMAINS,
        tuple(services),
        builders.limit(20.0, 40),
        limits_by_caller,
    )


def _build_service(number: int) -> values.ServiceValue:
    name = f"service-{number}"
    network = number * 32
    count = len(range(number, ROUTE_COUNT, SERVICE_COUNT))
    return builders.service(
        name,
        builders.instances(
            name,
            f"10.{network // 65_536}.{network // 256 % 256}.{network % 256}",
            INSTANCES_PER_SERVICE,
            PORT,
            DOMAINS,
        ),
        [
            builders.route(
                f"/{name}/{route}", methods=["GET"], idempotent=True
            )
            for route in range(count)
        ],
        floor=FLOOR,
        demand=DEMAND,
    )


def build_changes(plan: publication.Plan) -> list[Change]:
    """Build the plans that result from common changes."""
    service = plan.services[0].copy()
    service["floor"] = FLOOR - 1
    limits_by_caller = dict(plan.limits_by_caller)
    caller = next(iter(limits_by_caller))
    limits_by_caller[caller] = builders.limit(1.0, 1)
    return [
        Change(
            "one service changed",
            plan._replace(services=(service, *plan.services[1:])),
        ),
        Change(
            "one caller's limit changed",
            plan._replace(limits_by_caller=limits_by_caller),
        ),
        Change(
            "a failure domain added", plan._replace(domains=(*DOMAINS, "new"))
        ),
    ]


def _time(action: typing.Callable[[], typing.Any], rounds: int) -> float:
    """Return the median time of an action in milliseconds."""
    times = []
    for _ in range(rounds):
        started = time.perf_counter()
        action()
        times.append(time.perf_counter() - started)
    return statistics.median(times) * MILLISECONDS_PER_SECOND


def assemble(
    published: publication.Publication,
    previous: assembly.AssembledVersion | None = None,
) -> assembly.AssembledVersion:
    """Check a valid version, from the previous one if that is given."""
    values_by_key = published.values_by_key
    return assembly.assemble(
        values_by_key[values.INDEX_KEY], values_by_key, previous
    ).ok


def _longest_step(published: publication.Publication) -> float:
    """Return the longest step of the check, in seconds.

    The check can be interrupted between steps.
    """
    values_by_key = published.values_by_key
    steps = assembly.assemble_in_steps(
        values_by_key[values.INDEX_KEY], values_by_key
    )
    longest = 0.0
    step_start = time.perf_counter()
    for _ in steps:
        step_end = time.perf_counter()
        longest = max(longest, step_end - step_start)
        step_start = step_end
    return longest


def _print_sizes(first: publication.Publication) -> None:
    sizes = sorted(map(len, first.values_by_key.values()))
    index_size = len(first.values_by_key[values.INDEX_KEY])
    click.echo(f"values                {len(sizes):9d}")
    click.echo(f"all values            {sum(sizes) / MEGABYTE:9.3f} MB")
    click.echo(f"largest value         {sizes[-1] / MEGABYTE:9.3f} MB")
    click.echo(f"index                 {index_size / MEGABYTE:9.3f} MB")


def _print_memory(first: publication.Publication) -> None:
    copies_by_key = {
        key: bytes(bytearray(value))
        for key, value in first.values_by_key.items()
    }
    tracemalloc.start()
    assembled = assembly.assemble(
        copies_by_key[values.INDEX_KEY], copies_by_key
    ).ok
    size, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    values_size = sum(map(len, assembled.values_by_key.values()))
    click.echo(
        f"checked form          {size / MEGABYTE:9.1f} MB beside "
        f"{values_size / MEGABYTE:.1f} MB of values, "
        f"{peak / MEGABYTE:.1f} MB at the peak"
    )


@click.command()
@click.option("--seed", default=1, show_default=True)
@click.option("--rounds", default=9, show_default=True)
def main(seed: int, rounds: int) -> None:
    """Measure a document of the target's size, and the cost of a change."""
    plan = build_plan(random.Random(seed))
    first = publication.prepare(plan).ok
    _print_sizes(first)
    _print_memory(first)
    prepare_time = _time(lambda: publication.prepare(plan), rounds)
    click.echo(f"prepare and check     {prepare_time:9.1f} ms")
    full_check_time = _time(lambda: assemble(first), rounds)
    click.echo(f"whole check           {full_check_time:9.1f} ms")
    in_force = assemble(first)
    for change in build_changes(plan):
        changed = publication.prepare(change.plan, in_force).ok
        size = sum(map(len, changed.changed_by_key.values()))
        change_check_time = _time(
            lambda changed=changed: assemble(changed, in_force), rounds
        )
        click.echo(
            f"{change.name:<28}{change_check_time:7.2f} ms, "
            f"{full_check_time / change_check_time:6.0f} times faster, "
            f"{len(changed.changed_by_key)} values of {size / 1_000:.0f} KB"
        )
    step_time = _longest_step(first) * MILLISECONDS_PER_SECOND
    click.echo(f"longest step of the whole check {step_time:7.2f} ms")
    # A garbage collection scans all live objects at once, but not frozen ones.
    gc.freeze()
    step_time = _longest_step(first) * MILLISECONDS_PER_SECOND
    click.echo(f"the same with live objects frozen {step_time:5.2f} ms")
