"""Runs a fleet with callers under the failures named in the requirements.

Each failure is a pair of functions that begin and end it, so that any two
failures can be combined.
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
VM_COUNT = 4
INSTANCE_COUNT = 6
FLOOR = 3
SLOTS = 3
CALLER_COUNT = 6
DEADLINE = 2.0  # seconds
CALL_INTERVAL = 0.01  # seconds
SERVICE_TIME = 0.004  # seconds
FLAPPING_PERIOD = 0.4  # seconds
# Longer than the delay of a tick that the fleet tolerates.
PROCESS_PAUSE = 1.3  # seconds
POLL_INTERVAL = 0.02  # seconds
OUT_STATES = frozenset({standings.State.AVOIDED, standings.State.EJECTED})


class NetworkCuts:
    """Drops messages between VMs, in one direction each.

    ``pairs`` holds the addresses of senders and targets.
    """

    def __init__(self, case: typing.Any) -> None:
        self.pairs: set[tuple[str, str]] = set()
        send = transport.Transport.send
        open_pull_connection = transport.Transport.open_pull_connection

        async def send_unless_cut(sender, ip, port, message):
            if (sender._ip, ip) not in self.pairs:
                await send(sender, ip, port, message)

        def cut_pull_connection(sender, ip, port):
            directions = {(sender._ip, ip), (ip, sender._ip)}
            # Nothing listens on port 1.
            return open_pull_connection(
                sender, ip, 1 if directions & self.pairs else port
            )

        case.patch(transport.Transport, "send", send_unless_cut)
        case.patch(
            transport.Transport, "open_pull_connection", cut_pull_connection
        )

    def cut(self, source: vms.RunningVm, target: vms.RunningVm) -> None:
        """Drop all messages from one VM to another."""
        self.pairs.add((source.ip, target.ip))


class FleetHarness:
    """A fleet with instances and callers, and the record of their calls."""

    def __init__(self, nursery: trio.Nursery, cuts: NetworkCuts) -> None:
        self.cuts = cuts
        self.fleet = vms.Fleet(nursery, answer_lifetime=60.0)
        self.standins = [
            instance.InstanceStandin(
                f"res-{number}",
                SLOTS,
                SERVICE_TIME,
                generator=random.Random(number),
            )
            for number in range(INSTANCE_COUNT)
        ]
        self.calls: list[history.Call] = []
        self.versions_by_vm: dict[str, list[int]] = {}
        self.min_in_rotation = INSTANCE_COUNT
        self.version = 1
        self._nursery = nursery
        self._instance_values: list[dict] = []
        self._calls_stopped = False
        self._tags = itertools.count()

    @property
    def running_vms(self) -> list[vms.RunningVm]:
        """Return the VMs in the order of their start."""
        return list(self.fleet.vms_by_id.values())

    async def start(self) -> None:
        """Start instances and VMs; return when all VMs know each other."""
        addresses = await paths.start_standins(self._nursery, self.standins)
        self._instance_values = [
            configuration.instance_value(number, address=address)
            for number, address in enumerate(addresses)
        ]
        await self.fleet.start_platform(self._build_version())
        await self.fleet.start_all(VM_COUNT)
        self._nursery.start_soon(self._poll_statuses)

    def publish(self) -> None:
        """Publish the next version."""
        self.version += 1
        self.fleet.platform.publish(self._build_version())

    async def wait_until_in_force(self) -> None:
        """Wait until the newest version is in force on every VM."""
        while any(
            versions[-1] < self.version
            for versions in self.versions_by_vm.values()
        ):
            await trio.sleep(POLL_INTERVAL)

    def stop_vm(self, vm: vms.RunningVm) -> None:
        """Ask a VM to stop; it still serves its callers for a long time."""
        self._nursery.start_soon(vm.daemon.stop, "test")

    async def send_calls_for(self, seconds: float) -> None:
        """Send calls to the addresses of all VMs for some seconds."""
        self._calls_stopped = False
        async with trio.open_nursery() as nursery:
            for number in range(CALLER_COUNT):
                nursery.start_soon(self._send_calls, number)
            await trio.sleep(seconds)
            self._calls_stopped = True

    def history(self) -> history.History:
        """Return the history of all calls for the checker."""
        runs_by_tag: dict[str, int] = {}
        for standin in self.standins:
            for tag, count in standin.runs_by_tag.items():
                runs_by_tag[tag] = runs_by_tag.get(tag, 0) + count
        return history.History(tuple(self.calls), runs_by_tag)

    def _build_version(self) -> dict[str, bytes]:
        service = configuration.service_value(
            instances=self._instance_values,
            revision=self.version,
            floor=FLOOR,
            slots=SLOTS,
            demand=60.0 + self.version,
            cold_start=0.0,
            routes=paths.route_values(DEADLINE),
        )
        # All calls come from one caller, whose limit must not reject them.
        return configuration.published(
            service,
            version=self.version,
            default_limit={"rate": 10_000.0, "burst": 10_000},
        )

    async def _poll_statuses(self) -> None:
        while True:
            for vm in self.running_vms:
                status = vm.daemon.read_status()
                version = status["configuration"]["version"]
                self.versions_by_vm.setdefault(vm.id, []).append(version)
                in_rotation = sum(
                    each["state"] not in OUT_STATES
                    for each in status["services"][0]["instances"]
                )
                self.min_in_rotation = min(self.min_in_rotation, in_rotation)
            await trio.sleep(POLL_INTERVAL)

    async def _send_calls(self, number: int) -> None:
        generator = random.Random(number)
        addresses = [vm.caller_address for vm in self.running_vms]
        async with httpcore.AsyncConnectionPool() as pool:
            while not self._calls_stopped:
                address = generator.choice(addresses)
                tag = f"t{next(self._tags)}"
                idempotent = generator.random() < 0.6
                call = await _send_call(pool, address, tag, idempotent)
                self.calls.append(call)
                await trio.sleep(CALL_INTERVAL)


async def _send_call(
    pool: httpcore.AsyncConnectionPool,
    address: str,
    tag: str,
    idempotent: bool,
) -> history.Call:
    target = paths.IDEMPOTENT_PATH if idempotent else paths.NON_IDEMPOTENT_PATH
    expected = f"{tag} res-".encode()
    call = history.Call(tag, idempotent, expected, len(expected) + 1)
    try:
        response = await pool.request(
            "GET" if idempotent else "POST",
            f"http://{address}{target}",
            headers={"x-request-id": tag},
        )
    except (httpcore.NetworkError, httpcore.ProtocolError):
        return call._replace(incomplete=True)
    return paths.with_response(call, response)


class Failure(typing.NamedTuple):
    """Functions that begin and end one failure."""

    begin: typing.Callable[[FleetHarness], None]
    end: typing.Callable[[FleetHarness], None]


def _sickness(number: int, sickness: faults.InjectedFault) -> Failure:
    return Failure(
        lambda harness: harness.standins[number].set_sickness(sickness),
        lambda harness: harness.standins[number].set_sickness(
            faults.InjectedFault()
        ),
    )


def _set_platform(
    mode: typing.Callable[[FleetHarness], typing.Any],
) -> Failure:
    def begin(harness: FleetHarness) -> None:
        harness.fleet.platform.mode = mode(harness)

    def end(harness: FleetHarness) -> None:
        harness.fleet.platform.mode = platform_modes.Working()

    return Failure(begin, end)


def _cut(*directions: tuple[int, int]) -> Failure:
    def begin(harness: FleetHarness) -> None:
        for source, target in directions:
            harness.cuts.cut(
                harness.running_vms[source], harness.running_vms[target]
            )

    return Failure(begin, lambda harness: harness.cuts.pairs.clear())


def _do_nothing(harness: FleetHarness) -> None:
    return


def _stop_vm(harness: FleetHarness) -> None:
    """Stop a VM while callers keep using its address."""
    harness.stop_vm(harness.running_vms[3])


FAILURES_BY_NAME = {
    "gray": _sickness(0, faults.InjectedFault(faults.Mode.STALL)),
    "flapping": _sickness(
        1,
        faults.InjectedFault(
            faults.Mode.CLOSE_AFTER_RUN, 1.0, FLAPPING_PERIOD
        ),
    ),
    "one_way_cut": _cut((0, 1)),
    "split": _cut(
        *itertools.product((0, 1), (2, 3)), *itertools.product((2, 3), (0, 1))
    ),
    "store_down": _set_platform(lambda harness: platform_modes.Down()),
    "store_stale": _set_platform(
        lambda harness: harness.fleet.platform.snapshot()
    ),
    "pause": Failure(lambda harness: time.sleep(PROCESS_PAUSE), _do_nothing),
    "old_addresses": Failure(_stop_vm, _do_nothing),
}
