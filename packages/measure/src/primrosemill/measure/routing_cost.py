"""Measures the time and memory of routing decisions."""

import random
import time
import tracemalloc
import typing

import click

from primrosemill.configuration import document as documents
from primrosemill.decisions import addresses
from primrosemill.decisions import caller_limits
from primrosemill.decisions import dispatch
from primrosemill.decisions import home_vms
from primrosemill.decisions import paths
from primrosemill.decisions import routes
from primrosemill.decisions import slot_pool
from primrosemill.decisions import wait_queue

SEED = 1
SLOTS = 3
COUNTS = (20, 200, 2_000)
ROUTES = 4_300
SERVICES = 500
CALLERS = 33_000
STEPS = 20_000
HOLD = 0.05  # seconds
BUSY_SHARE = 0.8
MICROSECONDS = 1e6


class Cost(typing.NamedTuple):
    """The mean and the 99th percentile of a decision in microseconds."""

    mean: float
    high: float


def time_each(call: typing.Callable[[int], object], steps: int) -> Cost:
    """Return what one call costs."""
    times = []
    for step in range(steps):
        started = time.perf_counter()
        call(step)
        times.append(time.perf_counter() - started)
    times.sort()
    mean = sum(times) / steps * MICROSECONDS
    return Cost(mean, times[steps * 99 // 100] * MICROSECONDS)


def build_service(count: int) -> documents.Service:
    """Return a service with a number of instances."""
    instances = tuple(
        documents.Instance(f"i-{each}", "127.0.0.1", 9, "d")
        for each in range(count)
    )
    return documents.Service(
        "s", 1, instances, (), SLOTS, 300, 0, 0.5, 0.0, 0.0, "/", 10.0
    )


def scan_choice(service: documents.Service) -> Cost:
    """Return the cost of the baseline: look at every instance."""
    generator = random.Random(SEED)
    busy_by_id = {each.id: 0 for each in service.instances}
    total = int(len(busy_by_id) * SLOTS * BUSY_SHARE)
    taken: list[str] = []

    def decide(step: int) -> None:
        best = min(
            (each.id for each in service.instances),
            key=lambda key: (busy_by_id[key], generator.random()),
        )
        busy_by_id[best] += 1
        taken.append(best)
        if len(taken) > total:
            busy_by_id[taken.pop(generator.randrange(total))] -= 1

    return time_each(decide, STEPS // len(busy_by_id) + total)


def pool_choice(service: documents.Service, share: float) -> Cost:
    """Return the cost of a request: a grant or a place, and a release.

    One answer in ten is a shed, so that back-offs are part of it.
    """
    generator = random.Random(SEED)
    made = dispatch.Dispatch(service, generator)
    count = len(service.instances)
    made.pool.set_ranks(
        {each.id: number % 3 for number, each in enumerate(service.instances)}
    )
    taken: list[str] = []
    total = int(count * SLOTS * share / 3) + 1

    def decide(step: int) -> None:
        now = step * HOLD / total
        wish = dispatch.SlotRequest(f"c-{step % 50}", now + 60.0)
        asked = made.request_slot(wish, now)
        if isinstance(asked, dispatch.Granted):
            taken.append(asked.instance.id)
        if len(taken) < total:
            return
        place = generator.randrange(len(taken))
        taken[place], taken[-1] = taken[-1], taken[place]
        end = (
            slot_pool.SlotOutcome.SHED
            if step % 10 == 0
            else slot_pool.SlotOutcome.ANSWERED
        )
        for woken in made.release(taken.pop(), HOLD, end, now):
            taken.append(woken.instance.id)

    return time_each(decide, STEPS)


def build_document() -> documents.Document:
    """Return a document with many routes, some with a host and methods."""
    services_by_name = {}
    per_service = ROUTES // SERVICES + 1
    left = ROUTES
    for number in range(SERVICES):
        listed = []
        for each in range(min(per_service, left)):
            host = f"host-{number % 40}.example" if each % 2 else ""
            methods = ("GET",) if each % 3 else ()
            prefix = f"/service-{number}/kind-{each}/part"
            listed.append(documents.Route(host, prefix, methods, True, 10.0))
        left -= len(listed)
        service = build_service(1)._replace(
            name=f"service-{number}", routes=tuple(listed)
        )
        services_by_name[service.name] = service
    empty = documents.empty_document("measure")
    return empty._replace(services_by_name=services_by_name)


def measure_routes() -> None:
    """Print the cost of lookups among many routes."""
    document = build_document()
    tracemalloc.start()
    started = time.perf_counter()
    table = routes.RouteTable(document)
    built = (time.perf_counter() - started) * 1e3
    size = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    every = [
        (service.name, route)
        for service in document.services_by_name.values()
        for route in service.routes
    ]
    generator = random.Random(SEED)
    generator.shuffle(every)

    def find(step: int) -> None:
        _, route = every[step % len(every)]
        raw = f"{route.path_prefix}/1/2/3/4".encode()
        path = paths.check_path(raw).ok
        table.find(route.host or "x", path, "GET")

    deep = b"/a" * 4_000

    def find_deep(step: int) -> None:
        table.find("x", paths.check_path(deep).ok, "GET")

    found, missed = time_each(find, STEPS), time_each(find_deep, 200)
    ambiguous = len(
        routes.find_ambiguities(document.services_by_name.values())
    )
    click.echo(
        f"{len(every)} routes: table {size:.1f} MB, built in {built:.0f} ms"
        f" (traced); lookup with check {found.mean:.1f} us, 99 %"
        f" {found.high:.1f}; a path of 4,000 segments {missed.mean:.0f} us;"
        f" {ambiguous} ambiguous"
    )


def measure_limits() -> None:
    """Print the cost and memory of the limits of all callers."""
    made = caller_limits.CallerLimits()
    limit = documents.Limit(100.0, 100)
    names = [f"caller-{number}" for number in range(CALLERS)]
    tracemalloc.start()
    for name in names:
        made.take("s", name, limit, 1.0, 0.0)
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    cost = time_each(
        lambda step: made.take("s", names[step], limit, 1.0, 0.001), STEPS
    )
    click.echo(
        f"{len(made)} callers: {size / 1e6:.1f} MB, {size / len(made):.0f}"
        f" bytes a caller; a decision {cost.mean:.1f} us, 99 %"
        f" {cost.high:.1f}"
    )


def measure_addresses() -> None:
    """Print the cost of an answer to the address question."""
    vms = [home_vms.Vm(f"vm-{each}", f"d{each % 9}") for each in range(690)]
    fleet = [addresses.Candidate(vm, f"{vm.id}:80") for vm in vms]
    cost = time_each(
        lambda step: addresses.answer(f"c-{step}", "d1", vms[:9], fleet, 30.0),
        500,
    )
    click.echo(f"address answer at 690 VMs: {cost.mean:.0f} us")


def measure_queue() -> None:
    """Print the cost of joining and leaving a full queue."""
    made = wait_queue.WaitQueue()

    def join(step: int) -> None:
        waiter = wait_queue.Waiter(step, f"c-{step % 2_000}", 1e9)
        made.enqueue(waiter, 0.0, 1e6)
        if step % 2:
            made.pop(0.0)

    cost = time_each(join, STEPS)
    click.echo(
        f"a full queue of {wait_queue.CAPACITY}: {cost.mean:.1f} us a request,"
        f" 99 % {cost.high:.1f}"
    )


@click.command()
def main() -> None:
    """Measure time per decision at 20, 200 and 2,000 instances."""
    click.echo(f"seed {SEED}; microseconds, mean and 99 % of one decision")
    click.echo("instances  scan of all   slot pool, 80 %   slot pool, 130 %")
    for count in COUNTS:
        service = build_service(count)
        scan = scan_choice(service)
        light, heavy = pool_choice(service, 0.8), pool_choice(service, 1.3)
        click.echo(
            f"{count:>9}{scan.mean:>7.1f}{scan.high:>7.1f}"
            f"{light.mean:>10.1f}{light.high:>7.1f}"
            f"{heavy.mean:>11.1f}{heavy.high:>7.1f}"
        )
    measure_queue()
    measure_limits()
    measure_addresses()
    measure_routes()
