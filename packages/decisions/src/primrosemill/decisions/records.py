"""Holds what one VM knows of one instance."""

import math

from primrosemill.decisions import scores

UNREACHABLE_AFTER = 2  # refused connections in a row


class Record:
    """What this VM knows of one instance."""

    __slots__ = (
        "cold_until",
        "errors",
        "id",
        "health",
        "in_flight",
        "last_good",
        "latencies",
        "recent",
        "refused",
        "score",
    )

    def __init__(self, instance_id: str) -> None:
        self.id = instance_id
        self.latencies = scores.Channel()
        self.errors = scores.Channel()
        self.in_flight: dict[str, float] = {}
        self.last_good = -math.inf
        self.recent = 0.0
        self.health = 0.0
        self.refused = 0
        self.score = 0.0
        self.cold_until = 0.0

    def reset(self) -> None:
        """Drop the evidence gathered so far; attempts go on counting."""
        self.latencies.reset()
        self.errors.reset()
        self.score = 0.0

    @property
    def reachable(self) -> bool:
        """Tell whether the last connections were not all refused."""
        return self.refused < UNREACHABLE_AFTER

    def is_cold(self, alive: float) -> bool:
        """Tell whether the instance started lately, or is about to."""
        return not self.reachable or self.cold_until > alive
