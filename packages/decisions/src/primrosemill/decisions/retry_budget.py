"""A budget that limits the retries and hedges of a service."""

import typing

from primrosemill.decisions import dispatch

RETRY_SHARE = 0.15  # further attempts earned per request
RESERVE = 10.0  # attempts that an idle service may spend at once
# Fraction of the fleet's retry budget that the VMs may use. The rest is a
# margin, because their views of the fleet's size may differ for a short time.
FLEET_FRACTION = 0.8
# The reserve of a VM that is not an entry point is that of an entry point
# divided by this: only callers with older directions send requests to it.
NON_ENTRY_POINT_DIVISOR = 4
MIN_RESERVE = 1.0  # attempts; less would never allow a retry


class FleetView(typing.NamedTuple):
    """What a VM knows of its fleet; it decides the VM's part of a reserve.

    ``entry_point_count`` is over all failure domains. ``seen_fraction`` is
    the fraction of the fleet's VMs that are there: the others may go on
    behind a cut, with their own parts.
    """

    entry_point_count: int
    is_entry_point: bool
    seen_fraction: float


def vm_reserve(fleet_reserve: float, view: FleetView) -> float:
    """Return the attempts of a fleet's reserve that one VM may spend."""
    part = FLEET_FRACTION * fleet_reserve / view.entry_point_count
    if not view.is_entry_point:
        part /= NON_ENTRY_POINT_DIVISOR
    return max(MIN_RESERVE, part * view.seen_fraction)


class RetryBudget:
    """The retries and hedges that one service may still make.

    Every request adds a share of an attempt, and each retry or hedge removes
    a whole one. Over any period, the attempts don't exceed the requests times
    ``1 + RETRY_SHARE`` plus the reserve, whatever the outcomes are.
    """

    def __init__(
        self, share: float = RETRY_SHARE, reserve: float = RESERVE
    ) -> None:
        self.share = share
        self.reserve = reserve
        self._tokens = reserve

    def set_bounds(self, share: float, reserve: float) -> None:
        """Change the bounds; reduce the budget to the new reserve."""
        self.share = share
        self.reserve = reserve
        self._tokens = min(self._tokens, reserve)

    @property
    def remaining(self) -> float:
        """Return the number of attempts that may still be spent."""
        return self._tokens

    @property
    def repeat_cost(self) -> float:
        """Return the cost of a failed attempt, in lost requests.

        It rises to a whole request as the budget empties.
        """
        spent_share = (
            1.0 - self._tokens / self.reserve if self.reserve else 1.0
        )
        full_budget_cost = dispatch.REPEAT_COST
        return full_budget_cost + (1.0 - full_budget_cost) * spent_share

    def earn(self) -> None:
        """Add the share that a request earns."""
        self._tokens = min(self.reserve, self._tokens + self.share)

    def spend(self) -> bool:
        """Remove one attempt; return False if there is none left."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
