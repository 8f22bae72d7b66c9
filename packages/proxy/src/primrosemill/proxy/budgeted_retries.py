"""Applies a retry budget for each service to retries and hedges."""

import typing

import trio

from primrosemill.decisions import hedging
from primrosemill.decisions import retries
from primrosemill.decisions import retry_budget
from primrosemill.proxy import request_policies

ACTIONS: dict[type, request_policies.Action] = {
    retries.Retry: request_policies.Action.RETRY,
    retries.WaitForBudget: request_policies.Action.WAIT,
}


# A hedge starts after this multiple of the route's usual answer time: few
# answers take longer, and a hedge may still answer within the target.
HEDGE_FACTOR = 2.5
MeanResponseTime = typing.Callable[[str, str], float | None]


def _no_mean_response_time(service: str, route: str) -> float | None:
    return None


class BudgetedRetries:
    """Retries and hedges within a budget for each service.

    With ``waits_for_budget`` a shed request waits until the budget allows a
    retry; otherwise it is refused at once. ``mean_response_time`` returns the
    mean response time of a route of a service in seconds, or None if unknown.
    If ``window`` is not 0, the bounds hold in any period of this many seconds,
    otherwise over all time.
    """

    def __init__(
        self,
        waits_for_budget: bool = True,
        mean_response_time: MeanResponseTime = _no_mean_response_time,
        window: float = 0.0,
    ) -> None:
        self._window = window
        self._waits_for_budget = waits_for_budget
        self._mean_response_time = mean_response_time
        self._share = retry_budget.RETRY_SHARE
        self._reserve = retry_budget.RESERVE
        self._budgets_by_service: dict[str, retry_budget.RetryBudget] = {}
        self._hedging_by_service: dict[str, hedging.Hedging] = {}

    def set_bounds(self, share: float, reserve: float) -> None:
        """Set this VM's part of the fleet's budget for retries and hedges.

        ``share`` is the number of attempts that each request adds,
        ``reserve`` the number that may be spent at once.
        """
        self._share = share
        self._reserve = reserve
        for budget in self._budgets_by_service.values():
            budget.set_bounds(share, reserve)

    def request_started(self, service: str, now: float) -> None:
        """Count a request, which adds a fraction of a retry to the budget."""
        self._budget(service).earn()

    def record_answer_time(
        self, service: str, elapsed: float, now: float
    ) -> None:
        """Record the time that an instance took to answer, in seconds."""
        self._hedging(service).record_answer_time(elapsed, now)

    def decide(
        self, facts: request_policies.RetryFacts
    ) -> request_policies.Decision:
        """Decide what to do after an attempt without an answer."""
        request = retries.Request(
            facts.idempotent,
            facts.deadline,
            waits_for_budget=self._waits_for_budget,
        )
        last = retries.add_attempt(retries.History(), facts.outcome)
        history = last._replace(attempts=facts.attempts)
        budget = self._budget(facts.service)
        decision = retries.decide(request, history, budget, facts.now)
        action = ACTIONS.get(type(decision))
        if action is not None:
            return request_policies.Decision(action, decision.pause)
        return request_policies.Decision(
            request_policies.Action.GIVE_UP,
            reason=decision.reason,
            retry_after=decision.retry_after,
        )

    def hedge_delay(
        self, service: str, now: float, route: str = ""
    ) -> float | None:
        """Return the seconds until a hedge may start, or None for no hedge."""
        budget = self._budget(service)
        if not hedging.can_afford_hedge(budget):
            return None
        usual = self._mean_response_time(service, route)
        if usual is not None:
            return HEDGE_FACTOR * usual
        return self._hedging(service).base_delay

    def try_spend_hedge(self, service: str) -> bool:
        """Charge a hedge to the budget; return False if it must not start."""
        budget = self._budget(service)
        return hedging.can_afford_hedge(budget) and budget.spend()

    def repeat_cost(self, service: str) -> float:
        """Return the cost of repeating an attempt, in lost requests."""
        return self._budget(service).repeat_cost

    def _budget(self, service: str) -> retry_budget.RetryBudget:
        budget = self._budgets_by_service.get(service)
        if budget is None:
            budget = self._create_budget()
            self._budgets_by_service[service] = budget
        if self._window:
            budget.advance(trio.current_time())
        return budget

    def _create_budget(self) -> retry_budget.RetryBudget:
        if not self._window:
            return retry_budget.RetryBudget(self._share, self._reserve)
        return retry_budget.WindowedRetryBudget(
            self._share, self._reserve, self._window
        )

    def _hedging(self, service: str) -> hedging.Hedging:
        return self._hedging_by_service.setdefault(service, hedging.Hedging())
