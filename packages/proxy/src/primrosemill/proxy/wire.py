"""Connects to instances and knows whether any byte was written.

Implements httpcore's network stream. Whether a request may have run hangs
on whether the kernel took a byte of it, so the knowledge sits at the send
itself; the trace extension of httpcore tells only that a write began.
"""

import errno
import typing

import httpcore
import trio

from primrosemill.configuration import document as documents
from primrosemill.proxy import sockets

NOT_ARMED = float("inf")


# An answer's head, with the interim answers before it, has at most so many
# bytes; twice the 64 KiB that common servers allow for their own.
HEAD_SIZE = 131_072


class OverlongAnswerError(httpcore.RemoteProtocolError):
    """An instance sends more than an answer may have."""


class DeadlinePassedError(Exception):
    """The deadline passed before the first byte was written."""


class InstanceStream(httpcore.AsyncNetworkStream):
    """A TCP connection to an instance, used for one attempt at a time."""

    def __init__(self, sock: sockets.Socket) -> None:
        self._socket = sock
        self._deadline = NOT_ARMED
        self._held = b""
        self._holding = False
        self._may_read = 0
        self.wrote = False

    def arm(self, deadline: float, hold_head: bool) -> None:
        """Prepare for the next attempt.

        With ``hold_head`` the first write waits for the second one, so that
        the head and a small body leave in one segment.
        """
        self._may_read = HEAD_SIZE
        self._deadline = deadline
        self._holding = hold_head
        self._held = b""
        self.wrote = False

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Send bytes; raises DeadlinePassedError before the first one."""
        if self._holding:
            self._holding = False
            self._held = buffer
            return
        data = self._held + buffer
        self._held = b""
        if not data:
            return
        if not self.wrote and trio.current_time() >= self._deadline:
            raise DeadlinePassedError
        await self._send(data)

    async def _send(self, data: bytes) -> None:
        view = memoryview(data)
        try:
            while view:
                sent = await self._socket.send_some(view)
                self.wrote = True
                view = view[sent:]
        except OSError as error:
            raise httpcore.WriteError(str(error)) from error

    async def read(
        self, max_bytes: int, timeout: float | None = None
    ) -> bytes:
        """Receive bytes; empty once the instance closed its side.

        Raises httpcore.ReadError, and OverlongAnswerError where the instance
        has sent more than :meth:`arm` or :meth:`expect_body` allows.
        """
        if self._may_read <= 0:
            raise OverlongAnswerError("more bytes than an answer may have")
        try:
            data = await self._socket.receive(max_bytes)
        except OSError as error:
            raise httpcore.ReadError(str(error)) from error
        self._may_read -= len(data)
        return data

    def expect_body(self, size: int) -> None:
        """Let so many bytes come after the head."""
        self._may_read = size

    def close(self) -> None:
        """Close at once; what the instance still sends is lost."""
        self._socket.close()

    async def aclose(self) -> None:
        """Close as httpcore asks for it, without waiting."""
        self.close()

    def get_extra_info(self, info: str) -> typing.Any:
        """Tell httpcore whether an idle connection became readable."""
        if info == "is_readable":
            return self.is_readable()
        return None

    def is_readable(self) -> bool:
        """Tell whether bytes or the instance's close wait to be read."""
        return self._socket.is_readable()


async def connect(instance: documents.Instance) -> InstanceStream:
    """Open a connection; raises OSError, also for a refusal."""
    return InstanceStream(await sockets.connect(instance.ip, instance.port))


def is_refusal(error: OSError) -> bool:
    """Tell whether the instance's machine answered that nobody listens."""
    return error.errno == errno.ECONNREFUSED
