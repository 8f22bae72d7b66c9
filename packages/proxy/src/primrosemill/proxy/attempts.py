"""Sends one attempt to one instance and classifies its result.

An attempt has its result once the head of the answer and the first part of
its body have arrived. A short body is buffered completely before anything is
relayed to the caller, so that a truncated answer can still be retried.
"""

import typing

import httpcore
import trio

from primrosemill.configuration import document as documents
from primrosemill.decisions import instance_usage
from primrosemill.decisions import outcomes
from primrosemill.decisions import run_permit
from primrosemill.proxy import asgi
from primrosemill.proxy import connections
from primrosemill.proxy import dialects
from primrosemill.proxy import headers
from primrosemill.proxy import instance_stream
from primrosemill.proxy import replay_body
from primrosemill.published import bounded_connection

# Far above a round trip and far below the time of a request, so that enough
# time is left for another instance.
CONNECT_TIMEOUT = 0.25  # seconds
MIN_ERROR_STATUS = 400
MAX_BUFFERED_BODY = 65_536  # bytes; longer bodies are relayed as they arrive


class Outgoing(typing.NamedTuple):
    """A request as it is sent to instances; the times are trio times.

    The answer must repeat ``request_id`` unless that is None. ``credentials``
    are those of the customer, which only other VMs may see.
    """

    method: bytes
    target: bytes
    headers: asgi.Headers
    body: replay_body.ReplayBody
    idempotent: bool
    deadline: float
    arrived: float = 0.0
    route: documents.Route | None = None
    request_id: bytes | None = None
    dialect: dialects.Dialect = dialects.DEFAULT
    credentials: bytes | None = None

    @property
    def request_id_text(self) -> str:
        """Return the caller's id of the request as text, for the log."""
        return decode_request_id(self.request_id)

    @property
    def route_name(self) -> str:
        """Return the name of the route, or an empty string without one."""
        return self.route.name if self.route is not None else ""


def decode_request_id(request_id: bytes | None) -> str:
    """Return a caller's request id as text; empty if there is none."""
    return (request_id or b"").decode("latin-1")


class Answer(typing.NamedTuple):
    """An answer whose start is buffered; ``complete`` if that is all of it.

    ``first_byte`` is a trio time.
    """

    status: int
    headers: asgi.Headers
    buffered: bytes
    complete: bool
    first_byte: float


Result = Answer | outcomes.NotRun | outcomes.Unknown


# Tells whether an instance that was chosen still takes requests. Raises
# instance_stream.KeyRefusedError if the request itself must not be sent.
MaySend = typing.Callable[[documents.Instance], bool]


class Attempt:
    """One attempt at one instance; must be closed in every case."""

    def __init__(
        self,
        pool: connections.Connections,
        instance: documents.Instance,
        outgoing: Outgoing,
        may_send: MaySend,
        permit: run_permit.RunPermit | None = None,
    ) -> None:
        self._may_send = may_send
        self._permit = permit or run_permit.RunPermit()
        self._has_begun = False
        self._pool = pool
        self._instance = instance
        self._outgoing = outgoing
        self._connection: connections.Connection | None = None
        self._response: httpcore.Response | None = None
        self._body: typing.AsyncGenerator[bytes, None] | None = None
        self._complete = False
        self._reused = False
        self.maybe_ran = False
        # Whether the instance got no byte, or said that it has not run it.
        self.not_run = False
        self.connected_anew = False
        self.draining = False
        self.load: instance_usage.Load | None = None
        self.pause: dialects.Pause | None = None
        self.limit: dialects.Limit | None = None
        self._idle_time: float | None = None

    async def close(self) -> None:
        """Return the connection to the pool, or close it.

        It is kept only if the answer was read completely and the instance
        is not leaving.
        """
        self._end()
        connection, self._connection = self._connection, None
        if connection is None:
            return
        if self._complete and not self.draining:
            self._pool.put_back(self._instance, connection, self._idle_time)
            return
        connection.stream.close()
        if self._body is not None:
            with trio.CancelScope(shield=True):
                await self._body.aclose()

    def _begin(self) -> bool:
        """Return whether the instance still takes requests.

        Nothing may be awaited between this and the first byte. Raises
        instance_stream.RequestClosedError if the request must not be sent
        any more, and what ``may_send`` raises.
        """
        if not self._may_send(self._instance):
            return False
        if not self._permit.begin_attempt():
            raise instance_stream.RequestClosedError
        self._has_begun = True
        return True

    def _end(self) -> None:
        """Tell the permit whether the request may have run."""
        if self._has_begun:
            self._has_begun = False
            sent = self._connection.stream.has_written
            self._permit.end_attempt(not_run=self.not_run or not sent)

    async def next_chunk(self) -> bytes | outcomes.Unknown | None:
        """Read the next chunk of the answer's body; None at its end.

        Returns an unknown outcome if the answer breaks off.
        """
        try:
            return await anext(self._body)
        except StopAsyncIteration:
            await self._response.aclose()
            self._complete = True
            return None
        except bounded_connection.OverlongAnswerError:
            return outcomes.Unknown(outcomes.UnknownReason.OVERLONG)
        except (httpcore.ProtocolError, httpcore.NetworkError):
            return outcomes.Unknown(outcomes.UnknownReason.TRUNCATED)

    async def run(self) -> Result:
        """Send the request and read the start of the answer.

        Raises replay.CallerDisconnectedError and replay.BodyTooLargeError.
        """
        connect_failure = await self._connect()
        if connect_failure is not None:
            return connect_failure
        result = await self._run_connected()
        self.not_run = isinstance(result, outcomes.NotRun)
        return result

    async def _run_connected(self) -> Result:
        try:
            return await self._exchange()
        except (
            instance_stream.DeadlinePassedError,
            instance_stream.RequestClosedError,
        ):
            return outcomes.NotRun(outcomes.NotRunReason.CANCELLED_UNSENT)
        except instance_stream.InstanceLeftError:
            return outcomes.NotRun(outcomes.NotRunReason.INSTANCE_LEFT)
        except instance_stream.KeyRefusedError:
            return outcomes.NotRun(outcomes.NotRunReason.KEY_REFUSED)
        except (httpcore.ProtocolError, httpcore.NetworkError) as error:
            return self._classify_error(error)
        finally:
            self.maybe_ran = self._connection.stream.has_written

    async def _connect(self) -> outcomes.NotRun | None:
        self._connection = self._pool.take_idle(
            self._instance,
            self._outgoing.idempotent,
            self._outgoing.request_id,
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
        self.connected_anew = True
        return None

    async def _exchange(self) -> Result:
        has_body = not self._outgoing.body.absent
        stream = self._connection.stream
        stream.begin_attempt(self._outgoing.deadline, has_body, self._begin)
        response = await self._connection.http.handle_async_request(
            self._build_request(has_body)
        )
        first_byte = trio.current_time()
        stream.set_body_limit(self._outgoing.dialect.max_answer_size)
        self._response = response
        self._body = aiter(response.stream)
        dialect = self._outgoing.dialect
        not_run = dialect.read_not_run(response.status, response.headers)
        if not_run is not outcomes.NotRunReason.OTHER_INSTANCE:
            # Another instance that now has this address says nothing about
            # the one that the request was meant for.
            self.draining = dialect.is_leaving(response.headers)
            self.pause = dialect.read_pause(response.status, response.headers)
        if not self._matches_request(response):
            return outcomes.Unknown(outcomes.UnknownReason.FOREIGN_ANSWER)
        self.load = dialect.read_load(response.headers)
        if not_run is not outcomes.NotRunReason.OTHER_INSTANCE:
            self.limit = dialect.read_limit(response.headers)
        self._idle_time = headers.parse_idle_time(response.headers)
        result = await self._buffer_start(response, first_byte)
        if not_run is not None:
            stream.record_refusal(self._outgoing.request_id)
            return outcomes.NotRun(not_run)
        if dialect.identity_encoding_only and headers.is_encoded(
            response.headers
        ):
            return outcomes.Unknown(outcomes.UnknownReason.PROTOCOL)
        return result

    def _matches_request(self, response: httpcore.Response) -> bool:
        """Return whether an answer belongs to the request that was sent.

        An instance may omit the request id in a failure, not in a success.
        On a reused connection a failure without an id is not accepted: it
        may be a late copy of an earlier answer.
        """
        request_id = self._outgoing.request_id
        if request_id is None:
            return True
        name = self._outgoing.dialect.request_id
        received = headers.find(response.headers, name)
        if received is None:
            failed = response.status >= MIN_ERROR_STATUS
            return failed and not self._reused
        return received == request_id

    def _build_request(self, has_body: bool) -> httpcore.Request:
        outgoing = self._outgoing
        dialect = outgoing.dialect
        time_left = outgoing.deadline - trio.current_time()
        added_headers = [(dialect.timeout, dialect.format_timeout(time_left))]
        if dialect.expected_instance is not None:
            added_headers.append(
                (dialect.expected_instance, self._instance.id.encode())
            )
        return httpcore.Request(
            outgoing.method,
            httpcore.URL(
                scheme=b"http",
                host=self._instance.ip.encode(),
                port=self._instance.port,
                target=outgoing.target,
            ),
            headers=[*outgoing.headers, *added_headers],
            content=self._request_body() if has_body else None,
        )

    async def _request_body(self) -> typing.AsyncIterator[bytes]:
        """Yield the request body until the instance answers.

        An early answer raises httpcore.WriteError, on which httpcore stops
        sending and reads the answer.
        """
        stream = self._connection.stream
        async for chunk in self._outgoing.body.chunks():
            if stream.has_written and stream.is_readable():
                raise httpcore.WriteError("the instance answered early")
            yield chunk

    async def _buffer_start(
        self, response: httpcore.Response, first_byte: float
    ) -> Answer | outcomes.Unknown:
        buffered = bytearray()
        limit = _buffer_limit(response, self._outgoing.dialect.buffer_unsized)
        while len(buffered) < limit:
            chunk = await self.next_chunk()
            if isinstance(chunk, outcomes.Unknown):
                return chunk
            if chunk is None:
                break
            buffered += chunk
        return Answer(
            response.status,
            response.headers,
            bytes(buffered),
            self._complete,
            first_byte,
        )

    def _classify_error(
        self, error: Exception
    ) -> outcomes.NotRun | outcomes.Unknown:
        if not self._connection.stream.has_written:
            return outcomes.NotRun(outcomes.NotRunReason.CLOSED_UNSENT)
        if isinstance(error, bounded_connection.OverlongAnswerError):
            return outcomes.Unknown(outcomes.UnknownReason.OVERLONG)
        # httpcore sets a cause only if h11 could not parse received bytes.
        if isinstance(error, httpcore.ProtocolError) and error.__cause__:
            return outcomes.Unknown(outcomes.UnknownReason.PROTOCOL)
        return outcomes.Unknown(outcomes.UnknownReason.CLOSED)


def _connect_reason(error: OSError) -> outcomes.NotRunReason:
    if instance_stream.is_connection_refused(error):
        return outcomes.NotRunReason.CONNECT_REFUSED
    return outcomes.NotRunReason.CONNECT_FAILED


def _buffer_limit(response: httpcore.Response, buffer_unsized: bool) -> int:
    """Return how many bytes of the body to buffer before relaying it.

    A body of unknown length may be slow or endless, so only its first chunk
    is awaited, unless such bodies are known to be short.
    """
    length = headers.find(response.headers, headers.CONTENT_LENGTH)
    if length is None or not length.isdigit():
        return MAX_BUFFERED_BODY if buffer_unsized else 1
    if int(length) > MAX_BUFFERED_BODY:
        return 1
    return int(length) + 1
