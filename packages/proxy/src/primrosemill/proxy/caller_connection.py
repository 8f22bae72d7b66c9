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

from primrosemill.proxy import asgi
from primrosemill.proxy import inbox
from primrosemill.proxy import pipelining
from primrosemill.proxy import sockets

RECEIVE_SIZE = 65_536  # bytes
MAX_QUEUED_MESSAGES = 2  # chunks of an upload queued for the application
STATUS_REQUEST_TIMEOUT = 408
MAX_PIPELINED_REQUESTS = 8  # unanswered requests of one connection
# Limit of buffered bytes of further requests; above it the connection is not
# read until an answer has been sent.
MAX_READ_AHEAD = 65_536  # bytes
# How long received bytes are discarded after the last answer. Closing with
# unread bytes would reset the connection and could destroy the answer.
LINGER_TIME = 1.0  # seconds
OnFailure = typing.Callable[[Exception], None]


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
        self._unparsed = b""
        self._parsing = False
        self._closing = False
        self._finished = False
        self._space_freed = trio.lowlevel.ParkingLot()
        self._linger_scope = trio.CancelScope()
        self.idle_since: float | None = trio.current_time()
        self._partial_head_since: float | None = None
        self._add_request()

    async def run(self) -> None:
        """Serve requests until either side closes the connection."""
        try:
            while True:
                data = await self._socket.receive(RECEIVE_SIZE)
                if not data:
                    break
                if self._finished:
                    continue
                self._unparsed += data
                await self._parse_requests()
                self._track_partial_head()
                await self._wait_for_space()
        except OSError:
            # The caller reset the connection, or this side closed it.
            pass
        except Exception as error:
            self._handle_failure(error)
        finally:
            self._linger_scope.cancel()
            await self._discard_requests()
            if self.idle_since is None and not self._finished:
                # A request is in progress: its answer is not complete.
                self._socket.reset()
            self._socket.shutdown_write()
            self._socket.close()

    async def _wait_for_space(self) -> None:
        """Wait while the bytes read ahead exceed their limit."""
        while len(self._unparsed) > MAX_READ_AHEAD:
            if self._finished or self._socket.closed:
                return
            await self._space_freed.park()

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
        request = self._requests[-1]
        if request.protocol.complete:
            if request.protocol.is_last or self._is_closing():
                self._unparsed = b""
                return False
            if len(self._requests) >= MAX_PIPELINED_REQUESTS:
                return False
            request = self._add_request()
        data, self._unparsed = self._unparsed, b""
        await request.protocol.handle(hypercorn.events.RawData(data))
        self._unparsed = request.protocol.trailing_bytes() + self._unparsed
        return not self._finished

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
        if self._context.terminated.is_set() and len(self._requests) == 1:
            self.close_after_answer()
            return
        self._requests.popleft()
        if self._requests:
            self._requests[0].allow_writing()
        else:
            self._add_request()
            self.idle_since = trio.current_time()
        if self._unparsed:
            self._nursery.start_soon(self._resume_parsing)

    async def _resume_parsing(self) -> None:
        """Parse requests that exceeded the pipelining limit before."""
        try:
            await self._parse_requests()
            self._track_partial_head()
        except Exception as error:
            self._handle_failure(error)
        self._space_freed.unpark_all()

    def close_after_answer(self) -> None:
        """Close after the last answer, with time for the caller to read it."""
        if self._finished:
            return
        self._finished = True
        self._unparsed = b""
        self._space_freed.unpark_all()
        self._socket.shutdown_write()
        self._nursery.start_soon(self._linger)

    async def _linger(self) -> None:
        await self._discard_requests()
        with self._linger_scope:
            await trio.sleep(LINGER_TIME)
        self._socket.close()

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
            self._partial_head_since = trio.current_time()

    async def spawn_app(
        self,
        application: asgi.Handler,
        config: hypercorn.config.Config,
        scope: asgi.Scope,
        send: asgi.Send,
    ) -> typing.Callable[[asgi.Message], typing.Awaitable[None]]:
        """Start the application for one request; called by hypercorn."""
        messages = inbox.Inbox(MAX_QUEUED_MESSAGES)
        self._nursery.start_soon(self._handle, scope, messages, send)
        return messages.put

    async def _handle(
        self, scope: asgi.Scope, messages: inbox.Inbox, send: asgi.Send
    ) -> None:
        try:
            await self._handler(scope, messages.get, send)
            messages.close()
            # The protocol closes a request that the application left open.
            await send(None)
        except Exception as error:
            messages.close()
            self._handle_failure(error)

    def _handle_failure(self, error: Exception) -> None:
        """Report a fault of the proxy and reset only this connection."""
        self._on_failure(error)
        self.reset()

    def reset(self) -> None:
        """Reset, so that the caller can't mistake the answer for complete."""
        self._socket.reset()
        self._space_freed.unpark_all()

    def close_if_idle(self, oldest: float) -> None:
        """Close if idle since ``oldest`` or before, a trio time.

        The connection stays open if unread bytes of a request have arrived.
        """
        if self.idle_since is None or self.idle_since > oldest:
            return
        if not self._socket.is_readable():
            self._socket.close()

    def refuse_slow_head(self, oldest: float) -> None:
        """Refuse a head that began at ``oldest`` (a trio time) or before."""
        if (
            self._partial_head_since is None
            or self._partial_head_since > oldest
        ):
            return
        self._partial_head_since = None
        if self._requests:
            self._nursery.start_soon(
                self._requests[-1].protocol.refuse, STATUS_REQUEST_TIMEOUT
            )

    async def write(self, data: bytes) -> None:
        """Send bytes; on failure mark the caller as disconnected."""
        try:
            await self._socket.send_all(data)
        except OSError:
            for request in tuple(self._requests):
                request.mark_disconnected()
            self._socket.close()
            self._space_freed.unpark_all()
