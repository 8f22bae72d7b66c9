"""Runs callbacks at given times, at the cost of a heap entry per timer.

Nearly every request sets a timer for its hedge and is answered before it
fires. A sleeping task per timer would cost more than the request's own waits.
"""

import heapq
import itertools
import typing

import trio

from primrosemill.proxy import alarm as alarms


class Timer:
    """A pending callback."""

    def __init__(self, callback: typing.Callable[[], None]) -> None:
        self._callback: typing.Callable[[], None] | None = callback

    @property
    def cancelled(self) -> bool:
        """Return whether the timer was cancelled or has fired."""
        return self._callback is None

    def cancel(self) -> None:
        """Cancel the callback, unless the timer has fired."""
        self._callback = None

    def fire(self) -> None:
        """Run the callback, unless cancelled or already run."""
        callback, self._callback = self._callback, None
        if callback is not None:
            callback()


class Timers:
    """Runs the callbacks of many timers in the task of :meth:`run`."""

    def __init__(self) -> None:
        self._alarm = alarms.Alarm()
        self._sequence = itertools.count()
        self._heap: list[tuple[float, int, Timer]] = []

    def call_at(
        self, time: float, callback: typing.Callable[[], None]
    ) -> Timer:
        """Schedule a callback at a trio time; it must not raise."""
        timer = Timer(callback)
        heapq.heappush(self._heap, (time, next(self._sequence), timer))
        self._alarm.set(time)
        return timer

    async def run(self) -> None:
        """Run callbacks as they become due, until cancelled."""
        while True:
            await self._alarm.wait()
            self._fire_due(trio.current_time())

    def _fire_due(self, now: float) -> None:
        while self._heap:
            time, _, timer = self._heap[0]
            if timer.cancelled:
                heapq.heappop(self._heap)
                continue
            if time > now:
                self._alarm.set(time)
                return
            heapq.heappop(self._heap)
            timer.fire()
