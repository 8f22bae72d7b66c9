"""Speaks HTTP with one caller, with hypercorn's protocol on our socket.

hypercorn's own connection starts a task for the idle time, takes a lock and
a cancel scope for each send, and sends head, body and end apart. This one
sends the head with the first piece of the body and keeps the idle time as a
number. It also knows what the application must: that the caller left, and
how to reset the connection.
"""

import typing

import hypercorn.config
import hypercorn.events
import hypercorn.trio.worker_context
import hypercorn.typing
import trio

from primrosemill.proxy import asgi
from primrosemill.proxy import callers
from primrosemill.proxy import http1
from primrosemill.proxy import inbox
from primrosemill.proxy import sockets

RECEIVE_SIZE = 65_536  # bytes
UPLOAD_MESSAGES = 2  # of an upload that wait for the application
NOT_SSL = False
OnFailure = typing.Callable[[Exception], None]
NO_ADDRESS = None
STATUS_TIMEOUT = 408


class CallerConnection:
    """One connection of a caller; serves its requests one by one."""

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
        self._socket = sock
        self._nursery = nursery
        self._on_failure = on_failure
        self._held = b""
        self._holding = False
        self.idle_since: float | None = trio.current_time()
        self._head_since: float | None = None
        self.gone = False
        self.on_gone: typing.Callable[[], None] | None = None
        self._protocol = http1.Http1Protocol(
            handler,
            config,
            context,
            self,
            hypercorn.typing.ConnectionState({callers.CONNECTION_KEY: self}),
            NOT_SSL,
            NO_ADDRESS,
            NO_ADDRESS,
            self._send,
        )

    async def run(self) -> None:
        """Serve until either side closes."""
        try:
            while True:
                data = await self._socket.receive(RECEIVE_SIZE)
                if not data:
                    break
                await self._protocol.handle(hypercorn.events.RawData(data))
                self._note_head()
        except OSError:
            # The caller reset the connection, or it was closed here.
            pass
        except Exception as error:
            self._fail(error)
        finally:
            self._tell_gone()
            await self._protocol.handle(hypercorn.events.Closed())
            if self.idle_since is None:
                # A request is in progress: its answer is not whole.
                self._socket.reset()
            self._socket.end_sending()
            self._socket.close()

    def _note_head(self) -> None:
        """Keep since when the head of a request is not whole."""
        if self.idle_since is None or not self._protocol.has_part():
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
        self._socket.reset()

    def hold_head(self) -> None:
        """Keep the next bytes back until more follow them."""
        self._holding = True

    def reset(self) -> None:
        """Close so that the caller can't take the answer as whole."""
        self._socket.reset()

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
        self._nursery.start_soon(self._protocol.refuse, STATUS_TIMEOUT)

    async def _send(self, event: hypercorn.events.Event) -> None:
        if isinstance(event, hypercorn.events.RawData):
            await self._send_bytes(event.data)
        elif isinstance(event, hypercorn.events.Closed):
            self._socket.end_sending()
            self._socket.close()
            await self._protocol.handle(event)
        elif isinstance(event, hypercorn.events.Updated):
            self.idle_since = trio.current_time() if event.idle else None

    async def _send_bytes(self, data: bytes) -> None:
        if self._holding:
            self._holding = False
            self._held = data
            return
        if self._held:
            data = self._held + data
            self._held = b""
        if not data:
            return
        try:
            await self._socket.send_all(data)
        except OSError:
            self._tell_gone()
            self._socket.close()

    def _tell_gone(self) -> None:
        self.gone = True
        if self.on_gone is not None:
            self.on_gone()
