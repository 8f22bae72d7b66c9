"""The retry policy: what follows an attempt without a complete answer.

A request that is not idempotent is retried only if none of its attempts can
have run. Every retry is taken from the service's budget. When the budget is
spent, the request gets its final answer at once, unless it was shed and may
wait.
"""

import functools
import typing

from primrosemill.decisions import outcomes
from primrosemill.decisions import retry_budget

INITIAL_BACKOFF = 0.005  # seconds
MAX_BACKOFF = 0.25  # seconds
BACKOFF_FACTOR = 2.0
ATTEMPT_LIMIT = 4  # per request, including hedges
MIN_RETRY_AFTER = 0.5  # seconds
MAX_RETRY_AFTER = 10.0  # seconds


class Request(typing.NamedTuple):
    """The properties of a request that determine whether it is retried.

    ``deadline`` is a time. ``replayable`` means that its body can be sent
    again, ``answer_started`` that a part of an answer was sent to the caller
    and ``waits_for_budget`` that after a shed it may wait for an empty budget
    to refill.
    """

    idempotent: bool
    deadline: float
    replayable: bool = True
    answer_started: bool = False
    waits_for_budget: bool = True


class Retry(typing.NamedTuple):
    """Retry the request after ``pause`` seconds."""

    pause: float


class WaitForBudget(typing.NamedTuple):
    """Decide again after ``pause`` seconds, without an attempt until then."""

    pause: float


class Finish(typing.NamedTuple):
    """Give up; the caller may try again after ``retry_after`` seconds.

    The caller may be told "not run" only if ``may_have_run`` is False.
    """

    reason: outcomes.RefusalReason
    may_have_run: bool
    retry_after: float


class Abort(typing.NamedTuple):
    """Close the caller's connection, as an answer was partly sent."""


Decision = Retry | WaitForBudget | Finish | Abort


class History(typing.NamedTuple):
    """The attempts of a request so far.

    ``shed`` and ``withdrawn`` refer to the last one. One that is withdrawn
    never left this VM, as its instance did not take requests any more.
    """

    attempts: int = 0
    may_have_run: bool = False
    shed: bool = False
    withdrawn: bool = False


def add_attempt(
    history: History, outcome: outcomes.NotRun | outcomes.Unknown
) -> History:
    """Return the history extended by an attempt's outcome."""
    may_have_run = history.may_have_run or not _is_not_run(outcome)
    return History(
        history.attempts + 1,
        may_have_run,
        outcome == outcomes.NotRun(outcomes.NotRunReason.SHED),
        outcome == outcomes.NotRun(outcomes.NotRunReason.INSTANCE_LEFT),
    )


def decide(
    request: Request,
    history: History,
    budget: retry_budget.RetryBudget,
    now: float,
) -> Decision:
    """Return what to do after the attempts in ``history``.

    An attempt is taken from the budget exactly if the result is Retry, unless
    the last one was withdrawn: its instance got nothing. With an empty budget
    a request that was shed waits, because the service is busy and a slow
    answer is better than none; any other request gives up.
    """
    if request.answer_started:
        return Abort()
    reason = _refusal_reason(request, history, now)
    if reason is None and history.withdrawn:
        return Retry(0.0)
    may_spend = not history.shed or budget.allows_shed_retry
    if reason is None and may_spend and budget.spend():
        return Retry(backoff_after(history.attempts))
    if reason is None and history.shed and request.waits_for_budget:
        return WaitForBudget(MAX_BACKOFF)
    return Finish(
        reason or outcomes.RefusalReason.RETRIES_SPENT,
        history.may_have_run,
        retry_after(budget),
    )


def may_send(request: Request, history: History, now: float) -> bool:
    """Return whether an attempt may start now.

    Check this again right before the first byte is sent, because the process
    may have been suspended since the decision.
    """
    if now >= request.deadline:
        return False
    return request.idempotent or not history.may_have_run


def backoff_after(attempts: int) -> float:
    """Return the backoff after this many attempts, in seconds."""
    pause = INITIAL_BACKOFF * BACKOFF_FACTOR ** max(0, attempts - 1)
    return min(MAX_BACKOFF, pause)


def retry_after(budget: retry_budget.RetryBudget) -> float:
    """Return after how many seconds a caller may try again.

    It grows as the budget empties, because the service has then been failing
    for longer.
    """
    return MIN_RETRY_AFTER + budget.spent_share * (
        MAX_RETRY_AFTER - MIN_RETRY_AFTER
    )


def _refusal_reason(
    request: Request, history: History, now: float
) -> outcomes.RefusalReason | None:
    if now + backoff_after(history.attempts) >= request.deadline:
        return outcomes.RefusalReason.DEADLINE
    if not request.replayable:
        return outcomes.RefusalReason.BODY_SENT
    if not may_send(request, history, now):
        return outcomes.RefusalReason.RETRIES_SPENT
    if history.attempts >= ATTEMPT_LIMIT and not history.shed:
        return outcomes.RefusalReason.RETRIES_SPENT
    return None


@functools.singledispatch
def _is_not_run(outcome: outcomes.Outcome) -> bool:
    return False


@_is_not_run.register
def _(outcome: outcomes.NotRun) -> bool:
    return True
