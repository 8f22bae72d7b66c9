"""An HTTP connection on which a faulty server costs its client little.

httpcore reads 64 KB at a time and handles all events in them before other
tasks run: eleven thousand chunks of a byte, or three thousand interim answers.
This connection reads little at a time while there is much to parse, waits for
a turn before each such piece, and joins small chunks.
"""

import typing

import h11
import httpcore
import trio

MAX_INTERIM_ANSWERS = 8  # before one answer
# Lines of a head or of trailers. Common servers allow 100 header fields.
MAX_LINES = 1_000
FIRST_READ = 4_096  # bytes; most heads are shorter
MAX_READ = 65_536  # bytes
# Lines of an answer that are parsed without waiting for a turn, and the mean
# size of longer ones, which cost little for their bytes.
FREE_LINES = 256
LONG_LINE = 64  # bytes
LINE_TIME = 10e-6  # seconds that a line costs
SPACING = 4.0  # times the work until the next piece, for a connection alone


class OverlongAnswerError(httpcore.RemoteProtocolError):
    """A server sent more than an answer may have."""


class Turns(typing.Protocol):
    """Makes connections with much to parse wait, so that others go on."""

    async def wait_for_turn(self, work: float) -> None:
        """Wait until work that takes about ``work`` seconds may begin."""
        ...


class OwnTurns:
    """The turns of a connection that shares them with no other."""

    async def wait_for_turn(self, work: float) -> None:
        """Wait for a multiple of the work."""
        await trio.sleep(SPACING * work)


class BoundedConnection(httpcore.AsyncHTTP11Connection):
    """An HTTP/1.1 connection that bounds the work on its answers."""

    def __init__(
        self,
        origin: httpcore.Origin,
        stream: httpcore.AsyncNetworkStream,
        keepalive_expiry: float | None = None,
        turns: Turns | None = None,
    ) -> None:
        super().__init__(origin, stream, keepalive_expiry)
        self._turns = turns or OwnTurns()
        self._begin_answer()

    def _begin_answer(self) -> None:
        self._interim_answers = 0
        self._lines = 0
        self._read_size = FIRST_READ
        self._is_sized = False
        self._next_event: h11.Event | None = None

    async def handle_async_request(
        self, request: httpcore.Request
    ) -> httpcore.Response:
        """Send a request and read the head of its answer.

        Raises OverlongAnswerError.
        """
        self._begin_answer()
        return await super().handle_async_request(request)

    async def _receive_event(
        self, timeout: float | None = None
    ) -> h11.Event | type[h11.PAUSED]:
        """Return the next event; httpcore calls this for each one."""
        if self._next_event is not None:
            event, self._next_event = self._next_event, None
            return event
        while (event := self._parse_event()) is h11.NEED_DATA:
            await self._receive_data(timeout)
        if isinstance(event, h11.InformationalResponse):
            self._interim_answers += 1
            if self._interim_answers > MAX_INTERIM_ANSWERS:
                raise OverlongAnswerError("too many interim answers")
        if isinstance(event, h11.Response):
            names = {name for name, _ in event.headers}
            self._is_sized = b"transfer-encoding" not in names
        if isinstance(event, h11.Data) and not self._is_sized:
            return self._join_chunks(event)
        return event

    def _parse_event(self) -> h11.Event | type[h11.NEED_DATA]:
        try:
            return self._h11_state.next_event()
        except h11.RemoteProtocolError as error:
            raise httpcore.RemoteProtocolError(error) from error

    async def _receive_data(self, timeout: float | None) -> None:
        data = await self._network_stream.read(
            self._read_size, timeout=timeout
        )
        if not data and self._h11_state.their_state is h11.SEND_RESPONSE:
            raise httpcore.RemoteProtocolError(
                "Server disconnected without sending a response."
            )
        if not self._is_sized:
            await self._wait_if_heavy(data)
        self._h11_state.receive_data(data)

    async def _wait_if_heavy(self, data: bytes) -> None:
        """Wait for a turn if there is much to parse, and read less then."""
        lines = data.count(b"\n")
        self._lines += lines
        if self._lines > MAX_LINES:
            # Only what is not parsed yet counts: a head, or trailers.
            unparsed, _ = self._h11_state.trailing_data
            if unparsed.count(b"\n") > MAX_LINES:
                raise OverlongAnswerError("too many lines")
        if self._lines <= FREE_LINES or lines * LONG_LINE < len(data):
            self._read_size = min(MAX_READ, 2 * self._read_size)
            return
        self._read_size = FIRST_READ
        await self._turns.wait_for_turn(lines * LINE_TIME)

    def _join_chunks(self, first: h11.Data) -> h11.Data:
        """Return a chunk together with those that have arrived after it."""
        pieces = [bytes(first.data)]
        while True:
            try:
                event = self._h11_state.next_event()
            except h11.RemoteProtocolError:
                # The next call raises it again.
                break
            if event is h11.NEED_DATA:
                break
            if not isinstance(event, h11.Data):
                self._next_event = event
                break
            pieces.append(bytes(event.data))
        return h11.Data(data=b"".join(pieces))


class _PooledConnection(httpcore.AsyncHTTPConnection):
    """A connection of a pool; it opens a bounded one."""

    async def handle_async_request(
        self, request: httpcore.Request
    ) -> httpcore.Response:
        async with self._request_lock:
            if self._connection is None:
                try:
                    stream = await self._connect(request)
                except BaseException:
                    self._connect_failed = True
                    raise
                self._connection = BoundedConnection(
                    self._origin, stream, self._keepalive_expiry
                )
        return await self._connection.handle_async_request(request)


class BoundedPool(httpcore.AsyncConnectionPool):
    """A pool of bounded connections, without TLS."""

    def create_connection(
        self, origin: httpcore.Origin
    ) -> httpcore.AsyncConnectionInterface:
        """Return a connection that is opened by its first request."""
        return _PooledConnection(
            origin=origin,
            keepalive_expiry=self._keepalive_expiry,
            network_backend=self._network_backend,
            socket_options=self._socket_options,
        )
