"""Check that entry VMs of two builds work in one fleet.

Usage: ``python -m tools.mixed_builds OLD NEW``, where each build is a file
made by ``make binary``. The VMs use stand-in instances and a stand-in store.
The checks are that VMs of both builds serve requests, that VMs of each build
report failing and leaving instances to those of the other, that new VMs serve
and refuse keys while old VMs are beside them, and that no request with a key
is lost while the old VMs are replaced. ``--no-customers`` leaves out keys, for
a new side whose build does not know customers, as on the way back. The exit
status is 1 if a check fails; each wait is bounded.
"""

import argparse
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

from primrosemill.configuration import document as documents
from primrosemill.standins import asgi
from primrosemill.standins import users_instance
from primrosemill.standins import users_store
from tests.builders import customers
from tests.builders import users_platform

VM_COUNT = 4  # the first half runs the old build
INSTANCE_COUNT = 6
CHECK_TIMEOUT = 30.0  # seconds that a check may take
SETTLING_SECONDS = 2.0  # seconds in which serving VMs get to know each other
POLL_INTERVAL = 0.05  # seconds
CALL_INTERVAL = 0.02  # seconds between the requests of a caller
CALLER_COUNT = 4
# A stand-in picks the manner of an answer when it starts to wait for the
# request, so an idle connection keeps an old one; VMs close those after 10 s.
IDLE_CONNECTION_TIMEOUT = 11.0  # seconds
STOP_TIMEOUT = 6  # seconds that a stopping VM may take
WITHDRAWAL_MS = 5_000
UNKNOWN_KEY = "k-unknown-00"
KEY_ROUNDS = 20  # requests with each key to each new VM
FIRST_VERSION_WITH_CUSTOMERS = 10

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
# Builds before customers refuse settings that they do not know.
CUSTOMER_SETTINGS = f"""
[customers]
withdrawal_ms = {WITHDRAWAL_MS}
"""


class CheckFailed(Exception):
    """A check that failed or did not hold within its timeout."""


class Vm:
    """An entry VM whose process can be replaced by another build."""

    def __init__(self, number: int, folder: pathlib.Path) -> None:
        self.number = number
        self.ip = f"127.0.6.{number + 1}"
        ports = [users_platform.free_port(self.ip) for _ in range(5)]
        self.addresses = [f"{self.ip}:{port}" for port in ports]
        self.settings = folder / f"entry-{number}.ini"
        self.log = folder / f"entry-{number}.log"
        self.process: subprocess.Popen | None = None

    def start(self, build: str, settings: str) -> None:
        """Start a process of a build; it appends to the log."""
        self.settings.write_text(settings)
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                [build, "entry", "--settings", str(self.settings)],
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def records(self) -> list[dict[str, typing.Any]]:
        """Return the records logged so far."""
        records = []
        for line in self.log.read_text().splitlines():
            if line.startswith("{") and line.endswith("}"):
                records.append(json.loads(line))
        return records


class Fleet:
    """Entry VMs, their stand-ins, and the statuses that callers received.

    Requests have ``key``, if it is set.
    """

    def __init__(self, folder: pathlib.Path, new_settings: str = "") -> None:
        self.key: str | None = None
        self.version = FIRST_VERSION_WITH_CUSTOMERS
        self._new_settings = new_settings
        self._store_address = ""
        self.vms = [Vm(number, folder) for number in range(VM_COUNT)]
        self.store = users_store.StoreStandin()
        self.instances = [
            users_instance.InstanceStandin(f"i-{number}", 0.01)
            for number in range(INSTANCE_COUNT)
        ]
        self.serving_vms = list(self.vms)
        self.statuses: collections.Counter[str] = collections.Counter()
        self._call_count = 0

    async def start(self, nursery: trio.Nursery, builds: list[str]) -> None:
        """Start the stand-ins and one VM for each of the given builds."""
        served = await nursery.start(asgi.serve, self.store, users_platform.IP)
        for instance in self.instances:
            endpoint = await nursery.start(instance.serve, users_platform.IP)
            self.store.put_json(
                f"servers/{instance.id}",
                users_platform.entry(endpoint.address),
            )
        self.store.put_json("op/config", users_platform.configuration())
        self._store_address = served.address
        for vm, build in zip(self.vms, builds, strict=True):
            self.start_vm(vm, build, is_new=vm.number >= VM_COUNT // 2)
        for vm in self.vms:
            await self.wait_ready(vm)
        await trio.sleep(SETTLING_SECONDS)

    def start_vm(self, vm: Vm, build: str, is_new: bool) -> None:
        """Start a process of a build with the settings of its side."""
        settings = SETTINGS.format(
            number=vm.number,
            store=self._store_address,
            addresses=vm.addresses,
            first=", ".join(each.addresses[3] for each in self.vms),
            stop=STOP_TIMEOUT,
        )
        vm.start(build, settings + (self._new_settings if is_new else ""))

    def publish_customers(self, *published: documents.Customer) -> None:
        """Publish the next version, with customers."""
        self.version += 1
        self.store.put_json(
            "op/config",
            customers.configuration(*published, version=self.version),
        )

    async def wait_ready(self, vm: Vm) -> None:
        """Wait until a VM reports that it is ready."""

        async def is_ready() -> bool:
            try:
                response = await users_platform.get(
                    vm.addresses[1], "/-/readiness"
                )
            except httpcore.ConnectError:
                return False
            return response.status == 200

        await wait_for(is_ready, f"entry-{vm.number} is ready")

    async def call(
        self,
        vm: Vm,
        target: str,
        method: str = "GET",
        key: str | None = None,
    ) -> str:
        """Send a request and return the status or the name of the error."""
        self._call_count += 1
        key = key or self.key
        credentials = {} if key is None else {"authorization": f"Token {key}"}
        try:
            async with httpcore.AsyncConnectionPool() as pool:
                response = await pool.request(
                    method,
                    f"http://{vm.addresses[0]}{target}",
                    headers={
                        "host": users_platform.HOST,
                        "primrosemill-request-id": f"r{self._call_count}",
                        "primrosemill-request-deadline": "2000",
                        **credentials,
                    },
                )
        except (httpcore.NetworkError, httpcore.ProtocolError) as error:
            return type(error).__name__
        return str(response.status)

    async def find_used_instance(
        self, vm: Vm
    ) -> users_instance.InstanceStandin:
        """Send a request to a VM and return the instance that served it."""
        counts_by_id = {each.id: len(each.runs) for each in self.instances}
        await self.call(vm, users_platform.READ_PATH)
        for instance in self.instances:
            if len(instance.runs) > counts_by_id[instance.id]:
                return instance
        raise CheckFailed(f"entry-{vm.number} uses an instance")

    async def send_calls(self) -> None:
        """Send idempotent and non-idempotent requests until cancelled."""
        generator = random.Random(self._call_count)
        while True:
            vm = generator.choice(self.serving_vms)
            non_idempotent = generator.random() < 0.5
            with trio.CancelScope(shield=True):
                status = await self.call(
                    vm,
                    users_platform.ONCE_PATH
                    if non_idempotent
                    else users_platform.READ_PATH,
                    "POST" if non_idempotent else "GET",
                )
            self.statuses[status] += 1
            await trio.sleep(CALL_INTERVAL)


async def wait_for(
    condition: typing.Callable[[], typing.Awaitable[bool]], description: str
) -> None:
    """Wait until a condition holds.

    Raises:
        CheckFailed: The condition did not hold within the timeout.
    """
    with trio.move_on_after(CHECK_TIMEOUT):
        while True:
            if await condition():
                print(f"holds: {description}")
                return
            await trio.sleep(POLL_INTERVAL)
    raise CheckFailed(description)


async def check_serving(fleet: Fleet) -> None:
    """Check that each VM serves idempotent and other requests."""
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


async def check_failure_report(fleet: Fleet, sender: Vm, receiver: Vm) -> None:
    """Check that a VM hears from another of a failing instance.

    A single failure may leave an instance trusted, which is not logged.
    Therefore every instance that the sender turns to fails until the trust
    of the receiver changes.
    """
    previous_count = len(receiver.records())
    failing_ids = set()

    async def is_received() -> bool:
        instance = await fleet.find_used_instance(sender)
        instance.mode = users_instance.ResponseMode.ERROR
        failing_ids.add(instance.id)
        await fleet.call(sender, users_platform.READ_PATH)
        return any(
            record.get("event") == "trust_changed"
            and record["instance_id"] in failing_ids
            and record["cause"] == "peer"
            for record in receiver.records()[previous_count:]
        )

    await wait_for(
        is_received,
        f"entry-{receiver.number} hears from entry-{sender.number} that an "
        "instance fails",
    )
    for instance in fleet.instances:
        instance.mode = users_instance.ResponseMode.NORMAL
    await trio.sleep(IDLE_CONNECTION_TIMEOUT)


async def check_departure_report(
    fleet: Fleet, sender: Vm, receiver: Vm
) -> None:
    """Check that a VM reports a leaving instance to another VM."""
    instance = await fleet.find_used_instance(sender)
    instance.leaving = True

    async def is_received() -> bool:
        await fleet.call(sender, users_platform.READ_PATH)
        return any(
            record.get("event") == "instance_leaving"
            and record["instance_id"] == instance.id
            and record["source"] == "peer"
            for record in receiver.records()
        )

    await wait_for(
        is_received,
        f"entry-{receiver.number} hears from entry-{sender.number} that "
        f"{instance.id} is leaving",
    )


async def check_customers(fleet: Fleet, vms: list[Vm]) -> None:
    """Check that VMs serve keys of the configuration and no others.

    A key is published, used, and withdrawn; another one stays.
    """
    fleet.publish_customers(customers.CUSTOMER, customers.OTHER_CUSTOMER)
    for vm in vms:
        await _wait_for_status(fleet, vm, customers.KEY, "200")
        await _wait_for_status(fleet, vm, UNKNOWN_KEY, "401")
    for _ in range(KEY_ROUNDS):
        for vm in vms:
            await _check_status(fleet, vm, customers.KEY, "200")
            await _check_status(fleet, vm, UNKNOWN_KEY, "401")
    fleet.publish_customers(customers.OTHER_CUSTOMER)
    for vm in vms:
        await _wait_for_status(fleet, vm, customers.KEY, "401")
    for _ in range(KEY_ROUNDS):
        for vm in vms:
            await _check_status(fleet, vm, customers.OTHER_KEY, "200")
            await _check_status(fleet, vm, customers.KEY, "401")
    print(f"holds: {[vm.number for vm in vms]} serve and refuse keys")


async def _wait_for_status(
    fleet: Fleet, vm: Vm, key: str, status: str
) -> None:
    async def is_answered() -> bool:
        answer = await fleet.call(vm, users_platform.READ_PATH, key=key)
        return answer == status

    await wait_for(is_answered, f"entry-{vm.number} gives {key} {status}")


async def _check_status(fleet: Fleet, vm: Vm, key: str, status: str) -> None:
    answer = await fleet.call(vm, users_platform.READ_PATH, key=key)
    if answer != status:
        raise CheckFailed(
            f"entry-{vm.number} gives {key} {status}, but gave {answer}"
        )


async def replace(fleet: Fleet, vm: Vm, build: str) -> None:
    """Stop a VM that gets no more requests and start a build in its place."""
    fleet.serving_vms.remove(vm)
    process = vm.process
    process.terminate()

    async def has_ended() -> bool:
        return process.poll() is not None

    await wait_for(has_ended, f"entry-{vm.number} of the old build stops")
    fleet.start_vm(vm, build, is_new=True)
    await fleet.wait_ready(vm)
    fleet.serving_vms.append(vm)


async def check_replacement(fleet: Fleet, build: str) -> None:
    """Check that no request is lost while the old VMs are replaced."""
    async with trio.open_nursery() as call_nursery:
        for _ in range(CALLER_COUNT):
            call_nursery.start_soon(fleet.send_calls)
        await trio.sleep(SETTLING_SECONDS)
        for vm in fleet.vms[: VM_COUNT // 2]:
            await replace(fleet, vm, build)
            await trio.sleep(SETTLING_SECONDS)
        call_nursery.cancel_scope.cancel()
    print(f"requests by status during the replacement: {fleet.statuses}")
    if set(fleet.statuses) != {"200"}:
        raise CheckFailed("no request is lost during the replacement")


async def run(
    old_build: str,
    new_build: str,
    folder: pathlib.Path,
    with_customers: bool,
) -> None:
    """Run all checks in order."""
    fleet = Fleet(folder, CUSTOMER_SETTINGS if with_customers else "")
    half = VM_COUNT // 2
    try:
        async with trio.open_nursery() as nursery:
            await fleet.start(nursery, [old_build] * half + [new_build] * half)
            first_old, first_new = fleet.vms[0], fleet.vms[half]
            await check_serving(fleet)
            await check_failure_report(fleet, first_old, first_new)
            await check_failure_report(fleet, first_new, first_old)
            await check_departure_report(fleet, first_old, first_new)
            await check_departure_report(fleet, first_new, first_old)
            if with_customers:
                await check_customers(fleet, fleet.vms[half:])
                fleet.key = customers.OTHER_KEY
            await check_replacement(fleet, new_build)
            await check_serving(fleet)
            if with_customers:
                await check_customers(fleet, fleet.vms)
            nursery.cancel_scope.cancel()
    finally:
        for vm in fleet.vms:
            if vm.process is not None:
                vm.process.kill()
                vm.process.wait()


def main() -> int:
    """Check two builds and print the folder of the logs and settings."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("old_build", metavar="OLD")
    parser.add_argument("new_build", metavar="NEW")
    parser.add_argument("--no-customers", action="store_true")
    options = parser.parse_args()
    folder = pathlib.Path(tempfile.mkdtemp())
    failed = []
    try:
        trio.run(
            run,
            options.old_build,
            options.new_build,
            folder,
            not options.no_customers,
        )
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
