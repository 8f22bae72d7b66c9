"""Keeps a running score of the evidence that an instance is sick.

The score is Page's cumulative sum (Continuous inspection schemes, 1954): log
likelihood ratios add up and never fall below zero. Errors and latencies add
up apart, so that fast errors do not hide slow answers or the reverse.
"""

import math

ERROR_PRIOR = 0.01  # share of errors that a healthy instance is allowed.
SICK_ERROR_SHARE = 0.2
SICK_ERROR_FACTOR = 4.0
SICK_ERROR_MOST = 0.9
ERROR_HALF_LIFE = 30.0  # seconds
SHIFT_KEPT = 0.8  # share of the last shift that a tick keeps.
MIN_INSTANCES = 2
CAP = 60.0  # nats; a longer sickness must not take ever longer to forget.


class Channel:
    """One running sum of one instance."""

    __slots__ = ("count", "pending", "score")

    def __init__(self) -> None:
        self.score = 0.0
        self.pending = 0.0
        self.count = 0

    def add(self, ratio: float) -> None:
        """Note one observation until the tick takes it in."""
        self.pending += ratio
        self.count += 1

    def settle(self, shift: float) -> None:
        """Take in what came since the last tick, less the common shift."""
        if not self.count:
            return
        moved = self.score + self.pending - self.count * shift
        self.score = min(CAP, max(0.0, moved))
        self.pending = 0.0
        self.count = 0

    def reset(self) -> None:
        """Drop the sum and what is not yet taken in."""
        self.score = 0.0
        self.pending = 0.0
        self.count = 0


class CommonShift:
    """Tracks how far all instances of a service move together.

    The median over the instances of their mean ratio in a tick is what the
    service as a whole does; only what an instance does beyond it counts
    against the instance.
    """

    def __init__(self) -> None:
        self.level = 0.0

    def take(self, channels: list[Channel], expected: float) -> float:
        """Return the shift to subtract from each observation."""
        means = [
            channel.pending / channel.count
            for channel in channels
            if channel.count
        ]
        if len(means) < MIN_INSTANCES:
            return self.level
        means.sort()
        median = means[(len(means) - 1) // 2]
        raised = max(0.0, median - expected)
        self.level = SHIFT_KEPT * self.level + (1.0 - SHIFT_KEPT) * raised
        return max(self.level, raised)


class ErrorBaseline:
    """Learns the share of errors that the whole service shows."""

    def __init__(self) -> None:
        self._errors = 0.0
        self._attempts = 0.0
        self._refreshed = -math.inf
        self.error_ratio = 0.0
        self.success_ratio = 0.0
        self.expected_ratio = 0.0
        self._work_out()

    def add(self, error: bool) -> None:
        """Count one attempt at a healthy instance."""
        self._attempts += 1.0
        if error:
            self._errors += 1.0

    def refresh(self, now: float) -> None:
        """Age the counts and work out the ratios anew."""
        if self._refreshed > -math.inf:
            kept = 0.5 ** ((now - self._refreshed) / ERROR_HALF_LIFE)
            self._errors *= kept
            self._attempts *= kept
        self._refreshed = now
        self._work_out()

    def _work_out(self) -> None:
        share = self._errors / max(1.0, self._attempts)
        healthy = min(0.5, max(ERROR_PRIOR, share))
        sick = min(
            SICK_ERROR_MOST,
            max(SICK_ERROR_SHARE, SICK_ERROR_FACTOR * healthy),
        )
        self.error_ratio = math.log(sick / healthy)
        self.success_ratio = math.log((1.0 - sick) / (1.0 - healthy))
        self.expected_ratio = (
            share * self.error_ratio + (1.0 - share) * self.success_ratio
        )
