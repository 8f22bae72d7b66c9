"""Serves HTTP to one caller, with hypercorn's protocol on a plain socket.

hypercorn's own connection starts a task for the idle timeout, takes a lock
and a cancel scope for each send, and sends head, body and end separately.
This one sends the head together with the first chunk of the body and checks
the idle timeout by comparing times. It also tells the application when the
caller disconnects and lets it reset the connection. Pipelined requests are
read before the earlier ones are answered; see docs/design/http-path.md.
"""

import collections
import typing

import hypercorn.config
import hypercorn.events
import hypercorn.trio.worker_context
import trio

from primrosemill.fleet import awake_clock
from primrosemill.proxy import asgi
from primrosemill.proxy import callers
from primrosemill.proxy import inbox
from primrosemill.proxy import memory
from primrosemill.proxy import pipelining
from primrosemill.proxy import sockets

RECEIVE_SIZE = 65_536  # bytes
MAX_QUEUED_MESSAGES = 2  # chunks of an upload queued for the application
STATUS_REQUEST_TIMEOUT = 408
MAX_PIPELINED_REQUESTS = 8  # unanswered requests of one connection
MAX_REQUESTS_PRESSED = 2  # of them while the VM's memory fills
# Limit of buffered bytes of further requests; above it the connection is not
# read until an answer has been sent.
MAX_READ_AHEAD = 16_384  # bytes
# How long received bytes are discarded after the last answer. Closing with
# unread bytes would reset the connection and could destroy the answer.
LINGER_TIME = 1.0  # seconds
# Bytes discarded meanwhile. An upload over the limit would never end.
LINGER_SIZE = 65_536  # bytes
LINGER_PAUSE = 0.1  # seconds before each further piece is discarded
# Bytes parsed at a time of a head, so that what follows it is copied seldom.
HEAD_PIECE = 16_384  # bytes
# Heads with more lines wait for their turn to be parsed.
USUAL_LINES = 128
# What a request costs of the processor that was sent behind many others.
PIPELINED_TIME = 0.001  # seconds
# Connections with this many unanswered requests begin them in turns.
DEEP_PIPELINE = 6
LINE_TIME = 15e-6  # seconds that a header line costs until it is sent on
# After SMALL_PIECES received pieces below SMALL_PIECE_SIZE, the connection is
# read less and less often, so that its pieces gather in the kernel.
SMALL_PIECE_SIZE = 256  # bytes
SMALL_PIECES = 8
PIECE_PAUSE = 0.01  # seconds for each further piece
MAX_PIECE_PAUSE = 0.2  # seconds
# A caller's link may lose packets for some seconds, but not longer.
MAX_STALL = 5.0  # seconds without a byte of a body or of an answer's progress
# The slowest rate of a body and of a piece of an answer after SLOW_TIME. An
# upload of 360 KB at 8 KB/s takes 45 s; a link of 10 Mbit/s carries 1.25 MB/s.
SLOW_TIME = 10.0  # seconds
MIN_RATE = 8_000.0  # bytes a second
# How long a connection that was given up may take to write its refusal.
EVICTION_TIME = 1.0  # seconds
# How much longer than allowed a caller may take whose bytes have arrived and
# are not read yet.
UNREAD_TIME = 1.0  # seconds
# A refusal of heavy work is late by this, so that a client that tries again
# at once costs little.
REFUSAL_PAUSE = 1.0  # seconds
STATUS_UNAVAILABLE = 503
OnFailure = typing.Callable[[Exception], None]


class ParsingEndedError(Exception):
    """The bytes of a connection that is closing are not parsed any more."""


class CallerConnection:
    """One connection of a caller and its pipelined requests."""

    def __init__(
        self,
        handler: asgi.Handler,
        config: hypercorn.config.Config,
        context: hypercorn.trio.worker_context.WorkerContext,
        sock: sockets.Socket,
        nursery: trio.Nursery,
        on_failure: OnFailure,
        account: memory.account.Account,
        max_requests: int = MAX_PIPELINED_REQUESTS,
    ) -> None:
        self._handler = handler
        self._config = config
        self._context = context
        self._socket = sock
        self._nursery = nursery
        self._on_failure = on_failure
        self._requests: collections.deque[pipelining.PipelinedRequest] = (
            collections.deque()
        )
        self._max_requests = max_requests
        self._account = account
        self.discards = account.discards
        self._unparsed = bytearray()
        self._head_lines = 0
        self._small_pieces = 0
        self._parsing = False
        self._parsing_ended = False
        self._parsed_size = 0
        self._turn_scope = trio.CancelScope()
        self._closing = False
        self._finished = False
        self._space_freed = trio.lowlevel.ParkingLot()
        self._linger_scope = trio.CancelScope()
        self._linger_ended = trio.Event()
        # All times of the connection are those of the awake clock: what the
        # VM itself takes is no delay of the caller.
        self._clock = awake_clock.current()
        now = self._clock.current_time()
        self.idle_since: float | None = now
        self._busy_since = now
        self._received_at = now
        self._body_size = 0
        self._reading = False
        self._write_since: float | None = None
        self._write_progress_at = now
        self._finished_at = now
        self._evicted_at: float | None = None
        self._was_served = False
        self._partial_head_since: float | None = None
        self._add_request()
        # The account may ask at once what this connection waits for.
        self.holding = account.add(self, sock.address)

    async def run(self) -> None:
        """Serve requests until either side closes the connection."""
        lingering = 0  # bytes
        try:
            while True:
                data = await self._receive()
                if not data:
                    break
                if self._finished:
                    lingering += len(data)
                    if lingering > LINGER_SIZE:
                        await self._linger_ended.wait()
                        break
                    await trio.sleep(LINGER_PAUSE)
                    continue
                self._unparsed += data
                try:
                    await self._parse_requests()
                except ParsingEndedError:
                    continue
                self._track_partial_head()
                self._count_small_pieces(len(data))
                if self._unparsed:
                    await self._wait_for_space()
        except OSError:
            # The caller reset the connection, or this side closed it.
            pass
        except Exception as error:
            self._handle_failure(error)
        finally:
            self._linger_scope.cancel()
            self._give_up()
            await self._discard_requests()
            if self.idle_since is None and not self._finished:
                # A request is in progress: its answer is not complete.
                self._socket.reset()
            self._socket.shutdown_write()
            self._socket.close()
            self.holding.close()

    async def _receive(self) -> bytes:
        """Receive bytes, less often while they come in small pieces."""
        self._reading = True
        if self._small_pieces > SMALL_PIECES:
            pause = PIECE_PAUSE * (self._small_pieces - SMALL_PIECES)
            await trio.sleep(min(pause, MAX_PIECE_PAUSE))
        data = await self._socket.receive(RECEIVE_SIZE)
        self._reading = False
        self._received_at = self._clock.current_time()
        self._body_size += len(data)
        return data

    def _count_small_pieces(self, size: int) -> None:
        """Count received pieces that are small and complete no request."""
        protocol = self._requests[-1].protocol if self._requests else None
        is_partial = (
            protocol is not None
            and protocol.has_bytes
            and not protocol.complete
        )
        if is_partial and size < SMALL_PIECE_SIZE:
            self._small_pieces += 1
        elif self._small_pieces:
            self._small_pieces -= 1

    async def _wait_for_space(self) -> None:
        """Wait while the bytes read ahead exceed their limit."""
        while len(self._unparsed) > MAX_READ_AHEAD:
            self.holding.set(
                memory.account.Kind.READ_AHEAD,
                len(self._unparsed) + memory.sizes.RECEIVE_BUFFER,
            )
            if self._finished or self._socket.closed:
                return
            await self._space_freed.park()
        self.holding.set(memory.account.Kind.READ_AHEAD, len(self._unparsed))

    async def _parse_requests(self) -> None:
        """Parse as many requests from the received bytes as allowed."""
        if self._parsing:
            # The task that is parsing also handles newly added bytes.
            return
        self._parsing = True
        try:
            while self._unparsed and await self._parse_next():
                pass
        finally:
            self._parsing = False

    async def _parse_next(self) -> bool:
        """Pass received bytes to a request; return whether to continue."""
        if self._parsing_ended:
            self._unparsed.clear()
            return False
        request = self._requests[-1]
        if request.protocol.complete:
            if request.protocol.is_last or self._is_closing():
                self._unparsed.clear()
                return False
            if len(self._requests) >= self._request_limit():
                return False
            request = self._add_request()
        if request.protocol.has_head:
            data = bytes(self._unparsed)
            self._unparsed.clear()
        else:
            data = bytes(self._unparsed[:HEAD_PIECE])
            del self._unparsed[:HEAD_PIECE]
            if not await self._wait_for_heavy_head(request, data):
                return False
        self._parsed_size = len(data)
        await request.protocol.handle(hypercorn.events.RawData(data))
        if request.protocol.complete:
            self._unparsed[:0] = request.protocol.trailing_bytes()
        return not self._finished

    async def wait_for_chunk_turn(self, work: float) -> None:
        """Wait until chunks that take ``work`` seconds may be parsed.

        Raises ParsingEndedError if they are not read any more.
        """
        size = self._parsed_size
        self.holding.charge(memory.account.Kind.PARSING, size)
        try:
            with trio.CancelScope() as self._turn_scope:
                if not self._finished and not self._socket.closed:
                    await self._account.heavy_chunks.wait_for_turn(work)
                    return
        finally:
            self.holding.release(memory.account.Kind.PARSING, size)
        raise ParsingEndedError

    async def _wait_for_heavy_head(
        self, request: pipelining.PipelinedRequest, data: bytes
    ) -> bool:
        """Wait before a head with very many lines is parsed.

        Returns False if the request was refused or the connection closed.
        """
        end = data.find(b"\r\n\r\n")
        self._head_lines += data.count(b"\n", 0, end if end >= 0 else None)
        lines = self._head_lines
        if end >= 0:
            self._head_lines = 0
        if lines <= USUAL_LINES or end < 0:
            return True
        try:
            await self._account.heavy_heads.wait_for_bounded_turn(
                lines * LINE_TIME
            )
        except memory.heavy_work.TooMuchWorkError:
            self._account.count(memory.account.Cause.HEAVY_WORK)
            if self._decide_refusal(request):
                await trio.sleep(REFUSAL_PAUSE)
                await request.protocol.refuse(STATUS_UNAVAILABLE)
            return False
        return not self._parsing_ended

    def _request_limit(self) -> int:
        """Return how many requests may be read before they are answered."""
        if self._account.is_pressed:
            return min(self._max_requests, MAX_REQUESTS_PRESSED)
        return self._max_requests

    def _is_closing(self) -> bool:
        """Return whether no request is accepted after the current last one."""
        return self._closing or self._context.terminated.is_set()

    def _add_request(self) -> pipelining.PipelinedRequest:
        request = pipelining.PipelinedRequest(
            self, self._handler, self._config, self._context
        )
        self._requests.append(request)
        if len(self._requests) == 1:
            request.allow_writing()
        return request

    def mark_busy(self) -> None:
        """Mark the connection as not idle: a request has begun."""
        self.idle_since = None
        self._busy_since = self._received_at
        self._body_size = 0

    def claim_close(self, request: pipelining.PipelinedRequest) -> bool:
        """Return whether a request is the last; if so, accept no other."""
        if self._requests and self._requests[-1] is not request:
            return False
        self._closing = True
        return True

    def finish_request(self) -> None:
        """End the current request and let the next one write its answer.

        Without a next one, the connection becomes idle.
        """
        closes = self._context.terminated.is_set() or self._evicted_at
        if closes and len(self._requests) == 1:
            self.close_after_answer()
            return
        self._was_served = True
        self._requests.popleft()
        if len(self._requests) >= DEEP_PIPELINE:
            self._nursery.start_soon(self._allow_in_turn, self._requests[0])
        elif self._requests:
            self._requests[0].allow_writing()
        else:
            self._add_request()
            self.idle_since = self._clock.current_time()
        if self._unparsed:
            self._nursery.start_soon(self._resume_parsing)

    async def _allow_in_turn(
        self, request: pipelining.PipelinedRequest
    ) -> None:
        """Let a request begin once deep pipelines of others had a turn."""
        await self._account.pipelines.wait_for_turn(PIPELINED_TIME)
        request.allow_writing()

    async def _resume_parsing(self) -> None:
        """Parse requests that exceeded the pipelining limit before.

        Connections with so many take turns, so that others are served.
        """
        try:
            await self._account.pipelines.wait_for_turn(PIPELINED_TIME)
            await self._parse_requests()
            self._track_partial_head()
        except ParsingEndedError:
            pass
        except Exception as error:
            self._handle_failure(error)
        self.holding.set(memory.account.Kind.READ_AHEAD, len(self._unparsed))
        self._space_freed.unpark_all()

    def close_after_answer(self) -> None:
        """Close after the last answer, with time for the caller to read it."""
        if self._finished:
            return
        self._finished = True
        self._finished_at = self._clock.current_time()
        self._give_up()
        self._turn_scope.cancel()
        self._space_freed.unpark_all()
        self._socket.shutdown_write()
        self._nursery.start_soon(self._linger)

    async def _linger(self) -> None:
        await self._discard_requests()
        with self._linger_scope:
            await trio.sleep(LINGER_TIME)
        self._socket.close()
        self._linger_ended.set()

    async def _discard_requests(self) -> None:
        """End all requests in progress because nobody reads their answers."""
        while self._requests:
            await self._requests.popleft().discard()

    def _track_partial_head(self) -> None:
        """Record since when the head of a request has been incomplete."""
        is_between_requests = self.idle_since is not None and self._requests
        if (
            not is_between_requests
            or not self._requests[-1].protocol.has_partial_head()
        ):
            self._partial_head_since = None
        elif self._partial_head_since is None:
            self._partial_head_since = self._clock.current_time()

    async def spawn_app(
        self,
        application: asgi.Handler,
        config: hypercorn.config.Config,
        scope: asgi.Scope,
        send: asgi.Send,
    ) -> typing.Callable[[asgi.Message], typing.Awaitable[None]]:
        """Start the application for one request; called by hypercorn."""
        messages = inbox.Inbox(MAX_QUEUED_MESSAGES, self.holding)
        scope["state"][callers.CONNECTION_KEY].messages = messages
        cost = memory.sizes.head_cost(len(scope["headers"]))
        self.holding.charge(memory.account.Kind.HEAD, cost)
        self._nursery.start_soon(self._handle, scope, messages, send, cost)
        return messages.put

    async def _handle(
        self,
        scope: asgi.Scope,
        messages: inbox.Inbox,
        send: asgi.Send,
        cost: int,
    ) -> None:
        try:
            await self._handler(scope, messages.get, send)
            messages.close()
            # The protocol closes a request that the application left open.
            await send(None)
        except Exception as error:
            messages.close()
            self._handle_failure(error)
        finally:
            self.holding.release(memory.account.Kind.HEAD, cost)

    def _handle_failure(self, error: Exception) -> None:
        """Report a fault of the proxy and reset only this connection."""
        self._on_failure(error)
        self.reset()

    def reset(self) -> None:
        """Reset, so that the caller can't mistake the answer for complete."""
        self._give_up()
        self._socket.reset()
        self._turn_scope.cancel()
        self._space_freed.unpark_all()

    def close_if_idle(self, oldest: float) -> None:
        """Close if idle since ``oldest`` or before, an awake time.

        The connection stays open if bytes of a request have arrived that are
        not read or parsed yet.
        """
        if self.idle_since is None or self.idle_since > oldest:
            return
        if self._parsing or self._socket.is_readable():
            return
        self._give_up()
        self._socket.close()

    def refuse_slow_head(self, oldest: float) -> None:
        """Refuse a head that began at ``oldest``, an awake time, or before.

        Only the caller's own time counts: a head that waits here until it is
        read or parsed is not slow.
        """
        since = self._partial_head_since
        if since is None or since > oldest or not self._awaits_caller():
            return
        if since > oldest - UNREAD_TIME and self._socket.is_readable():
            return
        request = self._requests[-1]
        if request.protocol.has_partial_head() and (
            self._decide_refusal(request)
        ):
            self._nursery.start_soon(
                request.protocol.refuse, STATUS_REQUEST_TIMEOUT
            )

    def _awaits_caller(self) -> bool:
        """Return whether all that was received has been parsed."""
        return self._reading and not self._parsing and bool(self._requests)

    def _decide_refusal(self, request: pipelining.PipelinedRequest) -> bool:
        """Return whether to refuse a request without a complete head.

        If so, no byte of the connection is parsed any more.
        """
        if self._parsing_ended or not request.permit.refuse():
            return False
        self._end_parsing()
        return True

    def _end_parsing(self) -> None:
        """Parse no further byte, so that no further request is read."""
        self._parsing_ended = True
        self._unparsed.clear()
        self._partial_head_since = None

    def _give_up(self) -> None:
        """Let no further attempt of any request begin, from now on."""
        self._end_parsing()
        self._close_permits()

    def _close_permits(self) -> None:
        for request in self._requests:
            request.permit.close()

    async def write(self, data: bytes) -> None:
        """Send bytes; on failure mark the caller as disconnected."""
        held = len(data)
        if held > sockets.YIELD_THRESHOLD:
            held += memory.sizes.SEND_BUFFER
        self.holding.charge(memory.account.Kind.ANSWER, held)
        self._write_since = self._clock.current_time()
        self._write_progress_at = self._write_since
        try:
            view = memoryview(data)
            while view:
                view = view[await self._socket.send_some(view) :]
                self._write_progress_at = self._clock.current_time()
        except OSError:
            self._give_up()
            for request in tuple(self._requests):
                request.mark_disconnected()
            self._socket.close()
            self._turn_scope.cancel()
            self._space_freed.unpark_all()
        finally:
            self._write_since = None
            self.holding.release(memory.account.Kind.ANSWER, held)

    def describe_wait(
        self, now: float
    ) -> tuple[memory.eviction.Phase, float, float]:
        """Return its phase, the seconds in it and those without progress."""
        stalled = now - self._received_at if self._reading else 0.0
        if self._finished:
            age = now - self._finished_at
            return memory.eviction.Phase.CLOSING, age, age
        if self._write_since is not None:
            return (
                memory.eviction.Phase.READER,
                now - self._write_since,
                now - self._write_progress_at,
            )
        protocol = self._requests[-1].protocol if self._requests else None
        if self.idle_since is None:
            phase = memory.eviction.Phase.ANSWER
            if protocol is not None and not protocol.complete:
                phase = memory.eviction.Phase.BODY
            return phase, now - self._busy_since, stalled
        if self._partial_head_since is not None:
            return (
                memory.eviction.Phase.HEAD,
                now - self._partial_head_since,
                stalled,
            )
        phase = memory.eviction.Phase.SILENT
        if self._was_served:
            phase = memory.eviction.Phase.IDLE
        return phase, now - self.idle_since, 0.0

    def evict(self) -> None:
        """Refuse the request in progress if it may be, and close."""
        self._evicted_at = self._clock.current_time()
        self._closing = True
        self._close_permits()
        if self.idle_since is not None or self._finished:
            self._end_parsing()
            self._socket.close()
            self._space_freed.unpark_all()
            return
        request = self._requests[0] if self._requests else None
        if (
            request is None
            or request.on_evict is None
            or self._write_since is not None
        ):
            self.reset()
            return
        request.on_evict()

    def check_progress(self, now: float) -> None:
        """Close if a body or the reading of an answer is too slow."""
        if self._evicted_at is not None:
            if now - self._evicted_at > EVICTION_TIME:
                self.reset()
            return
        phase, age, stalled = self.describe_wait(now)
        if phase is memory.eviction.Phase.BODY:
            if self._awaits_caller() and self._is_slow_body(age, stalled):
                self._account.count(memory.account.Cause.SLOW_BODY)
                self.evict()
        elif phase is memory.eviction.Phase.READER and (
            self._is_slow_reader(age, stalled)
        ):
            self._account.count(memory.account.Cause.SLOW_READER)
            self.reset()

    def _is_slow_body(self, age: float, stalled: float) -> bool:
        """Return whether a body is too slow, with what may be unread of it."""
        is_slow = age > SLOW_TIME and self._body_size < MIN_RATE * age
        if stalled <= MAX_STALL and not is_slow:
            return False
        if not self._socket.is_readable():
            return True
        size = self._body_size + memory.sizes.RECEIVE_BUFFER
        is_slow = age > SLOW_TIME and size < MIN_RATE * age
        return is_slow or stalled > MAX_STALL + UNREAD_TIME

    def _is_slow_reader(self, age: float, stalled: float) -> bool:
        """Return whether an answer is read too slowly."""
        excess = max(stalled - MAX_STALL, age - SLOW_TIME)
        if excess <= 0.0:
            return False
        return excess > UNREAD_TIME or not self._socket.is_writable()
