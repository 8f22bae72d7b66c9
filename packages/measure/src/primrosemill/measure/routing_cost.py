"""Measures the time and memory of routing decisions on one VM."""

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
INSTANCE_COUNTS = (20, 200, 2_000)
ROUTE_COUNT = 4_300
SERVICE_COUNT = 500
CALLER_COUNT = 33_000
DECISION_COUNT = 20_000
HOLD_TIME = 0.05  # seconds that an attempt holds a slot
BUSY_SHARE = 0.8  # of the slots, while the baseline is measured
MICROSECONDS_PER_SECOND = 1e6


class Cost(typing.NamedTuple):
    """The mean and 99th percentile of a decision's time in microseconds."""

    mean: float
    p99: float


def time_each(
    function: typing.Callable[[int], object], call_count: int
) -> Cost:
    """Return the cost of a call of a function.

    The function gets the number of the call.
    """
    times = []
    for step in range(call_count):
        started = time.perf_counter()
        function(step)
        times.append(time.perf_counter() - started)
    times.sort()
    mean = sum(times) / call_count * MICROSECONDS_PER_SECOND
    return Cost(mean, times[call_count * 99 // 100] * MICROSECONDS_PER_SECOND)


def build_service(count: int) -> documents.Service:
    """Return a service with a number of instances."""
    instances = tuple(
        documents.Instance(f"i-{each}", "127.0.0.1", 9, "d")
        for each in range(count)
    )
    return documents.Service(
        "s", 1, instances, (), SLOTS, 300, 0, 0.5, 0.0, 0.0, "/", 10.0
    )


def measure_scan(service: documents.Service) -> Cost:
    """Return the cost of the baseline, which examines every instance."""
    generator = random.Random(SEED)
    busy_by_id = {each.id: 0 for each in service.instances}
    busy_slots = int(len(busy_by_id) * SLOTS * BUSY_SHARE)
    taken_ids: list[str] = []

    def decide(step: int) -> None:
        chosen_id = min(
            (each.id for each in service.instances),
            key=lambda key: (busy_by_id[key], generator.random()),
        )
        busy_by_id[chosen_id] += 1
        taken_ids.append(chosen_id)
        if len(taken_ids) > busy_slots:
            busy_by_id[taken_ids.pop(generator.randrange(busy_slots))] -= 1

    return time_each(decide, DECISION_COUNT // len(busy_by_id) + busy_slots)


def measure_pool(service: documents.Service, load_share: float) -> Cost:
    """Return the cost of a request: a grant or a queue place, and a release.

    The VM is the lead of a third of the instances, the one that fills their
    slots first, and gets a third of a load of ``load_share`` of all slots. One
    attempt in ten is shed, so that the cost includes backoffs.
    """
    generator = random.Random(SEED)
    dispatcher = dispatch.Dispatch(service, generator)
    count = len(service.instances)
    dispatcher.pool.set_ranks(
        {each.id: number % 3 for number, each in enumerate(service.instances)}
    )
    taken_ids: list[str] = []
    busy_slots = int(count * SLOTS * load_share / 3) + 1

    def decide(step: int) -> None:
        now = step * HOLD_TIME / busy_slots
        slot_request = dispatch.SlotRequest(f"c-{step % 50}", now + 60.0)
        decision = dispatcher.request_slot(slot_request, now)
        if isinstance(decision, dispatch.Granted):
            taken_ids.append(decision.instance.id)
        if len(taken_ids) < busy_slots:
            return
        index = generator.randrange(len(taken_ids))
        taken_ids[index], taken_ids[-1] = taken_ids[-1], taken_ids[index]
        outcome = (
            slot_pool.SlotOutcome.SHED
            if step % 10 == 0
            else slot_pool.SlotOutcome.ANSWERED
        )
        for wakeup in dispatcher.release(
            taken_ids.pop(), HOLD_TIME, outcome, now
        ):
            taken_ids.append(wakeup.instance.id)

    return time_each(decide, DECISION_COUNT)


def build_document() -> documents.Document:
    """Return a document of many routes, some with a host or methods."""
    services_by_name = {}
    routes_per_service = ROUTE_COUNT // SERVICE_COUNT + 1
    remaining = ROUTE_COUNT
    for number in range(SERVICE_COUNT):
        service_routes = []
        for kind in range(min(routes_per_service, remaining)):
            host = f"host-{number % 40}.example" if kind % 2 else ""
            methods = ("GET",) if kind % 3 else ()
            prefix = f"/service-{number}/kind-{kind}/part"
            service_routes.append(
                documents.Route(host, prefix, methods, True, 10.0)
            )
        remaining -= len(service_routes)
        service = build_service(1)._replace(
            name=f"service-{number}", routes=tuple(service_routes)
        )
        services_by_name[service.name] = service
    empty = documents.empty_document("measure")
    return empty._replace(services_by_name=services_by_name)


def measure_routes() -> None:
    """Print the cost of a route table and of lookups in it."""
    document = build_document()
    tracemalloc.start()
    started = time.perf_counter()
    table = routes.RouteTable(document)
    build_time = (time.perf_counter() - started) * 1e3
    size = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    named_routes = [
        (service.name, route)
        for service in document.services_by_name.values()
        for route in service.routes
    ]
    generator = random.Random(SEED)
    generator.shuffle(named_routes)

    def find_route(step: int) -> None:
        _, route = named_routes[step % len(named_routes)]
        raw_path = f"{route.path_prefix}/1/2/3/4".encode()
        path = paths.check_path(raw_path).ok
        table.find(route.host or "x", path, "GET")

    deep_path = b"/a" * 4_000

    def find_deep_route(step: int) -> None:
        table.find("x", paths.check_path(deep_path).ok, "GET")

    lookup, deep_lookup = (
        time_each(find_route, DECISION_COUNT),
        time_each(find_deep_route, 200),
    )
    ambiguous = len(
        routes.find_ambiguities(document.services_by_name.values())
    )
    click.echo(
        f"{len(named_routes)} routes: table {size:.1f} MB,"
        f" built in {build_time:.0f} ms (traced); lookup with check"
        f" {lookup.mean:.1f} us, 99 % {lookup.p99:.1f};"
        f" a path of 4,000 segments {deep_lookup.mean:.0f} us;"
        f" {ambiguous} ambiguous"
    )


def measure_limits() -> None:
    """Print the cost and memory of the rate limits of all callers."""
    limits = caller_limits.CallerLimits()
    limit = documents.Limit(100.0, 100)
    caller_ids = [f"caller-{number}" for number in range(CALLER_COUNT)]
    tracemalloc.start()
    for caller_id in caller_ids:
        limits.take("s", caller_id, limit, 1.0, 0.0)
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    cost = time_each(
        lambda step: limits.take("s", caller_ids[step], limit, 1.0, 0.001),
        DECISION_COUNT,
    )
    click.echo(
        f"{len(limits)} callers: {size / 1e6:.1f} MB, {size / len(limits):.0f}"
        f" bytes a caller; a decision {cost.mean:.1f} us, 99 %"
        f" {cost.p99:.1f}"
    )


def measure_addresses() -> None:
    """Print the cost of answering which VMs a caller should use."""
    vms = [home_vms.Vm(f"vm-{each}", f"d{each % 9}") for each in range(690)]
    fleet = [addresses.Candidate(vm, f"{vm.id}:80") for vm in vms]
    cost = time_each(
        lambda step: addresses.answer(f"c-{step}", "d1", vms[:9], fleet, 30.0),
        500,
    )
    click.echo(f"address answer at 690 VMs: {cost.mean:.0f} us")


def measure_queue() -> None:
    """Print the cost of enqueuing and dequeuing at a full queue."""
    queue = wait_queue.WaitQueue()

    def enqueue(step: int) -> None:
        waiter = wait_queue.Waiter(step, f"c-{step % 2_000}", 1e9)
        queue.enqueue(waiter, 0.0, 1e6)
        if step % 2:
            queue.pop(0.0)

    cost = time_each(enqueue, DECISION_COUNT)
    click.echo(
        f"a full queue of {wait_queue.CAPACITY}: {cost.mean:.1f} us a request,"
        f" 99 % {cost.p99:.1f}"
    )


@click.command()
def main() -> None:
    """Measure time per decision at 20, 200 and 2,000 instances."""
    click.echo(f"seed {SEED}; microseconds, mean and 99 % of one decision")
    click.echo("instances  scan of all   slot pool, 80 %   slot pool, 130 %")
    for count in INSTANCE_COUNTS:
        service = build_service(count)
        scan = measure_scan(service)
        light, heavy = measure_pool(service, 0.8), measure_pool(service, 1.3)
        click.echo(
            f"{count:>9}{scan.mean:>7.1f}{scan.p99:>7.1f}"
            f"{light.mean:>10.1f}{light.p99:>7.1f}"
            f"{heavy.mean:>11.1f}{heavy.p99:>7.1f}"
        )
    measure_queue()
    measure_limits()
    measure_addresses()
    measure_routes()
