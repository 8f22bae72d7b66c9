"""Provides a clock that stands still while this process is paused.

After a pause of the process its attempts in flight look older than the
instances are responsible for. This clock advances by a limited step between
two calls, so a pause adds little to any age. A long pause is reported, so
that the measurements around it can be dropped.
"""

MAX_STEP = 0.3  # seconds; the longest time between two ticks without a pause
# Seconds of a pause beyond which attempts in flight are no evidence.
PAUSE_THRESHOLD = 1.0


class RunningClock:
    """Converts monotonic time to running time, both in seconds."""

    def __init__(self, now: float) -> None:
        self._last = now
        self.time = 0.0

    def advance(self, now: float) -> bool:
        """Advance to ``now``; return whether there was a long pause."""
        gap = now - self._last
        if gap <= 0.0:
            return False
        self._last = now
        if gap <= MAX_STEP:
            self.time += gap
            return False
        self.time += MAX_STEP
        return gap > PAUSE_THRESHOLD
