"""Keeps the answers of pipelined requests in order.

A caller may send further requests before it has its answer. Each is read at
once, so that its deadline counts from its arrival, but its answer is written
only when all earlier requests of the connection are finished.
"""

import typing

import hypercorn.config
import hypercorn.events
import hypercorn.trio.worker_context
import hypercorn.typing
import trio

from primrosemill.decisions import run_permit
from primrosemill.proxy import asgi
from primrosemill.proxy import callers
from primrosemill.proxy import http1
from primrosemill.proxy import inbox
from primrosemill.proxy import memory

NOT_SSL = False
NO_ADDRESS = None


class Pipeline(typing.Protocol):
    """The connection that carries pipelined requests."""

    discards: memory.large_transfers.Places
    holding: memory.account.Holding

    async def wait_for_chunk_turn(self, work: float) -> None:
        """Wait until chunks that take ``work`` seconds may be parsed.

        Raises ParsingEndedError if they are not read any more.
        """
        ...

    async def write(self, data: bytes) -> None:
        """Send bytes, or drop them if the caller has disconnected."""
        ...

    def mark_busy(self) -> None:
        """Mark the connection as not idle: a request has begun."""
        ...

    def finish_request(self) -> None:
        """End the current request and let the next one write its answer."""
        ...

    def close_after_answer(self) -> None:
        """Close the connection after the answer that was just written."""
        ...

    def reset(self) -> None:
        """Reset, so that the caller can't mistake the answer for complete."""
        ...

    def claim_close(self, request: "PipelinedRequest") -> bool:
        """Return whether a request is the last; if so, accept no other."""
        ...


class PipelinedRequest:
    """One request on a caller's connection, and its answer."""

    def __init__(
        self,
        pipeline: Pipeline,
        handler: asgi.Handler,
        config: hypercorn.config.Config,
        context: hypercorn.trio.worker_context.WorkerContext,
    ) -> None:
        self._pipeline = pipeline
        self._buffered = b""
        self._buffering = False
        self._may_write: trio.Event | None = trio.Event()
        self.permit = run_permit.RunPermit()
        self.disconnected = False
        self.on_disconnect: typing.Callable[[], None] | None = None
        self.on_evict: typing.Callable[[], None] | None = None
        self.messages: inbox.Inbox | None = None
        self.protocol = http1.Http1Protocol(
            handler,
            config,
            context,
            pipeline,
            hypercorn.typing.ConnectionState({callers.CONNECTION_KEY: self}),
            NOT_SSL,
            NO_ADDRESS,
            NO_ADDRESS,
            self._send,
        )

    @property
    def discards(self) -> memory.large_transfers.Places:
        """Return the places of callers whose uploads are read and dropped."""
        return self._pipeline.discards

    @property
    def holding(self) -> memory.account.Holding:
        """Return what the connection holds."""
        return self._pipeline.holding

    def claim_close(self) -> bool:
        """Return whether the connection may close after this answer.

        If so, no later request is accepted on it.
        """
        return self._pipeline.claim_close(self)

    def allow_writing(self) -> None:
        """Allow the answer to be written from now on."""
        may_write, self._may_write = self._may_write, None
        if may_write is not None:
            may_write.set()

    async def wait_for_turn(self) -> None:
        """Wait until the answer may be written or the caller is gone."""
        if self._may_write is not None:
            await self._may_write.wait()

    def mark_disconnected(self) -> None:
        """Mark the caller as disconnected: nobody reads the answer."""
        self.disconnected = True
        self.permit.close()
        if self.on_disconnect is not None:
            self.on_disconnect()
        self.allow_writing()

    async def discard(self) -> None:
        """End the request because its answer can't be sent."""
        self.mark_disconnected()
        await self.protocol.handle(hypercorn.events.Closed())

    def release_body(self, size: int) -> None:
        """Count bytes of the body that are held no longer."""
        self.messages.release(size)

    def buffer_head(self) -> None:
        """Buffer the next bytes and send them together with those after."""
        self._buffering = True

    def reset(self) -> None:
        """Reset, so that the caller can't mistake the answer for complete."""
        self._pipeline.reset()

    async def _send(self, event: hypercorn.events.Event) -> None:
        if isinstance(event, hypercorn.events.Updated) and not event.idle:
            self._pipeline.mark_busy()
            return
        await self.wait_for_turn()
        if self.disconnected:
            return
        if isinstance(event, hypercorn.events.RawData):
            await self._send_bytes(event.data)
        elif isinstance(event, hypercorn.events.Closed):
            self._pipeline.close_after_answer()
        else:
            self._pipeline.finish_request()

    async def _send_bytes(self, data: bytes) -> None:
        if self._buffering:
            self._buffering = False
            self._buffered = data
            return
        if self._buffered:
            data = self._buffered + data
            self._buffered = b""
        if data:
            await self._pipeline.write(data)
