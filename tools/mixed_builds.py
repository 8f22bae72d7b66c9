"""Run entry VMs of two builds side by side before stand-ins.

Each build is a file as ``make binary`` makes it. Run it with the project's
interpreter: ``python -m tools.mixed_builds OLD NEW``. It checks that VMs of
both builds carry requests, that each build hears from the other of an
instance that fails and of one that is leaving, and that no request is lost
while the old VMs are replaced by new ones. It exits with 1 where a check
fails; each wait is bounded.
"""

import collections
import json
import pathlib
import random
import subprocess
import sys
import tempfile
import typing

import httpcore
import trio

from primrosemill.standins import asgi
from primrosemill.standins import users_instance
from primrosemill.standins import users_store
from tests.builders import users_platform

VMS = 4  # the first half of the old build
INSTANCES = 6
WAIT = 30.0  # seconds that a check may take
START = 2.0  # seconds that VMs that serve get to know each other
POLL = 0.05  # seconds
CALL_GAP = 0.02  # seconds between the requests of a caller
CALLERS = 4
# A stand-in picks the manner of an answer when it starts to wait for the
# request, so an idle connection keeps an old one; VMs close those after 10 s.
IDLE_TIME = 11.0  # seconds
STOP = 6  # seconds that a stopping VM may take

SETTINGS = """[vm]
fleet = mixed
id = entry-{number}
domain = ain-sebaa

[feed]
address = {store}

[listen]
callers = {addresses[0]}
ready = {addresses[1]}
directory = {addresses[2]}
peers = {addresses[3]}
admin = {addresses[4]}

[peers]
first = {first}

[limits]
stop_seconds = {stop}

[retries]
slack = 60
"""


class CheckFailed(Exception):
    """A check did not hold within its time."""


class Vm:
    """A place for the process of an entry VM, which may be replaced."""

    def __init__(self, number: int, folder: pathlib.Path) -> None:
        self.number = number
        self.ip = f"127.0.6.{number + 1}"
        ports = [users_platform.free_port(self.ip) for _ in range(5)]
        self.addresses = [f"{self.ip}:{port}" for port in ports]
        self.settings = folder / f"entry-{number}.ini"
        self.log = folder / f"entry-{number}.log"
        self.process: subprocess.Popen | None = None

    def start(self, build: str) -> None:
        """Start a process of a build; its log goes on."""
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                [build, "entry", "--settings", str(self.settings)],
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def records(self) -> list[dict[str, typing.Any]]:
        """Return the lines logged so far."""
        records = []
        for line in self.log.read_text().splitlines():
            if line.startswith("{") and line.endswith("}"):
                records.append(json.loads(line))
        return records


class Fleet:
    """Entry VMs, their stand-ins, and what callers were answered."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.vms = [Vm(number, folder) for number in range(VMS)]
        self.store = users_store.StoreStandin()
        self.instances = [
            users_instance.InstanceStandin(f"i-{number}", 0.01)
            for number in range(INSTANCES)
        ]
        self.serving = list(self.vms)
        self.statuses: collections.Counter[str] = collections.Counter()
        self._calls = 0

    async def start(self, nursery: trio.Nursery, builds: list[str]) -> None:
        """Start the stand-ins and a VM of each build named."""
        served = await nursery.start(asgi.serve, self.store, users_platform.IP)
        for instance in self.instances:
            place = await nursery.start(instance.serve, users_platform.IP)
            self.store.put_json(
                f"servers/{instance.id}", users_platform.entry(place.address)
            )
        self.store.put_json("op/config", users_platform.configuration())
        for vm, build in zip(self.vms, builds, strict=True):
            vm.settings.write_text(
                SETTINGS.format(
                    number=vm.number,
                    store=served.address,
                    addresses=vm.addresses,
                    first=", ".join(each.addresses[3] for each in self.vms),
                    stop=STOP,
                )
            )
            vm.start(build)
        for vm in self.vms:
            await self.wait_ready(vm)
        await trio.sleep(START)

    async def wait_ready(self, vm: Vm) -> None:
        """Wait until a VM says that it is ready."""

        async def is_ready() -> bool:
            try:
                answer = await users_platform.get(
                    vm.addresses[1], "/-/readiness"
                )
            except httpcore.ConnectError:
                return False
            return answer.status == 200

        await wait_for(is_ready, f"entry-{vm.number} is ready")

    async def call(self, vm: Vm, target: str, method: str = "GET") -> str:
        """Send one request; return its status or the name of its error."""
        self._calls += 1
        try:
            async with httpcore.AsyncConnectionPool() as pool:
                answer = await pool.request(
                    method,
                    f"http://{vm.addresses[0]}{target}",
                    headers={
                        "host": users_platform.HOST,
                        "primrosemill-request-id": f"r{self._calls}",
                        "primrosemill-request-deadline": "2000",
                    },
                )
        except (httpcore.NetworkError, httpcore.ProtocolError) as error:
            return type(error).__name__
        return str(answer.status)

    async def find_used(self, vm: Vm) -> users_instance.InstanceStandin:
        """Return the instance that a VM sends a request to."""
        counts_by_id = {each.id: len(each.runs) for each in self.instances}
        await self.call(vm, users_platform.READ_PATH)
        for instance in self.instances:
            if len(instance.runs) > counts_by_id[instance.id]:
                return instance
        raise CheckFailed(f"entry-{vm.number} uses an instance")

    async def call_often(self) -> None:
        """Send requests of both kinds until cancelled."""
        generator = random.Random(self._calls)
        while True:
            vm = generator.choice(self.serving)
            once = generator.random() < 0.5
            with trio.CancelScope(shield=True):
                status = await self.call(
                    vm,
                    users_platform.ONCE_PATH
                    if once
                    else users_platform.READ_PATH,
                    "POST" if once else "GET",
                )
            self.statuses[status] += 1
            await trio.sleep(CALL_GAP)


async def wait_for(
    condition: typing.Callable[[], typing.Awaitable[bool]], what: str
) -> None:
    """Wait until a condition holds; raise CheckFailed where it does not."""
    with trio.move_on_after(WAIT):
        while True:
            if await condition():
                print(f"holds: {what}")
                return
            await trio.sleep(POLL)
    raise CheckFailed(what)


async def check_carries(fleet: Fleet) -> None:
    """Check that each VM carries requests of both kinds."""
    for vm in fleet.vms:
        for target, method in (
            (users_platform.READ_PATH, "GET"),
            (users_platform.ONCE_PATH, "POST"),
        ):
            for _ in range(10):
                status = await fleet.call(vm, target, method)
                if status != "200":
                    raise CheckFailed(f"entry-{vm.number} answered {status}")
        print(f"holds: entry-{vm.number} carries requests")


async def check_heard(fleet: Fleet, teller: Vm, hearer: Vm) -> None:
    """Check that a VM hears from another of a failing instance.

    One failure may leave an instance trusted, which is not logged; so every
    instance that the teller turns to fails until the hearer's trust changes.
    """
    before = len(hearer.records())
    failing_ids = set()

    async def is_heard() -> bool:
        instance = await fleet.find_used(teller)
        instance.manner = users_instance.Manner.ERROR
        failing_ids.add(instance.id)
        await fleet.call(teller, users_platform.READ_PATH)
        return any(
            record.get("event") == "trust_changed"
            and record["instance_id"] in failing_ids
            and record["cause"] == "peer"
            for record in hearer.records()[before:]
        )

    await wait_for(
        is_heard,
        f"entry-{hearer.number} hears from entry-{teller.number} that an "
        "instance fails",
    )
    for instance in fleet.instances:
        instance.manner = users_instance.Manner.WELL
    await trio.sleep(IDLE_TIME)


async def check_departure_heard(fleet: Fleet, teller: Vm, hearer: Vm) -> None:
    """Check that a VM hears from another of a leaving instance."""
    instance = await fleet.find_used(teller)
    instance.leaving = True

    async def is_heard() -> bool:
        await fleet.call(teller, users_platform.READ_PATH)
        return any(
            record.get("event") == "instance_leaving"
            and record["instance_id"] == instance.id
            and record["source"] == "peer"
            for record in hearer.records()
        )

    await wait_for(
        is_heard,
        f"entry-{hearer.number} hears from entry-{teller.number} that "
        f"{instance.id} is leaving",
    )


async def replace(fleet: Fleet, vm: Vm, build: str) -> None:
    """Stop a VM that callers are no longer sent to, and start a build."""
    fleet.serving.remove(vm)
    process = vm.process
    process.terminate()

    async def has_ended() -> bool:
        return process.poll() is not None

    await wait_for(has_ended, f"entry-{vm.number} of the old build stops")
    vm.start(build)
    await fleet.wait_ready(vm)
    fleet.serving.append(vm)


async def check_replacement(fleet: Fleet, build: str) -> None:
    """Check that nothing is lost while the old VMs are replaced."""
    async with trio.open_nursery() as calls:
        for _ in range(CALLERS):
            calls.start_soon(fleet.call_often)
        await trio.sleep(START)
        for vm in fleet.vms[: VMS // 2]:
            await replace(fleet, vm, build)
            await trio.sleep(START)
        calls.cancel_scope.cancel()
    print(f"requests by status during the replacement: {fleet.statuses}")
    if set(fleet.statuses) != {"200"}:
        raise CheckFailed("no request is lost during the replacement")


async def run(old: str, new: str, folder: pathlib.Path) -> None:
    """Play the checks in order."""
    fleet = Fleet(folder)
    half = VMS // 2
    try:
        async with trio.open_nursery() as nursery:
            await fleet.start(nursery, [old] * half + [new] * half)
            first_old, first_new = fleet.vms[0], fleet.vms[half]
            await check_carries(fleet)
            await check_heard(fleet, first_old, first_new)
            await check_heard(fleet, first_new, first_old)
            await check_departure_heard(fleet, first_old, first_new)
            await check_departure_heard(fleet, first_new, first_old)
            await check_replacement(fleet, new)
            await check_carries(fleet)
            nursery.cancel_scope.cancel()
    finally:
        for vm in fleet.vms:
            if vm.process is not None:
                vm.process.kill()
                vm.process.wait()


def main() -> int:
    """Check two builds; logs and settings stay where a check fails."""
    old, new = sys.argv[1:]
    folder = pathlib.Path(tempfile.mkdtemp())
    failed = []
    try:
        trio.run(run, old, new, folder)
    except* CheckFailed as group:
        failed += group.exceptions
    for error in failed:
        print(f"failed: {error}; logs in {folder}")
    if failed:
        return 1
    print(f"both builds work side by side; logs in {folder}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
