"""Measures detection, messages and bytes of membership, against baselines.

The pure protocol runs in memory, every message sealed as on the wire. The
baseline is a heartbeat to every VM in each second, its cost reckoned from
the cost of a message measured in the same run.
"""

import random
import time
import typing

import click

from primrosemill.fleet import members
from primrosemill.fleet import membership
from primrosemill.measure import membership_network as networks

SETTLE_SECONDS = 5.0
MEASURED_SECONDS = 5.0
WATCH_STEP = 0.1  # seconds
WATCH_SECONDS = 8.0
FIRST_PEERS = 3
DOMAINS = 9
PORT = 7000
MICROSECONDS = 1_000_000


class Fleet(typing.NamedTuple):
    """A settled fleet in memory."""

    network: networks.Network
    ids: tuple[str, ...]


class Detection(typing.NamedTuple):
    """When the first, the median and the last VM held the dead ones gone."""

    first: float
    median: float
    last: float
    missing: int
    false: int


def ip_of(number: int) -> str:
    """Return the made-up address of a VM."""
    return f"10.0.{number // 250}.{number % 250 + 1}"


def build(size: int, seed: int, loss: float) -> Fleet:
    """Start a fleet whose VMs know each other, and let it settle."""
    network = networks.Network(random.Random(seed), loss)
    first = tuple(
        membership.Peer(ip_of(number), PORT) for number in range(FIRST_PEERS)
    )
    ids = tuple(f"vm-{number}" for number in range(size))
    for number, vm_id in enumerate(ids):
        domain = f"domain-{number % DOMAINS}"
        network.add(vm_id, ip_of(number), domain, first)
    entries = [each.membership.own for each in network.nodes_by_id.values()]
    for node in network.nodes_by_id.values():
        node.membership.merge_table(entries, network.now)
    network.run(SETTLE_SECONDS)
    return Fleet(network, ids)


def measure_traffic(fleet: Fleet) -> tuple[networks.Traffic, float]:
    """Return messages and bytes a VM sends a second, and processor us."""
    network = fleet.network
    before = dict(network.traffic_by_id)
    started = time.process_time()
    network.run(MEASURED_SECONDS)
    spent = time.process_time() - started
    scale = len(fleet.ids) * MEASURED_SECONDS
    counts = sum(
        network.traffic_by_id[vm_id].messages - before[vm_id].messages
        for vm_id in fleet.ids
    )
    size = sum(
        network.traffic_by_id[vm_id].size - before[vm_id].size
        for vm_id in fleet.ids
    )
    traffic = networks.Traffic(counts / scale, size / scale)
    return traffic, spent / scale * MICROSECONDS


def measure_detection(fleet: Fleet, dead: tuple[str, ...]) -> Detection:
    """Kill VMs and return when the others hold all of them gone."""
    network = fleet.network
    for vm_id in dead:
        network.remove(vm_id)
    started = network.now
    times_by_id: dict[str, float] = {}
    while network.now < started + WATCH_SECONDS:
        network.run(WATCH_STEP)
        for vm_id, node in network.nodes_by_id.items():
            if vm_id not in times_by_id and _holds_gone(node, dead):
                times_by_id[vm_id] = network.now - started
    times = sorted(times_by_id.values())
    return Detection(
        times[0],
        times[len(times) // 2],
        times[-1],
        len(network.nodes_by_id) - len(times),
        _false_views(network, dead),
    )


def _holds_gone(node: networks.Node, dead: tuple[str, ...]) -> bool:
    return all(
        node.membership.state_of(vm_id) is members.State.GONE for vm_id in dead
    )


def _false_views(network: networks.Network, dead: tuple[str, ...]) -> int:
    """Count the views that hold a running VM gone."""
    return sum(
        member.state is members.State.GONE and vm_id not in dead
        for node in network.nodes_by_id.values()
        for vm_id, member in node.membership.table.members_by_id.items()
    )


@click.command()
@click.option("--seed", default=1, show_default=True)
@click.option("--size", "sizes", multiple=True, default=(36, 690), type=int)
@click.option("--loss", "losses", multiple=True, default=(0.0, 0.05))
def main(seed: int, sizes: tuple[int, ...], losses: tuple[float, ...]) -> None:
    """Print one row for each fleet size, loss and kind of failure."""
    click.echo(
        "vms loss failed | sent msg/s  bytes/s  cpu us/s | "
        "first median last s | missing false"
    )
    for size in sizes:
        for loss in losses:
            for share in (1, DOMAINS):
                fleet = build(size, seed, loss)
                traffic, spent = measure_traffic(fleet)
                dead = fleet.ids[4 : 5 if share == 1 else size : DOMAINS]
                found = measure_detection(fleet, dead)
                click.echo(
                    f"{size:3} {loss:4.2f} {len(dead):4} | "
                    f"{traffic.messages:5.1f} {traffic.size:8.0f} "
                    f"{spent:8.0f} | {found.first:4.1f} {found.median:4.1f} "
                    f"{found.last:4.1f} | {found.missing} {found.false}"
                )
                _print_baseline(size, traffic, spent)


def _print_baseline(
    size: int, traffic: networks.Traffic, spent: float
) -> None:
    """Print what a heartbeat to every VM in each second would cost."""
    count = size - 1
    bytes_each = traffic.size / traffic.messages
    spent_each = spent / traffic.messages
    click.echo(
        f"    a heartbeat a second to all: {count} msg/s, "
        f"{count * bytes_each:.0f} bytes/s, {count * spent_each:.0f} us/s"
    )
