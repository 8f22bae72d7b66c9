"""Writes the log to a pipe with bounded memory, even if nobody reads it.

Lines that the pipe does not accept immediately wait in a buffer. Lines that
do not fit into the buffer or exceed the rate are dropped and counted, and the
count is logged. Thus logging neither blocks the event loop nor fills memory.
"""

import os
import time
import typing

import msgspec

BUFFER_SIZE = 262_144  # bytes waiting for a slow reader
LINES_PER_SECOND = 400.0  # on average; about 100 KB/s
MAX_BURST_LINES = 800.0

Line = dict[str, typing.Any]


class BoundedOutput:
    """An eliot destination that writes JSON lines to a file descriptor."""

    def __init__(
        self,
        descriptor: int,
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._clock = clock
        self._encoder = msgspec.json.Encoder(enc_hook=repr)
        self._pending = bytearray()
        self._tokens = MAX_BURST_LINES
        self._refilled_at = clock()
        self.dropped_lines = 0

    def __call__(self, line: Line) -> None:
        """Write a line, or drop and count it."""
        if not self._admit():
            self.dropped_lines += 1
            return
        data = self._encoder.encode(line) + b"\n"
        if self.dropped_lines:
            notice = {"lines_left_out": self.dropped_lines}
            data += self._encoder.encode(notice) + b"\n"
        if self._write(data):
            self.dropped_lines = 0
        else:
            self.dropped_lines += 1

    def _admit(self) -> bool:
        now = self._clock()
        refill = (now - self._refilled_at) * LINES_PER_SECOND
        self._refilled_at = now
        self._tokens = min(MAX_BURST_LINES, self._tokens + refill)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _write(self, data: bytes) -> bool:
        """Write or buffer the data; return False if the buffer is too full."""
        self._flush()
        if len(self._pending) + len(data) > BUFFER_SIZE:
            return False
        self._pending += data
        self._flush()
        return True

    def _flush(self) -> None:
        """Write as much as the reader accepts without blocking."""
        while self._pending:
            try:
                written = os.write(self._descriptor, self._pending)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone and does not return; the VM keeps serving.
                self._pending.clear()
                return
            del self._pending[:written]
