"""Sends attempts to instances and types how they ended."""

import typing

import httpcore
import trio

from primrosemill.configuration import document as documents
from primrosemill.decisions import outcomes

CONNECT_TIMEOUT = 1.0  # seconds
SHED_HEADER = b"x-shed"
Headers = list[tuple[bytes, bytes]]


class Attempt(typing.NamedTuple):
    """What is sent to an instance."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes


class Answer(typing.NamedTuple):
    """The head of an answer, and its body still to be read."""

    status: int
    headers: Headers
    response: httpcore.Response


class Upstream:
    """Keeps the connections of this VM to the instances of one service."""

    def __init__(self) -> None:
        self._idle_by_id: dict[str, list[httpcore.AsyncHTTPConnection]] = {}

    def _take(
        self, instance: documents.Instance
    ) -> httpcore.AsyncHTTPConnection:
        idle = self._idle_by_id.setdefault(instance.id, [])
        while idle:
            connection = idle.pop()
            if connection.is_available() and not connection.has_expired():
                return connection
        origin = httpcore.URL(f"http://{instance.ip}:{instance.port}").origin
        return httpcore.AsyncHTTPConnection(origin)

    def put_back(
        self,
        instance: documents.Instance,
        connection: httpcore.AsyncHTTPConnection,
    ) -> None:
        """Keep a connection whose answer was read whole."""
        if connection.is_available():
            self._idle_by_id.setdefault(instance.id, []).append(connection)

    async def start(
        self, instance: documents.Instance, attempt: Attempt
    ) -> tuple[
        httpcore.AsyncHTTPConnection,
        Answer | outcomes.NotRun | outcomes.Unknown,
    ]:
        """Send an attempt and read the head of its answer."""
        connection = self._take(instance)
        request = httpcore.Request(
            attempt.method,
            httpcore.URL(
                scheme=b"http",
                host=instance.ip.encode(),
                port=instance.port,
                target=attempt.target,
            ),
            headers=attempt.headers,
            content=attempt.body,
            extensions={"timeout": {"connect": CONNECT_TIMEOUT}},
        )
        return connection, await _send(connection, request)


async def _send(
    connection: httpcore.AsyncHTTPConnection, request: httpcore.Request
) -> Answer | outcomes.NotRun | outcomes.Unknown:
    try:
        response = await connection.handle_async_request(request)
    except httpcore.ConnectError:
        return outcomes.NotRun(outcomes.NotRunReason.CONNECT_REFUSED)
    except httpcore.ConnectTimeout:
        return outcomes.NotRun(outcomes.NotRunReason.CONNECT_TIMEOUT)
    except httpcore.TimeoutException:
        return outcomes.Unknown(outcomes.UnknownReason.TIMEOUT)
    except (httpcore.NetworkError, httpcore.ProtocolError):
        return outcomes.Unknown(outcomes.UnknownReason.CLOSED)
    if response.status == 503 and dict(response.headers).get(SHED_HEADER):
        with trio.CancelScope(shield=True):
            await response.aread()
        return outcomes.NotRun(outcomes.NotRunReason.SHED)
    return Answer(response.status, response.headers, response)
