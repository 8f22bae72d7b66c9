"""Simulates an instance of a backend server.

It sheds requests beyond its slots, drains, is slow after a cold start,
honours deadlines and cancellation, and serves health and load endpoints that
lag. Faults can be injected while it runs; its health endpoint does not show
them, as with gray failures. Each run is recorded under the tag of its
request, so that histories of concurrent runs can be checked.
"""

import hashlib
import random
import typing

import msgspec
import trio

from primrosemill.standins import asgi
from primrosemill.standins import delayed_value
from primrosemill.standins import faults
from primrosemill.standins import responses

REQUEST_ID_HEADER = b"x-request-id"
TIMEOUT_HEADER = b"x-request-timeout"
DRAINING_HEADER = (b"x-instance-state", b"draining")
COLD_SLOWDOWN = 3.0  # times the service time
HEALTH_PATH = "/health"
LOAD_PATH = "/load"
FAULT_PATH = "/standin/sickness"
UPLOAD_ABORTED = -1


class Load(typing.TypedDict):
    """JSON body of the load endpoint."""

    in_use: int
    slots: int


class Run(typing.NamedTuple):
    """A request that the instance ran; ``started`` is in trio time."""

    tag: str
    method: str
    started: float


class InstanceStandin:
    """ASGI application with a fixed service time and number of slots.

    ``cold_start`` is the time in seconds after the first request during which
    the instance is slower; ``lag`` is the delay in seconds of the health and
    load endpoints.
    """

    def __init__(
        self,
        instance_id: str,
        slots: int,
        service_time: float,
        *,
        cold_start: float = 0.0,
        lag: float = 0.0,
        generator: random.Random | None = None,
    ) -> None:
        self.id = instance_id
        self.slots = slots
        self.service_time = service_time
        self.in_use = 0
        self.draining = False
        self.runs: list[Run] = []
        self.runs_by_tag: dict[str, int] = {}
        self.cancelled_tags: list[str] = []
        self.sheds = 0
        self._cold_start = cold_start
        self._first_request_at: float | None = None
        self._generator = generator or random.Random(0)
        self._fault = faults.InjectedFault()
        self._fault_set_at = 0.0
        self._lag = lag
        self._load: delayed_value.DelayedValue[int] = (
            delayed_value.DelayedValue(0, lag)
        )
        self._health: delayed_value.DelayedValue[bool] = (
            delayed_value.DelayedValue(False, lag)
        )

    def set_sickness(self, fault: faults.InjectedFault) -> None:
        """Inject a fault, or end one with :attr:`faults.Mode.HEALTHY`."""
        self._fault = fault
        self._fault_set_at = trio.current_time()

    def drain(self) -> None:
        """Announce that the instance is leaving; it still serves requests."""
        self.draining = True
        self._health.set(True, trio.current_time())

    async def __call__(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Handle one request."""
        if self._first_request_at is None:
            self._first_request_at = trio.current_time()
        path = scope["path"]
        if path == HEALTH_PATH:
            await self._respond_health(send)
        elif path == LOAD_PATH:
            await self._respond_load(send)
        elif path == FAULT_PATH:
            await self._receive_fault(receive, send)
        else:
            await self._run_or_shed(scope, receive, send)

    async def _respond_health(self, send: asgi.Send) -> None:
        draining = self._health.read(trio.current_time())
        headers = (DRAINING_HEADER,) if draining else ()
        body = b"draining" if draining else b"ok"
        await asgi.respond(send, 200, body, headers)

    async def _respond_load(self, send: asgi.Send) -> None:
        in_use = self._load.read(trio.current_time())
        body = msgspec.json.encode(Load(in_use=in_use, slots=self.slots))
        await asgi.respond(send, 200, body)

    async def _receive_fault(
        self, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Set the fault from JSON, for stand-ins in other processes."""
        body = await asgi.read_body(receive)
        self.set_sickness(msgspec.json.decode(body, type=faults.InjectedFault))
        await asgi.respond(send, 204, b"")

    async def _run_or_shed(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        if self.in_use >= self.slots:
            self.sheds += 1
            await responses.shed(scope, send)
            return
        self._change_in_use(1)
        try:
            tag = dict(scope["headers"]).get(REQUEST_ID_HEADER, b"").decode()
            await self._run(
                responses.Exchange(
                    scope, receive, send, tag, self._current_mode()
                )
            )
        finally:
            self._change_in_use(-1)

    def _change_in_use(self, change: int) -> None:
        self.in_use += change
        self._load.set(self.in_use, trio.current_time())

    def _current_mode(self) -> faults.Mode:
        elapsed = trio.current_time() - self._fault_set_at
        return faults.choose_mode(self._fault, elapsed, self._generator)

    async def _run(self, exchange: responses.Exchange) -> None:
        connection = asgi.find_connection(exchange.scope)
        reused = connection.requests > 1
        if exchange.mode is faults.Mode.CLOSE_ON_REUSE and reused:
            connection.close()
            return
        digest, size = await _read_upload(exchange.receive)
        if size == UPLOAD_ABORTED:
            return
        self._record_run(exchange)
        if not await self._wait_service_time(exchange):
            self.cancelled_tags.append(exchange.tag)
            connection.close()
            return
        await self._send_response(exchange, digest, size)

    def _record_run(self, exchange: responses.Exchange) -> None:
        now = trio.current_time()
        self.runs.append(Run(exchange.tag, exchange.scope["method"], now))
        self.runs_by_tag[exchange.tag] = (
            self.runs_by_tag.get(exchange.tag, 0) + 1
        )

    async def _wait_service_time(self, exchange: responses.Exchange) -> bool:
        """Wait for the service time; return whether the request completed.

        It does not if the caller disconnects or its timeout expires.
        """
        timeout = dict(exchange.scope["headers"]).get(TIMEOUT_HEADER)
        service_time = self._effective_service_time(exchange.mode)
        if service_time == 0.0:
            return True
        finished = False
        with trio.move_on_after(float(timeout or "inf")):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    _cancel_on_disconnect,
                    exchange.receive,
                    nursery.cancel_scope,
                )
                await trio.sleep(service_time)
                finished = True
                nursery.cancel_scope.cancel()
        return finished

    def _effective_service_time(self, mode: faults.Mode) -> float:
        if mode is faults.Mode.STALL:
            return float("inf")
        service_time = self.service_time * faults.SLOWDOWN_BY_MODE.get(
            mode, 1.0
        )
        if trio.current_time() - self._first_request_at < self._cold_start:
            service_time *= COLD_SLOWDOWN
        return service_time

    async def _send_response(
        self, exchange: responses.Exchange, digest: bytes, size: int
    ) -> None:
        headers = [
            (b"x-received-bytes", str(size).encode()),
            (b"x-received-digest", digest),
        ]
        if self.draining:
            headers.append(DRAINING_HEADER)
        body = f"{exchange.tag} {self.id}".encode()
        if exchange.mode is faults.Mode.CLOSE_AFTER_RUN:
            asgi.find_connection(exchange.scope).close()
        elif exchange.mode is faults.Mode.ERRORS:
            await asgi.respond(exchange.send, 500, body, tuple(headers))
        elif exchange.mode is faults.Mode.TRUNCATE:
            await responses.send_truncated(exchange, body, headers)
        elif exchange.mode is faults.Mode.ANSWER_TWICE:
            await responses.send_twice(exchange, body)
        else:
            await responses.send_whole(exchange, body, headers)


async def _cancel_on_disconnect(
    receive: asgi.Receive, scope: trio.CancelScope
) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass
    scope.cancel()


async def _read_upload(receive: asgi.Receive) -> tuple[bytes, int]:
    """Return the digest and size of an upload.

    The size is ``UPLOAD_ABORTED`` if the sender disconnected.
    """
    digest = hashlib.blake2b(digest_size=16)
    size = 0
    while True:
        message = await receive()
        if message["type"] != "http.request":
            return b"", UPLOAD_ABORTED
        digest.update(message.get("body", b""))
        size += len(message.get("body", b""))
        if not message.get("more_body", False):
            return digest.hexdigest().encode(), size
