"""Forwards requests with the libraries alone, as a baseline.

hypercorn serves the requests and httpcore's connection pool forwards them,
without routes, slots, deadlines or typed outcomes.
"""

import typing

import httpcore
import hypercorn.config
import hypercorn.trio
import trio

IP = "127.0.0.1"
MAX_CONNECTIONS = 300
HOP_BY_HOP_HEADERS = frozenset({b"connection", b"transfer-encoding"})
Scope = dict[str, typing.Any]
Receive = typing.Callable[[], typing.Awaitable[dict[str, typing.Any]]]
Send = typing.Callable[[dict[str, typing.Any]], typing.Awaitable[None]]


class BareProxy:
    """An application that forwards requests to the instances in turn."""

    def __init__(
        self, pool: httpcore.AsyncConnectionPool, addresses: list[str]
    ) -> None:
        self._pool = pool
        self._addresses = addresses
        self._count = 0

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Forward one request."""
        if scope["type"] == "lifespan":
            await _answer_lifespan(receive, send)
            return
        self._count += 1
        address = self._addresses[self._count % len(self._addresses)]
        async with self._pool.stream(
            scope["method"],
            f"http://{address}{scope['path']}",
            headers=scope["headers"],
        ) as response:
            await _relay(response, send)


async def _relay(response: httpcore.Response, send: Send) -> None:
    forwarded_headers = [
        header
        for header in response.headers
        if header[0] not in HOP_BY_HOP_HEADERS
    ]
    start = {"type": "http.response.start", "status": response.status}
    await send(start | {"headers": forwarded_headers})
    async for chunk in response.aiter_stream():
        body = {"type": "http.response.body", "body": chunk}
        await send(body | {"more_body": True})
    await send({"type": "http.response.body", "body": b""})


async def _answer_lifespan(receive: Receive, send: Send) -> None:
    while True:
        message = await receive()
        await send({"type": f"{message['type']}.complete"})
        if message["type"] == "lifespan.shutdown":
            return


async def serve(
    addresses: list[str], *, task_status: trio.TaskStatus[int]
) -> None:
    """Serve until cancelled; reports the port when it listens."""
    config = hypercorn.config.Config()
    config.bind = [f"{IP}:0"]
    config.accesslog = None
    config.errorlog = None
    config.keep_alive_max_requests = 2**62
    async with (
        httpcore.AsyncConnectionPool(max_connections=MAX_CONNECTIONS) as pool,
        trio.open_nursery() as nursery,
    ):
        binds = await nursery.start(
            hypercorn.trio.serve, BareProxy(pool, addresses), config
        )
        task_status.started(int(binds[0].rpartition(":")[2]))
