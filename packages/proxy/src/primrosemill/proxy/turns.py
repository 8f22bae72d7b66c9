"""Puts the requests that a caller sent ahead, and their answers, into order.

Each request of a connection has a turn. It is read at once, so that its
deadline counts from its arrival, and writes only once those before it are
over.
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

NOT_SSL = False
NO_ADDRESS = None


class Line(typing.Protocol):
    """The connection on which the turns follow one another."""

    async def write(self, data: bytes) -> None:
        """Send bytes; a caller that is gone gets none."""
        ...

    def note_begin(self) -> None:
        """Note that a request has begun."""
        ...

    def end_turn(self) -> None:
        """Let the next turn write."""
        ...

    def finish(self) -> None:
        """Close behind the answer that was just written."""
        ...

    def reset(self) -> None:
        """Close so that the caller can't take the answer as whole."""
        ...

    def claim_close(self, turn: "Turn") -> bool:
        """Tell whether a turn is the last; then no other is taken up."""
        ...


class Turn:
    """One request on a caller's connection, and its answer."""

    def __init__(
        self,
        line: Line,
        handler: asgi.Handler,
        config: hypercorn.config.Config,
        context: hypercorn.trio.worker_context.WorkerContext,
    ) -> None:
        self._line = line
        self._held = b""
        self._holding = False
        self._may_write: trio.Event | None = trio.Event()
        self.gone = False
        self.on_gone: typing.Callable[[], None] | None = None
        self.protocol = http1.Http1Protocol(
            handler,
            config,
            context,
            line,
            hypercorn.typing.ConnectionState({callers.CONNECTION_KEY: self}),
            NOT_SSL,
            NO_ADDRESS,
            NO_ADDRESS,
            self._send,
        )

    def claim_close(self) -> bool:
        """Tell whether the connection may close behind this answer.

        If so, no later request is taken up.
        """
        return self._line.claim_close(self)

    def begin(self) -> None:
        """Let the turn write from now on."""
        waiting, self._may_write = self._may_write, None
        if waiting is not None:
            waiting.set()

    async def wait(self) -> None:
        """Wait until the turn may write, or the caller is gone."""
        if self._may_write is not None:
            await self._may_write.wait()

    def tell_gone(self) -> None:
        """Note that nobody reads the answer any more."""
        self.gone = True
        if self.on_gone is not None:
            self.on_gone()
        self.begin()

    async def drop(self) -> None:
        """End a turn whose answer can't be sent."""
        self.tell_gone()
        await self.protocol.handle(hypercorn.events.Closed())

    def hold_head(self) -> None:
        """Keep the next bytes back until more follow them."""
        self._holding = True

    def reset(self) -> None:
        """Close so that the caller can't take the answer as whole."""
        self._line.reset()

    async def _send(self, event: hypercorn.events.Event) -> None:
        if isinstance(event, hypercorn.events.Updated) and not event.idle:
            self._line.note_begin()
            return
        await self.wait()
        if self.gone:
            return
        if isinstance(event, hypercorn.events.RawData):
            await self._send_bytes(event.data)
        elif isinstance(event, hypercorn.events.Closed):
            self._line.finish()
        else:
            self._line.end_turn()

    async def _send_bytes(self, data: bytes) -> None:
        if self._holding:
            self._holding = False
            self._held = data
            return
        if self._held:
            data = self._held + data
            self._held = b""
        if data:
            await self._line.write(data)
