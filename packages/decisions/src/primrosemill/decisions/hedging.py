"""Decides when an idempotent request gets a second attempt beside a slow one.

A hedge starts once the first attempt has taken longer than most of the
service's requests do (J. Dean and L. Barroso, "The tail at scale", 2013).
It comes out of the same budget as retries.
"""

import math

from primrosemill.decisions import latency
from primrosemill.decisions import retries
from primrosemill.decisions import retry_budget

LEAST_DELAY = 0.02  # seconds
# Hedges leave this much of the budget to retries.
RESERVED = 5.0  # attempts


def affordable(budget: retry_budget.RetryBudget) -> bool:
    """Tell whether the budget has a hedge to spare beside retries."""
    return budget.left >= 1.0 + min(RESERVED, budget.reserve / 2)


class Hedging:
    """Learns when the answers of one service are late."""

    def __init__(self) -> None:
        self._baseline = latency.Baseline()
        self._next_refresh = -math.inf

    def answered(self, elapsed: float, now: float) -> None:
        """Note how long a whole answer took, in seconds."""
        self._baseline.add(latency.bucket_of(elapsed))
        if now >= self._next_refresh:
            self._next_refresh = now + 1.0
            self._baseline.refresh(now)

    @property
    def usual_delay(self) -> float | None:
        """Return the service's delay in seconds, or None while unknown."""
        if not self._baseline.known:
            return None
        return max(LEAST_DELAY, self._baseline.high)

    def delay(self, request: retries.Request, now: float) -> float | None:
        """Return after how many seconds to hedge, or None for never.

        The delay is the 99th percentile of the service, so about one in a
        hundred requests is hedged while all is well.
        """
        if not request.idempotent or not request.replayable:
            return None
        delay = self.usual_delay
        if delay is None or now + delay >= request.deadline:
            return None
        return delay

    def may_start(
        self,
        request: retries.Request,
        budget: retry_budget.RetryBudget,
        now: float,
    ) -> bool:
        """Take a hedge out of the budget, or return False."""
        if not request.idempotent or request.passed_on:
            return False
        if now >= request.deadline or not affordable(budget):
            return False
        return budget.spend()
