"""Measures the unit costs from which docs/CAPACITY.md is calculated.

A unit cost is that of one message, change or entry, measured on the code that
a VM runs. The totals that one VM spends on control at 36 and 690 VMs are
calculated from them and printed with their bounds. Processor times are those
of this machine.
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

DATAGRAM_COUNT = 2_000
LIVE_FLEET_SIZES = (2, 12, 36)
# Live fleets run for this long before the measurement and during it.
LIVE_DURATION = 5.0  # seconds
SERVICES = 500
INSTANCES = 20
# Home VMs of a service, the VMs to which its callers are directed. At the
# target there is one in each failure domain.
HOME_COUNT = 9
NAMING_SHARE = 0.1  # of the reports that name instances at any time
CHANGES_PER_DAY = 840
RESTARTS_PER_DAY = 1_800  # of VMs, over the fleet
SECONDS_PER_DAY = 86_400
MAX_CORE_SHARE = 0.018  # of a core
MAX_BYTE_RATE = 17_000  # bytes a second
MAX_MEMORY = 128  # MB
MAX_READ_RATE = 2_000  # reads a second over the fleet
MEGABYTE = 1_000_000
MICROSECONDS = 1_000_000


class UnitCosts(typing.NamedTuple):
    """Costs per unit, in seconds of processor time unless named otherwise.

    ``report`` is one evidence report with instances, and ``report_size`` and
    ``empty_report_size`` the bytes of one with and without instances. Other
    sizes are in bytes too. ``document_memory`` is in MB, ``member_memory`` in
    bytes. ``idle_node`` is the processor time of an idle node a second.
    """

    datagram: float
    report: float
    report_size: int
    empty_report_size: int
    whole_check: float
    change_check: float
    document_size: int
    change_size: int
    document_memory: float
    member_memory: float
    idle_node: float


def _processor_time(action: typing.Callable[[], typing.Any]) -> float:
    started = time.process_time()
    action()
    return time.process_time() - started


async def _exchange_datagrams(message: messages.Message) -> float:
    """Return the processor time to seal, send, receive and open a message."""
    key = wire.derive_key(b"key")
    sender = wire.Sender(spread_store.FLEET, "vm-1", 1)
    all_received = trio.Event()
    count = 0

    async def handle(received: wire.Received) -> None:
        nonlocal count
        count += 1
        if count == DATAGRAM_COUNT:
            all_received.set()

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
        for _ in range(DATAGRAM_COUNT):
            await links[0].send("127.0.0.1", links[1].port, message)
        with trio.move_on_after(5.0):
            await all_received.wait()
        elapsed = time.process_time() - started
        nursery.cancel_scope.cancel()
    for link in links:
        link.close()
    return elapsed / max(1, count)


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


async def _measure_idle_node(size: int) -> float:
    """Return the processor time of one idle node of a fleet a second."""
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
            fleet_node = node.Node(
                identity,
                peers,
                node.Platform(store),
                node.Hooks(_ignore),
                random.Random(number),
            )
            port = await nursery.start(fleet_node.run)
            if not peers:
                peers = (fleet_membership.Peer("127.0.6.1", port),)
        await trio.sleep(LIVE_DURATION)
        started = time.process_time()
        await trio.sleep(LIVE_DURATION)
        elapsed = time.process_time() - started
        nursery.cancel_scope.cancel()
    return elapsed / LIVE_DURATION / size


def _member_memory() -> float:
    """Return the bytes that each member takes in a VM's view of the fleet."""
    tracemalloc.start()
    fleet = membership.build_settled_fleet(2, 1, 0.0)
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


def _measure_unit_costs(
    seed: int, idle_cost_by_size: dict[int, float]
) -> UnitCosts:
    entry = messages.Entry("vm-1", "10.0.0.1", 7000, "domain-1", 1, 0)
    version = messages.VersionInForce(1, b"1" * 16)
    ping = messages.Ping(1, "vm-2", 1, entry, version, ())
    timed_report = messages.TimedReport(1, _report("service-1"))
    batch = messages.EvidenceBatch(1, (timed_report,))
    sealer = wire.Sealer(wire.Sender("target", "vm-123", 1), b"k" * 32)
    report_size = len(sealer.seal(batch)) + networks.UDP_HEADER_SIZE
    empty_report = timed_report._replace(
        report=timed_report.report._replace(instances=())
    )
    sealed = sealer.seal(messages.EvidenceBatch(1, (empty_report,)))
    empty_report_size = len(sealed) + networks.UDP_HEADER_SIZE
    plan = document.build_plan(random.Random(seed))
    first = publication.prepare(plan).ok
    in_force = document.assemble(first)
    change = document.build_changes(plan)[0]
    changed = publication.prepare(change.plan, in_force).ok
    whole_check = _processor_time(lambda: document.assemble(first))
    change_check = _processor_time(
        lambda: document.assemble(changed, in_force)
    )
    copies_by_key = {
        key: bytes(bytearray(value))
        for key, value in first.values_by_key.items()
    }
    tracemalloc.start()
    assembled = assembly.assemble(
        copies_by_key[values.INDEX_KEY], copies_by_key
    ).ok
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    size = sum(map(len, assembled.values_by_key.values()))
    return UnitCosts(
        trio.run(_exchange_datagrams, ping),
        trio.run(_exchange_datagrams, batch),
        report_size,
        empty_report_size,
        whole_check,
        change_check,
        size,
        sum(map(len, changed.changed_by_key.values())),
        (memory + size) / MEGABYTE,
        _member_memory(),
        idle_cost_by_size[max(idle_cost_by_size)],
    )


def _print_unit_costs(
    costs: UnitCosts, idle_cost_by_size: dict[int, float]
) -> None:
    rows = [
        ("heartbeat, both ends", f"{costs.datagram * 1e6:.0f} us"),
        ("evidence batch, both ends", f"{costs.report * 1e6:.0f} us"),
        ("evidence of two instances", f"{costs.report_size} bytes"),
        ("evidence of none", f"{costs.empty_report_size} bytes"),
        ("document", f"{costs.document_size} bytes"),
        ("check of the whole document", f"{costs.whole_check * 1e3:.0f} ms"),
        ("check of a changed service", f"{costs.change_check * 1e3:.1f} ms"),
        ("values of a changed service", f"{costs.change_size} bytes"),
        ("document and values held", f"{costs.document_memory:.1f} MB"),
        ("a member in the view", f"{costs.member_memory:.0f} bytes"),
    ]
    for size, cost in idle_cost_by_size.items():
        share = f"{cost * 100:.2f} % of a core"
        rows.append((f"an idle node among {size}", share))
    for name, value in rows:
        click.echo(f"{name:30} {value:>20}")


def _print_totals(size: int, seed: int, costs: UnitCosts) -> None:
    """Print one VM's total costs of control at a fleet size.

    Control is everything but the requests of callers.
    """
    services = SERVICES if size > 100 else 2
    homes = HOME_COUNT if size > 100 else 3
    fleet = membership.build_settled_fleet(size, seed, 0.05)
    traffic, _ = membership.measure_traffic(fleet)
    pairs = services * homes / size * (homes - 1)
    naming_rate = pairs * NAMING_SHARE / evidence_outbox.REFRESH_INTERVAL
    empty_rate = (
        pairs * (1 - NAMING_SHARE) / evidence_outbox.EMPTY_REFRESH_INTERVAL
    )
    report_rate = naming_rate + empty_rate
    evidence_size = (
        naming_rate * costs.report_size + empty_rate * costs.empty_report_size
    )
    heartbeat_time = traffic.messages * costs.datagram
    evidence_time = report_rate * costs.report
    check_time = CHANGES_PER_DAY / SECONDS_PER_DAY * costs.change_check
    core_share = costs.idle_node + evidence_time + check_time
    change_bytes = CHANGES_PER_DAY / SECONDS_PER_DAY * costs.change_size
    restart_bytes = (
        RESTARTS_PER_DAY / SECONDS_PER_DAY / size * costs.document_size
    )
    sent_bytes = traffic.size + evidence_size + change_bytes + restart_bytes
    memory = costs.document_memory + size * costs.member_memory / MEGABYTE
    watchers = store_watch_policy.target_watcher_count(size)
    read_rate = watchers / 10.0 + size / store_watch_policy.vm_list_interval(
        size
    )
    click.echo(f"at {size} VMs, {services} services, {homes} homes each:")
    click.echo(
        f"  heartbeats {traffic.messages:.1f}/s "
        f"of {heartbeat_time * 1e6:.0f} us/s, "
        f"{traffic.size:.0f} bytes/s sent"
    )
    click.echo(
        f"  evidence {report_rate:.1f}/s of {evidence_time * 1e6:.0f} us/s, "
        f"{evidence_size:.0f} bytes/s sent"
    )
    click.echo(
        f"  sum: {core_share * 100:.2f} % of a core (bound "
        f"{MAX_CORE_SHARE * 100:.1f}), {2 * sent_bytes:.0f} bytes/s both ways "
        f"(bound {MAX_BYTE_RATE}), {memory:.1f} MB of fleet state "
        f"(bound {MAX_MEMORY} for all)"
    )
    click.echo(
        f"  store: {watchers} watchers, {read_rate:.1f} reads/s when quiet, "
        f"{watchers * 3} at a change (bound {MAX_READ_RATE}/s)"
    )


@click.command()
@click.option("--seed", default=1, show_default=True)
def main(seed: int) -> None:
    """Print the unit costs, and the totals at 36 and 690 VMs."""
    idle_cost_by_size = {
        size: trio.run(_measure_idle_node, size) for size in LIVE_FLEET_SIZES
    }
    costs = _measure_unit_costs(seed, idle_cost_by_size)
    _print_unit_costs(costs, idle_cost_by_size)
    for size in (36, 690):
        _print_totals(size, seed, costs)
