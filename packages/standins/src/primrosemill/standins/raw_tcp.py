"""Serves fixed bytes over TCP, for responses no HTTP library would send."""

import trio

from primrosemill.standins import asgi

REQUEST_SIZE = 65_536  # bytes


class TcpStandin:
    """Base of servers that handle TCP connections without HTTP."""

    async def serve_stream(self, stream: trio.SocketStream) -> None:
        """Serve one connection."""
        raise NotImplementedError

    async def serve(
        self,
        ip: str,
        port: int = 0,
        *,
        task_status: trio.TaskStatus[
            asgi.SocketAddress
        ] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until cancelled; report the address once it listens."""
        await asgi.serve_streams(
            self.serve_stream, ip, port, task_status=task_status
        )


class RawStandin(TcpStandin):
    """Server that reads a request, sends fixed bytes and closes.

    ``pause`` is the time in seconds between two bytes. A server that lingers
    closes the connection only when the next request has arrived, without a
    response to it.
    """

    def __init__(
        self, answer: bytes, pause: float = 0.0, *, lingers: bool = False
    ) -> None:
        self.answer = answer
        self.pause = pause
        self.lingers = lingers
        self.connections = 0

    async def serve_stream(self, stream: trio.SocketStream) -> None:
        """Serve one connection."""
        self.connections += 1
        try:
            await stream.receive_some(REQUEST_SIZE)
            if self.pause:
                await self._send_slowly(stream)
            else:
                await stream.send_all(self.answer)
            if self.lingers:
                await stream.receive_some(REQUEST_SIZE)
        except trio.BrokenResourceError:
            return

    async def _send_slowly(self, stream: trio.SocketStream) -> None:
        for byte in self.answer:
            await stream.send_all(bytes((byte,)))
            await trio.sleep(self.pause)


class KeptStandin(TcpStandin):
    """Server that sends the same bytes for each request of a connection."""

    def __init__(self, answer: bytes) -> None:
        self._answer = answer
        self.connections = 0

    async def serve_stream(self, stream: trio.SocketStream) -> None:
        """Serve one connection."""
        self.connections += 1
        while await stream.receive_some(REQUEST_SIZE):
            await stream.send_all(self._answer)


class EndlessStandin(TcpStandin):
    """Server that reads a request and sends bytes until the client closes.

    It sends ``start`` once, then ``block`` repeatedly. ``sent`` counts the
    bytes of blocks.
    """

    def __init__(self, start: bytes, block: bytes) -> None:
        self.start = start
        self.block = block
        self.sent = 0
        self.closed = trio.Event()

    async def serve_stream(self, stream: trio.SocketStream) -> None:
        """Serve one connection."""
        try:
            await stream.receive_some(REQUEST_SIZE)
            await stream.send_all(self.start)
            while True:
                await stream.send_all(self.block)
                self.sent += len(self.block)
        except trio.BrokenResourceError:
            self.closed.set()
