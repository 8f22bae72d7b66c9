"""Wakes one task at the earliest of several times."""

import math

import trio


class Alarm:
    """Lets a task sleep until a time that other tasks may move earlier."""

    def __init__(self) -> None:
        self._time = math.inf
        self._scope: trio.CancelScope | None = None

    def set(self, time: float | None) -> None:
        """Wake no later than a trio time; None changes nothing."""
        if time is None or time >= self._time:
            return
        self._time = time
        if self._scope is not None:
            self._scope.deadline = time

    async def wait(self) -> None:
        """Sleep until the set time; only one task at a time may wait."""
        with trio.CancelScope(deadline=self._time) as scope:
            self._scope = scope
            await trio.sleep_forever()
        self._scope = None
        self._time = math.inf
