"""Measures the slopes from which docs/CAPACITY.md is worked out.

Each line is a cost for one message, one change or one entry, measured on
the code that a VM runs; the sums at 36 and 690 VMs follow from them beside
their bounds. Processor times are those of this machine.
"""

import random
import time
import tracemalloc
import typing

import click
import trio

from primrosemill.configuration import assembly
from primrosemill.configuration import values
from primrosemill.decisions import evidence
from primrosemill.decisions import standings
from primrosemill.fleet import evidence_outbox
from primrosemill.fleet import membership as fleet_membership
from primrosemill.fleet import messages
from primrosemill.fleet import node
from primrosemill.fleet import store_watch_policy
from primrosemill.fleet import transport
from primrosemill.fleet import wire
from primrosemill.measure import document
from primrosemill.measure import membership
from primrosemill.measure import membership_network as networks
from primrosemill.measure import spread_store
from primrosemill.publish import publication

ROUNDS = 2_000
LIVE_SIZES = (2, 12, 36)
LIVE_SECONDS = 5.0
SERVICES = 500
INSTANCES = 20
HOMES = 9  # of a service: one in each failure domain at the target
NAMING_SHARE = 0.1  # of the reports that name instances at any time
CHANGES = 840  # a day
RESTARTS = 1_800  # a day
DAY = 86_400  # seconds
CORE_BOUND = 0.018  # of a core
BYTE_BOUND = 17_000  # bytes a second
MEMORY_BOUND = 128  # MB
READ_BOUND = 2_000  # reads a second over the fleet
MEGABYTE = 1_000_000
MICROSECONDS = 1_000_000


class Slopes(typing.NamedTuple):
    """Costs of one of each; seconds of processor time, bytes and MB."""

    datagram: float
    report: float
    report_size: int
    quiet_size: int
    whole_check: float
    change_check: float
    document_size: int
    change_size: int
    document_memory: float
    member_memory: float
    idle: float


def _processor_time(action: typing.Callable[[], typing.Any]) -> float:
    started = time.process_time()
    action()
    return time.process_time() - started


async def _exchange_datagrams(message: messages.Message) -> float:
    """Return the processor time to seal, send, receive and open one."""
    key = wire.derive_key(b"key")
    sender = wire.Sender(spread_store.FLEET, "vm-1", 1)
    arrived = trio.Event()
    count = 0

    async def handle(received: wire.Received) -> None:
        nonlocal count
        count += 1
        if count == ROUNDS:
            arrived.set()

    links = []
    for vm_id in ("vm-1", "vm-2"):
        sealer = wire.Sealer(sender, key)
        opener = wire.Opener(spread_store.FLEET, vm_id, key)
        link = transport.Transport("127.0.0.1", sealer, opener, _ignore)
        await link.bind(0)
        links.append(link)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(links[1].receive, handle)
        started = time.process_time()
        for _ in range(ROUNDS):
            await links[0].send("127.0.0.1", links[1].port, message)
        with trio.move_on_after(5.0):
            await arrived.wait()
        spent = time.process_time() - started
        nursery.cancel_scope.cancel()
    for link in links:
        link.close()
    return spent / max(1, count)


def _ignore(_: typing.Any) -> None:
    pass


def _report(service: str) -> evidence.Report:
    instances = tuple(
        evidence.InstanceEvidence(
            f"instance-{number}", 1.5, 20, standings.State.IN_ROTATION
        )
        for number in range(2)
    )
    return evidence.Report("vm-123", "domain-1", service, instances)


async def _live_cost(size: int) -> float:
    """Return the processor time of one idle node a second."""
    store = spread_store.MemoryStore()
    store.publish_version(1)
    peers: tuple[fleet_membership.Peer, ...] = ()
    async with trio.open_nursery() as nursery:
        for number in range(size):
            identity = node.Identity(
                spread_store.FLEET,
                f"vm-{number}",
                f"127.0.6.{number + 1}",
                0,
                "domain-0",
                1,
            )
            made = node.Node(
                identity,
                peers,
                node.Platform(store),
                node.Hooks(_ignore),
                random.Random(number),
            )
            port = await nursery.start(made.run)
            if not peers:
                peers = (fleet_membership.Peer("127.0.6.1", port),)
        await trio.sleep(LIVE_SECONDS)
        started = time.process_time()
        await trio.sleep(LIVE_SECONDS)
        spent = time.process_time() - started
        nursery.cancel_scope.cancel()
    return spent / LIVE_SECONDS / size


def _member_memory() -> float:
    """Return the bytes that one more member takes in a view."""
    tracemalloc.start()
    fleet = membership.build(2, 1, 0.0)
    view = fleet.network.nodes_by_id["vm-0"].membership
    before = tracemalloc.get_traced_memory()[0]
    count = 690
    view.merge_table(
        [
            messages.Entry(
                f"other-{number}",
                f"10.9.{number // 250}.{number % 250}",
                7000,
                f"domain-{number % 9}",
                1,
                0,
            )
            for number in range(count)
        ],
        0.0,
    )
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return (after - before) / count


def _measure_slopes(seed: int, live_costs: dict[int, float]) -> Slopes:
    entry = messages.Entry("vm-1", "10.0.0.1", 7000, "domain-1", 1, 0)
    version = messages.VersionInForce(1, b"1" * 16)
    ping = messages.Ping(1, "vm-2", 1, entry, version, ())
    stamped = messages.TimedReport(1, _report("service-1"))
    batch = messages.EvidenceBatch(1, (stamped,))
    sealer = wire.Sealer(wire.Sender("target", "vm-123", 1), b"k" * 32)
    report_size = len(sealer.seal(batch)) + networks.UDP_HEADER_SIZE
    quiet = stamped._replace(report=stamped.report._replace(instances=()))
    sealed = sealer.seal(messages.EvidenceBatch(1, (quiet,)))
    quiet_size = len(sealed) + networks.UDP_HEADER_SIZE
    plan = document.build_plan(random.Random(seed))
    first = publication.prepare(plan).ok
    in_force = document.assemble(first)
    change = document.build_changes(plan)[0]
    later = publication.prepare(change.plan, in_force).ok
    whole = _processor_time(lambda: document.assemble(first))
    changed = _processor_time(lambda: document.assemble(later, in_force))
    copied = {
        key: bytes(bytearray(value))
        for key, value in first.values_by_key.items()
    }
    tracemalloc.start()
    kept = assembly.assemble(copied[values.INDEX_KEY], copied).ok
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    size = sum(map(len, kept.values_by_key.values()))
    return Slopes(
        trio.run(_exchange_datagrams, ping),
        trio.run(_exchange_datagrams, batch),
        report_size,
        quiet_size,
        whole,
        changed,
        size,
        sum(map(len, later.changed_by_key.values())),
        (memory + size) / MEGABYTE,
        _member_memory(),
        live_costs[max(live_costs)],
    )


def _print_slopes(slopes: Slopes, live_costs: dict[int, float]) -> None:
    rows = [
        ("heartbeat, both ends", f"{slopes.datagram * 1e6:.0f} us"),
        ("evidence batch, both ends", f"{slopes.report * 1e6:.0f} us"),
        ("evidence of two instances", f"{slopes.report_size} bytes"),
        ("evidence of none", f"{slopes.quiet_size} bytes"),
        ("document", f"{slopes.document_size} bytes"),
        ("check of the whole document", f"{slopes.whole_check * 1e3:.0f} ms"),
        ("check of a changed service", f"{slopes.change_check * 1e3:.1f} ms"),
        ("values of a changed service", f"{slopes.change_size} bytes"),
        ("document and values held", f"{slopes.document_memory:.1f} MB"),
        ("a member in the view", f"{slopes.member_memory:.0f} bytes"),
    ]
    for size, cost in live_costs.items():
        share = f"{cost * 100:.2f} % of a core"
        rows.append((f"an idle node among {size}", share))
    for name, value in rows:
        click.echo(f"{name:30} {value:>20}")


def _print_sums(size: int, seed: int, slopes: Slopes) -> None:
    """Print what one VM spends on control at a fleet size."""
    services = SERVICES if size > 100 else 2
    homes = HOMES if size > 100 else 3
    fleet = membership.build(size, seed, 0.05)
    traffic, _ = membership.measure_traffic(fleet)
    pairs = services * homes / size * (homes - 1)
    naming = pairs * NAMING_SHARE / evidence_outbox.REFRESH_INTERVAL
    quiet = pairs * (1 - NAMING_SHARE) / evidence_outbox.EMPTY_REFRESH_INTERVAL
    reports = naming + quiet
    evidence_size = naming * slopes.report_size + quiet * slopes.quiet_size
    beats = traffic.messages * slopes.datagram
    evidence_time = reports * slopes.report
    checks = CHANGES / DAY * slopes.change_check
    core = slopes.idle + evidence_time + checks
    pulled = CHANGES / DAY * slopes.change_size
    restarts = RESTARTS / DAY / size * slopes.document_size
    sent = traffic.size + evidence_size + pulled + restarts
    memory = slopes.document_memory + size * slopes.member_memory / MEGABYTE
    watchers = store_watch_policy.target_watcher_count(size)
    reads = watchers / 10.0 + size / store_watch_policy.vm_list_interval(size)
    click.echo(f"at {size} VMs, {services} services, {homes} homes each:")
    click.echo(
        f"  heartbeats {traffic.messages:.1f}/s of {beats * 1e6:.0f} us/s, "
        f"{traffic.size:.0f} bytes/s sent"
    )
    click.echo(
        f"  evidence {reports:.1f}/s of {evidence_time * 1e6:.0f} us/s, "
        f"{evidence_size:.0f} bytes/s sent"
    )
    click.echo(
        f"  sum: {core * 100:.2f} % of a core (bound "
        f"{CORE_BOUND * 100:.1f}), {2 * sent:.0f} bytes/s both ways "
        f"(bound {BYTE_BOUND}), {memory:.1f} MB of fleet state "
        f"(bound {MEMORY_BOUND} for all)"
    )
    click.echo(
        f"  store: {watchers} watchers, {reads:.1f} reads/s when quiet, "
        f"{watchers * 3} at a change (bound {READ_BOUND}/s)"
    )


@click.command()
@click.option("--seed", default=1, show_default=True)
def main(seed: int) -> None:
    """Print the slopes, and the sums at 36 and 690 VMs."""
    live_costs = {size: trio.run(_live_cost, size) for size in LIVE_SIZES}
    slopes = _measure_slopes(seed, live_costs)
    _print_slopes(slopes, live_costs)
    for size in (36, 690):
        _print_sums(size, seed, slopes)
