"""Streams a caller's request body and keeps its start for another attempt."""

import typing

from primrosemill.proxy import asgi

BUFFER_SIZE = 65_536  # bytes


class CallerGoneError(Exception):
    """The caller closed its connection before its request was whole."""


class TooLargeError(Exception):
    """The caller sent more than a body may have."""


class ReplayBody:
    """Reads a request body piece by piece.

    The first ``buffer_size`` bytes are kept. While no more than that was
    read, :meth:`chunks` starts over for each attempt; afterwards the body
    can't be sent again and memory stays bounded. ``limit`` is the most bytes
    that a body may have; None where there is no bound.
    """

    def __init__(
        self,
        receive: asgi.Receive,
        *,
        absent: bool,
        buffer_size: int = BUFFER_SIZE,
        limit: int | None = None,
    ) -> None:
        self._receive = receive
        self._limit = limit
        self._buffer_size = buffer_size
        self._kept: list[bytes] = []
        self._size = 0
        self.absent = absent
        self.complete = absent
        self.replayable = True

    async def chunks(self) -> typing.AsyncIterator[bytes]:
        """Yield the whole body.

        Raises CallerGoneError, and TooLargeError once the body exceeds its
        limit.
        """
        for chunk in tuple(self._kept):
            yield chunk
        while not self.complete:
            chunk = await self._read()
            if chunk:
                yield chunk

    async def _read(self) -> bytes:
        message = await self._receive()
        if message["type"] != "http.request":
            raise CallerGoneError
        chunk = message.get("body", b"")
        self._size += len(chunk)
        self.complete = not message.get("more_body", False)
        if self._limit is not None and self._size > self._limit:
            raise TooLargeError
        if self._size > self._buffer_size:
            self.replayable = False
            self._kept.clear()
        elif chunk:
            self._kept.append(chunk)
        return chunk

    async def discard(self) -> None:
        """Read to the end and keep nothing; also ends if the caller left."""
        self.replayable = False
        self._kept.clear()
        while not self.complete:
            message = await self._receive()
            if message["type"] != "http.request":
                return
            self.complete = not message.get("more_body", False)
