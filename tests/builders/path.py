"""Builds an HTTP path from a caller to stand-in instances on loopback."""

import random
import typing

import httpcore
import trio

from primrosemill.proofs import history
from primrosemill.proxy import application
from primrosemill.proxy import request_policies
from primrosemill.proxy import server
from primrosemill.standins import asgi
from tests.builders import answers
from tests.builders import configuration

IP = "127.0.0.1"
IDEMPOTENT_PATH = "/slots/today"
ONCE_PATH = "/bookings/new"


class Path(typing.NamedTuple):
    """A running proxy and its parts."""

    application: application.Application
    server: server.Server
    port: int


def route_values(deadline: float) -> list[dict]:
    """Build an idempotent route and one that must run at most once."""
    return [
        {"path_prefix": "/slots", "idempotent": True, "deadline": deadline},
        {"path_prefix": "/bookings", "idempotent": False}
        | {"deadline": deadline},
    ]


async def start_path(
    nursery: trio.Nursery,
    addresses: list[str],
    policies: request_policies.Policies | None = None,
    deadline: float = 5.0,
    slots: int = 3,
    on_failure: typing.Callable[[Exception], None] = server.log_failure,
) -> Path:
    """Start a proxy before the instances at the given addresses."""
    made = application.Application(random.Random(1), policies)
    instances = [
        configuration.instance_value(number, address=address)
        for number, address in enumerate(addresses)
    ]
    service = configuration.service_value(
        instances=instances,
        floor=1,
        slots=slots,
        routes=route_values(deadline),
    )
    made.set_document(configuration.assembled(service).document)
    nursery.start_soon(made.run_timed_tasks)
    serving = server.Server(made, on_failure)
    port = await nursery.start(serving.run, IP, 0)
    return Path(made, serving, port)


async def start_standins(
    nursery: trio.Nursery, standins: list[typing.Any]
) -> list[str]:
    """Serve stand-in instances; returns their addresses."""
    addresses = []
    for standin in standins:
        served = await nursery.start(asgi.serve, standin, IP)
        addresses.append(served.address)
    return addresses


async def call(
    path: Path,
    target: str,
    tag: str = "r1",
    method: str = "GET",
    headers: dict[str, str] | None = None,
    content: typing.Any = None,
) -> httpcore.Response:
    """Send one request on a connection of its own."""
    async with httpcore.AsyncConnectionPool() as pool:
        return await pool.request(
            method,
            f"http://{IP}:{path.port}{target}",
            headers={"x-request-id": tag} | (headers or {}),
            content=content,
        )


def told(call: history.Call, response: httpcore.Response) -> history.Call:
    """Add what a caller was told to its call of a history."""
    size = call.size if response.status == 200 else len(response.content)
    return call._replace(
        outcome=answers.header(response, "x-outcome") or "",
        status=response.status,
        body=response.content,
        size=size,
    )


class RawInstance:
    """Speaks scripted bytes as an instance does; counts requests read.

    The script gets the stream after each request head was read, and the
    number of requests that came before on this connection.
    """

    def __init__(self, script: typing.Callable) -> None:
        self._script = script
        self.heads: list[bytes] = []
        self.met = trio.Event()
        self.connections = 0

    async def serve(
        self, *, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Accept until cancelled; reports the address."""
        listeners = await trio.open_tcp_listeners(0, host=IP)
        port = listeners[0].socket.getsockname()[1]
        task_status.started(f"{IP}:{port}")
        await trio.serve_listeners(self._talk, listeners)

    async def _talk(self, stream: trio.SocketStream) -> None:
        self.connections += 1
        count = 0
        async with stream:
            head = b""
            async for data in stream:
                head += data
                if b"\r\n\r\n" not in head:
                    continue
                self.heads.append(head)
                self.met.set()
                head = b""
                if not await self._script(stream, count):
                    return
                count += 1
