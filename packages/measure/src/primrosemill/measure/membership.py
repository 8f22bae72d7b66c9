"""Measures detection times and traffic of membership against heartbeats.

The protocol runs in memory without I/O, with every message sealed as on the
wire. The baseline is a heartbeat to every VM each second. Its cost is
computed from the cost of a message measured in the same run.
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
DETECTION_STEP = 0.1  # seconds
DETECTION_TIMEOUT = 8.0
FIRST_PEER_COUNT = 3
DOMAIN_COUNT = 9
PORT = 7000
MICROSECONDS_PER_SECOND = 1_000_000


class Fleet(typing.NamedTuple):
    """A fleet in memory whose VMs all know each other."""

    network: networks.Network
    ids: tuple[str, ...]


class Detection(typing.NamedTuple):
    """How the running VMs detected the failed ones.

    The times are the seconds until the first, the median and the last VM
    considered all failed VMs gone. ``missing`` VMs did not within the timeout.
    ``false_views`` counts the views in which a running VM is gone.
    """

    first: float
    median: float
    last: float
    missing: int
    false_views: int


def ip_of(number: int) -> str:
    """Return the address of a VM in the simulated network."""
    return f"10.0.{number // 250}.{number % 250 + 1}"


def build_settled_fleet(size: int, seed: int, loss: float) -> Fleet:
    """Return a fleet whose VMs know each other, after it has settled."""
    network = networks.Network(random.Random(seed), loss)
    first_peers = tuple(
        membership.Peer(ip_of(number), PORT)
        for number in range(FIRST_PEER_COUNT)
    )
    ids = tuple(f"vm-{number}" for number in range(size))
    for number, vm_id in enumerate(ids):
        domain = f"domain-{number % DOMAIN_COUNT}"
        network.add(vm_id, ip_of(number), domain, first_peers)
    entries = [each.membership.own for each in network.nodes_by_id.values()]
    for node in network.nodes_by_id.values():
        node.membership.merge_table(entries, network.now)
    network.run(SETTLE_SECONDS)
    return Fleet(network, ids)


def measure_traffic(fleet: Fleet) -> tuple[networks.Traffic, float]:
    """Return the traffic and the processor time of one VM a second.

    The processor time is in microseconds.
    """
    network = fleet.network
    before = dict(network.traffic_by_id)
    started = time.process_time()
    network.run(MEASURED_SECONDS)
    cpu_time = time.process_time() - started
    vm_seconds = len(fleet.ids) * MEASURED_SECONDS
    sent_messages = sum(
        network.traffic_by_id[vm_id].messages - before[vm_id].messages
        for vm_id in fleet.ids
    )
    sent_bytes = sum(
        network.traffic_by_id[vm_id].size - before[vm_id].size
        for vm_id in fleet.ids
    )
    traffic = networks.Traffic(
        sent_messages / vm_seconds, sent_bytes / vm_seconds
    )
    return traffic, cpu_time / vm_seconds * MICROSECONDS_PER_SECOND


def measure_detection(fleet: Fleet, failed_ids: tuple[str, ...]) -> Detection:
    """Remove VMs and return when the others considered them gone."""
    network = fleet.network
    for vm_id in failed_ids:
        network.remove(vm_id)
    started = network.now
    times_by_id: dict[str, float] = {}
    while network.now < started + DETECTION_TIMEOUT:
        network.run(DETECTION_STEP)
        for vm_id, node in network.nodes_by_id.items():
            if vm_id not in times_by_id and _considers_gone(node, failed_ids):
                times_by_id[vm_id] = network.now - started
    times = sorted(times_by_id.values())
    return Detection(
        times[0],
        times[len(times) // 2],
        times[-1],
        len(network.nodes_by_id) - len(times),
        _count_false_views(network, failed_ids),
    )


def _considers_gone(node: networks.Node, failed_ids: tuple[str, ...]) -> bool:
    return all(
        node.membership.state_of(vm_id) is members.State.GONE
        for vm_id in failed_ids
    )


def _count_false_views(
    network: networks.Network, failed_ids: tuple[str, ...]
) -> int:
    """Count the views of a VM in which a running VM is gone."""
    return sum(
        member.state is members.State.GONE and vm_id not in failed_ids
        for node in network.nodes_by_id.values()
        for vm_id, member in node.membership.table.members_by_id.items()
    )


@click.command()
@click.option("--seed", default=1, show_default=True)
@click.option("--size", "sizes", multiple=True, default=(36, 690), type=int)
@click.option("--loss", "losses", multiple=True, default=(0.0, 0.05))
def main(seed: int, sizes: tuple[int, ...], losses: tuple[float, ...]) -> None:
    """Print one row for each fleet size, loss and kind of failure.

    Either one VM fails, or all VMs of a failure domain.
    """
    click.echo(
        "vms loss failed | sent msg/s  bytes/s  cpu us/s | "
        "first median last s | missing false"
    )
    for size in sizes:
        for loss in losses:
            for failure_scope in (1, DOMAIN_COUNT):
                fleet = build_settled_fleet(size, seed, loss)
                traffic, cpu_time = measure_traffic(fleet)
                failed_ids = fleet.ids[
                    4 : 5 if failure_scope == 1 else size : DOMAIN_COUNT
                ]
                detection = measure_detection(fleet, failed_ids)
                click.echo(
                    f"{size:3} {loss:4.2f} {len(failed_ids):4} | "
                    f"{traffic.messages:5.1f} {traffic.size:8.0f} "
                    f"{cpu_time:8.0f} | {detection.first:4.1f} "
                    f"{detection.median:4.1f} {detection.last:4.1f} | "
                    f"{detection.missing} {detection.false_views}"
                )
                _print_baseline(size, traffic, cpu_time)


def _print_baseline(
    size: int, traffic: networks.Traffic, cpu_time: float
) -> None:
    """Print the cost of a heartbeat to every VM each second."""
    peer_count = size - 1
    bytes_each = traffic.size / traffic.messages
    cpu_time_each = cpu_time / traffic.messages
    click.echo(
        f"    a heartbeat a second to all: {peer_count} msg/s, "
        f"{peer_count * bytes_each:.0f} bytes/s, "
        f"{peer_count * cpu_time_each:.0f} us/s"
    )
