"""A budget that limits the retries and hedges of a service."""

import collections
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
# Attempts that only a request which failed may use, or the given share of the
# reserve if that is less. A repeat of it probably succeeds, while instances
# that shed one request often shed the next one too.
FAILURE_RESERVE = 1.0
FAILURE_RESERVE_SHARE = 0.25
# A repeat may wait this long for a slot, so it reaches an instance later than
# it was taken from the budget.
MAX_SEND_DELAY = 1.0  # seconds
WINDOW_PARTS = 100  # steps in which a window moves


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
        full_budget_cost = dispatch.REPEAT_COST
        return full_budget_cost + (1.0 - full_budget_cost) * self.spent_share

    @property
    def spent_share(self) -> float:
        """Return the share of the reserve that has been spent."""
        if not self.reserve:
            return 1.0
        return min(1.0, max(0.0, 1.0 - self._tokens / self.reserve))

    @property
    def allows_shed_retry(self) -> bool:
        """Return whether a request that was shed may be repeated."""
        kept = min(FAILURE_RESERVE, FAILURE_RESERVE_SHARE * self.reserve)
        return self._tokens >= 1.0 + kept

    def advance(self, now: float) -> None:
        """Do nothing: the budget holds over any period."""

    def earn(self) -> None:
        """Add the share that a request earns."""
        self._tokens = min(self.reserve, self._tokens + self.share)

    def spend(self) -> bool:
        """Remove one attempt; return False if there is none left."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class _Step:
    """The requests and attempts of a part of a window."""

    __slots__ = ("attempts", "number", "requests")

    def __init__(self, number: int) -> None:
        self.number = number
        self.requests = 0
        self.attempts = 0


class WindowedRetryBudget(RetryBudget):
    """The retries and hedges that one service may still make in a window.

    In any ``window`` seconds, the attempts beyond the first of each request
    don't exceed the share of the requests plus the reserve. What was spent
    longer ago is available again, so a fault of some seconds leaves the
    reserve to the next one. :meth:`advance` must be called before each use.
    """

    def __init__(self, share: float, reserve: float, window: float) -> None:
        super().__init__(share, reserve)
        self._step_duration = window / WINDOW_PARTS
        self._attempt_steps = (
            WINDOW_PARTS + round(MAX_SEND_DELAY / self._step_duration) + 1
        )
        self._steps: collections.deque[_Step] = collections.deque()
        self._step = _Step(0)
        self._requests = 0
        self._attempts = 0

    def set_bounds(self, share: float, reserve: float) -> None:
        """Change the bounds; what was spent in the window still counts."""
        self.share = share
        self.reserve = reserve
        self._update()

    def advance(self, now: float) -> None:
        """Move the window to the time ``now``, in seconds.

        A request counts a step less than the window, an attempt a step more.
        """
        number = int(now / self._step_duration)
        if number == self._step.number:
            return
        if self._step.requests or self._step.attempts:
            self._steps.append(self._step)
        self._step = _Step(number)
        for step in self._steps:
            if number - step.number < WINDOW_PARTS:
                break
            self._requests -= step.requests
            step.requests = 0
        while (
            self._steps
            and number - self._steps[0].number > self._attempt_steps
        ):
            self._attempts -= self._steps.popleft().attempts
        self._update()

    def earn(self) -> None:
        """Count a request, which adds its share."""
        self._step.requests += 1
        self._requests += 1
        self._update()

    def spend(self) -> bool:
        """Count an attempt; return False if none is left."""
        if self._tokens < 1.0:
            return False
        self._step.attempts += 1
        self._attempts += 1
        self._update()
        return True

    def _update(self) -> None:
        allowed = self.share * self._requests + self.reserve
        self._tokens = allowed - self._attempts
