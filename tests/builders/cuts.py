"""Cuts the paths of some VMs to all instances, and nothing else.

Callers, the store and the other VMs still reach such a VM.
"""

import contextlib
import enum
import errno
import functools
import typing

import trio

from primrosemill.configuration import checks
from primrosemill.configuration import document as documents
from primrosemill.proxy import entry_vm
from primrosemill.standins import raw_tcp
from tests.builders import users_platform as builders

FIRST_DOMAIN = builders.DOMAIN
OTHER_DOMAIN = "hay-riad"


class How(enum.StrEnum):
    """What happens to the connections of a VM to instances."""

    HANG = "hang"  # New and old ones get no answer, nor an error.
    RESET = "reset"  # New and old ones are reset.
    REFUSED = "refused"  # New ones are refused, while old ones live on.


class Cut:
    """A cut between one VM and all instances; off until started."""

    def __init__(self, built: builders.Running, how: How) -> None:
        self.how = how
        self.active = False
        self.generation = 0
        self._instance_ports = {
            checks.split_address(address)[1] for address in built.addresses
        }
        pool = built.vm._application.connections
        self._open = pool.open
        pool.open = self.open

    def start(self) -> None:
        """Cut the paths; connections that are open now are cut for good."""
        self.active = True
        if self.how is not How.REFUSED:
            self.generation += 1

    def stop(self) -> None:
        """End the cut."""
        self.active = False

    async def open(self, instance: typing.Any) -> typing.Any:
        """Open a connection as the VM does, unless it is cut."""
        if instance.port not in self._instance_ports:
            return await self._open(instance)
        if self.active:
            await self._fail()
        connection = await self._open(instance)
        stream = connection.stream
        stream._socket = _CutSocket(stream._socket, self)
        return connection

    async def _fail(self) -> None:
        if self.how is How.HANG:
            await trio.sleep_forever()
        if self.how is How.RESET:
            raise ConnectionResetError(errno.ECONNRESET, "reset")
        raise ConnectionRefusedError(errno.ECONNREFUSED, "refused")


class _CutSocket:
    """A socket to an instance that its VM's cut may end."""

    def __init__(self, wrapped: typing.Any, cut: Cut) -> None:
        self._wrapped = wrapped
        self._cut = cut
        self._generation = cut.generation

    def __getattr__(self, name: str) -> typing.Any:
        return getattr(self._wrapped, name)

    @property
    def _is_cut(self) -> bool:
        return self._generation != self._cut.generation

    async def send_some(self, data: memoryview) -> int:
        if not self._is_cut:
            return await self._wrapped.send_some(data)
        if self._cut.how is How.RESET:
            raise ConnectionResetError(errno.ECONNRESET, "reset")
        return len(data)

    async def receive(self, max_bytes: int) -> bytes:
        data = b""
        if not self._is_cut:
            data = await self._wrapped.receive(max_bytes)
        if self._is_cut and self._cut.how is How.RESET:
            raise ConnectionResetError(errno.ECONNRESET, "reset")
        if self._is_cut:
            await trio.sleep_forever()
        return data

    def is_readable(self) -> bool:
        if self._is_cut:
            return self._cut.how is How.RESET
        return self._wrapped.is_readable()


async def serve_helper(
    nursery: trio.Nursery, built: builders.Running, standin: raw_tcp.TcpStandin
) -> None:
    """Let a VM pass requests on to a stand-in only, as to another VM."""
    served = await nursery.start(standin.serve, builders.IP)
    helper = documents.Instance("other", served.ip, served.port, FIRST_DOMAIN)
    built.vm._isolation.forwarding._find_helpers = lambda: [[helper]]


@contextlib.asynccontextmanager
async def running_fleet(
    domains: typing.Sequence[str],
    instance_count: int,
    how: How,
    document: dict | None = None,
):
    """Run VMs on addresses of their own; yield the fleet and their cuts."""
    ports = [builders.free_port() for _ in range(5)]
    async with builders.running_fleet(0, instance_count, document) as fleet:
        for number, domain in enumerate(domains, 1):
            await _start_vm(fleet, f"127.21.0.{number}", domain, ports)
        await builders.wait_until_met(fleet)
        await trio.sleep(2 * entry_vm.VIEW_CHECK_INTERVAL)
        yield fleet, [Cut(each, how) for each in fleet.vms]


async def _start_vm(
    fleet: builders.Fleet, ip: str, domain: str, ports: list[int]
) -> None:
    names = ("caller", "ready", "directory", "peer", "admin")
    addresses = {
        f"{name}_address": f"{ip}:{port}"
        for name, port in zip(names, ports, strict=True)
    }
    await fleet.start_vm(domain=domain, **addresses)


class Try(typing.NamedTuple):
    """The first try of a request, at a VM with a number from 0 on."""

    vm_number: int
    sent_at: float
    served: bool


class Callers:
    """Callers that send requests to VMs by turns, whatever they answer."""

    def __init__(self, fleet: builders.Fleet, rate: float) -> None:
        self._fleet = fleet
        self._rate = rate
        self.tries: list[Try] = []

    async def run(self, seconds: float) -> None:
        """Send requests for some time, and wait for all answers."""
        async with trio.open_nursery() as nursery:
            for number in range(int(seconds * self._rate)):
                vm_number = number % len(self._fleet.vms)
                nursery.start_soon(self._try_once, number, vm_number)
                await trio.sleep(1.0 / self._rate)

    async def _try_once(self, number: int, vm_number: int) -> None:
        sent_at = trio.current_time()
        # Numbers and VMs alternate at different rates, so that each VM gets
        # both kinds.
        once = number // len(self._fleet.vms) % 2
        response = await builders.call(
            self._fleet.vms[vm_number],
            builders.ONCE_PATH if once else builders.READ_PATH,
            f"try-{number}",
            "POST" if once else "GET",
        )
        served = response.status == 200
        self.tries.append(Try(vm_number, sent_at, served))


class Figures(typing.NamedTuple):
    """The figures of the users' rule on VMs without a path to instances."""

    served_at_cut: float
    served_at_others: float
    failed_at_cut: int
    tries: int

    @property
    def kept(self) -> bool:
        """Return whether the rule is kept."""
        return (
            3 * self.served_at_cut >= 2 * self.served_at_others
            or self.failed_at_cut <= 10 + self.tries / 50
        )


def measure(
    tries: typing.Iterable[Try], cut_numbers: typing.Container[int]
) -> Figures:
    """Return the figures of some first tries."""
    at_cut, at_others = [], []
    for each in tries:
        part = at_cut if each.vm_number in cut_numbers else at_others
        part.append(each.served)
    return Figures(
        sum(at_cut) / max(1, len(at_cut)),
        sum(at_others) / max(1, len(at_others)),
        len(at_cut) - sum(at_cut),
        len(at_cut) + len(at_others),
    )


def run(
    check: typing.Callable[..., typing.Awaitable[typing.Any]],
    domains: typing.Sequence[str],
    how: How,
    instance_count: int = 6,
    document: dict | None = None,
) -> typing.Any:
    """Run a check with a fleet whose VMs can be cut; return its result."""

    async def main() -> typing.Any:
        with trio.fail_after(builders.CHECK_TIMEOUT):
            async with running_fleet(
                domains, instance_count, how, document
            ) as parts:
                return await functools.partial(check, *parts)()

    return trio.run(main)
