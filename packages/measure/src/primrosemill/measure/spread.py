"""Measures how fast a version spreads, with lost messages.

At 690 VMs the pure protocol runs in memory, with and without random cross
edges (Banerjee et al., "Resilient Multicast using Overlays"): a VM that has
taken a version tells a few random VMs at once in place of waiting for its
next probe. At 36 VMs whole nodes run over real sockets in one process.
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

PULL_SECONDS = 0.06  # seconds: a look every 0.1 s, connect, two requests
RETRANSMISSION = 0.2  # seconds that a segment lost under TCP costs
LIMIT = 20.0  # seconds
OLD = messages.VersionInForce(1, b"1" * 16)
NEW = messages.VersionInForce(2, b"2" * 16)
LIVE_STEP = 0.05  # seconds


class Spread(typing.NamedTuple):
    """Seconds until half and all have the version, and messages a VM."""

    median: float
    last: float
    sent: float


class _Pull(typing.NamedTuple):
    time: float
    vm_id: str


class _Run:
    """Spreads one version through a settled fleet in memory."""

    def __init__(
        self, fleet: membership.Fleet, cross_edges: int, seed: int
    ) -> None:
        self._network = fleet.network
        self._cross_edges = cross_edges
        self._generator = random.Random(seed)
        self._pulls: list[_Pull] = []
        self._pulling: set[str] = set()
        self.times: list[float] = []
        for each in self._network.nodes_by_id.values():
            each.membership.version = OLD
        self._network.on_message = self._hear

    def _hear(self, vm_id: str, message: messages.Message) -> None:
        version = getattr(message, "version", OLD)
        if version != NEW or vm_id in self._pulling:
            return
        self._pulling.add(vm_id)
        wait = PULL_SECONDS
        while self._generator.random() < self._network.loss:
            wait += RETRANSMISSION
        heapq.heappush(self._pulls, _Pull(self._network.now + wait, vm_id))

    def take(self, vm_id: str) -> None:
        """Put the new version in force at one VM."""
        self._pulling.add(vm_id)
        self.times.append(self._network.now)
        view = self._network.nodes_by_id[vm_id].membership
        view.version = NEW
        outgoing = view.announce_version(self._cross_edges)
        self._network.send(vm_id, outgoing)

    def run(self, watchers: int) -> Spread:
        """Return how the version spread from a number of watchers."""
        ids = list(self._network.nodes_by_id)
        before = sum(
            each.messages for each in self._network.traffic_by_id.values()
        )
        started = self._network.now
        for vm_id in self._generator.sample(ids, watchers):
            self.take(vm_id)
        while len(self.times) < len(ids):
            self._network.run(0.05)
            while self._pulls and self._pulls[0].time <= self._network.now:
                self.take(heapq.heappop(self._pulls).vm_id)
            if self._network.now - started > LIMIT:
                break
        after = sum(
            each.messages for each in self._network.traffic_by_id.values()
        )
        missing = [float("inf")] * (len(ids) - len(self.times))
        times = sorted(self.times) + missing
        return Spread(
            times[len(times) // 2] - started,
            times[-1] - started,
            (after - before) / len(ids),
        )


class _LossyTransport(transport.Transport):
    """Loses datagrams on their way out."""

    loss = 0.0
    generator = random.Random(0)

    async def send(
        self, ip: str, port: int, message: messages.Message
    ) -> None:
        if self.generator.random() >= self.loss:
            await super().send(ip, port, message)


class _LiveFleet:
    """Nodes on loopback sockets, of which few can reach the store."""

    def __init__(self, size: int, seed: int) -> None:
        self._size = size
        self._seed = seed
        self.versions_by_id: dict[str, int] = {}
        self.store = spread_store.MemoryStore()
        self.store.publish_version(1)

    async def start(self, nursery: trio.Nursery) -> None:
        """Start the nodes and wait until all know each other."""
        peers: tuple[fleet_membership.Peer, ...] = ()
        nodes = []
        for number in range(self._size):
            made = self._build(number, peers)
            port = await nursery.start(made.run)
            if not peers:
                peers = (fleet_membership.Peer("127.0.5.1", port),)
            nodes.append(made)
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
        reachable = number % 10 == 0
        store = self.store if reachable else spread_store.AbsentStore()
        return node.Node(
            identity,
            peers,
            node.Platform(store),
            node.Hooks(on_document),
            random.Random(self._seed + number),
            _LossyTransport,
        )

    async def wait_for(self, version: int) -> float:
        """Return the seconds until all have a version in force."""
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
        await trio.sleep(LIVE_STEP / 5)


async def _measure_live(size: int, seed: int, loss: float) -> list[float]:
    _LossyTransport.loss = loss
    _LossyTransport.generator = random.Random(seed)
    fleet = _LiveFleet(size, seed)
    found = []
    async with trio.open_nursery() as nursery:
        await fleet.start(nursery)
        for version in range(2, 7):
            await trio.sleep(1.0)
            fleet.store.publish_version(version)
            found.append(await fleet.wait_for(version))
        nursery.cancel_scope.cancel()
    return found


@click.command()
@click.option("--seed", default=1, show_default=True)
@click.option("--size", default=690, show_default=True)
@click.option("--live-size", default=36, show_default=True)
@click.option("--loss", "losses", multiple=True, default=(0.0, 0.05, 0.2))
def main(
    seed: int, size: int, live_size: int, losses: tuple[float, ...]
) -> None:
    """Print the seconds until a version is in force everywhere."""
    click.echo("pure: vms loss watchers cross | median last s | sent msg/VM")
    for loss in losses:
        for watchers in (1, 12):
            for cross_edges in (0, 1, 3):
                fleet = membership.build(size, seed, loss)
                run = _Run(fleet, cross_edges, seed)
                found = run.run(watchers)
                click.echo(
                    f"{size} {loss:4.2f} {watchers:2} {cross_edges} | "
                    f"{found.median:4.2f} {found.last:4.2f} | "
                    f"{found.sent:4.1f}"
                )
    click.echo("sockets, store reachable by one in ten: vms loss | s each")
    for loss in losses:
        times = trio.run(_measure_live, live_size, seed, loss)
        told = " ".join(f"{each:4.2f}" for each in times)
        click.echo(f"{live_size} {loss:4.2f} | {told}")
