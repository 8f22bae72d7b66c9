"""Builds a fleet under the failures that its users name, with callers.

Each failure is a pair of functions that begin and end it, so that any two
can be had together.
"""

import itertools
import random
import time
import typing

import httpcore
import trio

from primrosemill.decisions import standings
from primrosemill.fleet import transport
from primrosemill.proofs import history
from primrosemill.standins import faults
from primrosemill.standins import instance
from primrosemill.standins import platform_modes
from tests.builders import configuration
from tests.builders import path as paths
from tests.builders import vms

SERVICE = "reservations"
VMS = 4
INSTANCES = 6
FLOOR = 3
SLOTS = 3
CALLERS = 6
DEADLINE = 2.0  # seconds
CALL_PAUSE = 0.01  # seconds
SERVICE_TIME = 0.004  # seconds
FLAPPING_PERIOD = 0.4  # seconds
PAUSE = 1.3  # seconds; longer than the fleet's tolerance of a late tick
LOOK_INTERVAL = 0.02  # seconds
OUT = frozenset({standings.State.AVOIDED, standings.State.EJECTED})


class Cuts:
    """Drops messages between VMs in given directions."""

    def __init__(self, case: typing.Any) -> None:
        self.pairs: set[tuple[str, str]] = set()
        send = transport.Transport.send
        open_requests = transport.Transport.open_pull_connection

        async def cut_send(link, ip, port, message):
            if (link._ip, ip) not in self.pairs:
                await send(link, ip, port, message)

        def cut_requests(link, ip, port):
            both = {(link._ip, ip), (ip, link._ip)}
            # Nothing listens on port 1.
            return open_requests(link, ip, 1 if both & self.pairs else port)

        case.patch(transport.Transport, "send", cut_send)
        case.patch(transport.Transport, "open_pull_connection", cut_requests)

    def cut(self, source: vms.RunningVm, target: vms.RunningVm) -> None:
        """Drop what one VM sends to another."""
        self.pairs.add((source.ip, target.ip))


class Bench:
    """A fleet, its instances, its callers, and what all of them met."""

    def __init__(self, nursery: trio.Nursery, cuts: Cuts) -> None:
        self.cuts = cuts
        self.fleet = vms.Fleet(nursery, answer_lifetime=60.0)
        self.standins = [
            instance.InstanceStandin(
                f"res-{number}",
                SLOTS,
                SERVICE_TIME,
                generator=random.Random(number),
            )
            for number in range(INSTANCES)
        ]
        self.calls: list[history.Call] = []
        self.versions_by_vm: dict[str, list[int]] = {}
        self.fewest_in_rotation = INSTANCES
        self.version = 1
        self._nursery = nursery
        self._values: list[dict] = []
        self._stopped = False
        self._tags = itertools.count()

    @property
    def running(self) -> list[vms.RunningVm]:
        """Return the VMs in the order of their numbers."""
        return list(self.fleet.vms_by_id.values())

    async def start(self) -> None:
        """Start everything; returns when all VMs know each other."""
        addresses = await paths.start_standins(self._nursery, self.standins)
        self._values = [
            configuration.instance_value(number, address=address)
            for number, address in enumerate(addresses)
        ]
        await self.fleet.open(self._published())
        await self.fleet.start_all(VMS)
        self._nursery.start_soon(self._look)

    def publish(self) -> None:
        """Publish the next version."""
        self.version += 1
        self.fleet.platform.publish(self._published())

    async def until_in_force(self) -> None:
        """Wait until every VM has the newest version."""
        while any(
            seen[-1] < self.version for seen in self.versions_by_vm.values()
        ):
            await trio.sleep(LOOK_INTERVAL)

    def let_leave(self, vm: vms.RunningVm) -> None:
        """Ask a VM to leave; it serves old callers for long."""
        self._nursery.start_soon(vm.daemon.stop, "test")

    async def call_for(self, seconds: float) -> None:
        """Let callers send requests to the addresses that they know."""
        self._stopped = False
        async with trio.open_nursery() as nursery:
            for number in range(CALLERS):
                nursery.start_soon(self._call_often, number)
            await trio.sleep(seconds)
            self._stopped = True

    def history(self) -> history.History:
        """Return what the checker reads."""
        runs_by_tag: dict[str, int] = {}
        for standin in self.standins:
            for tag, count in standin.runs_by_tag.items():
                runs_by_tag[tag] = runs_by_tag.get(tag, 0) + count
        return history.History(tuple(self.calls), runs_by_tag)

    def _published(self) -> dict[str, bytes]:
        service = configuration.service_value(
            instances=self._values,
            revision=self.version,
            floor=FLOOR,
            slots=SLOTS,
            demand=60.0 + self.version,
            cold_start=0.0,
            routes=paths.route_values(DEADLINE),
        )
        # All calls come from one caller, whose limit is not the matter here.
        return configuration.published(
            service,
            version=self.version,
            default_limit={"rate": 10_000.0, "burst": 10_000},
        )

    async def _look(self) -> None:
        while True:
            for vm in self.running:
                told = vm.daemon.read_status()
                version = told["configuration"]["version"]
                self.versions_by_vm.setdefault(vm.id, []).append(version)
                in_rotation = sum(
                    each["state"] not in OUT
                    for each in told["services"][0]["instances"]
                )
                self.fewest_in_rotation = min(
                    self.fewest_in_rotation, in_rotation
                )
            await trio.sleep(LOOK_INTERVAL)

    async def _call_often(self, number: int) -> None:
        generator = random.Random(number)
        addresses = [vm.callers for vm in self.running]
        async with httpcore.AsyncConnectionPool() as pool:
            while not self._stopped:
                address = generator.choice(addresses)
                tag = f"t{next(self._tags)}"
                idempotent = generator.random() < 0.6
                call = await _call(pool, address, tag, idempotent)
                self.calls.append(call)
                await trio.sleep(CALL_PAUSE)


async def _call(
    pool: httpcore.AsyncConnectionPool,
    address: str,
    tag: str,
    idempotent: bool,
) -> history.Call:
    target = paths.IDEMPOTENT_PATH if idempotent else paths.ONCE_PATH
    expected = f"{tag} res-".encode()
    call = history.Call(tag, idempotent, expected, len(expected) + 1)
    try:
        response = await pool.request(
            "GET" if idempotent else "POST",
            f"http://{address}{target}",
            headers={"x-request-id": tag},
        )
    except (httpcore.NetworkError, httpcore.ProtocolError):
        return call._replace(broken=True)
    return paths.told(call, response)


class Failure(typing.NamedTuple):
    """Begins and ends one failure of a bench."""

    begin: typing.Callable[[Bench], None]
    end: typing.Callable[[Bench], None]


def _sicken(number: int, sick: faults.Sickness) -> Failure:
    return Failure(
        lambda bench: bench.standins[number].set_sickness(sick),
        lambda bench: bench.standins[number].set_sickness(faults.Sickness()),
    )


def _set_platform(mode: typing.Callable[[Bench], typing.Any]) -> Failure:
    def begin(bench: Bench) -> None:
        bench.fleet.platform.mode = mode(bench)

    def end(bench: Bench) -> None:
        bench.fleet.platform.mode = platform_modes.Working()

    return Failure(begin, end)


def _cut(*directions: tuple[int, int]) -> Failure:
    def begin(bench: Bench) -> None:
        for source, target in directions:
            bench.cuts.cut(bench.running[source], bench.running[target])

    return Failure(begin, lambda bench: bench.cuts.pairs.clear())


def _nothing(bench: Bench) -> None:
    return


def _leave(bench: Bench) -> None:
    """Let a VM leave while callers go on using its address."""
    bench.let_leave(bench.running[3])


FAILURES_BY_NAME = {
    "gray": _sicken(0, faults.Sickness(faults.Mode.STALL)),
    "flapping": _sicken(
        1,
        faults.Sickness(faults.Mode.CLOSE_AFTER_RUN, 1.0, FLAPPING_PERIOD),
    ),
    "one_way_cut": _cut((0, 1)),
    "split": _cut(
        *itertools.product((0, 1), (2, 3)), *itertools.product((2, 3), (0, 1))
    ),
    "store_down": _set_platform(lambda bench: platform_modes.Down()),
    "store_stale": _set_platform(
        lambda bench: bench.fleet.platform.snapshot()
    ),
    "pause": Failure(lambda bench: time.sleep(PAUSE), _nothing),
    "old_addresses": Failure(_leave, _nothing),
}
