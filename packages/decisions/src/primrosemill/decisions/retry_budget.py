"""Bounds the attempts of a service to a share more than its requests."""

from primrosemill.decisions import dispatch

RETRY_SHARE = 0.15  # attempts that each request earns beyond its first
RESERVE = 10.0  # attempts; what a quiet service may spend at once


class RetryBudget:
    """Holds the attempts of one service that may still be spent.

    Every request pays in a share of an attempt, and each retry or hedge
    takes a whole one out. Over any time, attempts stay within the requests
    times ``1 + RETRY_SHARE`` plus the reserve, whatever the outcomes are.
    """

    def __init__(
        self, share: float = RETRY_SHARE, reserve: float = RESERVE
    ) -> None:
        self.share = share
        self.reserve = reserve
        self._tokens = reserve

    def set_bounds(self, share: float, reserve: float) -> None:
        """Take other bounds; what is left never exceeds the reserve."""
        self.share = share
        self.reserve = reserve
        self._tokens = min(self._tokens, reserve)

    @property
    def left(self) -> float:
        """Return the attempts that may still be spent."""
        return self._tokens

    @property
    def repeat_cost(self) -> float:
        """Return what a failed attempt costs, in lost requests.

        It rises to a whole request as the budget runs out.
        """
        spent = 1.0 - self._tokens / self.reserve if self.reserve else 1.0
        first = dispatch.REPEAT_COST
        return first + (1.0 - first) * spent

    def earn(self) -> None:
        """Count a request."""
        self._tokens = min(self.reserve, self._tokens + self.share)

    def spend(self) -> bool:
        """Take one attempt out, or return False when there is none left."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
