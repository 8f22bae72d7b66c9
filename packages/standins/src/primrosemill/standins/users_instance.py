"""Simulates an instance on the users' platform.

It implements the headers that are documented for the platform's instances,
records each run, and can handle each request in one of the documented failure
modes. A request may also crash it; it then restarts at the same address.
"""

import collections
import enum
import typing

import h11
import trio

from primrosemill.standins import asgi

RECEIVE_SIZE = 65_536  # bytes
REQUEST_ID_HEADER = "primrosemill-request-id"
EXPECTED_INSTANCE_HEADER = "primrosemill-expect-instance"
BODY = b"the bytes of an instance"


class ResponseMode(enum.StrEnum):
    """How the instance responds to a request."""

    NORMAL = "well"
    ERROR = "error"  # It runs the request and sends status 500.
    SHED = "shed"  # It rejects the request as overloaded.
    FOREIGN = "foreign"  # The response has another request's id.
    EXTRA = "extra"  # A second response follows.
    UNFRAMED = "unframed"  # No length; the close ends the body.
    TRUNCATED = "truncated"  # It closes within the body.
    ENCODED = "encoded"  # The body has a content encoding.
    GARBAGE = "garbage"  # The bytes are not HTTP.
    CLOSED = "closed"  # It runs the request and closes silently.
    HANG = "hang"  # It runs the request and never responds.
    EARLY = "early"  # It responds before it reads the body.
    LEAVING = "leaving"  # It responds and closes.


CLOSING_MODES = frozenset(
    {
        ResponseMode.UNFRAMED,
        ResponseMode.TRUNCATED,
        ResponseMode.GARBAGE,
        ResponseMode.CLOSED,
        ResponseMode.LEAVING,
    }
)


class Run(typing.NamedTuple):
    """A request as the instance received it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def request_id(self) -> str:
        """Return the request id, or an empty string without one."""
        return self.headers.get(REQUEST_ID_HEADER, "")


class Crash(typing.NamedTuple):
    """A crash of the instance during a run, at a trio time."""

    time: float
    run: Run


def _crash_never(run: Run) -> bool:
    return False


def _ignore_restart() -> None:
    pass


class InstanceStandin:
    """Server that responds after a pause, in a configurable mode.

    ``next_modes`` apply to one request each before ``mode`` does. A run for
    which ``crashes_on`` returns True ends the process after the pause, with
    all its connections. The next process listens ``restart_delay`` seconds
    later, has the next ``boot``, and ``on_restart`` is called.
    """

    def __init__(self, instance_id: str, pause: float = 0.0) -> None:
        self.id = instance_id
        self.pause = pause
        self.body = BODY
        self.pauses_by_id: dict[str, float] = {}
        self.mode = ResponseMode.NORMAL
        # Announced in every response.
        self.leaving = False
        # Late copy of an earlier response, sent once when the next request
        # has arrived; empty for none.
        self.late_copy = b""
        # Whether each refusal is written once more when the next request has
        # arrived on its connection.
        self.repeats_refusals = False
        self._refusals: dict[h11.Connection, bytes] = {}
        # Value of the Retry-After header of a 503; None to omit it.
        self.retry_after: bytes | None = None
        # Value of the Server-Limit header of every response; None to omit it.
        self.limit: bytes | None = None
        # Times at which requests arrived, refused ones included.
        self.arrived_at: list[float] = []
        self.next_modes: collections.deque[ResponseMode] = collections.deque()
        self.runs: list[Run] = []
        self.turned_away: list[Run] = []
        self.connections = 0
        self.gone = trio.Event()
        self.boot = 0
        self.crashes_on: typing.Callable[[Run], bool] = _crash_never
        self.crashes: list[Crash] = []
        self.restart_delay = 0.5  # seconds
        self.on_restart: typing.Callable[[], None] = _ignore_restart
        self._process_scope = trio.CancelScope()

    async def serve(
        self,
        ip: str,
        *,
        task_status: trio.TaskStatus[
            asgi.SocketAddress
        ] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until cancelled; report the address once it listens."""
        port = 0
        while True:
            async with trio.open_nursery() as nursery:
                self._process_scope = nursery.cancel_scope
                address = await nursery.start(
                    asgi.serve_streams, self._serve_connection, ip, port
                )
                if not port:
                    task_status.started(address)
                port = address.port
            await trio.sleep(self.restart_delay)
            self.boot += 1
            self.on_restart()

    async def _serve_connection(self, stream: trio.SocketStream) -> None:
        self.connections += 1
        connection = h11.Connection(h11.SERVER)
        async with stream:
            try:
                while await self._handle_request(stream, connection):
                    connection.start_next_cycle()
            except (trio.BrokenResourceError, h11.ProtocolError):
                return

    async def _handle_request(
        self, stream: trio.SocketStream, connection: h11.Connection
    ) -> bool:
        """Handle a request; return whether another one may follow."""
        run = await _read_request(stream, connection, self._answers_early)
        if run is None:
            return False
        self.arrived_at.append(trio.current_time())
        mode = self._current_mode()
        if self.next_modes:
            self.next_modes.popleft()
        await stream.send_all(self._refusals.pop(connection, b""))
        if self.late_copy and self.runs:
            late, self.late_copy = self.late_copy, b""
            await stream.send_all(late)
        expected = run.headers.get(EXPECTED_INSTANCE_HEADER, self.id)
        if expected != self.id or mode is ResponseMode.SHED:
            self.turned_away.append(run)
            status = 503 if expected == self.id else 421
            reason = (b"primrosemill-instance-id", self.id.encode())
            if status == 503:
                reason = (b"primrosemill-not-executed", b"1")
            echo = (b"primrosemill-request-id", run.request_id.encode())
            headers = [reason, echo, *self._state_headers(status)]
            await _send(stream, connection, status, headers, b"")
            if self.repeats_refusals:
                self._refusals[connection] = _encode_refusal(headers)
            return True
        self.runs.append(run)
        pause = self.pauses_by_id.get(run.request_id, self.pause)
        if not await self._wait(stream, mode, pause):
            self.gone.set()
            return False
        if self.crashes_on(run):
            self.crashes.append(Crash(trio.current_time(), run))
            self._process_scope.cancel()
            return False
        await self._send_response(stream, connection, run, mode)
        return mode not in CLOSING_MODES and mode is not ResponseMode.EARLY

    def _current_mode(self) -> ResponseMode:
        return self.next_modes[0] if self.next_modes else self.mode

    def _answers_early(self) -> bool:
        return self._current_mode() is ResponseMode.EARLY

    def _state_headers(self, status: int) -> list[asgi.Header]:
        """Return the headers that describe the state of the instance."""
        headers = []
        if self.leaving:
            headers.append((b"server-leaving", b"1"))
        if status == 503 and self.retry_after is not None:
            headers.append((b"retry-after", self.retry_after))
        if self.limit is not None:
            headers.append((b"server-limit", self.limit))
        return headers

    async def _wait(
        self, stream: trio.SocketStream, mode: ResponseMode, pause: float
    ) -> bool:
        """Wait for the pause; return whether the caller is still connected."""
        if mode is ResponseMode.HANG:
            pause = float("inf")
        if not pause:
            return True
        disconnected = False
        async with trio.open_nursery() as nursery:

            async def detect_disconnect() -> None:
                nonlocal disconnected
                data = await stream.receive_some(1)
                disconnected = not data
                nursery.cancel_scope.cancel()

            nursery.start_soon(detect_disconnect)
            await trio.sleep(pause)
            nursery.cancel_scope.cancel()
        return not disconnected

    async def _send_response(
        self,
        stream: trio.SocketStream,
        connection: h11.Connection,
        run: Run,
        mode: ResponseMode,
    ) -> None:
        request_id = run.request_id
        if mode is ResponseMode.FOREIGN:
            request_id = "of-another"
        headers = [
            (b"primrosemill-request-id", request_id.encode()),
            (b"primrosemill-server-signature", f"by.{self.id}".encode()),
            (b"primrosemill-instance-load", b"1,0,3"),
            *self._state_headers(200),
        ]
        if mode is ResponseMode.ENCODED:
            headers.append((b"content-encoding", b"gzip"))
        if mode is ResponseMode.LEAVING:
            headers.append((b"connection", b"close"))
        if mode is ResponseMode.ERROR:
            await _send(stream, connection, 500, headers, BODY)
        elif mode in (ResponseMode.UNFRAMED, ResponseMode.TRUNCATED):
            await stream.send_all(_encode_unframed(headers, mode))
        elif mode is ResponseMode.GARBAGE:
            await stream.send_all(b"\x00\x01 no answer at all\r\n\r\n")
        elif mode is not ResponseMode.CLOSED:
            await _send(stream, connection, 200, headers, self.body)
        if mode is ResponseMode.EXTRA:
            extra = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nextra"
            await stream.send_all(extra)


def _encode_unframed(headers: list[asgi.Header], mode: ResponseMode) -> bytes:
    """Return a response without a length, or shorter than its length."""
    head = b"HTTP/1.1 200 OK\r\n"
    if mode is ResponseMode.TRUNCATED:
        head += b"content-length: 1000\r\n"
    for name, value in headers:
        head += name + b": " + value + b"\r\n"
    return head + b"connection: close\r\n\r\n" + BODY


def _encode_refusal(headers: list[asgi.Header]) -> bytes:
    """Return a refusal without a body."""
    head = b"HTTP/1.1 503 Full\r\ncontent-length: 0\r\n"
    for name, value in headers:
        head += name + b": " + value + b"\r\n"
    return head + b"\r\n"


async def _send(
    stream: trio.SocketStream,
    connection: h11.Connection,
    status: int,
    headers: list[asgi.Header],
    body: bytes,
) -> None:
    length = (b"content-length", str(len(body)).encode())
    data = connection.send(
        h11.Response(status_code=status, headers=[*headers, length])
    )
    data += connection.send(h11.Data(data=body))
    data += connection.send(h11.EndOfMessage())
    await stream.send_all(data)


async def _read_request(
    stream: trio.SocketStream,
    connection: h11.Connection,
    head_only: typing.Callable[[], bool],
) -> Run | None:
    """Read a request or only its head; return None after a disconnect.

    ``head_only`` is called once the head has arrived.
    """
    request: h11.Request | None = None
    body = bytearray()
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            connection.receive_data(await stream.receive_some(RECEIVE_SIZE))
        elif isinstance(event, h11.Request):
            request = event
            if head_only():
                return _build_run(request, b"")
        elif isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage):
            return _build_run(request, bytes(body))
        else:
            return None


def _build_run(request: h11.Request, body: bytes) -> Run:
    headers = {
        name.decode(): value.decode("latin-1")
        for name, value in request.headers
    }
    return Run(request.method.decode(), request.target.decode(), headers, body)
