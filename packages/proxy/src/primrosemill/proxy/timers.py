"""Calls back at times that mostly never come, at the cost of a heap entry.

Nearly every request sets a time for its hedge and is answered before. A task
that sleeps for each of them would cost more than the request's own waits.
"""

import heapq
import itertools
import typing

import trio

from primrosemill.proxy import alarm as alarms


class Timer:
    """A call in the future, unless it is cancelled."""

    def __init__(self, callback: typing.Callable[[], None]) -> None:
        self._callback: typing.Callable[[], None] | None = callback

    @property
    def cancelled(self) -> bool:
        """Tell whether the call will not be made."""
        return self._callback is None

    def cancel(self) -> None:
        """Do not call, if that did not happen yet."""
        self._callback = None

    def fire(self) -> None:
        """Make the call, once."""
        callback, self._callback = self._callback, None
        if callback is not None:
            callback()


class Timers:
    """Calls back in the task that runs :meth:`run`."""

    def __init__(self) -> None:
        self._alarm = alarms.Alarm()
        self._numbers = itertools.count()
        self._heap: list[tuple[float, int, Timer]] = []

    def call_at(
        self, time: float, callback: typing.Callable[[], None]
    ) -> Timer:
        """Call back at a trio time; the callback must not raise."""
        timer = Timer(callback)
        heapq.heappush(self._heap, (time, next(self._numbers), timer))
        self._alarm.set(time)
        return timer

    async def run(self) -> None:
        """Make the calls until cancelled."""
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
