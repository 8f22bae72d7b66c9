"""Sends one attempt to one instance and types how it ended.

An attempt is over once the head of its answer and the first part of the
body are here. A short body is read whole before anything goes on to the
caller, so that an answer cut off by its instance can still be retried.
"""

import typing

import httpcore
import trio

from primrosemill.configuration import document as documents
from primrosemill.decisions import holdings
from primrosemill.decisions import outcomes
from primrosemill.proxy import asgi
from primrosemill.proxy import connections
from primrosemill.proxy import dialects
from primrosemill.proxy import headers
from primrosemill.proxy import replay
from primrosemill.proxy import wire

# Far above a round trip, far below a request: another instance has time left.
CONNECT_TIMEOUT = 0.25  # seconds
FIRST_ERROR_STATUS = 400
HOLD_SIZE = 65_536  # bytes of an answer that are read before it goes on


class Outgoing(typing.NamedTuple):
    """What is sent to an instance; the times are trio times.

    ``request_id`` must stand in the answer; None where nothing must.
    """

    method: bytes
    target: bytes
    headers: asgi.Headers
    body: replay.ReplayBody
    idempotent: bool
    deadline: float
    arrived: float = 0.0
    route: documents.Route | None = None
    request_id: bytes | None = None
    dialect: dialects.Dialect = dialects.OWN

    @property
    def id_text(self) -> str:
        """Return the caller's id of the request, for the log."""
        return text_of_id(self.request_id)

    @property
    def route_name(self) -> str:
        """Return the name of the route; empty where it has none."""
        return self.route.name if self.route is not None else ""


def text_of_id(request_id: bytes | None) -> str:
    """Return a caller's id of a request as the log shows it."""
    return (request_id or b"").decode("latin-1")


class Answer(typing.NamedTuple):
    """An answer whose start is held; ``whole`` if that is all of it.

    ``first_byte`` is a trio time.
    """

    status: int
    headers: asgi.Headers
    held: bytes
    whole: bool
    first_byte: float


Ending = Answer | outcomes.NotRun | outcomes.Unknown


class Attempt:
    """One try at one instance; close it whatever happens."""

    def __init__(
        self,
        pool: connections.Connections,
        instance: documents.Instance,
        outgoing: Outgoing,
    ) -> None:
        self._pool = pool
        self._instance = instance
        self._outgoing = outgoing
        self._connection: connections.Connection | None = None
        self._response: httpcore.Response | None = None
        self._pieces: typing.AsyncGenerator[bytes, None] | None = None
        self._whole = False
        self._reused = False
        self.maybe_ran = False
        self.draining = False
        self.load: holdings.Load | None = None
        self.pause: dialects.Pause | None = None
        self._idle_time: float | None = None

    async def close(self) -> None:
        """Keep the connection if its answer was read whole, else close it."""
        connection, self._connection = self._connection, None
        if connection is None:
            return
        if self._whole and not self.draining:
            self._pool.put_back(self._instance, connection, self._idle_time)
            return
        connection.stream.close()
        if self._pieces is not None:
            with trio.CancelScope(shield=True):
                await self._pieces.aclose()

    async def next_piece(self) -> bytes | outcomes.Unknown | None:
        """Read on in the body of the answer; None at its end."""
        try:
            return await anext(self._pieces)
        except StopAsyncIteration:
            await self._response.aclose()
            self._whole = True
            return None
        except wire.OverlongAnswerError:
            return outcomes.Unknown(outcomes.UnknownReason.OVERLONG)
        except (httpcore.ProtocolError, httpcore.NetworkError):
            return outcomes.Unknown(outcomes.UnknownReason.TRUNCATED)

    async def run(self) -> Ending:
        """Send the request and read the start of the answer.

        Raises replay.CallerGoneError and replay.TooLargeError.
        """
        not_connected = await self._connect()
        if not_connected is not None:
            return not_connected
        try:
            return await self._exchange()
        except wire.DeadlinePassedError:
            return outcomes.NotRun(outcomes.NotRunReason.CANCELLED_UNSENT)
        except (httpcore.ProtocolError, httpcore.NetworkError) as error:
            return self._failed(error)
        finally:
            self.maybe_ran = self._connection.stream.wrote

    async def _connect(self) -> outcomes.NotRun | None:
        self._connection = self._pool.take_idle(
            self._instance, self._outgoing.idempotent
        )
        if self._connection is not None:
            self._reused = True
            return None
        with trio.move_on_after(CONNECT_TIMEOUT):
            try:
                self._connection = await self._pool.open(self._instance)
            except OSError as error:
                return outcomes.NotRun(_connect_reason(error))
        if self._connection is None:
            return outcomes.NotRun(outcomes.NotRunReason.CONNECT_TIMEOUT)
        return None

    async def _exchange(self) -> Ending:
        has_body = not self._outgoing.body.absent
        stream = self._connection.stream
        stream.arm(self._outgoing.deadline, has_body)
        response = await self._connection.http.handle_async_request(
            self._request(has_body)
        )
        first_byte = trio.current_time()
        stream.expect_body(self._outgoing.dialect.longest_answer)
        self._response = response
        self._pieces = aiter(response.stream)
        dialect = self._outgoing.dialect
        not_run = dialect.read_not_run(response.status, response.headers)
        if not_run is not outcomes.NotRunReason.OTHER_INSTANCE:
            # Another instance at the address speaks for itself only.
            self.draining = dialect.tells_leaving(response.headers)
            self.pause = dialect.read_pause(response.status, response.headers)
        if not self._is_own(response):
            return outcomes.Unknown(outcomes.UnknownReason.FOREIGN_ANSWER)
        self.load = dialect.read_load(response.headers)
        self._idle_time = headers.parse_idle_time(response.headers)
        ending = await self._hold(response, first_byte)
        if not_run is not None:
            return outcomes.NotRun(not_run)
        if dialect.plain_answers and headers.is_encoded(response.headers):
            return outcomes.Unknown(outcomes.UnknownReason.PROTOCOL)
        return ending

    def _is_own(self, response: httpcore.Response) -> bool:
        """Tell whether an answer belongs to the request that was sent.

        An instance may leave the id out of a failure, not of a success. On a
        connection that was used before, such a failure may be a late copy of
        an earlier answer, so it belongs to nobody.
        """
        request_id = self._outgoing.request_id
        if request_id is None:
            return True
        name = self._outgoing.dialect.request_id
        told = headers.find(response.headers, name)
        if told is None:
            failed = response.status >= FIRST_ERROR_STATUS
            return failed and not self._reused
        return told == request_id

    def _request(self, has_body: bool) -> httpcore.Request:
        outgoing = self._outgoing
        dialect = outgoing.dialect
        time_left = outgoing.deadline - trio.current_time()
        own = [(dialect.timeout, dialect.format_timeout(time_left))]
        if dialect.expected_instance is not None:
            own.append((dialect.expected_instance, self._instance.id.encode()))
        return httpcore.Request(
            outgoing.method,
            httpcore.URL(
                scheme=b"http",
                host=self._instance.ip.encode(),
                port=self._instance.port,
                target=outgoing.target,
            ),
            headers=[*outgoing.headers, *own],
            content=self._chunks() if has_body else None,
        )

    async def _chunks(self) -> typing.AsyncIterator[bytes]:
        """Yield the body, but no more once the instance answers.

        httpcore takes a write error as a sign to read the answer that the
        instance sent instead of reading on.
        """
        stream = self._connection.stream
        async for chunk in self._outgoing.body.chunks():
            if stream.wrote and stream.is_readable():
                raise httpcore.WriteError("the instance answered early")
            yield chunk

    async def _hold(
        self, response: httpcore.Response, first_byte: float
    ) -> Answer | outcomes.Unknown:
        held = b""
        limit = _size_to_hold(response, self._outgoing.dialect.hold_unsized)
        while len(held) < limit:
            piece = await self.next_piece()
            if isinstance(piece, outcomes.Unknown):
                return piece
            if piece is None:
                break
            held += piece
        return Answer(
            response.status, response.headers, held, self._whole, first_byte
        )

    def _failed(self, error: Exception) -> outcomes.NotRun | outcomes.Unknown:
        if not self._connection.stream.wrote:
            return outcomes.NotRun(outcomes.NotRunReason.CLOSED_UNSENT)
        if isinstance(error, wire.OverlongAnswerError):
            return outcomes.Unknown(outcomes.UnknownReason.OVERLONG)
        # httpcore names a cause only if bytes came that h11 can't parse.
        if isinstance(error, httpcore.ProtocolError) and error.__cause__:
            return outcomes.Unknown(outcomes.UnknownReason.PROTOCOL)
        return outcomes.Unknown(outcomes.UnknownReason.CLOSED)


def _connect_reason(error: OSError) -> outcomes.NotRunReason:
    if wire.is_refusal(error):
        return outcomes.NotRunReason.CONNECT_REFUSED
    return outcomes.NotRunReason.CONNECT_FAILED


def _size_to_hold(response: httpcore.Response, hold_unsized: bool) -> int:
    """Return how many bytes of the body to read before it goes on.

    A body of unknown length may come slowly and without end, so only its
    first piece is waited for, unless such bodies are known to be short.
    """
    length = headers.find(response.headers, headers.CONTENT_LENGTH)
    if length is None or not length.isdigit():
        return HOLD_SIZE if hold_unsized else 1
    if int(length) > HOLD_SIZE:
        return 1
    return int(length) + 1
