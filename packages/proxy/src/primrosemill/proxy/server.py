"""Accepts callers' connections and lets hypercorn speak HTTP on them.

hypercorn's own accept loop hides the connection from the application. The
proxy needs it: a caller that goes away cancels its attempt, and an answer
that broke must end in a reset. The connection travels in ``scope["state"]``.
"""

import socket
import struct
import typing

import hypercorn.app_wrappers
import hypercorn.config
import hypercorn.trio.tcp_server
import hypercorn.trio.worker_context
import trio

from primrosemill.proxy import asgi
from primrosemill.proxy import callers

KEEP_ALIVE_TIMEOUT = 75.0  # seconds that a caller's connection may be idle
SWEEP_INTERVAL = 1.0  # seconds
BACKLOG = 1024  # connections
QUEUE_SIZE = 2  # messages of an upload that wait for the application
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class CallerStream:
    """A caller's connection; tells when the caller goes away."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self._stream = stream
        self.socket = stream.socket
        self.on_gone: typing.Callable[[], None] | None = None

    async def receive_some(self, max_bytes: int) -> bytes:
        """Receive bytes; empty once the caller closed its side."""
        try:
            data = await self._stream.receive_some(max_bytes)
        except trio.BrokenResourceError:
            self._tell_gone()
            raise
        if not data:
            self._tell_gone()
        return data

    async def send_all(self, data: bytes) -> None:
        """Send bytes; returns when the kernel took them all."""
        try:
            await self._stream.send_all(data)
        except trio.BrokenResourceError:
            self._tell_gone()
            raise

    async def send_eof(self) -> None:
        """Close the sending side."""
        await self._stream.send_eof()

    async def aclose(self) -> None:
        """Close the connection."""
        await self._stream.aclose()

    def close(self) -> None:
        """Close the connection without waiting."""
        self.socket.close()

    def abort(self) -> None:
        """Reset the connection."""
        if self.socket.fileno() < 0:
            return
        self.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
        )
        self.socket.close()

    def _tell_gone(self) -> None:
        if self.on_gone is not None:
            self.on_gone()


class _IdleMark:
    """Stands in for hypercorn's idle task: a time in place of a task."""

    def __init__(self) -> None:
        self.since: float | None = None

    async def restart(self, task_group: object, action: object) -> None:
        self.since = trio.current_time()

    async def stop(self) -> None:
        self.since = None


class Server:
    """Serves an ASGI application to callers until it is drained."""

    def __init__(self, handler: asgi.Handler) -> None:
        self._application = hypercorn.app_wrappers.ASGIWrapper(handler)
        self._config = make_config()
        self._context = hypercorn.trio.worker_context.WorkerContext(None)
        self._idle_by_stream: dict[CallerStream, _IdleMark] = {}
        self._accepting = trio.CancelScope()
        self._draining = False

    @property
    def connections(self) -> int:
        """Return the number of callers' connections."""
        return len(self._idle_by_stream)

    async def run(
        self,
        ip: str,
        port: int,
        *,
        task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until drained; reports the port once it listens."""
        listener = await listen(ip, port)
        task_status.started(listener.socket.getsockname()[1])
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._sweep, nursery.cancel_scope)
            with self._accepting:
                await trio.serve_listeners(
                    self._serve_connection, [listener], handler_nursery=nursery
                )
            await listener.aclose()

    async def drain(self) -> None:
        """Stop accepting; connections close once they are idle."""
        self._draining = True
        await self._context.terminated.set()
        self._accepting.cancel()

    async def _serve_connection(self, stream: trio.SocketStream) -> None:
        caller_stream = CallerStream(stream)
        server = hypercorn.trio.tcp_server.TCPServer(
            self._application,
            self._config,
            self._context,
            {callers.CONNECTION_KEY: caller_stream},
            caller_stream,
        )
        server.idle_task = _IdleMark()
        self._idle_by_stream[caller_stream] = server.idle_task
        try:
            await server.run()
        finally:
            del self._idle_by_stream[caller_stream]

    async def _sweep(self, scope: trio.CancelScope) -> None:
        while self._idle_by_stream or not self._draining:
            await trio.sleep(SWEEP_INTERVAL)
            self._close_idle()
        scope.cancel()

    def _close_idle(self) -> None:
        lifetime = 0.0 if self._draining else KEEP_ALIVE_TIMEOUT
        oldest = trio.current_time() - lifetime
        for stream, mark in self._idle_by_stream.items():
            if mark.since is not None and mark.since <= oldest:
                stream.close()


async def listen(ip: str, port: int) -> trio.SocketListener:
    """Open a listening socket; raises OSError."""
    sock = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    await sock.bind((ip, port))
    sock.listen(BACKLOG)
    return trio.SocketListener(sock)


def make_config() -> hypercorn.config.Config:
    """Return hypercorn's settings for the caller and admin faces."""
    config = hypercorn.config.Config()
    config.accesslog = None
    config.errorlog = None
    config.include_date_header = False
    config.include_server_header = False
    config.keep_alive_max_requests = 2**62
    config.max_app_queue_size = QUEUE_SIZE
    return config
