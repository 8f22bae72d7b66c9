"""Runs a proxy before stand-in instances on loopback addresses."""

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
NON_IDEMPOTENT_PATH = "/bookings/new"


class Path(typing.NamedTuple):
    """A running proxy: its application, its server and its port."""

    application: application.Application
    server: server.Server
    port: int


def route_values(deadline: float) -> list[dict]:
    """Build an idempotent route and one that is not idempotent."""
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
    """Start a proxy for the instances at the given addresses."""
    proxy_application = application.Application(random.Random(1), policies)
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
    proxy_application.set_document(configuration.assembled(service).document)
    nursery.start_soon(proxy_application.run_timed_tasks)
    http_server = server.Server(proxy_application, on_failure)
    port = await nursery.start(http_server.run, IP, 0)
    return Path(proxy_application, http_server, port)


async def start_standins(
    nursery: trio.Nursery, standins: list[typing.Any]
) -> list[str]:
    """Start stand-in instances and return their addresses."""
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
    """Send one request on a new connection."""
    async with httpcore.AsyncConnectionPool() as pool:
        return await pool.request(
            method,
            f"http://{IP}:{path.port}{target}",
            headers={"x-request-id": tag} | (headers or {}),
            content=content,
        )


def with_response(
    call: history.Call, response: httpcore.Response
) -> history.Call:
    """Add the response to a call of a history."""
    size = (
        call.expected_size if response.status == 200 else len(response.content)
    )
    return call._replace(
        outcome=answers.header(response, "x-outcome") or "",
        status=response.status,
        body=response.content,
        expected_size=size,
    )


class ScriptedInstance:
    """An instance whose responses are the bytes that a script sends.

    The script is called after each request head with the stream and the
    number of earlier requests on the connection. It returns whether the
    connection stays open.
    """

    def __init__(self, script: typing.Callable) -> None:
        self._script = script
        self.request_heads: list[bytes] = []
        self.request_received = trio.Event()
        self.connection_count = 0

    async def serve(
        self, *, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Accept connections until cancelled; reports the address."""
        listeners = await trio.open_tcp_listeners(0, host=IP)
        port = listeners[0].socket.getsockname()[1]
        task_status.started(f"{IP}:{port}")
        await trio.serve_listeners(self._serve_connection, listeners)

    async def _serve_connection(self, stream: trio.SocketStream) -> None:
        self.connection_count += 1
        request_count = 0
        async with stream:
            head = b""
            async for data in stream:
                head += data
                if b"\r\n\r\n" not in head:
                    continue
                self.request_heads.append(head)
                self.request_received.set()
                head = b""
                if not await self._script(stream, request_count):
                    return
                request_count += 1
