"""Reads the rest of an answer ahead of a caller that has stopped reading.

An instance gives up an answer that stays unread for some seconds, and is kept
from other work meanwhile. So the rest is read as far as the memory of the VM
allows, and the caller may go on reading within its own time limit.
"""

import collections
import typing

import trio

from primrosemill.decisions import outcomes
from primrosemill.proxy import memory

STALL_TIME = 1.0  # seconds of one write after which the rest is read ahead
# So long before the time limit, a write that lasts is taken for a stall: what
# has arrived of the answer by then must be held here.
LAST_READ_TIME = 0.3  # seconds
MAX_HELD = 1_048_576  # bytes that are read ahead of one caller
# A part of an answer, why it broke off, or None at its end.
Part = bytes | outcomes.Unknown | None
OnEnd = typing.Callable[[], typing.Awaitable[None]]


class Source(typing.Protocol):
    """An answer that is being received."""

    async def next_chunk(self) -> Part:
        """Read the next part."""
        ...


class AnswerRest:
    """The rest of one answer; ``ended`` once no more of it comes.

    ``time_limit`` is the trio time until which it may come. ``on_end`` is
    called if it was read ahead to its proper end.
    """

    def __init__(
        self,
        source: Source,
        holding: memory.account.Holding,
        time_limit: float,
        on_end: OnEnd | None,
    ) -> None:
        self._source = source
        self._holding = holding
        self._last_read_at = time_limit - LAST_READ_TIME
        self._on_end = on_end
        self._parts: collections.deque[Part] = collections.deque()
        self._held = 0
        self._is_ahead = False
        self._writing_since: float | None = None
        self._changed = trio.lowlevel.ParkingLot()
        self.ended = False

    def begin_write(self) -> None:
        """Record that a part is being written to the caller."""
        self._writing_since = trio.current_time()

    async def next_part(self) -> Part:
        """Return the next part, once the one before was written."""
        self._writing_since = None
        if not self._is_ahead:
            part = await self._source.next_chunk()
            self.ended = not isinstance(part, bytes)
            return part
        while not self._parts:
            await self._changed.park()
        part = self._parts.popleft()
        if isinstance(part, bytes):
            self._release(len(part))
            self._changed.unpark_all()
        return part

    async def read_ahead(self) -> bool:
        """Read ahead once a write takes long; runs beside the writes.

        Returns whether the answer was read to its proper end.
        """
        while not self._is_ahead:
            await self._wait_for_stall()
        part: Part = b""
        while not self.ended:
            while self._held >= self._limit():
                await self._changed.park()
            part = await self._source.next_chunk()
            self._parts.append(part)
            self.ended = not isinstance(part, bytes)
            if isinstance(part, bytes):
                self._held += len(part)
                self._holding.charge(memory.account.Kind.ANSWER, len(part))
            elif part is None and self._on_end is not None:
                await self._on_end()
            self._changed.unpark_all()
        return part is None

    def release(self) -> None:
        """Count nothing as held any more."""
        self._release(self._held)

    async def _wait_for_stall(self) -> None:
        now = trio.current_time()
        since = self._writing_since
        is_last = now >= self._last_read_at
        if since is not None and (is_last or now >= since + STALL_TIME):
            self._is_ahead = True
            return
        if is_last:
            await trio.sleep(LAST_READ_TIME / 10)
            return
        stalled_at = (now if since is None else since) + STALL_TIME
        await trio.sleep_until(min(stalled_at, self._last_read_at))

    def _limit(self) -> int:
        """Return the bytes from which on the instance has to wait."""
        return 1 if self._holding.is_pressed else MAX_HELD

    def _release(self, size: int) -> None:
        self._held -= size
        self._holding.release(memory.account.Kind.ANSWER, size)
