"""Measures how fast a version propagates when messages are lost.

With 690 VMs the protocol runs in memory, with and without random cross edges
(Banerjee et al., "Resilient Multicast using Overlays"): a VM that has put a
version in force announces it to a few random VMs at once instead of waiting
for its next probe. With 36 VMs complete nodes use real sockets in one process.
"""

import heapq
import random
import typing

import click
import trio

from primrosemill.fleet import membership as fleet_membership
from primrosemill.fleet import messages
from primrosemill.fleet import node
from primrosemill.fleet import transport
from primrosemill.measure import membership
from primrosemill.measure import spread_store

# Seconds from the news of a version to its pull: a check every 0.1 s, a
# connection and two requests.
PULL_DURATION = 0.06
RETRANSMISSION_DELAY = 0.2  # seconds that TCP needs to resend a lost segment
MAX_DURATION = 20.0  # seconds
OLD_VERSION = messages.VersionInForce(1, b"1" * 16)
NEW_VERSION = messages.VersionInForce(2, b"2" * 16)
LIVE_RESOLUTION = 0.05  # seconds


class Propagation(typing.NamedTuple):
    """Seconds until half of the VMs and all have a version in force.

    ``messages_per_vm`` counts the messages that a VM sent on average.
    """

    median: float
    last: float
    messages_per_vm: float


class _Pull(typing.NamedTuple):
    time: float
    vm_id: str


class _PropagationRun:
    """The propagation of one version through a settled fleet in memory."""

    def __init__(
        self, fleet: membership.Fleet, cross_edges: int, seed: int
    ) -> None:
        self._network = fleet.network
        self._cross_edges = cross_edges
        self._generator = random.Random(seed)
        self._pulls: list[_Pull] = []
        self._informed_ids: set[str] = set()
        self.in_force_times: list[float] = []
        for each in self._network.nodes_by_id.values():
            each.membership.version = OLD_VERSION
        self._network.on_message = self._on_message

    def _on_message(self, vm_id: str, message: messages.Message) -> None:
        version = getattr(message, "version", OLD_VERSION)
        if version != NEW_VERSION or vm_id in self._informed_ids:
            return
        self._informed_ids.add(vm_id)
        delay = PULL_DURATION
        while self._generator.random() < self._network.loss:
            delay += RETRANSMISSION_DELAY
        heapq.heappush(self._pulls, _Pull(self._network.now + delay, vm_id))

    def put_in_force(self, vm_id: str) -> None:
        """Put the new version in force on one VM, which announces it."""
        self._informed_ids.add(vm_id)
        self.in_force_times.append(self._network.now)
        member = self._network.nodes_by_id[vm_id].membership
        member.version = NEW_VERSION
        outgoing = member.announce_version(self._cross_edges)
        self._network.send(vm_id, outgoing)

    def run(self, watchers: int) -> Propagation:
        """Return how the version propagates from VMs that watch the store."""
        ids = list(self._network.nodes_by_id)
        sent_before = sum(
            each.messages for each in self._network.traffic_by_id.values()
        )
        started = self._network.now
        for vm_id in self._generator.sample(ids, watchers):
            self.put_in_force(vm_id)
        while len(self.in_force_times) < len(ids):
            self._network.run(0.05)
            while self._pulls and self._pulls[0].time <= self._network.now:
                self.put_in_force(heapq.heappop(self._pulls).vm_id)
            if self._network.now - started > MAX_DURATION:
                break
        sent_after = sum(
            each.messages for each in self._network.traffic_by_id.values()
        )
        missing = [float("inf")] * (len(ids) - len(self.in_force_times))
        times = sorted(self.in_force_times) + missing
        return Propagation(
            times[len(times) // 2] - started,
            times[-1] - started,
            (sent_after - sent_before) / len(ids),
        )


class _LossyTransport(transport.Transport):
    """A transport that loses a share of the datagrams it sends."""

    loss = 0.0
    generator = random.Random(0)

    async def send(
        self, ip: str, port: int, message: messages.Message
    ) -> None:
        if self.generator.random() >= self.loss:
            await super().send(ip, port, message)


class _LiveFleet:
    """Nodes on loopback sockets, of which one in ten reaches the store."""

    def __init__(self, size: int, seed: int) -> None:
        self._size = size
        self._seed = seed
        self.versions_by_id: dict[str, int] = {}
        self.store = spread_store.MemoryStore()
        self.store.publish_version(1)

    async def start(self, nursery: trio.Nursery) -> None:
        """Start the nodes and wait until all of them know each other."""
        peers: tuple[fleet_membership.Peer, ...] = ()
        nodes = []
        for number in range(self._size):
            fleet_node = self._build(number, peers)
            port = await nursery.start(fleet_node.run)
            if not peers:
                peers = (fleet_membership.Peer("127.0.5.1", port),)
            nodes.append(fleet_node)
        await _wait_until(
            lambda: all(
                len(each.membership.usable_ids()) == self._size
                for each in nodes
            )
        )
        await self.wait_for(1)

    def _build(
        self, number: int, peers: tuple[fleet_membership.Peer, ...]
    ) -> node.Node:
        vm_id = f"vm-{number}"

        def on_document(document: typing.Any) -> None:
            self.versions_by_id[vm_id] = document.version

        identity = node.Identity(
            spread_store.FLEET,
            vm_id,
            f"127.0.5.{number + 1}",
            0,
            f"domain-{number % 3}",
            1,
        )
        reaches_store = number % 10 == 0
        store = (
            self.store if reaches_store else spread_store.UnreachableStore()
        )
        return node.Node(
            identity,
            peers,
            node.Platform(store),
            node.Hooks(on_document),
            random.Random(self._seed + number),
            _LossyTransport,
        )

    async def wait_for(self, version: int) -> float:
        """Wait until all nodes have a version in force; return the seconds."""
        started = trio.current_time()
        await _wait_until(
            lambda: (
                len(self.versions_by_id) == self._size
                and min(self.versions_by_id.values()) >= version
            )
        )
        return trio.current_time() - started


async def _wait_until(condition: typing.Callable[[], bool]) -> None:
    while True:
        if condition():
            return
        await trio.sleep(LIVE_RESOLUTION / 5)


async def _measure_live(size: int, seed: int, loss: float) -> list[float]:
    _LossyTransport.loss = loss
    _LossyTransport.generator = random.Random(seed)
    fleet = _LiveFleet(size, seed)
    durations = []
    async with trio.open_nursery() as nursery:
        await fleet.start(nursery)
        for version in range(2, 7):
            await trio.sleep(1.0)
            fleet.store.publish_version(version)
            durations.append(await fleet.wait_for(version))
        nursery.cancel_scope.cancel()
    return durations


@click.command()
@click.option("--seed", default=1, show_default=True)
@click.option("--size", default=690, show_default=True)
@click.option("--live-size", default=36, show_default=True)
@click.option("--loss", "losses", multiple=True, default=(0.0, 0.05, 0.2))
def main(
    seed: int, size: int, live_size: int, losses: tuple[float, ...]
) -> None:
    """Print the seconds until a version is in force on all VMs."""
    click.echo("pure: vms loss watchers cross | median last s | sent msg/VM")
    for loss in losses:
        for watchers in (1, 12):
            for cross_edges in (0, 1, 3):
                fleet = membership.build_settled_fleet(size, seed, loss)
                run = _PropagationRun(fleet, cross_edges, seed)
                result = run.run(watchers)
                click.echo(
                    f"{size} {loss:4.2f} {watchers:2} {cross_edges} | "
                    f"{result.median:4.2f} {result.last:4.2f} | "
                    f"{result.messages_per_vm:4.1f}"
                )
    click.echo("sockets, store reachable by one in ten: vms loss | s each")
    for loss in losses:
        durations = trio.run(_measure_live, live_size, seed, loss)
        formatted_times = " ".join(f"{each:4.2f}" for each in durations)
        click.echo(f"{live_size} {loss:4.2f} | {formatted_times}")
