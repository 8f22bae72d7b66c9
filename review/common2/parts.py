"""Stand-ins of the users' platform, servers and clients, and started VMs.

They speak what PROTOCOL.md says, on loopback addresses, with the standard
library alone. Each case builds what it needs of these parts.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import typing
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
ZONE = "ain-sebaa"
HOST = "ficu95.example"
SERVICE = "huvo11a"
HISTORY = 2_000  # events that the store keeps
PAGE = 500  # items
Headers = dict[str, str]


class Record:
    """Writes what was sent, answered and run to record.txt of a case."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = open(folder / "record.txt", "w")  # noqa: SIM115
        self._started = time.monotonic()

    def write(self, text: str) -> None:
        age = time.monotonic() - self._started
        self._file.write(f"{age:9.4f} {text}\n")

    def close(self) -> None:
        self._file.close()


class Store:
    """The platform's store: paged reads and watches."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self.items: dict[str, dict[str, typing.Any]] = {}
        self.events: list[dict[str, typing.Any]] = []
        self.revision = 10
        self.era = 1
        self._changed = asyncio.Event()
        self.address = ""

    async def start(self, ip: str) -> None:
        server = await asyncio.start_server(self._serve, ip, 0)
        self.address = "{}:{}".format(*server.sockets[0].getsockname()[:2])

    def put(self, key: str, value: typing.Any) -> None:
        self.revision += 1
        created = self.items.get(key, {}).get("create_revision", self.revision)
        self.items[key] = {
            "key": key,
            "value": base64.b64encode(json.dumps(value).encode()).decode(),
            "revision": self.revision,
            "create_revision": created,
            "lease": 0,
        }
        self._add(self.items[key])
        self._record.write(f"store: put {key} at {self.revision}")

    def delete(self, key: str) -> None:
        self.revision += 1
        self.items.pop(key, None)
        self._add({"key": key, "revision": self.revision, "deleted": True})
        self._record.write(f"store: removed {key} at {self.revision}")

    def _add(self, event: dict[str, typing.Any]) -> None:
        self.events.append(event)
        del self.events[:-HISTORY]
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(
            OSError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                target = head.split(b" ", 2)[1].decode()
                status, body = await self._answer(target)
                content = json.dumps(body).encode()
                writer.write(
                    (
                        f"HTTP/1.1 {status} X\r\nStore-Era: {self.era}\r\n"
                        "Content-Type: application/json\r\n"
                        f"Content-Length: {len(content)}\r\n\r\n"
                    ).encode()
                    + content
                )
                await writer.drain()
        writer.close()

    async def _answer(self, target: str) -> tuple[int, typing.Any]:
        path, _, text = target.partition("?")
        query = dict(urllib.parse.parse_qsl(text))
        prefix, after = query.get("prefix", ""), query.get("after", "")
        if path == "/-/kv-key":
            item = self.items.get(query.get("key", ""))
            return (404, {}) if item is None else (200, item)
        if path == "/-/kv-range":
            keys = sorted(
                each
                for each in self.items
                if each.startswith(prefix) and each > after
            )
            return 200, {
                "items": [self.items[each] for each in keys[:PAGE]],
                "has_more": len(keys) > PAGE,
                "store_revision": self.revision,
            }
        if path == "/-/kv-watch":
            return await self._watch(prefix, int(after), int(query["wait_ms"]))
        return 404, {}

    async def _watch(
        self, prefix: str, after: int, wait_ms: int
    ) -> tuple[int, typing.Any]:
        ends = time.monotonic() + wait_ms / 1000
        while True:
            if after > self.revision:
                return 410, {}
            events = [
                each
                for each in self.events
                if each["revision"] > after and each["key"].startswith(prefix)
            ]
            left = ends - time.monotonic()
            if events or left <= 0:
                return 200, {
                    "events": events,
                    "store_revision": self.revision,
                }
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)


class Run(typing.NamedTuple):
    """A request that an instance began to work on."""

    at: float
    request_id: str
    method: str
    target: str
    body: bytes


class Instance:
    """A server that answers each request after its work."""

    def __init__(
        self,
        record: Record,
        instance_id: str,
        slots: int = 3,
        work: float = 0.02,
        service: str = SERVICE,
    ) -> None:
        self._record = record
        self.id = instance_id
        self.slots = slots
        self.work = work
        self.service = service
        self.address = ""
        self.runs: list[Run] = []
        self._free = asyncio.Semaphore(slots)
        self.born = int(time.time() * 1000)

    async def start(self, ip: str) -> None:
        server = await asyncio.start_server(
            self._serve, ip, 0, backlog=1024, limit=2**20
        )
        self.address = "{}:{}".format(*server.sockets[0].getsockname()[:2])

    def entry(self, state: str = "ready") -> dict[str, typing.Any]:
        return {
            "service": self.service,
            "address": self.address,
            "zone": ZONE,
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "warmup_left_ms": 0,
            "sequence": 1,
            "born": self.born,
        }

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(
            OSError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):
            while True:
                request = await read_request(reader)
                await self.handle(*request, writer)
        writer.close()

    async def handle(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        writer: asyncio.StreamWriter,
    ) -> None:
        request_id = headers.get("primrosemill-request-id", "")
        if headers.get("primrosemill-expect-instance", self.id) != self.id:
            writer.write(
                b"HTTP/1.1 421 X\r\nContent-Length: 0\r\n"
                b"Primrosemill-Instance-Id: " + self.id.encode() + b"\r\n"
                b"Primrosemill-Request-Id: "
                + request_id.encode()
                + b"\r\n\r\n"
            )
            await writer.drain()
            return
        async with self._free:
            run = Run(time.monotonic(), request_id, method, target, body)
            self.runs.append(run)
            self._record.write(f"{self.id}: runs {request_id} {target}")
            await asyncio.sleep(self.work)
        writer.write(self.build_answer(request_id, body))
        await writer.drain()

    def build_answer(self, request_id: str, body: bytes) -> bytes:
        content = f"done {request_id} by {self.id}".encode()
        return (
            f"HTTP/1.1 200 OK\r\nPrimrosemill-Request-Id: {request_id}\r\n"
            f"Primrosemill-Server-Signature: {self.id}.{request_id}\r\n"
            f"Primrosemill-Instance-Load: 0,0,{self.slots}\r\n"
            f"Content-Length: {len(content)}\r\n\r\n"
        ).encode() + content


async def read_head(
    reader: asyncio.StreamReader,
) -> tuple[list[str], Headers]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first.split(" ", 2), headers


async def read_body(reader: asyncio.StreamReader, headers: Headers) -> bytes:
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:size]
            if not size:
                return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


async def read_request(
    reader: asyncio.StreamReader,
) -> tuple[str, str, Headers, bytes]:
    (method, target, _), headers = await read_head(reader)
    return method, target, headers, await read_body(reader, headers)


class Answer(typing.NamedTuple):
    """A complete answer; status 0 if the connection ended without one."""

    status: int
    headers: Headers
    body: bytes


NO_ANSWER = Answer(0, {}, b"")


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    try:
        first, headers = await read_head(reader)
        body = await read_body(reader, headers)
        return Answer(int(first[1]), headers, body)
    except (OSError, asyncio.IncompleteReadError, ValueError):
        return NO_ANSWER


def new_id(generator: random.Random) -> str:
    return f"{generator.getrandbits(64):016x}"


def request_head(
    method: str,
    target: str,
    request_id: str,
    deadline_ms: int,
    length: int | None = None,
) -> bytes:
    text = (
        f"{method} {target} HTTP/1.1\r\nHost: {HOST}\r\n"
        f"Primrosemill-Request-Id: {request_id}\r\n"
        f"Primrosemill-Request-Deadline: {deadline_ms}\r\n"
    )
    if length is not None:
        text += f"Content-Length: {length}\r\n"
    return (text + "\r\n").encode()


def configuration(
    routes: dict[str, str], version: int = 7, **extra: typing.Any
) -> dict[str, typing.Any]:
    """Return a configuration with a route for each prefix and its type."""
    return {
        "version": version,
        "routes": [
            {
                "name": f"r-{number}",
                "host": HOST,
                "prefix": prefix,
                "route_type": route_type,
                "timeout_ms": 4000,
                "target_latency_ms": 600,
                "priority": 1,
                "service": SERVICE,
                "max_attempts": 2,
            }
            | extra
            for number, (prefix, route_type) in enumerate(routes.items())
        ],
        "services": [
            {
                "name": SERVICE,
                "health_path": "/health",
                "max_connections": 330,
                "protocol": "h1",
                "tls": False,
            }
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 67108864,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }


SETTINGS = """[vm]
fleet = primrosemill
id = {id}
domain = {zone}
processor = {processor}
link = {link}
memory = {memory}
descriptors = {descriptors}

[feed]
address = {store}

[listen]
callers = {ip}:{callers}
ready = {ip}:{ready}
directory = {ip}:{directory}
peers = {ip}:{peers}
admin = {ip}:{admin}

[peers]
first = {seeds}

[limits]
stop_seconds = 6
floor_share = 0.7

[retries]
share = 0.2
slack = 56
window = 10

[customers]
"""
PORT_NAMES = ("callers", "ready", "directory", "peers", "admin")


def free_ports(ip: str, count: int) -> list[int]:
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind((ip, 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


class Machine(typing.NamedTuple):
    """The limits of a machine, as a site file names them."""

    processor: float = 0.86
    link: float = 1000.0
    memory: int = 300  # MB
    descriptors: int = 4100


SMALL_SITE = Machine()


class Vm:
    """One process of the fleet, started as the deploy file says."""

    def __init__(
        self,
        folder: pathlib.Path,
        number: int,
        ports: list[int],
        machine: Machine = SMALL_SITE,
    ) -> None:
        self.machine = machine
        self.id = f"edge-{ZONE}-{number}"
        self.ip = f"127.0.1.{number}"
        self._ports = dict(zip(PORT_NAMES, ports, strict=True))
        self._folder = folder
        self.process: asyncio.subprocess.Process | None = None

    def address(self, name: str) -> tuple[str, int]:
        return self.ip, self._ports[name]

    async def start(self, store: str, seeds: list[str]) -> None:
        path = self._folder / f"{self.id}.ini"
        path.write_text(
            SETTINGS.format(
                id=self.id,
                zone=ZONE,
                store=store,
                ip=self.ip,
                seeds=",".join(seeds),
                **self._ports,
                **self.machine._asdict(),
            )
        )
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PRIMROSEMILL_SETTINGS"] = str(path)
        with open(  # noqa: ASYNC230
            self._folder / f"{self.id}.log", "ab"
        ) as log:
            self.process = await asyncio.create_subprocess_exec(
                "python3",
                "-m",
                "primrosemill.cli",
                "entry",
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    async def wait_until_ready(self, timeout: float = 20.0) -> bool:
        ends = time.monotonic() + timeout
        while time.monotonic() < ends:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False

    async def is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(
                *self.address("ready")
            )
        except OSError:
            return False
        writer.write(b"GET /-/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
        answer = await read_answer(reader)
        writer.close()
        return answer.status == 200

    def send_signal(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    def resident(self) -> int:
        """Return the bytes of memory that the process uses; 0 if it ended."""
        if self.process is None or self.process.returncode is not None:
            return 0
        text = pathlib.Path(f"/proc/{self.process.pid}/statm").read_text()
        return int(text.split()[1]) * os.sysconf("SC_PAGE_SIZE")

    async def end(self) -> None:
        if self.process is None:
            return
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        await self.process.wait()


class World:
    """The store, the instances and the VMs of a case."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.record = Record(folder)
        self.store = Store(self.record)
        self.instances: list[Instance] = []
        self.vms: list[Vm] = []
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))

    async def add_instances(self, *instances: Instance) -> None:
        for each in instances:
            await each.start("127.0.0.1")
            self.instances.append(each)
            self.store.put(f"servers/{each.id}", each.entry())

    async def start_vms(
        self, count: int, machine: Machine = SMALL_SITE
    ) -> bool:
        ports = free_ports("127.0.1.1", len(PORT_NAMES))
        self.vms = [
            Vm(self.folder, number + 1, ports, machine)
            for number in range(count)
        ]
        seeds = ["{}:{}".format(*vm.address("peers")) for vm in self.vms[:3]]
        for vm in self.vms:
            await vm.start(self.store.address, seeds)
        ready = [await vm.wait_until_ready() for vm in self.vms]
        return all(ready)

    def runs_by_id(self) -> dict[str, list[str]]:
        """Return the instances that ran each request."""
        runs: dict[str, list[str]] = {}
        for instance in self.instances:
            for run in instance.runs:
                runs.setdefault(run.request_id, []).append(instance.id)
        return runs

    async def close(self) -> None:
        for vm in self.vms:
            await vm.end()
        self.record.close()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)


Case = typing.Callable[[World, bool], typing.Awaitable[int]]


def run_case(case: Case, folder: pathlib.Path) -> None:
    """Run a case and exit: 1 broken, 0 held, 2 it couldn't run."""
    troubled = os.environ.get("TROUBLE", "1") != "0"

    async def run() -> int:
        world = World(folder)
        try:
            return await case(world, troubled)
        except Exception as error:  # noqa: BLE001
            world.record.write(f"the case couldn't run: {error!r}")
            print(f"the case couldn't run: {error!r}")
            return 2
        finally:
            await world.close()

    sys.exit(asyncio.run(run()))
