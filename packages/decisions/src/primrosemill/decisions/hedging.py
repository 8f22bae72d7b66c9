"""The hedging policy: when a slow request gets a second, parallel attempt.

A hedge starts once the first attempt of an idempotent request has taken
longer than most of the service's requests (J. Dean and L. Barroso, "The tail
at scale", 2013). It is taken from the same budget as retries.
"""

import math

from primrosemill.decisions import latency
from primrosemill.decisions import retries
from primrosemill.decisions import retry_budget

MIN_DELAY = 0.02  # seconds
# Part of the budget that hedges leave to retries.
RETRY_RESERVE = 5.0  # attempts


def can_afford_hedge(budget: retry_budget.RetryBudget) -> bool:
    """Return whether the budget allows a hedge besides the retries."""
    return budget.remaining >= 1.0 + min(RETRY_RESERVE, budget.reserve / 2)


class Hedging:
    """Learns the hedging delay of one service from its response times."""

    def __init__(self) -> None:
        self._baseline = latency.Baseline()
        self._next_refresh = -math.inf

    def record_answer_time(self, elapsed: float, now: float) -> None:
        """Record the response time of a complete answer, in seconds."""
        self._baseline.add(latency.bucket_of(elapsed))
        if now >= self._next_refresh:
            self._next_refresh = now + 1.0
            self._baseline.refresh(now)

    @property
    def base_delay(self) -> float | None:
        """Return the service's hedging delay in s, or None if unknown."""
        if not self._baseline.has_data:
            return None
        return max(MIN_DELAY, self._baseline.p99)

    def delay(self, request: retries.Request, now: float) -> float | None:
        """Return after how many seconds to hedge, or None for never.

        The delay is the 99th percentile of the service's response times, so
        about one in a hundred requests is hedged in normal operation.
        """
        if not request.idempotent or not request.replayable:
            return None
        delay = self.base_delay
        if delay is None or now + delay >= request.deadline:
            return None
        return delay

    def try_start(
        self,
        request: retries.Request,
        budget: retry_budget.RetryBudget,
        now: float,
    ) -> bool:
        """Take a hedge from the budget; return False if it may not start."""
        if not request.idempotent or request.answer_started:
            return False
        if now >= request.deadline or not can_afford_hedge(budget):
            return False
        return budget.spend()
