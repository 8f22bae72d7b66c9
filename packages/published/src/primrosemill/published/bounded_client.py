"""Provides an HTTP client with limits on the time and size of answers."""

import contextlib
import socket
import typing

import expression
import httpcore

from primrosemill.fleet import awake_clock
from primrosemill.fleet import interfaces
from primrosemill.published import bounded_connection

MAX_CONNECTIONS = 4
# What the kernel holds unread of an answer; else some megabytes each.
RECEIVE_BUFFER = 262_144  # bytes
SOCKET_OPTIONS = ((socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER),)


Headers = typing.Sequence[tuple[bytes, bytes]]


class Answer(typing.NamedTuple):
    """A complete answer within the size limit."""

    status: int
    content: bytes
    headers: Headers = ()


AnswerResult = expression.Result[Answer, interfaces.PlatformFault]


class Client:
    """Sends requests to one address; faults are returned, not raised."""

    def __init__(self, address: str, size_limit: int) -> None:
        self._size_limit = size_limit
        self._base = f"http://{address}"
        self._pool = bounded_connection.BoundedPool(
            max_connections=MAX_CONNECTIONS, socket_options=SOCKET_OPTIONS
        )

    async def aclose(self) -> None:
        """Close the connections."""
        await self._pool.aclose()

    async def get(self, path: str, timeout: float) -> AnswerResult:
        """Return the complete answer, or a fault after ``timeout`` seconds."""
        # The timeout covers the whole answer. With a timeout per read, a store
        # that trickles bytes could keep its reader waiting forever.
        with awake_clock.move_on_after(timeout):
            return await self._get(path)
        return expression.Error(interfaces.TimedOut(path, timeout))

    async def post(self, path: str, timeout: float) -> AnswerResult:
        """Send a POST without a body once; return as :meth:`get` does."""
        with awake_clock.move_on_after(timeout):
            return await self._attempt(path, "POST")
        return expression.Error(interfaces.TimedOut(path, timeout))

    async def _get(self, path: str) -> AnswerResult:
        # The store may close an idle connection at any time. As this is only
        # noticed by the next request, that request is then sent once more.
        may_be_stale = any(
            connection.is_idle() for connection in self._pool.connections
        )
        result = await self._attempt(path)
        if may_be_stale and _is_unreachable(result):
            return await self._attempt(path)
        return result

    async def _attempt(self, path: str, method: str = "GET") -> AnswerResult:
        try:
            async with self._pool.stream(
                method, self._base + path
            ) as response:
                return await _read_bounded(path, response, self._size_limit)
        except (httpcore.NetworkError, httpcore.ProtocolError) as error:
            return expression.Error(
                interfaces.Unreachable(path, f"{type(error).__name__}")
            )


def _is_unreachable(result: AnswerResult) -> bool:
    return result.is_error() and isinstance(
        result.error, interfaces.Unreachable
    )


async def _read_bounded(
    path: str, response: httpcore.Response, size_limit: int
) -> AnswerResult:
    too_large = expression.Error(interfaces.TooLarge(path, size_limit))
    content_length = dict(response.headers).get(b"content-length", b"0")
    if int(content_length) > size_limit:
        return too_large
    content = bytearray()
    async with contextlib.aclosing(response.aiter_stream()) as chunks:
        async for chunk in chunks:
            content += chunk
            if len(content) > size_limit:
                return too_large
    return expression.Ok(
        Answer(response.status, bytes(content), response.headers)
    )
