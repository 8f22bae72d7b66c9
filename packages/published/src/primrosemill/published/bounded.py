"""Reads answers over HTTP within a time and a size, with typed faults."""

import contextlib
import typing

import expression
import httpcore
import trio

from primrosemill.fleet import interfaces

MAX_CONNECTIONS = 4


Headers = typing.Sequence[tuple[bytes, bytes]]


class Answer(typing.NamedTuple):
    """A whole answer, its size within the limit."""

    status: int
    content: bytes
    headers: Headers = ()


AnswerResult = expression.Result[Answer, interfaces.PlatformFault]


class Client:
    """Asks one address, with a bound on the time and size of answers."""

    def __init__(self, address: str, size_limit: int) -> None:
        self._size_limit = size_limit
        self._base = f"http://{address}"
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=MAX_CONNECTIONS
        )

    async def aclose(self) -> None:
        """Close the connections."""
        await self._pool.aclose()

    async def get(self, path: str, timeout: float) -> AnswerResult:
        """Return a whole answer within a time in seconds, or a fault."""
        # The timeout is one for the whole answer: a limit for each read
        # would let a store that trickles bytes hold its reader forever.
        with trio.move_on_after(timeout):
            return await self._get(path)
        return expression.Error(interfaces.TimedOut(path, timeout))

    async def _get(self, path: str) -> AnswerResult:
        # A store closes idle connections as it likes, and a reader learns
        # of it by its next request, which is then sent once more.
        may_be_stale = any(
            connection.is_idle() for connection in self._pool.connections
        )
        result = await self._attempt(path)
        if may_be_stale and _is_unreachable(result):
            return await self._attempt(path)
        return result

    async def _attempt(self, path: str) -> AnswerResult:
        try:
            async with self._pool.stream("GET", self._base + path) as response:
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
    announced = dict(response.headers).get(b"content-length", b"0")
    if int(announced) > size_limit:
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
