"""Runs a fleet that follows a feed, in virtual time and without sockets."""

import collections
import contextlib
import enum
import functools
import random
import typing

import expression
import msgspec
import trio
import trio.testing

from primrosemill.fleet import feed
from primrosemill.fleet import interfaces
from primrosemill.fleet import membership
from primrosemill.fleet import messages
from primrosemill.fleet import node
from primrosemill.fleet import transport
from primrosemill.fleet import wire
from tests.builders import feeds

PORT = 7_000
FIRST_VERSION = 1
DELAY = 0.002  # seconds of a datagram
FEED_DELAY = 0.004  # seconds of a call to the feed and its answer
CALL_MARGIN = 1.0  # seconds that a VM waits for a late answer of the feed
JOIN_TIME = 8.0  # seconds until the VMs know each other and few read
SLOW_DELAY = 0.8  # seconds of each datagram of a slow VM


_changes_decoder = msgspec.msgpack.Decoder(messages.Changes)


class Trouble(enum.StrEnum):
    """What happens to a VM."""

    KILLED = "killed"
    FROZEN = "frozen"  # neither sends nor gets anything
    SLOW = "slow"  # its datagrams are late
    MUTE = "mute"  # what it sends to other VMs is lost
    DEAF = "deaf"  # what other VMs send to it is lost
    STORELESS = "storeless"  # only its path to the feed is lost


class World:
    """The network, the feed and the VMs."""

    def __init__(
        self, seed: int, nursery: trio.Nursery, loss: float = 0.0
    ) -> None:
        self.nursery = nursery
        self.generator = random.Random(seed)
        self.loss = loss
        self.vms_by_ip: dict[str, Vm] = {}
        self.items: list[feed.Item] = [
            feeds.routing(1, FIRST_VERSION),
            feeds.added(2),
        ]
        self.published = trio.Event()
        self.calls: list[float] = []
        self.sent_by_kind: collections.Counter[messages.Kind] = (
            collections.Counter()
        )
        self.feed_delay = FEED_DELAY
        self.is_feed_away = False

    @property
    def revision(self) -> int:
        return max(item.revision for item in self.items)

    def publish(self) -> int:
        """Publish a version of the routing; return its number."""
        number = max(
            item.routing.version
            for item in self.items
            if item.routing is not None
        )
        item = feeds.routing(self.revision + 1, number + 1)
        self.items = [each for each in self.items if each.routing is None]
        self.items.append(item)
        self.published.set()
        self.published = trio.Event()
        return number + 1

    def count_calls(self, since: float, until: float) -> int:
        """Return how often the VMs have called the feed in a time."""
        return sum(since <= each < until for each in self.calls)

    def busiest_second(self, since: float) -> int:
        """Return the most calls of any second."""
        times = [each for each in self.calls if each >= since]
        return max(
            (sum(t <= each < t + 1.0 for each in times) for t in times),
            default=0,
        )


class Vm:
    """A VM of the fleet, and its trouble."""

    def __init__(
        self, world: World, number: int, domain: str, first: str
    ) -> None:
        self.world = world
        self.ip = f"10.0.{number // 250}.{number % 250 + 1}"
        self.trouble: Trouble | None = None
        self.applied_at_by_version: dict[int, float] = {}
        self.scope = trio.CancelScope()
        first_peers = (membership.Peer(first or self.ip, PORT),)
        self.node = node.Node(
            node.Identity(
                "fleet", f"vm-{number}", self.ip, PORT, domain, 1_000
            ),
            first_peers,
            node.Platform(None, feed_source=Feed(self)),
            node.Hooks(
                lambda document: None,
                on_change=self._on_change,
                clock=trio.current_time,
            ),
            random.Random(world.generator.random()),
            functools.partial(MemoryTransport, self),
        )
        world.vms_by_ip[self.ip] = self

    @property
    def id(self) -> str:
        return self.node._identity.vm_id

    @property
    def domain(self) -> str:
        return self.node._identity.domain

    @property
    def is_reader(self) -> bool:
        return self.node.membership.own.watching

    @property
    def version(self) -> int:
        routing = self.node.follower.mirror.routing
        return 0 if routing is None else routing.version

    def suffer(self, trouble: Trouble | None) -> None:
        """Begin a trouble, or end it with None."""
        self.trouble = trouble
        if trouble is Trouble.KILLED:
            self.scope.cancel()

    async def run(self) -> None:
        with self.scope:
            await self.node.run()

    def _on_change(self, applied, source, now: float) -> None:
        self.applied_at_by_version.setdefault(
            self.version, trio.current_time()
        )


class Feed:
    """The feed as one VM reaches it."""

    def __init__(self, vm: Vm) -> None:
        self._vm = vm

    async def read(self) -> feed.ReadResult:
        world = self._vm.world
        if await self._lose_call(0.0):
            return expression.Error(interfaces.TimedOut("read", CALL_MARGIN))
        batch = feeds.whole(*world.items)
        await trio.sleep(world.feed_delay / 2)
        return expression.Ok(feed.Read(batch))

    async def watch(
        self, after: feed.Position, wait: float
    ) -> feed.ReadResult:
        world = self._vm.world
        if await self._lose_call(wait):
            return expression.Error(interfaces.TimedOut("watch", wait))
        with trio.move_on_after(wait):
            while world.revision <= after.revision:
                published = world.published
                await published.wait()
        items = [
            item for item in world.items if item.revision > after.revision
        ]
        revision = max(after.revision, world.revision)
        batch = feed.Batch(after.revision, revision, tuple(items))
        # An answer does not reach a VM that has lost the path meanwhile.
        if self._is_lost():
            await trio.sleep(CALL_MARGIN)
            return expression.Error(interfaces.TimedOut("watch", wait))
        await trio.sleep(world.feed_delay / 2)
        return expression.Ok(feed.Read(batch))

    def _is_lost(self) -> bool:
        lost = (Trouble.STORELESS, Trouble.FROZEN)
        return self._vm.trouble in lost or self._vm.world.is_feed_away

    async def _lose_call(self, wait: float) -> bool:
        """Count a call; wait in vain for an answer if it is lost."""
        self._vm.world.calls.append(trio.current_time())
        delay = self._vm.world.feed_delay / 2
        if self._is_lost() or delay > CALL_MARGIN:
            await trio.sleep(wait + CALL_MARGIN)
            return True
        await trio.sleep(delay)
        return False


class MemoryTransport(transport.Transport):
    """Delivers to the VMs of a world, as far as their troubles allow."""

    def __init__(self, vm, *arguments) -> None:
        super().__init__(*arguments)
        self._vm = vm

    async def bind(self, port: int) -> None:
        self.port = port
        self._vm.transport = self

    def close(self) -> None:
        pass

    async def send(self, ip, port, message) -> None:
        world = self._vm.world
        world.sent_by_kind[messages.KINDS_BY_TYPE[type(message)]] += 1
        target = world.vms_by_ip.get(ip)
        if target is None or world.generator.random() < world.loss:
            return
        if self._vm.trouble in (Trouble.FROZEN, Trouble.MUTE, Trouble.KILLED):
            return
        delay = SLOW_DELAY if self._vm.trouble is Trouble.SLOW else DELAY
        sender = self._sealer.sender
        if isinstance(message, messages.Changes):
            # It is sent in a shorter form than it is decoded to.
            message = _changes_decoder.decode(msgspec.msgpack.encode(message))
        received = wire.Received(sender.vm_id, sender.incarnation, 0, message)
        world.nursery.start_soon(_deliver, target, received, delay)

    def deliver(self, received) -> None:
        if isinstance(received.message, transport.NEWS_TYPES):
            self.on_news(received)
            return
        self._inbox.append(received)
        self._wait_scope.cancel()

    async def receive(self, handle) -> None:
        while True:
            if not self._inbox:
                with trio.CancelScope() as self._wait_scope:
                    await trio.sleep_forever()
            await self.handle_arrived(handle)

    def read_arrived(self) -> None:
        pass

    async def answer_pulls(self, handle) -> None:
        self.answer = handle
        await trio.sleep_forever()

    @contextlib.contextmanager
    def open_pull_connection(self, ip, port):
        yield _PullConnection(self._vm, ip)


async def _deliver(target: Vm, received: wire.Received, delay: float) -> None:
    await trio.sleep(delay)
    deaf = (Trouble.FROZEN, Trouble.DEAF, Trouble.KILLED)
    if target.trouble not in deaf:
        target.transport.deliver(received)


class _PullConnection:
    """Pulls from another VM, which needs both ways between the two."""

    def __init__(self, vm: Vm, ip: str) -> None:
        self._vm = vm
        self._target = vm.world.vms_by_ip[ip]

    async def pull(self, wants) -> messages.PullAnswer | None:
        cut = (
            Trouble.FROZEN,
            Trouble.DEAF,
            Trouble.MUTE,
            Trouble.KILLED,
        )
        if self._target.trouble in cut or self._vm.trouble in cut:
            await trio.sleep(transport.REQUEST_TIMEOUT)
            return None
        await trio.sleep(2 * DELAY)
        return self._target.transport.answer(messages.Pull(1, wants))


async def _start(world: World, nursery: trio.Nursery, counts) -> list[Vm]:
    vms: list[Vm] = []
    for number, domain in enumerate(counts):
        first = vms[0].ip if vms else ""
        vms.append(Vm(world, number, domain, first))
    for vm in vms:
        nursery.start_soon(vm.run)
        await trio.sleep(world.generator.uniform(0.0, 0.3 / len(vms)))
    await trio.sleep(JOIN_TIME)
    return vms


def run(
    check: typing.Callable[[World, list[Vm]], typing.Awaitable[typing.Any]],
    seed: int,
    vm_count: int = 24,
    domain_count: int = 3,
    loss: float = 0.0,
) -> typing.Any:
    """Run a check with a fleet at rest; return its result."""

    async def main() -> typing.Any:
        domains = [f"d-{each % domain_count}" for each in range(vm_count)]
        async with trio.open_nursery() as nursery:
            world = World(seed, nursery, loss)
            vms = await _start(world, nursery, domains)
            result = await check(world, vms)
            nursery.cancel_scope.cancel()
        return result

    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(main, clock=clock)
