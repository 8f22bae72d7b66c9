"""Serves fixed bytes over TCP, for answers that no HTTP library sends."""

import trio

from primrosemill.standins import asgi

REQUEST_SIZE = 65_536  # bytes


class _Standin:
    """Listens, and treats each connection as its kind does."""

    async def _serve_one(self, stream: trio.SocketStream) -> None:
        raise NotImplementedError

    async def serve(
        self,
        ip: str,
        *,
        task_status: trio.TaskStatus[asgi.Served] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until cancelled; reports the address once it listens."""
        await asgi.serve_streams(self._serve_one, ip, task_status=task_status)


class RawStandin(_Standin):
    """Reads a request, sends fixed bytes and closes the connection.

    ``pause`` is the time in seconds between two bytes. A lingering stand-in
    closes only when the next request arrives, which it does not answer.
    """

    def __init__(
        self, answer: bytes, pause: float = 0.0, *, lingers: bool = False
    ) -> None:
        self.answer = answer
        self.pause = pause
        self.lingers = lingers
        self.connections = 0

    async def _serve_one(self, stream: trio.SocketStream) -> None:
        self.connections += 1
        try:
            await stream.receive_some(REQUEST_SIZE)
            if self.pause:
                await self._trickle(stream)
            else:
                await stream.send_all(self.answer)
            if self.lingers:
                await stream.receive_some(REQUEST_SIZE)
        except trio.BrokenResourceError:
            return

    async def _trickle(self, stream: trio.SocketStream) -> None:
        for byte in self.answer:
            await stream.send_all(bytes((byte,)))
            await trio.sleep(self.pause)


class EndlessStandin(_Standin):
    """Reads a request and sends bytes until the connection is closed.

    A ``start`` goes once, then a block again and again.
    """

    def __init__(self, start: bytes, block: bytes) -> None:
        self.start = start
        self.block = block
        self.sent = 0
        self.closed = trio.Event()

    async def _serve_one(self, stream: trio.SocketStream) -> None:
        try:
            await stream.receive_some(REQUEST_SIZE)
            await stream.send_all(self.start)
            while True:
                await stream.send_all(self.block)
                self.sent += len(self.block)
        except trio.BrokenResourceError:
            self.closed.set()
