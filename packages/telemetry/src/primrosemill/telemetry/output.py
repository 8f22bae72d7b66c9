"""Writes the log to a pipe that nobody may read, within a bound.

A line that the pipe does not take at once waits in a buffer; what the buffer
does not hold, and what exceeds the rate, is left out and counted, and the
count is logged. So logging never blocks the loop and never fills memory.
"""

import os
import time
import typing

import msgspec

BUFFER_SIZE = 262_144  # bytes that wait for a slow reader
LINES_PER_SECOND = 400.0  # on average; about 100 KB/s
MAX_BURST_LINES = 800.0

Line = dict[str, typing.Any]


class BoundedOutput:
    """A destination of eliot that writes JSON lines to a descriptor."""

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
        """Write one line, or leave it out."""
        if not self._admit():
            self.dropped_lines += 1
            return
        data = self._encoder.encode(line) + b"\n"
        if self.dropped_lines:
            told = {"lines_left_out": self.dropped_lines}
            data += self._encoder.encode(told) + b"\n"
        if self._write(data):
            self.dropped_lines = 0
        else:
            self.dropped_lines += 1

    def _admit(self) -> bool:
        now = self._clock()
        earned = (now - self._refilled_at) * LINES_PER_SECOND
        self._refilled_at = now
        self._tokens = min(MAX_BURST_LINES, self._tokens + earned)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _write(self, data: bytes) -> bool:
        """Write or keep the data; tells whether there was room for it."""
        self._flush()
        if len(self._pending) + len(data) > BUFFER_SIZE:
            return False
        self._pending += data
        self._flush()
        return True

    def _flush(self) -> None:
        """Write what the reader takes now."""
        while self._pending:
            try:
                written = os.write(self._descriptor, self._pending)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone for good; the VM serves on.
                self._pending.clear()
                return
            del self._pending[:written]
