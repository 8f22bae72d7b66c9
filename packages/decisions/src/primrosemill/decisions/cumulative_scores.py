"""Keeps cumulative scores of the evidence that an instance is sick.

A score is Page's cumulative sum (CUSUM; "Continuous inspection schemes",
1954) of log likelihood ratios, which never falls below zero. Errors and
latencies have separate scores, so that fast errors don't hide slow answers or
the reverse.
"""

import math

# A sick instance is modelled as one with SICK_ERROR_FACTOR times the errors
# of a healthy one, within these shares of its attempts.
MIN_HEALTHY_ERROR_SHARE = 0.01
MIN_SICK_ERROR_SHARE = 0.2
SICK_ERROR_FACTOR = 4.0
MAX_SICK_ERROR_SHARE = 0.9
ERROR_HALF_LIFE = 30.0  # seconds
SHIFT_RETAINED_PER_TICK = 0.8  # share of the smoothed shift
MIN_INSTANCES_FOR_MEDIAN = 2
# Nats; limits the time that a score takes to fall after a long sickness.
MAX_SCORE = 60.0


class CumulativeScore:
    """A cumulative score of one instance, in nats."""

    __slots__ = ("pending_count", "pending", "score")

    def __init__(self) -> None:
        self.score = 0.0
        self.pending = 0.0
        self.pending_count = 0

    def add(self, ratio: float) -> None:
        """Add one observation, in nats; it counts from the next tick on."""
        self.pending += ratio
        self.pending_count += 1

    def apply_pending(self, shift: float) -> None:
        """Add the observations since the last tick to the score.

        ``shift`` is the common shift to subtract from each, in nats.
        """
        if not self.pending_count:
            return
        total = self.score + self.pending - self.pending_count * shift
        self.score = min(MAX_SCORE, max(0.0, total))
        self.pending = 0.0
        self.pending_count = 0

    def reset(self) -> None:
        """Reset the score and drop pending observations."""
        self.score = 0.0
        self.pending = 0.0
        self.pending_count = 0


class CommonShift:
    """Tracks the shift in observations that all instances have in common.

    In each tick the median over the instances of their mean ratio stands for
    the service as a whole, so that only deviations from it count against an
    instance. ``level`` is the smoothed shift in nats.
    """

    def __init__(self) -> None:
        self.level = 0.0

    def update(self, scores: list[CumulativeScore], expected: float) -> float:
        """Return the shift to subtract from each observation, in nats.

        ``scores`` are those of one kind of all instances, ``expected`` is the
        mean ratio that healthy instances show.
        """
        means = [
            score.pending / score.pending_count
            for score in scores
            if score.pending_count
        ]
        if len(means) < MIN_INSTANCES_FOR_MEDIAN:
            return self.level
        means.sort()
        median = means[(len(means) - 1) // 2]
        raised = max(0.0, median - expected)
        self.level = (
            SHIFT_RETAINED_PER_TICK * self.level
            + (1.0 - SHIFT_RETAINED_PER_TICK) * raised
        )
        return max(self.level, raised)


class ErrorBaseline:
    """Learns the error share of a service's healthy instances.

    From it follow ``error_ratio`` and ``success_ratio``, the log likelihood
    ratios of an error and of a success in nats, and ``expected_ratio``, their
    mean at this error share.
    """

    def __init__(self) -> None:
        self._errors = 0.0
        self._attempts = 0.0
        self._refreshed_at = -math.inf
        self.error_ratio = 0.0
        self.success_ratio = 0.0
        self.expected_ratio = 0.0
        self._update_ratios()

    def add(self, error: bool) -> None:
        """Count one attempt at a healthy instance."""
        self._attempts += 1.0
        if error:
            self._errors += 1.0

    def refresh(self, now: float) -> None:
        """Decay the counts and update the ratios."""
        if self._refreshed_at > -math.inf:
            retained = 0.5 ** ((now - self._refreshed_at) / ERROR_HALF_LIFE)
            self._errors *= retained
            self._attempts *= retained
        self._refreshed_at = now
        self._update_ratios()

    def _update_ratios(self) -> None:
        share = self._errors / max(1.0, self._attempts)
        healthy = min(0.5, max(MIN_HEALTHY_ERROR_SHARE, share))
        sick = min(
            MAX_SICK_ERROR_SHARE,
            max(MIN_SICK_ERROR_SHARE, SICK_ERROR_FACTOR * healthy),
        )
        self.error_ratio = math.log(sick / healthy)
        self.success_ratio = math.log((1.0 - sick) / (1.0 - healthy))
        self.expected_ratio = (
            share * self.error_ratio + (1.0 - share) * self.success_ratio
        )
