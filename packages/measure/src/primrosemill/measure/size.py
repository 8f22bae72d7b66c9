"""Measures the cost of one VM's work by the size of the fleet.

Each row times the decision and fleet objects at one size, without I/O and in
one process: the choice of an instance, the choice of entry points, the
instances that the VM leads (fills first), the recipients of its reports, a
tick of the membership, and the batch that a joining VM pulls.
"""

import random
import time
import typing

import click
import msgspec

from primrosemill.configuration import document as documents
from primrosemill.decisions import entry_points
from primrosemill.decisions import home_vms
from primrosemill.decisions import instance_selection
from primrosemill.fleet import feed
from primrosemill.fleet import membership
from primrosemill.fleet import messages
from primrosemill.fleet import mirror

# Instances, VMs and services; the last row is the target size.
SIZES = (
    (250, 30, 2),
    (250, 100, 2),
    (250, 300, 2),
    (1_000, 300, 2),
    (2_500, 690, 50),
    (10_000, 690, 500),
)
DOMAINS = 5
SLOTS = 3
PORT = 7000
REPEATS = 200
IN_FLIGHT = 4  # requests of the VM at instances while it chooses
MICROSECONDS_PER_SECOND = 1_000_000.0


class Cost(typing.NamedTuple):
    """Processor times in microseconds, and the size of a batch in bytes."""

    choice: float
    entry_points: float
    led: float
    recipients: float
    tick: float
    batch_size: int


def measure(instances: int, vms: int, services: int, seed: int = 1) -> Cost:
    """Measure one VM's work at a size of the fleet."""
    members = _vms(vms)
    service_instances = _instances(instances // services)
    view = entry_points.FleetView(members, instances * SLOTS)
    points = entry_points.entry_points(view, members[0].domain)
    return Cost(
        _time_choice(service_instances, seed),
        _time(lambda: entry_points.entry_points(view, members[0].domain)),
        _time(
            lambda: entry_points.led_ids(members[0], points, service_instances)
        )
        * services,
        _time(
            lambda: entry_points.recipient_ids(
                view, members[0], members[1].domain
            )
        ),
        _time_tick(vms, seed),
        _batch_size(instances),
    )


def _vms(count: int) -> tuple[home_vms.Vm, ...]:
    return tuple(
        home_vms.Vm(f"vm-{number}", f"domain-{number % DOMAINS}")
        for number in range(count)
    )


def _instances(count: int) -> tuple[documents.Instance, ...]:
    return tuple(
        documents.Instance(
            f"i-{number}",
            "10.0.0.1",
            1 + number,
            f"domain-{number % DOMAINS}",
            slots=SLOTS,
        )
        for number in range(count)
    )


def _time(function: typing.Callable[[], object]) -> float:
    """Return the microseconds of a call, the fastest of three rounds."""
    times = []
    for _ in range(3):
        started = time.process_time()
        for _ in range(REPEATS // 10):
            function()
        times.append(time.process_time() - started)
    return min(times) / (REPEATS // 10) * MICROSECONDS_PER_SECOND


def _time_choice(
    instances: tuple[documents.Instance, ...], seed: int
) -> float:
    selector = instance_selection.InstanceSelector(
        "domain-0", random.Random(seed)
    )
    selector.set_instances(instances, 0.0)
    criteria = instance_selection.Criteria(True)
    for _ in range(IN_FLIGHT):
        selector.choose(criteria, 1.0)

    def choose() -> None:
        chosen = selector.choose(criteria, 1.0)
        if chosen is not None:
            selector.release(chosen.id, 1.0)

    return _time(choose)


def _time_tick(vms: int, seed: int) -> float:
    """Return the time of a tick that sends a probe in a stable fleet."""
    entries = [
        messages.Entry(
            f"vm-{number}",
            f"10.0.{number // 250}.{number % 250 + 1}",
            PORT,
            f"domain-{number % DOMAINS}",
            1,
            0,
        )
        for number in range(vms)
    ]
    view = membership.Membership(entries[0], (), random.Random(seed), 0.0)
    view.merge_table(entries[1:], 0.0)
    now = 0.0

    def tick() -> None:
        nonlocal now
        now += membership.PROBE_INTERVAL
        for outgoing in view.tick(now):
            if isinstance(outgoing.message, messages.Ping):
                target = view.table.members_by_id[outgoing.message.target_id]
                ack = messages.Ack(
                    outgoing.message.nonce,
                    target.entry,
                    view.version,
                    (),
                )
                view.receive(ack, now)

    return _time(tick)


def _batch_size(instances: int) -> int:
    """Return the size of the batch that a joining VM pulls."""
    items = tuple(
        feed.Item(f"servers/{each.id}", number, feed.Discovered("s", each))
        for number, each in enumerate(_instances(instances), 1)
    )
    replica = mirror.Mirror()
    replica.apply(feed.Batch(0, instances, items, whole=True), 0.0)
    return len(
        msgspec.msgpack.encode(replica.changes_since(feed.Position(), 0.0))
    )


@click.command()
@click.option("--seed", default=1, show_default=True)
def main(seed: int) -> None:
    """Print one row for each size; times in microseconds."""
    click.echo(
        "instances  vms services | choice  points     led    told   tick | "
        "batch bytes"
    )
    for instances, vms, services in SIZES:
        cost = measure(instances, vms, services, seed)
        click.echo(
            f"{instances:9} {vms:4} {services:8} | {cost.choice:6.0f} "
            f"{cost.entry_points:7.0f} {cost.led:7.0f} {cost.recipients:7.0f} "
            f"{cost.tick:6.0f} | {cost.batch_size:11}"
        )


if __name__ == "__main__":
    main()
