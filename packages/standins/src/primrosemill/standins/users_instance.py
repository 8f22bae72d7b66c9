"""Stands in for an instance on the users' platform.

It speaks the instances' headers as the users' pages tell them, records each
run, and misbehaves in the ways that the pages name, request by request.
"""

import collections
import enum
import typing

import h11
import trio

from primrosemill.standins import asgi

RECEIVE_SIZE = 65_536  # bytes
REQUEST_ID = "primrosemill-request-id"
EXPECTED = "primrosemill-expect-instance"
BODY = b"the bytes of an instance"


class Manner(enum.StrEnum):
    """How the instance treats a request."""

    WELL = "well"
    ERROR = "error"  # It runs and fails.
    SHED = "shed"  # It is full and says so.
    FOREIGN = "foreign"  # The answer has another request's id.
    EXTRA = "extra"  # A second answer follows.
    UNFRAMED = "unframed"  # No length; the connection ends the answer.
    TRUNCATED = "truncated"  # The connection ends within the answer.
    ENCODED = "encoded"  # The body has a content encoding.
    GARBAGE = "garbage"  # Bytes that are no answer.
    CLOSED = "closed"  # It runs and closes without an answer.
    HANG = "hang"  # It runs and never answers.
    EARLY = "early"  # It answers before it has read the body.
    LEAVING = "leaving"  # It answers and closes.


ENDS_CONNECTION = frozenset(
    {
        Manner.UNFRAMED,
        Manner.TRUNCATED,
        Manner.GARBAGE,
        Manner.CLOSED,
        Manner.LEAVING,
    }
)


class Run(typing.NamedTuple):
    """A request as it reached the instance."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def request_id(self) -> str:
        """Return the id that its caller gave it."""
        return self.headers.get(REQUEST_ID, "")


class InstanceStandin:
    """Answers requests after a pause, in the manners that it was told."""

    def __init__(self, instance_id: str, pause: float = 0.0) -> None:
        self.id = instance_id
        self.pause = pause
        self.pauses_by_id: dict[str, float] = {}
        self.manner = Manner.WELL
        # It says so in all its answers.
        self.leaving = False
        # Bytes that it sends, once, when the next request has arrived on the
        # connection of an answered one; empty for none.
        self.late_copy = b""
        # The value that it adds to a refusal; None for none.
        self.retry_after: bytes | None = None
        self.next_manners: collections.deque[Manner] = collections.deque()
        self.runs: list[Run] = []
        self.turned_away: list[Run] = []
        self.connections = 0
        self.gone = trio.Event()

    async def serve(
        self,
        ip: str,
        *,
        task_status: trio.TaskStatus[asgi.Served] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until cancelled; reports the address once it listens."""
        await asgi.serve_streams(self._serve, ip, task_status=task_status)

    async def _serve(self, stream: trio.SocketStream) -> None:
        self.connections += 1
        connection = h11.Connection(h11.SERVER)
        async with stream:
            try:
                while await self._answer_one(stream, connection):
                    connection.start_next_cycle()
            except (trio.BrokenResourceError, h11.ProtocolError):
                return

    async def _answer_one(
        self, stream: trio.SocketStream, connection: h11.Connection
    ) -> bool:
        """Answer a request; tells whether another one may follow."""
        manner = self.manner
        if self.next_manners:
            manner = self.next_manners[0]
        run = await _read(stream, connection, manner is Manner.EARLY)
        if run is None:
            return False
        if self.next_manners:
            self.next_manners.popleft()
        if self.late_copy and self.runs:
            late, self.late_copy = self.late_copy, b""
            await stream.send_all(late)
        expected = run.headers.get(EXPECTED, self.id)
        if expected != self.id or manner is Manner.SHED:
            self.turned_away.append(run)
            status = 503 if expected == self.id else 421
            line = (b"primrosemill-instance-id", self.id.encode())
            if status == 503:
                line = (b"primrosemill-not-executed", b"1")
            echo = (b"primrosemill-request-id", run.request_id.encode())
            lines = [line, echo, *self._announcements(status)]
            await _send(stream, connection, status, lines, b"")
            return True
        self.runs.append(run)
        pause = self.pauses_by_id.get(run.request_id, self.pause)
        if not await self._work(stream, manner, pause):
            self.gone.set()
            return False
        await self._send_answer(stream, connection, run, manner)
        return manner not in ENDS_CONNECTION and manner is not Manner.EARLY

    def _announcements(self, status: int) -> list[asgi.Header]:
        """Return what it says of itself beside an answer."""
        lines = []
        if self.leaving:
            lines.append((b"server-leaving", b"1"))
        if status == 503 and self.retry_after is not None:
            lines.append((b"retry-after", self.retry_after))
        return lines

    async def _work(
        self, stream: trio.SocketStream, manner: Manner, pause: float
    ) -> bool:
        """Spend the pause; False if the caller left meanwhile."""
        if manner is Manner.HANG:
            pause = float("inf")
        if not pause:
            return True
        left = False
        async with trio.open_nursery() as nursery:

            async def watch() -> None:
                nonlocal left
                data = await stream.receive_some(1)
                left = not data
                nursery.cancel_scope.cancel()

            nursery.start_soon(watch)
            await trio.sleep(pause)
            nursery.cancel_scope.cancel()
        return not left

    async def _send_answer(
        self,
        stream: trio.SocketStream,
        connection: h11.Connection,
        run: Run,
        manner: Manner,
    ) -> None:
        request_id = run.request_id
        if manner is Manner.FOREIGN:
            request_id = "of-another"
        lines = [
            (b"primrosemill-request-id", request_id.encode()),
            (b"primrosemill-server-signature", f"by.{self.id}".encode()),
            (b"primrosemill-instance-load", b"1,0,3"),
            *self._announcements(200),
        ]
        if manner is Manner.ENCODED:
            lines.append((b"content-encoding", b"gzip"))
        if manner is Manner.LEAVING:
            lines.append((b"connection", b"close"))
        if manner is Manner.ERROR:
            await _send(stream, connection, 500, lines, BODY)
        elif manner in (Manner.UNFRAMED, Manner.TRUNCATED):
            await stream.send_all(_unframed(lines, manner))
        elif manner is Manner.GARBAGE:
            await stream.send_all(b"\x00\x01 no answer at all\r\n\r\n")
        elif manner is not Manner.CLOSED:
            await _send(stream, connection, 200, lines, BODY)
        if manner is Manner.EXTRA:
            extra = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nextra"
            await stream.send_all(extra)


def _unframed(lines: list[asgi.Header], manner: Manner) -> bytes:
    """Return an answer without a length, or one shorter than its length."""
    head = b"HTTP/1.1 200 OK\r\n"
    if manner is Manner.TRUNCATED:
        head += b"content-length: 1000\r\n"
    for name, value in lines:
        head += name + b": " + value + b"\r\n"
    return head + b"connection: close\r\n\r\n" + BODY


async def _send(
    stream: trio.SocketStream,
    connection: h11.Connection,
    status: int,
    lines: list[asgi.Header],
    body: bytes,
) -> None:
    length = (b"content-length", str(len(body)).encode())
    data = connection.send(
        h11.Response(status_code=status, headers=[*lines, length])
    )
    data += connection.send(h11.Data(data=body))
    data += connection.send(h11.EndOfMessage())
    await stream.send_all(data)


async def _read(
    stream: trio.SocketStream, connection: h11.Connection, head_only: bool
) -> Run | None:
    """Read a request, or its head alone; None once the caller closed."""
    request: h11.Request | None = None
    body = b""
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            connection.receive_data(await stream.receive_some(RECEIVE_SIZE))
        elif isinstance(event, h11.Request):
            request = event
            if head_only:
                return _run_of(request, b"")
        elif isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage):
            return _run_of(request, body)
        else:
            return None


def _run_of(request: h11.Request, body: bytes) -> Run:
    headers = {
        name.decode(): value.decode("latin-1")
        for name, value in request.headers
    }
    return Run(request.method.decode(), request.target.decode(), headers, body)
