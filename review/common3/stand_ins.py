"""Stand-ins for the platform's store and for instances."""

import asyncio
import base64
import contextlib
import hashlib
import itertools
import json
import random
import time
import urllib.parse

from common3 import http1

PAGE_SIZE = 500  # items
MILLISECONDS = 1_000
REQUEST_ID = "primrosemill-request-id"
EXPECTED = "primrosemill-expect-instance"


class Listener:
    """A server whose connections can be cut."""

    def __init__(self, handle):
        self._handle = handle
        self._server = None
        self._writers = set()
        self.ip = self.port = None

    @property
    def address(self):
        """Return ``ip:port``."""
        return f"{self.ip}:{self.port}"

    async def open(self, ip):
        """Listen on a free port."""
        self._server = await asyncio.start_server(
            self._serve, ip, 0, limit=http1.MAX_HEAD
        )
        self.ip, self.port = self._server.sockets[0].getsockname()[:2]

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            await self._handle(reader, writer)
        except (OSError, EOFError, ValueError, asyncio.CancelledError):
            return
        finally:
            self._writers.discard(writer)
            with contextlib.suppress(OSError, RuntimeError):
                writer.close()

    def cut(self):
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()


class Store:
    """The platform's store; each machine reaches it at its own address."""

    def __init__(self, record):
        self._record = record
        self._revision = 100
        self._items = {}
        self._events = []
        self._changed = asyncio.Event()
        self.listeners = []
        # The watches that wait, by machine.
        self.watches = {}

    async def open(self, machine):
        """Listen for a machine; return the address."""
        self.watches[machine] = 0

        async def handle(reader, writer):
            while True:
                message = await http1.read_message(reader)
                status, body = await self._answer(machine, message)
                headers = [("Content-Type", "application/json")]
                writer.write(http1.encode_answer(status, headers, body))
                await writer.drain()

        listener = Listener(handle)
        await listener.open("127.0.0.1")
        self.listeners.append(listener)
        return listener.address

    def put(self, key, value):
        """Write an item; the call's return is the acknowledgement."""
        self._revision += 1
        before = self._items.get(key)
        created = before["create_revision"] if before else self._revision
        self._items[key] = {
            "key": key,
            "value": base64.b64encode(json.dumps(value).encode()).decode(),
            "revision": self._revision,
            "create_revision": created,
            "lease": 0,
        }
        self._add_event(self._items[key])

    def delete(self, key):
        """Delete an item."""
        self._revision += 1
        del self._items[key]
        self._add_event(
            {"key": key, "revision": self._revision, "deleted": True}
        )

    def _add_event(self, event):
        self._events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()
        self._record.add(
            "stored", key=event["key"], revision=event["revision"]
        )

    async def _answer(self, machine, message):
        target = urllib.parse.urlsplit(message.first.split()[1])
        query = dict(urllib.parse.parse_qsl(target.query))
        if target.path == "/-/kv-range":
            return 200, self._range(query)
        if target.path != "/-/kv-watch":
            return 404, b"{}"
        self.watches[machine] += 1
        try:
            return 200, await self._watch(query)
        finally:
            self.watches[machine] -= 1

    def _range(self, query):
        prefix, after = query.get("prefix", ""), query.get("after", "")
        keys = sorted(
            key
            for key in self._items
            if key.startswith(prefix) and key > after
        )
        page = {
            "items": [self._items[key] for key in keys[:PAGE_SIZE]],
            "has_more": len(keys) > PAGE_SIZE,
            "store_revision": self._revision,
        }
        return json.dumps(page).encode()

    async def _watch(self, query):
        prefix, after = query.get("prefix", ""), int(query["after"])
        end = time.monotonic() + int(query["wait_ms"]) / MILLISECONDS
        while True:
            found = [
                event
                for event in self._events
                if event["revision"] > after
                and event["key"].startswith(prefix)
            ]
            left = end - time.monotonic()
            if found or left <= 0:
                break
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)
        page = {"events": found, "store_revision": self._revision}
        return json.dumps(page).encode()


class Run:
    """A request that an instance has run; ``answered`` if to its end."""

    def __init__(self, at, request_id, target):
        self.at = at
        self.request_id = request_id
        self.target = target
        self.answered = False


class Instance:
    """An instance that does what the pages say; ``work`` is in seconds."""

    numbers = itertools.count(1)

    def __init__(self, store, record, service, zone, slots, work):
        self._store = store
        self._record = record
        self._born = int(time.time() * MILLISECONDS)
        self._running = 0
        self.id = f"i-{next(self.numbers):04d}"
        self.service = service
        self.zone = zone
        self.slots = slots
        self.work = work
        self.state = "ready"
        self.runs = []
        self.arrivals = []
        # The part of its answers in place of which it sends bytes without end.
        self.endless_share = 0.0
        self.listener = Listener(self._handle)

    async def start(self, ip):
        """Listen, and register in the store."""
        await self.listener.open(ip)
        self._register()

    def drain(self):
        """Report that it is leaving; return once the store has it."""
        self.state = "draining"
        self._register()

    def end(self):
        """End, with the requests that are running."""
        self._record.add("instance-ends", at=self.id, running=self._running)
        self.listener.cut()
        self._store.delete(f"servers/{self.id}")

    def _register(self):
        entry = {
            "service": self.service,
            "address": self.listener.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "warmup_left_ms": 0,
            "sequence": 1,
            "born": self._born,
        }
        self._store.put(f"servers/{self.id}", entry)

    async def _handle(self, reader, writer):
        while True:
            await self._answer(await http1.read_message(reader), writer)

    async def _answer(self, message, writer):
        request_id = message.get(REQUEST_ID, "")
        target = message.first.split()[1]
        self.arrivals.append(Run(self._record.now(), request_id, target))
        headers = [
            ("Primrosemill-Request-Id", request_id),
            ("Primrosemill-Instance-Id", self.id),
        ]
        if self.state == "draining":
            headers.append(("Server-Leaving", "1"))
        refusal = None
        if message.get(EXPECTED, self.id) != self.id:
            refusal = 421
        elif self._running >= self.slots:
            refusal = 503
            headers.append(("Primrosemill-Not-Executed", "1"))
        if refusal is not None:
            self._record.add("turned-away", id=request_id, at=self.id)
            writer.write(http1.encode_answer(refusal, headers, b""))
            return
        await self._run(request_id, target, headers, writer)

    async def _run(self, request_id, target, headers, writer):
        run = Run(self._record.now(), request_id, target)
        self.runs.append(run)
        self._record.add(
            "runs", id=request_id, at=self.id, service=self.service
        )
        self._running += 1
        load = f"{self._running},0,{self.slots}"
        headers.append(("Primrosemill-Instance-Load", load))
        body = f"{self.service} {request_id}".encode()
        digest = hashlib.blake2b(body, digest_size=8).hexdigest()
        headers.append(("Primrosemill-Server-Signature", digest))
        try:
            await asyncio.sleep(self.work)
            if random.random() < self.endless_share:
                await self._send_without_end(headers, writer)
            writer.write(http1.encode_answer(200, headers, body))
            await writer.drain()
        finally:
            self._running -= 1
        run.answered = True

    async def _send_without_end(self, headers, writer):
        """Send bytes until the caller closes the connection."""
        lines = ["HTTP/1.1 200 OK", "Transfer-Encoding: chunked"]
        lines += [f"{name}: {value}" for name, value in headers]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1"))
        piece = b"x" * 16_384
        while True:
            writer.write(b"%x\r\n%s\r\n" % (len(piece), piece))
            await writer.drain()
            await asyncio.sleep(0.05)
