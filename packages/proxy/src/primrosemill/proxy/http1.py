"""Reads one HTTP/1.1 request and writes its answer, with hypercorn's protocol.

Upgrades to HTTP/2 and WebSocket are not offered: a request that asks for
one is answered as any other, as RFC 9110 allows. hypercorn looks for them in
the headers of every request, and answers the requests of a connection one
by one with one protocol. Here each request has its own, so that what is sent
behind it can be read before it is answered.
"""

import h11
import hypercorn.events
import hypercorn.protocol.events
import hypercorn.protocol.h11
import hypercorn.protocol.http_stream

from primrosemill.telemetry import events

CAN_ANSWER = frozenset({h11.IDLE, h11.SEND_RESPONSE})


class Http1Protocol(hypercorn.protocol.h11.H11Protocol):
    """Turns the bytes of one request into events, and its answer into bytes.

    ``whole`` tells that the request was read to its end.
    """

    whole = False

    @property
    def closes(self) -> bool:
        """Tell whether the caller sends nothing behind this request."""
        return self.connection.their_state is not h11.DONE

    async def _handle_events(self) -> None:
        """Read the request; what follows it is left to :meth:`take_rest`."""
        while not self.whole:
            await self._ask_for_body()
            try:
                event = self.connection.next_event()
            except h11.RemoteProtocolError as error:
                await self._refuse_bytes(error)
                return
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.ConnectionClosed):
                return
            if isinstance(event, h11.Request):
                await self.send(hypercorn.events.Updated(idle=False))
                await self._create_stream(event)
            elif isinstance(event, h11.EndOfMessage):
                self.whole = True
                await self._pass_on(hypercorn.protocol.events.EndBody)
            else:
                await self._pass_on(
                    hypercorn.protocol.events.Body, data=event.data
                )

    async def _pass_on(
        self, kind: type[hypercorn.protocol.events.Event], **fields: bytes
    ) -> None:
        """Hand a part of the request to the application, if it still reads."""
        if self.stream is None:
            return
        stream_id = hypercorn.protocol.h11.STREAM_ID
        await self.stream.handle(kind(stream_id=stream_id, **fields))

    async def _ask_for_body(self) -> None:
        if self.connection.they_are_waiting_for_100_continue:
            await self._send_h11_event(
                h11.InformationalResponse(status_code=100, headers=[])
            )

    async def _refuse_bytes(self, error: h11.RemoteProtocolError) -> None:
        """End a connection whose bytes are no request."""
        if self.connection.our_state in CAN_ANSWER:
            await self._send_error_response(error.error_status_hint)
        await self.send(hypercorn.events.Closed())

    def take_rest(self) -> bytes:
        """Return what came behind a request that was read whole."""
        return bytes(self.connection.trailing_data[0]) if self.whole else b""

    def has_part(self) -> bool:
        """Tell whether bytes came that are no whole head yet."""
        return bool(self.connection.trailing_data[0])

    async def refuse(self, status: int) -> None:
        """Answer a request whose head is not whole, and close."""
        await self._send_error_response(status)
        await self.send(hypercorn.events.Closed())

    async def _send_error_response(self, status_code: int) -> None:
        """Answer what can't be read as a request."""
        events.emit(events.HEAD_REFUSED, status=status_code)
        await super()._send_error_response(status_code)

    async def _maybe_recycle(self) -> None:
        """Say whether the connection goes on after the answer."""
        await self._close_stream()
        if self.connection.our_state is h11.DONE and not self.closes:
            await self.send(hypercorn.events.Updated(idle=True))
        else:
            await self.send(hypercorn.events.Closed())

    async def _create_stream(self, request: h11.Request) -> None:
        """Start the application for a request."""
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
