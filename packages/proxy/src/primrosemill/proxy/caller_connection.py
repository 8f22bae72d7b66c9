"""Speaks HTTP with one caller, with hypercorn's protocol on our socket.

hypercorn's own connection starts a task for the idle time, takes a lock and
a cancel scope for each send, and sends head, body and end apart. This one
sends the head with the first piece of the body and keeps the idle time as a
number. It also knows what the application must: that the caller left, and
how to reset the connection. Requests that the caller sends ahead are read
before those before them are answered; docs/design/http-path.md.
"""

import collections
import typing

import hypercorn.config
import hypercorn.events
import hypercorn.trio.worker_context
import trio

from primrosemill.proxy import asgi
from primrosemill.proxy import inbox
from primrosemill.proxy import sockets
from primrosemill.proxy import turns

RECEIVE_SIZE = 65_536  # bytes
UPLOAD_MESSAGES = 2  # of an upload that wait for the application
STATUS_TIMEOUT = 408
MOST_TURNS = 8  # requests of one connection that are read and not answered
# Bytes of further requests that are kept; with more nothing is read until an
# answer has gone.
READ_AHEAD = 65_536
# After the last answer what still comes is read and dropped for this long:
# closing with unread bytes would reset the answer away.
LINGER_TIME = 1.0  # seconds
OnFailure = typing.Callable[[Exception], None]


class CallerConnection:
    """One connection of a caller, with the requests that it carries."""

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
        self._turns: collections.deque[turns.Turn] = collections.deque()
        self._rest = b""
        self._feeding = False
        self._closing = False
        self._finished = False
        self._room = trio.lowlevel.ParkingLot()
        self._linger_scope = trio.CancelScope()
        self.idle_since: float | None = trio.current_time()
        self._head_since: float | None = None
        self._add_turn()

    async def run(self) -> None:
        """Serve until either side closes."""
        try:
            while True:
                data = await self._socket.receive(RECEIVE_SIZE)
                if not data:
                    break
                if self._finished:
                    continue
                self._rest += data
                await self._feed()
                self._note_head()
                await self._wait_for_room()
        except OSError:
            # The caller reset the connection, or it was closed here.
            pass
        except Exception as error:
            self._fail(error)
        finally:
            self._linger_scope.cancel()
            await self._drop_turns()
            if self.idle_since is None and not self._finished:
                # A request is in progress: its answer is not whole.
                self._socket.reset()
            self._socket.end_sending()
            self._socket.close()

    async def _wait_for_room(self) -> None:
        """Read on only once what was read ahead is within its bound."""
        while len(self._rest) > READ_AHEAD:
            if self._finished or self._socket.closed:
                return
            await self._room.park()

    async def _feed(self) -> None:
        """Take up the requests in what was read, as many as may be."""
        if self._feeding:
            # The task that feeds takes what was added, too.
            return
        self._feeding = True
        try:
            while self._rest and await self._feed_once():
                pass
        finally:
            self._feeding = False

    async def _feed_once(self) -> bool:
        """Give what was read to a request; tell whether to go on."""
        turn = self._turns[-1]
        if turn.protocol.whole:
            if turn.protocol.closes or self._is_closing():
                self._rest = b""
                return False
            if len(self._turns) >= MOST_TURNS:
                return False
            turn = self._add_turn()
        data, self._rest = self._rest, b""
        await turn.protocol.handle(hypercorn.events.RawData(data))
        self._rest = turn.protocol.take_rest() + self._rest
        return not self._finished

    def _is_closing(self) -> bool:
        """Tell whether the request taken up last is the last at all."""
        return self._closing or self._context.terminated.is_set()

    def _add_turn(self) -> turns.Turn:
        turn = turns.Turn(self, self._handler, self._config, self._context)
        self._turns.append(turn)
        if len(self._turns) == 1:
            turn.begin()
        return turn

    def note_begin(self) -> None:
        """Note that a request has begun."""
        self.idle_since = None

    def claim_close(self, turn: turns.Turn) -> bool:
        """Tell whether a turn is the last; then no other is taken up."""
        if self._turns and self._turns[-1] is not turn:
            return False
        self._closing = True
        return True

    def end_turn(self) -> None:
        """Let the next turn write; where there is none, wait for requests."""
        if self._context.terminated.is_set() and len(self._turns) == 1:
            self.finish()
            return
        self._turns.popleft()
        if self._turns:
            self._turns[0].begin()
        else:
            self._add_turn()
            self.idle_since = trio.current_time()
        if self._rest:
            self._nursery.start_soon(self._feed_on)

    async def _feed_on(self) -> None:
        """Take up requests that had no place before."""
        try:
            await self._feed()
            self._note_head()
        except Exception as error:
            self._fail(error)
        self._room.unpark_all()

    def finish(self) -> None:
        """Close behind the last answer, once the caller has read it."""
        if self._finished:
            return
        self._finished = True
        self._rest = b""
        self._room.unpark_all()
        self._socket.end_sending()
        self._nursery.start_soon(self._linger)

    async def _linger(self) -> None:
        await self._drop_turns()
        with self._linger_scope:
            await trio.sleep(LINGER_TIME)
        self._socket.close()

    async def _drop_turns(self) -> None:
        """Tell all requests in progress that nobody reads their answers."""
        while self._turns:
            await self._turns.popleft().drop()

    def _note_head(self) -> None:
        """Keep since when the head of a request is not whole."""
        waits = self.idle_since is not None and self._turns
        if not waits or not self._turns[-1].protocol.has_part():
            self._head_since = None
        elif self._head_since is None:
            self._head_since = trio.current_time()

    async def spawn_app(
        self,
        application: asgi.Handler,
        config: hypercorn.config.Config,
        scope: asgi.Scope,
        send: asgi.Send,
    ) -> typing.Callable[[asgi.Message], typing.Awaitable[None]]:
        """Start the application for one request, as the protocol asks."""
        messages = inbox.Inbox(UPLOAD_MESSAGES)
        self._nursery.start_soon(self._handle, scope, messages, send)
        return messages.put

    async def _handle(
        self, scope: asgi.Scope, messages: inbox.Inbox, send: asgi.Send
    ) -> None:
        try:
            await self._handler(scope, messages.get, send)
            messages.stop()
            # The protocol closes a request that the application left open.
            await send(None)
        except Exception as error:
            messages.stop()
            self._fail(error)

    def _fail(self, error: Exception) -> None:
        """Reset after a fault of our own, which must not reach others."""
        self._on_failure(error)
        self.reset()

    def reset(self) -> None:
        """Close so that the caller can't take the answer as whole."""
        self._socket.reset()
        self._room.unpark_all()

    def close_if_idle(self, oldest: float) -> None:
        """Close if idle since ``oldest`` or before, a trio time.

        A request that has arrived but was not read yet keeps it open.
        """
        if self.idle_since is None or self.idle_since > oldest:
            return
        if not self._socket.is_readable():
            self._socket.close()

    def refuse_if_slow(self, oldest: float) -> None:
        """Refuse a head that began at ``oldest`` or before, a trio time."""
        if self._head_since is None or self._head_since > oldest:
            return
        self._head_since = None
        if self._turns:
            self._nursery.start_soon(
                self._turns[-1].protocol.refuse, STATUS_TIMEOUT
            )

    async def write(self, data: bytes) -> None:
        """Send bytes; a caller that is gone gets none."""
        try:
            await self._socket.send_all(data)
        except OSError:
            for turn in tuple(self._turns):
                turn.tell_gone()
            self._socket.close()
            self._room.unpark_all()
