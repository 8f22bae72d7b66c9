"""Measures what one VM's work costs as VMs and instances grow in number.

Each row times the pure objects at one size, in one process: the choice of an
instance, the entry points with what this VM leads, the list of those who are
told of news, a tick of the membership, and a batch for a VM that joins.
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

# Instances, VMs and services, up to the users' target.
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
BUSY = 4  # requests that a VM has at instances while it chooses
MICROSECONDS = 1_000_000.0


class Cost(typing.NamedTuple):
    """Processor time in microseconds, and the bytes of a batch."""

    choice: float
    points: float
    led: float
    told: float
    tick: float
    batch_size: int


def measure(instances: int, vms: int, services: int, seed: int = 1) -> Cost:
    """Time one VM's work at a size."""
    members = _vms(vms)
    each_service = _instances(instances // services)
    view = entry_points.FleetView(members, instances * SLOTS)
    points = entry_points.entry_points(view, members[0].domain)
    return Cost(
        _time_choice(each_service, seed),
        _time(lambda: entry_points.entry_points(view, members[0].domain)),
        _time(lambda: entry_points.led_ids(members[0], points, each_service))
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


def _time(work: typing.Callable[[], object]) -> float:
    """Return the microseconds of one call, the least of three rounds."""
    found = []
    for _ in range(3):
        started = time.process_time()
        for _ in range(REPEATS // 10):
            work()
        found.append(time.process_time() - started)
    return min(found) / (REPEATS // 10) * MICROSECONDS


def _time_choice(
    instances: tuple[documents.Instance, ...], seed: int
) -> float:
    made = instance_selection.InstanceSelector("domain-0", random.Random(seed))
    made.set_instances(instances, 0.0)
    need = instance_selection.Criteria(True)
    for _ in range(BUSY):
        made.choose(need, 1.0)

    def choose() -> None:
        chosen = made.choose(need, 1.0)
        if chosen is not None:
            made.release(chosen.id, 1.0)

    return _time(choose)


def _time_tick(vms: int, seed: int) -> float:
    """Return the time of a tick that probes, with the fleet settled."""
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
        for each in view.tick(now):
            if isinstance(each.message, messages.Ping):
                target = view.table.members_by_id[each.message.target_id]
                ack = messages.Ack(
                    each.message.nonce, target.entry, view.version, ()
                )
                view.receive(ack, now)

    return _time(tick)


def _batch_size(instances: int) -> int:
    """Return the bytes that a VM pulls which joins the fleet."""
    items = tuple(
        feed.Item(f"servers/{each.id}", number, feed.Discovered("s", each))
        for number, each in enumerate(_instances(instances), 1)
    )
    held = mirror.Mirror()
    held.apply(feed.Batch(0, instances, items, whole=True), 0.0)
    return len(
        msgspec.msgpack.encode(held.changes_since(feed.Position(), 0.0))
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
            f"{cost.points:7.0f} {cost.led:7.0f} {cost.told:7.0f} "
            f"{cost.tick:6.0f} | {cost.batch_size:11}"
        )


if __name__ == "__main__":
    main()
