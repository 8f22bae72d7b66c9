"""Streams a caller's request body and buffers its start for retries."""

import hashlib
import typing

import trio

from primrosemill.proxy import asgi

BUFFER_SIZE = 65_536  # bytes
# Smaller chunks are joined up to this size: each object costs some forty
# bytes besides its data, which chunks of a byte would multiply.
JOINED_SIZE = 16_384  # bytes
# How much of a refused upload is read and dropped while many are, so that its
# connection can be used again. A connection that sends more is closed.
DISCARD_SIZE = 524_288  # bytes
# The answer was sent, so the rest is read slowly after this much.
FAST_DISCARD_SIZE = 65_536  # bytes
DISCARD_PAUSE = 0.1  # seconds before each further chunk
# The same while few are refused. 64 KB each time are 100 Mbit/s, more than a
# caller's link carries, and leave the processor to others.
SHORT_PAUSE = 0.005  # seconds


class CallerDisconnectedError(Exception):
    """The caller disconnected before its request was complete."""


class BodyTooLargeError(Exception):
    """The caller sent a larger body than allowed."""


def _release_nothing(size: int) -> None:
    pass


class ReplayBody:
    """Reads a request body chunk by chunk.

    Up to ``buffer_size`` bytes are buffered. Until more have been read,
    :meth:`chunks` starts over for each attempt; afterwards the body is not
    replayable, so that memory stays bounded. ``limit`` is the maximum size
    of a body in bytes, or None for no limit. ``absent`` means that the
    request has no body, ``complete`` that the body was read to its end.
    ``hasher`` is updated with the first ``buffer_size`` bytes as they pass.
    ``release`` is called with the number of bytes that are held no longer.
    """

    def __init__(
        self,
        receive: asgi.Receive,
        *,
        absent: bool,
        buffer_size: int = BUFFER_SIZE,
        limit: int | None = None,
        hasher: "hashlib._Hash | None" = None,
        release: typing.Callable[[int], None] = _release_nothing,
    ) -> None:
        self._receive = receive
        self._limit = limit
        self._buffer_size = buffer_size
        self._release = release
        self._buffered: list[bytearray] = []
        self._buffered_size = 0
        self._size = 0
        self._hasher = hasher
        self._hashed_size = 0
        self.absent = absent
        self.complete = absent
        self.replayable = True

    @property
    def digest(self) -> bytes | None:
        """Return the digest of the body's start, empty if there is no body.

        Returns None while too little of it has been read.
        """
        if not self.complete and self._hashed_size < self._buffer_size:
            return None
        if not self._hashed_size or self._hasher is None:
            return b""
        return self._hasher.digest()

    async def read_ahead(self) -> None:
        """Read as much as the digest needs, and keep it for the attempts.

        Raises CallerDisconnectedError and BodyTooLargeError.
        """
        while self.digest is None:
            await self._read(keep=True)

    async def read_start(self) -> None:
        """Read the whole body, or as much as the buffer holds, and keep it.

        Raises CallerDisconnectedError and BodyTooLargeError.
        """
        while not self.complete and self._size < self._buffer_size:
            await self._read(keep=True)

    async def chunks(self) -> typing.AsyncIterator[bytes]:
        """Yield the whole body.

        Raises CallerDisconnectedError, and BodyTooLargeError once the body
        exceeds its limit.
        """
        for piece in tuple(self._buffered):
            yield bytes(piece)
        while not self.complete:
            chunk = await self._read()
            if chunk:
                yield chunk

    async def _read(self, keep: bool = False) -> bytes:
        """Read a chunk; ``keep`` buffers it even if it exceeds the buffer."""
        message = await self._receive()
        if message["type"] != "http.request":
            raise CallerDisconnectedError
        chunk = message.get("body", b"")
        self._size += len(chunk)
        self._update_digest(chunk)
        self.complete = not message.get("more_body", False)
        if self._limit is not None and self._size > self._limit:
            raise BodyTooLargeError
        if self._size > self._buffer_size and not keep:
            self._drop_buffered()
            self._release(len(chunk))
        elif chunk:
            self._keep(chunk)
        return chunk

    def _keep(self, chunk: bytes) -> None:
        self._buffered_size += len(chunk)
        if self._buffered and len(self._buffered[-1]) < JOINED_SIZE:
            self._buffered[-1] += chunk
        else:
            self._buffered.append(bytearray(chunk))

    def _drop_buffered(self) -> None:
        self.replayable = False
        self._buffered.clear()
        self._release(self._buffered_size)
        self._buffered_size = 0

    def _update_digest(self, chunk: bytes) -> None:
        hashed = chunk[: self._buffer_size - self._hashed_size]
        if hashed and self._hasher is not None:
            self._hasher.update(hashed)
        self._hashed_size += len(hashed)

    async def discard(self, slowly: bool = False) -> None:
        """Read and drop the rest; ``slowly`` up to DISCARD_SIZE bytes of it.

        Also ends when the caller disconnects.
        """
        self._drop_buffered()
        dropped = 0
        while not self.complete:
            message = await self._receive()
            if message["type"] != "http.request":
                return
            chunk = message.get("body", b"")
            dropped += len(chunk)
            self._release(len(chunk))
            self._update_digest(chunk)
            self.complete = not message.get("more_body", False)
            if dropped <= FAST_DISCARD_SIZE or self.complete:
                continue
            if slowly and dropped > DISCARD_SIZE:
                return
            await trio.sleep(DISCARD_PAUSE if slowly else SHORT_PAUSE)
