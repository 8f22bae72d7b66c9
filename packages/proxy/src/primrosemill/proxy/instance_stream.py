"""Connects to instances and records whether any byte was written.

Implements httpcore's network stream. A request may have run once the kernel
accepted a byte of it, so this is recorded at the send itself; httpcore's
trace extension only reports that a write began.
"""

import collections
import errno
import typing

import httpcore
import trio

from primrosemill.configuration import document as documents
from primrosemill.proxy import memory
from primrosemill.proxy import sockets
from primrosemill.published import bounded_connection

NO_DEADLINE = float("inf")


# Limit of an answer's head including interim answers: twice the 64 KiB that
# common servers allow for their own heads.
MAX_HEAD_SIZE = 131_072  # bytes
# What the kernel holds of a connection to an instance, as of one of a caller.
BUFFERS = sockets.Buffers(
    memory.sizes.RECEIVE_BUFFER, memory.sizes.SEND_BUFFER
)
MAX_REFUSED_IDS = 64  # remembered of one connection


class DeadlinePassedError(Exception):
    """The deadline passed before the first byte was written."""


class InstanceLeftError(Exception):
    """The instance began to leave before the first byte was written."""


class RequestClosedError(Exception):
    """The request was refused, answered or given up before the first byte."""


class KeyRefusedError(Exception):
    """The key of the request holds no more, before the first byte."""


def _may_always_send() -> bool:
    return True


class InstanceStream(httpcore.AsyncNetworkStream):
    """A TCP connection to an instance, used for one attempt at a time.

    ``has_written`` tells whether the kernel accepted any byte of the current
    attempt.
    """

    def __init__(self, sock: sockets.Socket) -> None:
        self._socket = sock
        self._deadline = NO_DEADLINE
        self._may_send: typing.Callable[[], bool] = _may_always_send
        self._buffered_head = b""
        self._buffering_head = False
        self._read_allowance = 0
        self._refused_ids: collections.deque[bytes] = collections.deque(
            maxlen=MAX_REFUSED_IDS
        )
        self.has_written = False

    def begin_attempt(
        self,
        deadline: float,
        buffer_head: bool,
        may_send: typing.Callable[[], bool] = _may_always_send,
    ) -> None:
        """Prepare for the next attempt.

        ``may_send`` tells right before the first byte whether the instance
        still takes requests: the connection and the body may have been
        awaited since it was chosen.
        With ``buffer_head`` the first write is buffered until the second
        one, so that the head and a small body leave in one segment.
        """
        self._read_allowance = MAX_HEAD_SIZE
        self._deadline = deadline
        self._may_send = may_send
        self._buffering_head = buffer_head
        self._buffered_head = b""
        self.has_written = False

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Send bytes.

        Raises DeadlinePassedError or InstanceLeftError if that happened
        before the first byte, what ``may_send`` raises, and
        httpcore.WriteError.
        """
        if self._buffering_head:
            self._buffering_head = False
            self._buffered_head = buffer
            return
        data = self._buffered_head + buffer
        self._buffered_head = b""
        if not data:
            return
        if not self.has_written:
            if trio.current_time() >= self._deadline:
                raise DeadlinePassedError
            if not self._may_send():
                raise InstanceLeftError
        await self._send(data)

    async def _send(self, data: bytes) -> None:
        view = memoryview(data)
        try:
            while view:
                sent = await self._socket.send_some(view)
                self.has_written = True
                view = view[sent:]
        except OSError as error:
            raise httpcore.WriteError(str(error)) from error

    async def read(
        self, max_bytes: int, timeout: float | None = None
    ) -> bytes:
        """Receive bytes; empty once the instance has closed its side.

        Raises httpcore.ReadError, and OverlongAnswerError if the instance
        has sent more than MAX_HEAD_SIZE or the limit of
        :meth:`set_body_limit`.
        """
        if self._read_allowance <= 0:
            raise bounded_connection.OverlongAnswerError(
                "answer exceeds its size limit"
            )
        try:
            data = await self._socket.receive(max_bytes)
        except OSError as error:
            raise httpcore.ReadError(str(error)) from error
        self._read_allowance -= len(data)
        return data

    def record_refusal(self, request_id: bytes | None) -> None:
        """Record that the instance refused a request on this connection."""
        if request_id is not None:
            self._refused_ids.append(request_id)

    def has_refused(self, request_id: bytes | None) -> bool:
        """Return whether a request was refused on this connection before."""
        return request_id in self._refused_ids

    def set_body_limit(self, size: int) -> None:
        """Set how many bytes may follow the head."""
        self._read_allowance = size

    def close(self) -> None:
        """Close at once, dropping unread bytes."""
        self._socket.close()

    async def aclose(self) -> None:
        """Close at once; part of httpcore's interface."""
        self.close()

    def get_extra_info(self, info: str) -> typing.Any:
        """Return whether the stream is readable, the only info supported."""
        if info == "is_readable":
            return self.is_readable()
        return None

    def is_readable(self) -> bool:
        """Return whether received bytes or the end of stream can be read."""
        return self._socket.is_readable()


async def connect(instance: documents.Instance) -> InstanceStream:
    """Open a connection; raises OSError, also if it is refused."""
    return InstanceStream(
        await sockets.connect(instance.ip, instance.port, BUFFERS)
    )


def is_connection_refused(error: OSError) -> bool:
    """Return whether the connection was refused: nothing listens there."""
    return error.errno == errno.ECONNREFUSED
