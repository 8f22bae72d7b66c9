"""Serves ASGI applications and raw TCP handlers for the stand-ins.

The port is ephemeral unless one is given.
"""

import socket
import typing

import hypercorn.app_wrappers
import hypercorn.config
import hypercorn.trio.tcp_server
import hypercorn.trio.worker_context
import trio

Scope = dict[str, typing.Any]
Receive = typing.Callable[[], typing.Awaitable[dict[str, typing.Any]]]
Send = typing.Callable[[dict[str, typing.Any]], typing.Awaitable[None]]
Handler = typing.Callable[
    [Scope, Receive, Send], typing.Coroutine[typing.Any, typing.Any, None]
]
ServeStream = typing.Callable[[trio.SocketStream], typing.Awaitable[None]]
Header = tuple[bytes, bytes]
CONNECTION_KEY = "connection"
KEEP_ALIVE_TIMEOUT = 60.0  # seconds


class SocketAddress(typing.NamedTuple):
    """IP address and port on which a stand-in listens."""

    ip: str
    port: int

    @property
    def address(self) -> str:
        """Return ``ip:port``."""
        return f"{self.ip}:{self.port}"


class Connection:
    """A client's connection, on which a handler can bypass the server."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self._socket = stream.socket
        self.requests = 0

    async def send(self, data: bytes) -> None:
        """Send raw bytes on the socket, bypassing the HTTP server."""
        while data:
            data = data[await self._socket.send(data) :]

    def cork(self, corked: bool) -> None:
        """Set TCP_CORK, which gathers small writes into one segment."""
        self._socket.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_CORK, int(corked)
        )

    def close(self) -> None:
        """Close the socket at once, even within a response."""
        self._socket.close()


def find_connection(scope: Scope) -> Connection:
    """Return the connection on which a request arrived."""
    return scope["state"][CONNECTION_KEY]


class _Server:
    """Runs a handler with hypercorn on accepted connections."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._application = hypercorn.app_wrappers.ASGIWrapper(self._handle)
        self._context = hypercorn.trio.worker_context.WorkerContext(None)
        self._config = hypercorn.config.Config()
        self._config.accesslog = None
        self._config.errorlog = None
        self._config.keep_alive_max_requests = 2**62
        self._config.keep_alive_timeout = KEEP_ALIVE_TIMEOUT

    async def _handle(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        find_connection(scope).requests += 1
        await self._handler(scope, receive, send)

    async def serve_connection(self, stream: trio.SocketStream) -> None:
        """Serve one connection until it is closed, or this is cancelled.

        hypercorn writes answers in a shielded scope, which only ends with the
        socket if the client reads no more.
        """
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_close_when_cancelled, stream)
            await self._run_connection(stream)
            nursery.cancel_scope.cancel()

    async def _run_connection(self, stream: trio.SocketStream) -> None:
        connection = hypercorn.trio.tcp_server.TCPServer(
            self._application,
            self._config,
            self._context,
            {CONNECTION_KEY: Connection(stream)},
            stream,
        )
        try:
            await connection.run()
        except* trio.BusyResourceError:
            # hypercorn responded to a malformed request while it was still
            # writing the response before; other connections must go on.
            await trio.aclose_forcefully(stream)


async def _close_when_cancelled(stream: trio.SocketStream) -> None:
    try:
        await trio.sleep_forever()
    finally:
        stream.socket.close()


async def serve(
    handler: Handler,
    ip: str,
    port: int = 0,
    *,
    task_status: trio.TaskStatus[SocketAddress] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve until cancelled; report the address once it listens."""
    server = _Server(handler)
    await serve_streams(
        server.serve_connection, ip, port, task_status=task_status
    )


async def serve_streams(
    serve_stream: ServeStream,
    ip: str,
    port: int = 0,
    *,
    task_status: trio.TaskStatus[SocketAddress] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve TCP connections without HTTP until cancelled."""
    listeners = await trio.open_tcp_listeners(port, host=ip)
    bound_port = listeners[0].socket.getsockname()[1]
    task_status.started(SocketAddress(ip, bound_port))
    await trio.serve_listeners(serve_stream, listeners)


async def read_body(receive: Receive) -> bytes:
    """Return the whole body of a request."""
    body = b""
    while True:
        message = await receive()
        if message["type"] != "http.request":
            return body
        body += message.get("body", b"")
        if not message.get("more_body", False):
            return body


async def respond(
    send: Send, status: int, body: bytes, headers: tuple[Header, ...] = ()
) -> None:
    """Send a complete response."""
    content_length = (b"content-length", str(len(body)).encode())
    await send(
        {
            "type": "http.response.start",
            "status": status,
            "headers": [content_length, *headers],
        }
    )
    await send({"type": "http.response.body", "body": body})
