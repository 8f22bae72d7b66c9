"""Serves small ASGI applications on ephemeral ports, for the stand-ins."""

import typing

import hypercorn.config
import hypercorn.trio
import trio

Scope = dict[str, typing.Any]
Receive = typing.Callable[[], typing.Awaitable[dict[str, typing.Any]]]
Send = typing.Callable[[dict[str, typing.Any]], typing.Awaitable[None]]
Handler = typing.Callable[
    [Scope, Receive, Send], typing.Coroutine[typing.Any, typing.Any, None]
]
Header = tuple[bytes, bytes]


class Served(typing.NamedTuple):
    """Where an application listens."""

    ip: str
    port: int

    @property
    def address(self) -> str:
        """Return ``ip:port``."""
        return f"{self.ip}:{self.port}"


def with_lifespan(handler: Handler) -> Handler:
    """Answer the lifespan messages for an application that ignores them."""

    async def application(scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] != "lifespan":
            await handler(scope, receive, send)
            return
        while True:
            message = await receive()
            await send({"type": f"{message['type']}.complete"})
            if message["type"] == "lifespan.shutdown":
                return

    return application


async def serve(
    handler: Handler,
    ip: str,
    port: int = 0,
    *,
    task_status: trio.TaskStatus[Served] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve until cancelled; reports the address once it listens."""
    config = hypercorn.config.Config()
    config.bind = [f"{ip}:{port}"]
    config.graceful_timeout = 0.1
    config.accesslog = None
    config.errorlog = None
    async with trio.open_nursery() as nursery:
        binds = await nursery.start(
            hypercorn.trio.serve, with_lifespan(handler), config
        )
        bound_port = int(binds[0].rpartition(":")[2])
        task_status.started(Served(ip, bound_port))


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
    """Send a whole answer."""
    length = (b"content-length", str(len(body)).encode())
    await send(
        {
            "type": "http.response.start",
            "status": status,
            "headers": [length, *headers],
        }
    )
    await send({"type": "http.response.body", "body": body})
