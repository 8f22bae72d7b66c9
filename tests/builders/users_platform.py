"""Runs entry VMs with stand-ins of the users' platform on loopback."""

import contextlib
import functools
import itertools
import random
import socket
import typing

import httpcore
import trio

from primrosemill.fleet import boot_clock
from primrosemill.fleet import feed_follower
from primrosemill.fleet import node
from primrosemill.measure import clients
from primrosemill.platform import adapter
from primrosemill.proxy import entry_settings
from primrosemill.proxy import entry_vm
from primrosemill.standins import asgi
from primrosemill.standins import users_instance
from primrosemill.standins import users_store
from tests.builders import answers

IP = "127.0.0.1"
HOST = "bookings.example"
SERVICE = "reservations"
READ_PATH = "/slots/today"
ONCE_PATH = "/bookings/new"
UPLOAD_PATH = "/certificates/new"
DOMAIN = "ain-sebaa"
FIRST_BIRTH = 1_000  # Unix time in milliseconds
# Several test processes choose ports at the same time. Each claims a range by
# the port before it, which it keeps. All are below the ephemeral ports.
MIN_PORT = 10_000
MAX_PORT = 20_000  # others are those of VMs in processes of their own
RANGE_SIZE = 500
CHECK_TIMEOUT = 30.0  # seconds that a check may take
START_TIMEOUT = 10.0  # seconds that a VM may take to serve


def route(prefix: str, kind: str, **changes) -> dict[str, typing.Any]:
    return {
        "name": f"route {prefix}",
        "host": HOST,
        "prefix": prefix,
        "route_type": kind,
        "timeout_ms": 2000,
        "target_latency_ms": 600,
        "priority": 1,
        "max_attempts": 2,
        "service": SERVICE,
    } | changes


def service(name: str = SERVICE, **changes) -> dict[str, typing.Any]:
    return {
        "name": name,
        "health_path": "/health",
        "max_connections": 330,
        "protocol": "h1",
        "tls": False,
    } | changes


def configuration(version: int = 3, **changes) -> dict[str, typing.Any]:
    return {
        "version": version,
        "routes": [
            route("/slots/", "idempotent"),
            route("/bookings/", "non_idempotent"),
            route("/certificates/", "upload"),
        ],
        "services": [service()],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 1_000_000,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    } | changes


def entry(address: str = "10.128.0.9:8080", **changes) -> dict:
    return {
        "service": SERVICE,
        "address": address,
        "zone": DOMAIN,
        "version": "v1",
        "slots": 3,
        "state": "ready",
        "warmup_left_ms": 0,
        "sequence": 4,
        "born": FIRST_BIRTH,
    } | changes


@functools.cache
def _claim_ports() -> tuple[socket.socket, typing.Iterator[int]]:
    """Return a socket that claims a range of ports, and these in turn."""
    for first in range(MIN_PORT, MAX_PORT, RANGE_SIZE):
        claim = socket.socket()
        try:
            claim.bind((IP, first))
        except OSError:
            claim.close()
            continue
        return claim, itertools.cycle(range(first + 1, first + RANGE_SIZE))
    raise OSError("all ranges of ports are claimed")


def free_port(ip: str = IP) -> int:
    """Return a port that is free for TCP and UDP.

    No other test process takes it before the VM binds it, and none of the
    next calls returns it.
    """
    _, ports = _claim_ports()
    for port in ports:
        if clients.is_free(ip, port):
            return port
    raise OSError("no ports are claimed")


def settings(store_address: str, **changes) -> entry_settings.EntrySettings:
    ports = iter([free_port() for _ in range(5)])
    built = entry_settings.EntrySettings(
        "primrosemill",
        "entry-1",
        DOMAIN,
        store_address,
        *(f"{IP}:{port}" for port in ports),
        retry_slack=60.0,
    )
    return built._replace(**changes)


class Running(typing.NamedTuple):
    """One entry VM and the stand-ins around it."""

    vm: entry_vm.EntryVm
    settings: entry_settings.EntrySettings
    store: users_store.StoreStandin
    instances: list[users_instance.InstanceStandin]
    addresses: list[str]


class Fleet:
    """Entry VMs on one platform, each with a number from 1 on."""

    def __init__(
        self, nursery: trio.Nursery, store: users_store.StoreStandin
    ) -> None:
        self.store = store
        self.instances: list[users_instance.InstanceStandin] = []
        self.vms: list[Running] = []
        self._nursery = nursery
        self._store_address = ""
        self._addresses: list[str] = []

    async def start_platform(self, count: int, document: dict | None) -> None:
        """Start the store and some instances."""
        served = await self._nursery.start(asgi.serve, self.store, IP)
        self._store_address = served.address
        for number in range(count):
            instance = users_instance.InstanceStandin(f"i-{number}")
            endpoint = await self._nursery.start(instance.serve, IP)
            self.instances.append(instance)
            self._addresses.append(endpoint.address)
            instance.on_restart = functools.partial(
                self._register, instance, endpoint.address
            )
            instance.on_restart()
        self.store.put_json("op/config", document or configuration())

    def _register(
        self, instance: users_instance.InstanceStandin, address: str
    ) -> None:
        born = FIRST_BIRTH + instance.boot
        self.store.put_json(
            f"servers/{instance.id}", entry(address, born=born)
        )

    async def start_vm(
        self,
        clock: feed_follower.Clock = boot_clock.now,
        node_type: type[node.Node] = node.Node,
        **changes: typing.Any,
    ) -> Running:
        """Start a VM, which joins the others, and wait until it serves.

        ``node_type`` may be that of an older build.
        """
        number = len(self.vms) + 1
        vm_settings = settings(
            self._store_address,
            vm_id=f"entry-{number}",
            first_peers=tuple(
                each.settings.peer_address for each in self.vms[:1]
            ),
        )._replace(**changes)
        vm = entry_vm.EntryVm(
            vm_settings,
            adapter.make_adapter(vm_settings.feed_address),
            random.Random(number),
            clock,
        )
        vm.peers.node.__class__ = node_type
        self._nursery.start_soon(vm.run)
        built = Running(
            vm, vm_settings, self.store, self.instances, self._addresses
        )
        await wait_until_ready(built)
        self.vms.append(built)
        return built


@contextlib.asynccontextmanager
async def running(
    count: int = 2, document: dict | None = None, **changes: typing.Any
):
    """Run a VM with some instances and yield it when it serves."""
    async with running_fleet(0, count, document) as fleet:
        yield await fleet.start_vm(**changes)


@contextlib.asynccontextmanager
async def running_fleet(
    vm_count: int, count: int = 2, document: dict | None = None
):
    """Run VMs with some instances and yield the fleet when they serve."""
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery, users_store.StoreStandin())
        await fleet.start_platform(count, document)
        for _ in range(vm_count):
            await fleet.start_vm()
        yield fleet
        nursery.cancel_scope.cancel()


def run(check, *args, **kwargs) -> None:
    """Run a check with a VM that serves."""
    _run(check, running(*args, **kwargs))


def run_fleet(check, vm_count: int, **kwargs) -> typing.Any:
    """Run a check with a fleet whose VMs serve; return its result."""
    return _run(check, running_fleet(vm_count, **kwargs))


def _run(check, context) -> typing.Any:
    async def main() -> typing.Any:
        with trio.fail_after(CHECK_TIMEOUT):
            async with context as built:
                return await check(built)

    return trio.run(main)


async def wait_until_met(fleet: Fleet) -> None:
    """Wait until each VM of a fleet knows that all others accept callers."""
    with trio.fail_after(START_TIMEOUT):
        for built in fleet.vms:
            while len(fleet.vms) - 1 > sum(
                member["state"] == "live"
                for member in built.vm.read_status()["members"]
            ):
                await trio.sleep(0.05)


async def wait_until_ready(built: Running) -> None:
    with trio.fail_after(START_TIMEOUT):
        while True:
            try:
                response = await get(
                    built.settings.ready_address, "/-/readiness"
                )
                served = await get(built.settings.caller_address, "/")
            except httpcore.ConnectError:
                await trio.sleep(0.05)
                continue
            if response.status == 200 and served.status == 404:
                return
            await trio.sleep(0.05)


async def get(address: str, target: str) -> httpcore.Response:
    async with httpcore.AsyncConnectionPool() as pool:
        return await pool.request("GET", f"http://{address}{target}")


async def call(
    built: Running,
    target: str,
    request_id: str = "r1",
    method: str = "GET",
    time_left: int = 2000,
    content: typing.Any = None,
) -> httpcore.Response:
    async with httpcore.AsyncConnectionPool() as pool:
        return await pool.request(
            method,
            f"http://{built.settings.caller_address}{target}",
            headers={
                "host": HOST,
                "primrosemill-request-id": request_id,
                "primrosemill-request-deadline": str(time_left),
            },
            content=content,
        )


class Refusal(typing.NamedTuple):
    """An answer that refuses a request; times in seconds."""

    reason: str
    retry_after: float
    elapsed: float


async def call_refused(built: Running, request_id: str) -> Refusal:
    """Send a request that must be refused with status 503."""
    started = trio.current_time()
    response = await call(built, READ_PATH, request_id)
    assert response.status == 503, response.status
    return Refusal(
        answers.header(response, "x-outcome-reason"),
        float(answers.header(response, "retry-after")),
        trio.current_time() - started,
    )


def runs(built: Running) -> list[users_instance.Run]:
    """Return the runs of all instances."""
    return [run for each in built.instances for run in each.runs]
