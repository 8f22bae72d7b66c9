"""Spreads work that holds up other requests over time.

Parsing thousands of header fields or chunks of a byte takes milliseconds in
which no other task runs. Connections get turns at it in order, each after a
multiple of the time that the work before it took.
"""

import trio

MAX_SPACING = 0.5  # seconds
MAX_WAITING = 16  # requests that wait for a turn


class TooMuchWorkError(Exception):
    """Too many requests wait for heavy work."""


class HeavyWork:
    """Gives connections turns at one kind of heavy work, in order.

    ``spacing`` is the time from a piece of work to the next one, as a
    multiple of the time that the first one takes.
    """

    def __init__(self, spacing: float) -> None:
        self._spacing = spacing
        self._lock = trio.Lock()
        self._free_at = 0.0

    async def wait_for_turn(self, work: float) -> None:
        """Wait until work that takes about ``work`` seconds may begin."""
        async with self._lock:
            await trio.sleep_until(self._free_at)
            spacing = min(MAX_SPACING, self._spacing * work)
            self._free_at = trio.current_time() + spacing

    async def wait_for_bounded_turn(self, work: float) -> None:
        """Wait for a turn; raises TooMuchWorkError if too many wait."""
        if self._lock.statistics().tasks_waiting >= MAX_WAITING:
            raise TooMuchWorkError
        await self.wait_for_turn(work)
