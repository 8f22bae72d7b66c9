"""Accepts connections of callers and drains them when the VM leaves."""

import socket

import hypercorn.config
import hypercorn.trio.worker_context
import trio

from primrosemill.configuration import document as documents
from primrosemill.proxy import asgi
from primrosemill.proxy import caller_connection
from primrosemill.proxy import sockets
from primrosemill.telemetry import events

KEEP_ALIVE_TIMEOUT = 75.0  # seconds that a caller's connection may be idle
# A caller may have a request on its way while its connection looks idle. In
# a drain it gets so long to send one more, whose answer closes.
DRAIN_IDLE_TIME = 2.0  # seconds
SWEEP_INTERVAL = 1.0  # seconds
DRAIN_SWEEP_INTERVAL = 0.25  # seconds
BACKLOG = 1024  # connections
ACCEPT_PAUSE = 0.1  # seconds, while the process has no file left
UNLIMITED = 2**62


def log_failure(error: Exception) -> None:
    """Log a fault of our own that ended a request."""
    events.emit(events.REQUEST_FAILED, error=repr(error))


class Server:
    """Serves an ASGI application to callers until it is drained."""

    def __init__(
        self,
        handler: asgi.Handler,
        on_failure: caller_connection.OnFailure = log_failure,
    ) -> None:
        self._handler = handler
        self._on_failure = on_failure
        self._config = make_config()
        self._context = hypercorn.trio.worker_context.WorkerContext(None)
        self._connections: set[caller_connection.CallerConnection] = set()
        self._accepting = trio.CancelScope()
        self._draining = False
        self._idle_lifetime = KEEP_ALIVE_TIMEOUT
        self._head_time = documents.UNBOUNDED.head_time
        self._drain_begins = trio.Event()
        self._drained = trio.Event()

    @property
    def connections(self) -> int:
        """Return the number of callers' connections."""
        return len(self._connections)

    def set_bounds(self, bounds: documents.CallerBounds) -> None:
        """Take what callers may send.

        The size of a head that is not whole yet holds for new connections;
        whole ones are for the application to judge.
        """
        self._idle_lifetime = bounds.idle_time
        self._head_time = bounds.head_time
        self._config.h11_max_incomplete_size = bounds.head_size

    async def run(
        self,
        ip: str,
        port: int,
        *,
        task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until drained; reports the port once it listens."""
        with sockets.listen(ip, port, BACKLOG) as listener:
            task_status.started(listener.getsockname()[1])
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._sweep)
                with self._accepting:
                    await self._accept(listener, nursery)
                listener.close()
        self._drained.set()

    async def drain(self) -> None:
        """Stop accepting; returns when every connection is closed.

        Connections close after their next answer, or once they were idle
        for a moment.
        """
        self._draining = True
        self._drain_begins.set()
        await self._context.terminated.set()
        self._accepting.cancel()
        self._close_idle()
        await self._drained.wait()

    async def _accept(
        self, listener: socket.socket, nursery: trio.Nursery
    ) -> None:
        while True:
            try:
                sock = await sockets.accept(listener)
            except OSError:
                await trio.sleep(ACCEPT_PAUSE)
                continue
            nursery.start_soon(self._serve_connection, sock)

    async def _serve_connection(self, sock: sockets.Socket) -> None:
        async with trio.open_nursery() as nursery:
            connection = caller_connection.CallerConnection(
                self._handler,
                self._config,
                self._context,
                sock,
                nursery,
                self._on_failure,
            )
            self._connections.add(connection)
            try:
                await connection.run()
            finally:
                self._connections.discard(connection)

    async def _sweep(self) -> None:
        while self._connections or not self._draining:
            with trio.move_on_after(SWEEP_INTERVAL):
                await self._drain_begins.wait()
            if self._draining:
                await trio.sleep(DRAIN_SWEEP_INTERVAL)
            self._close_idle()

    def _close_idle(self) -> None:
        now = trio.current_time()
        lifetime = DRAIN_IDLE_TIME if self._draining else self._idle_lifetime
        for connection in tuple(self._connections):
            connection.refuse_if_slow(now - self._head_time)
            connection.close_if_idle(now - lifetime)


def make_config() -> hypercorn.config.Config:
    """Return hypercorn's settings for the caller and admin faces."""
    config = hypercorn.config.Config()
    config.accesslog = None
    config.errorlog = None
    config.include_date_header = False
    config.include_server_header = False
    config.keep_alive_max_requests = UNLIMITED
    return config
