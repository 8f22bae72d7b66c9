"""Reads one HTTP/1.1 request and writes its answer, with hypercorn's protocol.

Upgrades to HTTP/2 and WebSocket are not offered: a request for one is
answered like any other, as RFC 9110 allows, which saves hypercorn's search
for them in every request's headers. hypercorn uses one protocol object for
all requests of a connection, one after the other. Here each request has its
own, so that pipelined requests can be read before it is answered.
"""

import time

import h11
import hypercorn.events
import hypercorn.protocol.events
import hypercorn.protocol.h11
import hypercorn.protocol.http_stream

from primrosemill.telemetry import events

# Chunks of an upload that are parsed before other connections get a turn. 32
# of them take about half a millisecond, as much as a usual request.
CHUNKS_AT_ONCE = 32
SMALL_CHUNK = 2_048  # bytes; parsing smaller chunks costs more than reading
# Chunks of each request that are parsed without waiting for a turn.
FREE_CHUNKS = 128
# Bytes of a body in chunks that are read without waiting for a turn; after
# that a turn is taken for each BULK_SIZE. A body without an announced length
# shows only then that it is far over its limit.
FREE_SIZE = 131_072
BULK_SIZE = 65_536
BULK_TIME = 0.0005  # seconds of the processor that such a piece takes
ANSWERABLE_STATES = frozenset({h11.IDLE, h11.SEND_RESPONSE})


class Http1Protocol(hypercorn.protocol.h11.H11Protocol):
    """Converts one request from bytes to events, and its answer to bytes.

    ``complete`` tells whether the request was read to its end, ``has_head``
    whether its head was, ``has_bytes`` whether a byte of it was.
    """

    complete = False
    has_head = False
    has_bytes = False
    _small_chunks = 0
    _free_size = FREE_SIZE
    _is_chunked = False

    @property
    def is_last(self) -> bool:
        """Return whether the caller sends no request after this one."""
        return self.connection.their_state is not h11.DONE

    async def _handle_events(self) -> None:
        """Read the request; :meth:`trailing_bytes` returns what follows it.

        Small chunks that arrived together are forwarded as one.
        """
        self.has_bytes = True
        chunks: list[bytes] = []
        started = time.perf_counter()
        while not self.complete:
            await self._send_continue()
            try:
                event = self.connection.next_event()
            except h11.RemoteProtocolError as error:
                await self._refuse_malformed(error)
                return
            if isinstance(event, h11.Data):
                chunks.append(event.data)
                if len(chunks) == CHUNKS_AT_ONCE:
                    worked = time.perf_counter() - started
                    await self._forward_many(chunks, worked)
                    started = time.perf_counter()
                continue
            await self._forward_body(chunks)
            if self._is_chunked and self._free_size < 0:
                self._free_size += BULK_SIZE
                await self.task_group.wait_for_chunk_turn(BULK_TIME)
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.ConnectionClosed):
                return
            if isinstance(event, h11.Request):
                self.has_head = True
                await self.send(hypercorn.events.Updated(idle=False))
                await self._create_stream(event)
            elif isinstance(event, h11.EndOfMessage):
                self.complete = True
                await self._forward(hypercorn.protocol.events.EndBody)

    async def _forward_many(self, chunks: list[bytes], worked: float) -> None:
        """Forward many chunks, and let others go first after tiny ones."""
        tiny = sum(map(len, chunks)) < CHUNKS_AT_ONCE * SMALL_CHUNK
        await self._forward_body(chunks)
        if not tiny:
            return
        self._small_chunks += CHUNKS_AT_ONCE
        if self._small_chunks > FREE_CHUNKS:
            await self.task_group.wait_for_chunk_turn(worked)

    async def _forward_body(self, chunks: list[bytes]) -> None:
        """Forward chunks of the body as one, and forget them."""
        if not chunks:
            return
        data = chunks[0] if len(chunks) == 1 else b"".join(chunks)
        chunks.clear()
        self._free_size -= len(data)
        await self._forward(hypercorn.protocol.events.Body, data=data)

    async def _forward(
        self, kind: type[hypercorn.protocol.events.Event], **fields: bytes
    ) -> None:
        """Forward an event to the application if its stream is still open."""
        if self.stream is None:
            return
        stream_id = hypercorn.protocol.h11.STREAM_ID
        await self.stream.handle(kind(stream_id=stream_id, **fields))

    async def _send_continue(self) -> None:
        if self.connection.they_are_waiting_for_100_continue:
            await self._send_h11_event(
                h11.InformationalResponse(status_code=100, headers=[])
            )

    async def _refuse_malformed(self, error: h11.RemoteProtocolError) -> None:
        """Answer bytes that are not a valid request with an error, and close.

        No answer is sent if one has been started already.
        """
        if self.connection.our_state in ANSWERABLE_STATES:
            await self._send_error_response(error.error_status_hint)
        await self.send(hypercorn.events.Closed())

    def trailing_bytes(self) -> bytes:
        """Return the bytes received after the end of a complete request."""
        return (
            bytes(self.connection.trailing_data[0]) if self.complete else b""
        )

    def has_partial_head(self) -> bool:
        """Return whether an incomplete head has been received."""
        return self.has_bytes and not self.has_head

    async def refuse(self, status: int) -> None:
        """Answer a request whose head is incomplete, and close.

        The request's permit must have allowed it.
        """
        await self._send_error_response(status)
        await self.send(hypercorn.events.Closed())

    async def _send_error_response(self, status_code: int) -> None:
        """Send and log an error answer to an unreadable request."""
        head = "complete" if self.has_head else "partial"
        events.emit(events.HEAD_REFUSED, status=status_code, head=head)
        await super()._send_error_response(status_code)

    async def _maybe_recycle(self) -> None:
        """Report whether the connection stays open after the answer."""
        await self._close_stream()
        if self.connection.our_state is h11.DONE and not self.is_last:
            await self.send(hypercorn.events.Updated(idle=True))
        else:
            await self.send(hypercorn.events.Closed())

    async def _create_stream(self, request: h11.Request) -> None:
        """Start the application for a request."""
        self._is_chunked = any(
            name == b"transfer-encoding" for name, _ in request.headers
        )
        stream_id = hypercorn.protocol.h11.STREAM_ID
        self.stream = hypercorn.protocol.http_stream.HTTPStream(
            self.app,
            self.config,
            self.context,
            self.task_group,
            self.ssl,
            self.client,
            self.server,
            self.stream_send,
            stream_id,
        )
        await self.stream.handle(
            hypercorn.protocol.events.Request(
                stream_id=stream_id,
                headers=list(request.headers),
                http_version=request.http_version.decode(),
                method=request.method.decode("ascii"),
                raw_path=request.target,
                state=self.connection_state,
            )
        )
