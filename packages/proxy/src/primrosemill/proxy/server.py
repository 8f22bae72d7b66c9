"""Accepts callers' connections and drains them when the VM leaves."""

import socket

import hypercorn.config
import hypercorn.trio.worker_context
import trio

from primrosemill.configuration import document as documents
from primrosemill.fleet import awake_clock
from primrosemill.proxy import asgi
from primrosemill.proxy import caller_connection
from primrosemill.proxy import memory
from primrosemill.proxy import sockets
from primrosemill.telemetry import events

KEEP_ALIVE_TIMEOUT = 75.0  # seconds that a caller's connection may be idle
# While draining, an idle connection stays open this long, as a request may
# already be on its way. The answer to it closes the connection.
DRAIN_IDLE_TIMEOUT = 2.0  # seconds
SWEEP_INTERVAL = 1.0  # seconds
DRAIN_SWEEP_INTERVAL = 0.25  # seconds
BACKLOG = 1024  # connections
# Pause after a failed accept, such as one without a free file descriptor.
ACCEPT_RETRY_PAUSE = 0.1  # seconds
UNLIMITED = 2**62
BUFFERS = sockets.Buffers(
    memory.sizes.RECEIVE_BUFFER, memory.sizes.SEND_BUFFER
)


def log_failure(error: Exception) -> None:
    """Log a fault of the proxy that ended a request."""
    events.emit(events.REQUEST_FAILED, error=repr(error))


class Server:
    """Serves an ASGI application to callers until it is drained.

    All servers of a process share its account. ``max_requests`` of a
    connection are worked on or wait for their turn at the same time.
    """

    def __init__(
        self,
        handler: asgi.Handler,
        on_failure: caller_connection.OnFailure = log_failure,
        account: memory.account.Account | None = None,
        max_requests: int = caller_connection.MAX_PIPELINED_REQUESTS,
    ) -> None:
        self._handler = handler
        self._on_failure = on_failure
        self._account = account or memory.account.Account()
        self._max_requests = max_requests
        self._config = make_config()
        self._context = hypercorn.trio.worker_context.WorkerContext(None)
        self._connections: set[caller_connection.CallerConnection] = set()
        self._accept_scope = trio.CancelScope()
        self._draining = False
        self._idle_timeout = KEEP_ALIVE_TIMEOUT
        self._head_timeout = documents.UNLIMITED_REQUESTS.head_timeout
        self._drain_started = trio.Event()
        self._drained = trio.Event()

    @property
    def connections(self) -> int:
        """Return the number of callers' connections."""
        return len(self._connections)

    def set_bounds(self, bounds: documents.RequestLimits) -> None:
        """Set the limits of callers' connections and requests.

        The size limit of an incomplete head applies to new connections;
        complete heads are checked by the application.
        """
        self._idle_timeout = bounds.idle_timeout
        self._head_timeout = bounds.head_timeout
        self._config.h11_max_incomplete_size = bounds.max_head_size

    async def run(
        self,
        ip: str,
        port: int,
        *,
        task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until drained; report the port once listening."""
        with sockets.listen(ip, port, BACKLOG, BUFFERS) as listener:
            task_status.started(listener.getsockname()[1])
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._sweep)
                with self._accept_scope:
                    await self._accept(listener, nursery)
                listener.close()
        self._drained.set()

    async def drain(self) -> None:
        """Stop accepting and return when every connection is closed.

        Connections close after their next answer or after a short idle time.
        """
        self._draining = True
        self._drain_started.set()
        await self._context.terminated.set()
        self._accept_scope.cancel()
        self._close_idle()
        await self._drained.wait()

    async def _accept(
        self, listener: socket.socket, nursery: trio.Nursery
    ) -> None:
        while True:
            try:
                sock = await sockets.accept(listener)
            except OSError:
                await trio.sleep(ACCEPT_RETRY_PAUSE)
                continue
            if self._account.admit(sock.address):
                nursery.start_soon(self._serve_connection, sock)
            else:
                sock.reset()
            # The connection is counted before the next one is accepted.
            await trio.lowlevel.checkpoint()

    async def _serve_connection(self, sock: sockets.Socket) -> None:
        """Serve a connection; a fault in it does not end the others."""
        try:
            await self._run_connection(sock)
        except Exception as error:
            self._on_failure(error)
            sock.reset()

    async def _run_connection(self, sock: sockets.Socket) -> None:
        async with trio.open_nursery() as nursery:
            connection = caller_connection.CallerConnection(
                self._handler,
                self._config,
                self._context,
                sock,
                nursery,
                self._on_failure,
                self._account,
                self._max_requests,
            )
            self._connections.add(connection)
            try:
                await connection.run()
            finally:
                self._connections.discard(connection)

    async def _sweep(self) -> None:
        while self._connections or not self._draining:
            with trio.move_on_after(SWEEP_INTERVAL):
                await self._drain_started.wait()
            if self._draining:
                await trio.sleep(DRAIN_SWEEP_INTERVAL)
            self._close_idle()

    def _close_idle(self) -> None:
        now = awake_clock.now()
        idle_timeout = (
            DRAIN_IDLE_TIMEOUT if self._draining else self._idle_timeout
        )
        for connection in tuple(self._connections):
            connection.refuse_slow_head(now - self._head_timeout)
            connection.close_if_idle(now - idle_timeout)
            connection.check_progress(now)


def make_config() -> hypercorn.config.Config:
    """Return hypercorn's settings for the caller and admin servers."""
    config = hypercorn.config.Config()
    config.accesslog = None
    config.errorlog = None
    config.include_date_header = False
    config.include_server_header = False
    config.keep_alive_max_requests = UNLIMITED
    return config
