"""Stand-ins of the platform for the scripts of the review.

A store, instances and requesters, written after PROTOCOL.md with the
standard library alone. All of them run in the process of the script; only
the project's programs are processes of their own.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
FIRST_REVISION = 1
PAGE_SIZE = 400  # items


class Record:
    """Writes what was sent, answered and run to a file, a line each."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._started = time.monotonic()

    def add(self, what, **fields):
        seconds = round(time.monotonic() - self._started, 3)
        line = {"at": seconds, "what": what, **fields}
        self._file.write(json.dumps(line) + "\n")
        self._file.flush()


async def read_head(reader):
    """Return the first line and the headers, or None at the end."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = data[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader, headers, until_close=False):
    """Return the body; raises IncompleteReadError if it breaks off."""
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if not size:
                return body
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return await reader.read() if until_close else b""


def encode(first, headers, body=b""):
    lines = [first, *(f"{name}: {value}" for name, value in headers)]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


class Listener:
    """Serves connections on a loopback address until it is closed."""

    def __init__(self, ip="127.0.0.1", port=0):
        self.ip = ip
        self.port = port
        self._server = None
        self._writers = set()

    @property
    def address(self):
        return f"{self.ip}:{self.port}"

    async def open(self):
        self._server = await asyncio.start_server(
            self._accept, self.ip, self.port, limit=1 << 22
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def _accept(self, reader, writer):
        self._writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (
            ConnectionError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        ):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def close(self):
        self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()


class Store(Listener):
    """The platform's store, for reading."""

    def __init__(self, **where):
        super().__init__(**where)
        self.revision = FIRST_REVISION
        self._items = {}
        self._events = []
        self._changed = asyncio.Event()

    def put(self, key, value):
        self.revision += 1
        if not isinstance(value, bytes):
            value = json.dumps(value).encode()
        created = self._items.get(key, {}).get("create_revision")
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "create_revision": created or self.revision,
            "lease": 0,
        }
        self._items[key] = item
        self._note(item)

    def delete(self, key):
        self.revision += 1
        if self._items.pop(key, None) is not None:
            self._note(
                {"key": key, "revision": self.revision, "deleted": True}
            )

    def _note(self, event):
        self._events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def serve(self, reader, writer):
        while (head := await read_head(reader)) is not None:
            target = urllib.parse.urlsplit(head[0].split(" ")[1])
            query = dict(urllib.parse.parse_qsl(target.query))
            status, answer = 404, {}
            if target.path == "/-/kv-range":
                status, answer = 200, self._range(query)
            elif target.path == "/-/kv-watch":
                status, answer = 200, await self._watch(query)
            await asyncio.sleep(0.004)
            body = json.dumps(answer).encode()
            kind = [("Content-Type", "application/json")]
            writer.write(encode(f"HTTP/1.1 {status} Answer", kind, body))
            await writer.drain()

    def _range(self, query):
        prefix, after = query.get("prefix", ""), query.get("after", "")
        keys = sorted(
            key
            for key in self._items
            if key.startswith(prefix) and key > after
        )
        return {
            "items": [self._items[key] for key in keys[:PAGE_SIZE]],
            "has_more": len(keys) > PAGE_SIZE,
            "store_revision": self.revision,
        }

    async def _watch(self, query):
        prefix, after = query.get("prefix", ""), int(query["after"])
        end = time.monotonic() + int(query["wait_ms"]) / 1000

        def found():
            return [
                event
                for event in self._events
                if event["revision"] > after
                and event["key"].startswith(prefix)
            ]

        while not found() and (left := end - time.monotonic()) > 0:
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                break
        return {"events": found(), "store_revision": self.revision}


class Instance(Listener):
    """A sound instance: slots, a queue, and answers after its work.

    ``work`` returns the seconds that a request takes.
    """

    def __init__(
        self,
        name,
        service,
        zone,
        record,
        slots=2,
        work=None,
        queue=12,
        delay=0.0,
        **where,
    ):
        super().__init__(**where)
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.running = {}
        # When the work on each request began.
        self.started = {}
        self._record = record
        self._work = work or (lambda headers: 0.05)
        self._free = asyncio.Semaphore(slots)
        self._waiting = 0
        self._queue = queue
        # Seconds that bytes take on the way, each way.
        self._delay = delay

    def entry(self, sequence=1):
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "warmup_left_ms": 0,
            "sequence": sequence,
            "born": self.born,
        }

    def _load(self):
        return f"{len(self.running)},{self._waiting},{self.slots}"

    async def serve(self, reader, writer):
        while (head := await read_head(reader)) is not None:
            first, headers = head
            body = await read_body(reader, headers)
            await asyncio.sleep(self._delay)
            keeps = await self._answer(first, headers, body, reader, writer)
            if not keeps:
                return

    async def _answer(self, first, headers, body, reader, writer):
        request = headers.get("primrosemill-request-id", "")
        expected = headers.get("primrosemill-expect-instance", self.name)
        own = [
            ("Primrosemill-Instance-Load", self._load()),
            ("Keep-Alive", "timeout=10"),
        ]
        if request:
            own.append(("Primrosemill-Request-Id", request))
        if first.split(" ")[1] == "/health":
            own.append(("Primrosemill-Instance-Id", self.name))
            writer.write(encode("HTTP/1.1 200 OK", own))
            return True
        if expected != self.name:
            self._record.add("421", id=request, instance=self.name)
            writer.write(encode("HTTP/1.1 421 Other", own))
            return True
        if self._waiting >= self._queue:
            self._record.add("shed", id=request, instance=self.name)
            own.append(("Primrosemill-Not-Executed", "1"))
            writer.write(encode("HTTP/1.1 503 Full", own))
            return True
        limit = float(headers.get("primrosemill-request-deadline", 10000))
        self._waiting += 1
        arrived = time.monotonic()
        try:
            await self._free.acquire()
        finally:
            self._waiting -= 1
        gone = asyncio.ensure_future(self._watch_close(reader))
        try:
            left = limit / 1000 - (time.monotonic() - arrived)
            if gone.done() or left <= 0:
                own.append(("Primrosemill-Not-Executed", "1"))
                writer.write(encode("HTTP/1.1 503 Late", own))
                return False
            work = self._work(headers)
            self.running[request] = self.started[request] = time.monotonic()
            self._record.add(
                "run", id=request, instance=self.name, work=round(work, 3)
            )
            await asyncio.wait((gone,), timeout=min(work, left))
            self.running.pop(request, None)
            if gone.done():
                self._record.add("dropped", id=request, instance=self.name)
                return False
            status = "200 OK" if work <= left else "504 Late"
            self._record.add("done", id=request, status=status)
            own.append(("Primrosemill-Server-Signature", f"by.{request}"))
            await asyncio.sleep(self._delay)
            writer.write(
                encode(f"HTTP/1.1 {status}", own, f"of {request}".encode())
            )
            await writer.drain()
            return True
        finally:
            gone.cancel()
            self._free.release()

    async def _watch_close(self, reader):
        """End when the connection is closed; requests come one by one."""
        while not reader.at_eof() and reader.exception() is None:
            await asyncio.sleep(0.01)
            if reader._buffer:
                await asyncio.sleep(3600)


class Answer:
    """What a requester saw of one request."""

    def __init__(self, request, sent):
        self.request = request
        self.sent = sent
        self.ended = None
        self.status = None
        self.headers = {}
        self.body = b""
        self.fault = None

    def describe(self):
        return {
            "id": self.request,
            "status": self.status,
            "fault": self.fault,
            "seconds": round((self.ended or self.sent) - self.sent, 3),
            "reason": self.headers.get("x-outcome-reason"),
            "retry_after": self.headers.get("retry-after"),
        }


class Requester:
    """Sends requests on one connection, one after the other."""

    def __init__(self, address, record):
        self._ip, port = address.split(":")
        self._port = int(port)
        self._record = record
        self._streams = None

    async def connect(self):
        self._streams = await asyncio.open_connection(self._ip, self._port)

    def close(self):
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None

    async def send(
        self, method, host, path, request, limit_ms, body=b"", grace=2.0
    ):
        """Return the answer; a connection that ends early is a fault."""
        if self._streams is None:
            await self.connect()
        reader, writer = self._streams
        headers = [
            ("Host", host),
            ("Primrosemill-Request-Id", request),
            ("Primrosemill-Request-Deadline", limit_ms),
        ]
        writer.write(encode(f"{method} {path} HTTP/1.1", headers, body))
        answer = Answer(request, time.monotonic())
        self._record.add("sent", id=request, method=method, path=path)
        try:
            await asyncio.wait_for(
                self._read(reader, answer), limit_ms / 1000 + grace
            )
        except TimeoutError:
            answer.fault = "no answer"
        except (ConnectionError, asyncio.IncompleteReadError) as error:
            answer.fault = f"connection ended: {type(error).__name__}"
        answer.ended = time.monotonic()
        if answer.fault or answer.headers.get("connection") == "close":
            self.close()
        self._record.add("answered", **answer.describe())
        return answer

    async def _read(self, reader, answer):
        head = await read_head(reader)
        if head is None:
            raise ConnectionError("closed before an answer")
        first, answer.headers = head
        answer.status = int(first.split(" ")[1])
        answer.body = await read_body(reader, answer.headers, True)


def is_free(ip, port):
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind((ip, port))
            except OSError:
                return False
    return True


def free_port(ips):
    """Return a port that is free on all addresses, below those of clients."""
    while True:
        port = random.randrange(15000, 30000)
        if all(is_free(ip, port) for ip in ips):
            return port


def render(template, values):
    """Fill in the few forms of placeholders that the template uses."""

    def section(match):
        return match[2] if find(match[1]) else ""

    def find(name):
        value = values
        for part in name.split("."):
            value = value.get(part) if isinstance(value, dict) else None
        return value

    def value(match):
        found = find(match[1])
        if isinstance(found, list):
            return ",".join(map(str, found))
        return "" if found is None else str(found)

    text = re.sub(
        r"\{\{#([\w.]+)\}\}\n(.*?)\{\{/\1\}\}\n", section, template, flags=re.S
    )
    return re.sub(r"\{\{([\w.]+)\}\}", value, text)


BOUNDS = {
    "drain_ms": 2000,
    "grace_s": 6,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "retry_budget_slack": 56,
    "floor_share": 0.7,
}
ENTRY_PORTS = ("front", "ready", "control", "directory", "internal")


def reset_signals():
    """Start a process with the default actions, whoever runs the script."""
    for number in (signal.SIGHUP, signal.SIGINT, signal.SIGTERM):
        signal.signal(number, signal.SIG_DFL)


class Fleet:
    """Entry processes, started as the deploy file says."""

    def __init__(self, store_address, zones, bounds=None):
        self._store = store_address
        self._bounds = {**BOUNDS, **(bounds or {})}
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self._processes = {}
        self.ips = {
            f"edge-{zone}-{number}": (f"127.0.{9 + number}.{place}", zone)
            for place, (zone, count) in enumerate(zones.items(), 1)
            for number in range(1, count + 1)
        }
        # All machines use the same ports, each on an address of its own.
        ips = [ip for ip, _ in self.ips.values()]
        self._ports = {name: free_port(ips) for name in ENTRY_PORTS}

    def address(self, node, port):
        return f"{self.ips[node][0]}:{self._ports[port]}"

    def values(self, node):
        ip, zone = self.ips[node]
        return {
            "node_name": node,
            "zone": zone,
            "ip": ip,
            "limits": {
                "cpu_share": 0.86,
                "memory_mb": 300,
                "max_fds": 4100,
                "link_mbps": 1000.0,
            },
            "platform": {"address": self._store},
            "listen": {
                name: self.address(node, name)
                for name in ("front", "ready", "control", "directory")
            },
            "internal_port_range": {"0": self._ports["internal"]},
            "seeds": [
                self.address(each, "control") for each in list(self.ips)[:3]
            ],
            "bounds": self._bounds,
        }

    def start(self, node):
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = role["roles"]["entry"]
        template = (ROOT / role["template"]).read_text()
        settings = pathlib.Path(self._folder.name, f"{node}.ini")
        settings.write_text(render(template, self.values(node)))
        log = open(pathlib.Path(self._folder.name, f"{node}.log"), "ab")
        kept = ("PATH", "HOME", "LANG")
        environment = {
            name: os.environ[name] for name in kept if name in os.environ
        }
        environment |= {
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PRIMROSEMILL_SETTINGS": str(settings),
        }
        self._processes[node] = subprocess.Popen(
            role["run"].split(),
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
            preexec_fn=reset_signals,
        )
        return self._processes[node]

    def settings_path(self, node):
        return pathlib.Path(self._folder.name, f"{node}.ini")

    def log(self, node):
        path = pathlib.Path(self._folder.name, f"{node}.log")
        return path.read_text(errors="replace")

    def signal(self, node, number):
        self._processes[node].send_signal(number)

    def process(self, node):
        return self._processes[node]

    async def wait_ready(self, nodes, timeout=30.0):
        """Wait until the processes say that they are ready."""
        end = time.monotonic() + timeout
        for node in nodes:
            while not await self._is_ready(node):
                if time.monotonic() > end:
                    ended = self._processes[node].poll()
                    log = self.log(node)[-400:]
                    raise CaseError(f"{node} is not ready: {ended} {log}")
                await asyncio.sleep(0.1)

    async def _is_ready(self, node):
        ip, port = self.address(node, "ready").split(":")
        try:
            reader, writer = await asyncio.open_connection(ip, int(port))
        except OSError:
            return False
        try:
            writer.write(encode("GET /-/readiness HTTP/1.1", [("Host", "x")]))
            head = await asyncio.wait_for(read_head(reader), 2.0)
            return head is not None and " 200" in head[0]
        except (TimeoutError, OSError):
            return False
        finally:
            writer.close()

    async def resolve(self, node, host, zone):
        """Return the addresses that the directory of a machine names."""
        ip, port = self.address(node, "directory").split(":")
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(ip, int(port)), 1.0
            )
            target = f"/-/resolve?name={host}&region=r&zone={zone}"
            writer.write(encode(f"GET {target} HTTP/1.1", [("Host", "x")]))
            head = await asyncio.wait_for(read_head(reader), 1.0)
            if head is None or " 200" not in head[0]:
                return []
            body = await read_body(reader, head[1])
            writer.close()
            return json.loads(body)["addresses"]
        except (TimeoutError, OSError):
            return []

    def close(self):
        for process in self._processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._processes.values():
            process.wait()
        self._folder.cleanup()


def start_crowd(address, host, path, count, chunk, size):
    """Start clients that stop short of the end of a body in chunks."""
    script = pathlib.Path(__file__).with_name("hostile.py")
    words = (address, host, path, count, chunk, size)
    return subprocess.Popen([sys.executable, str(script), *map(str, words)])


class CaseError(Exception):
    """The case could not run."""


def route(
    name, host, prefix, service, kind="idempotent", timeout_ms=5000, **more
):
    return {
        "name": name,
        "host": host,
        "prefix": prefix,
        "route_type": kind,
        "timeout_ms": timeout_ms,
        "target_latency_ms": 600,
        "priority": 1,
        "max_attempts": 2,
        "service": service,
        **more,
    }


def configuration(routes, version=3):
    services = sorted({each["service"] for each in routes})
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "health_path": "/health",
                "max_connections": 330,
                "protocol": "h1",
                "tls": False,
            }
            for name in services
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 67108864,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }


def end(number, frame):
    """End the script as an error does, with what it has started."""
    raise KeyboardInterrupt


def main(case, path):
    """Run a case; exit with 1 if the rule was broken, 2 if it can't run."""
    signal.signal(signal.SIGTERM, end)
    folder = pathlib.Path(path).resolve().parent
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.add("start", trouble=trouble)
    try:
        broken = asyncio.run(asyncio.wait_for(case(record, trouble), 112.0))
    except (Exception, KeyboardInterrupt) as error:
        record.add("could not run", error=repr(error))
        print(f"could not run: {error!r}", file=sys.stderr)
        sys.exit(2)
    record.add("end", broken=broken)
    print(f"broken: {broken}")
    sys.exit(1 if broken else 0)
