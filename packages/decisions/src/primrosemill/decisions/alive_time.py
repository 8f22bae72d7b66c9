"""Measures time by how long this process was really running.

A process that pauses finds its attempts older than the instances made them.
Between two calls the clock here moves by a limited step, so a pause adds
next to nothing to any age; a long pause is reported so that its measurements
can be dropped.
"""

STEP_LIMIT = 0.3  # seconds; the longest honest time between two ticks.
PAUSE = 1.0  # seconds; beyond it, what was in flight says nothing.


class AliveClock:
    """Turns times of the caller into time spent running, in seconds."""

    def __init__(self, now: float) -> None:
        self._last = now
        self.time = 0.0

    def advance(self, now: float) -> bool:
        """Move to ``now``; return whether the process had paused."""
        gap = now - self._last
        if gap <= 0.0:
            return False
        self._last = now
        if gap <= STEP_LIMIT:
            self.time += gap
            return False
        self.time += STEP_LIMIT
        return gap > PAUSE
