"""Measurement of event rates."""

import math

TIME_CONSTANT = 1.0  # seconds in which an event's weight falls to 1/e


class Rate:
    """An exponential moving average of the events per second."""

    def __init__(self) -> None:
        self._count = 0.0
        self._updated_at = 0.0

    def count_event(self, now: float) -> None:
        """Count one event."""
        self._count = self._decayed_count(now) + 1.0
        self._updated_at = now

    def per_second(self, now: float) -> float:
        """Return the current rate in events per second."""
        return self._decayed_count(now) / TIME_CONSTANT

    def _decayed_count(self, now: float) -> float:
        return self._count * math.exp((self._updated_at - now) / TIME_CONSTANT)
