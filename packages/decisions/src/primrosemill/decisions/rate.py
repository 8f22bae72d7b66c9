"""Counts events a second."""

import math

RATE_WINDOW = 1.0  # seconds over which events are counted


class Rate:
    """Counts events a second, as a moving average."""

    def __init__(self) -> None:
        self._count = 0.0
        self._at = 0.0

    def note(self, now: float) -> None:
        """Count one event."""
        self._count = self._faded(now) + 1.0
        self._at = now

    def per_second(self, now: float) -> float:
        """Return the rate now."""
        return self._faded(now) / RATE_WINDOW

    def _faded(self, now: float) -> float:
        return self._count * math.exp((self._at - now) / RATE_WINDOW)
