"""Narrows hypercorn's protocol to plain HTTP/1.1 requests.

Upgrades to HTTP/2 and WebSocket are not offered: a request that asks for
one is answered as any other, as RFC 9110 allows. hypercorn looks for them in
the headers of every request.
"""

import h11
import hypercorn.events
import hypercorn.protocol.events
import hypercorn.protocol.h11
import hypercorn.protocol.http_stream

from primrosemill.telemetry import events


class Http1Protocol(hypercorn.protocol.h11.H11Protocol):
    """Turns bytes into HTTP/1.1 requests and answers into bytes."""

    async def _check_protocol(self, event: h11.Request) -> None:
        """Look for no upgrade."""

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
        self.keep_alive_requests += 1
