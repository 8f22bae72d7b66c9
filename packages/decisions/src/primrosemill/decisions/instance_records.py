"""Holds the evidence that one VM has on one instance."""

import math

from primrosemill.decisions import cumulative_scores

UNREACHABLE_AFTER_REFUSALS = 2  # refused connections in a row


class InstanceRecord:
    """The evidence that this VM has on one instance.

    ``latencies`` and ``errors`` are cumulative scores; ``score`` combines
    them with the ages of the attempts ``in_flight``, which maps attempts to
    their start. ``health_evidence`` is the sum of a sequential test for
    health, negative where the instance looks healthy. ``recent_attempts`` is
    a decaying count. Scores are in nats, times in seconds of running time.
    """

    __slots__ = (
        "cold_until",
        "errors",
        "id",
        "health_evidence",
        "in_flight",
        "last_answer",
        "latencies",
        "recent_attempts",
        "refusals_in_a_row",
        "score",
    )

    def __init__(self, instance_id: str) -> None:
        self.id = instance_id
        self.latencies = cumulative_scores.CumulativeScore()
        self.errors = cumulative_scores.CumulativeScore()
        self.in_flight: dict[str, float] = {}
        self.last_answer = -math.inf
        self.recent_attempts = 0.0
        self.health_evidence = 0.0
        self.refusals_in_a_row = 0
        self.score = 0.0
        self.cold_until = 0.0

    def reset(self) -> None:
        """Reset the scores; attempts in flight are kept."""
        self.latencies.reset()
        self.errors.reset()
        self.score = 0.0

    @property
    def reachable(self) -> bool:
        """Return whether the last connections were not all refused."""
        return self.refusals_in_a_row < UNREACHABLE_AFTER_REFUSALS

    def is_cold(self, now: float) -> bool:
        """Return whether the instance started recently or has yet to start."""
        return not self.reachable or self.cold_until > now
