"""Decides what follows an attempt that brought no whole answer.

A request that is not idempotent is sent again only after an attempt that
was certainly not run. Every further attempt comes out of the service's
budget. When that is spent the request gets its final answer at once.
"""

import functools
import typing

from primrosemill.decisions import outcomes
from primrosemill.decisions import retry_budget

FIRST_PAUSE = 0.005  # seconds
LONGEST_PAUSE = 0.25  # seconds
PAUSE_FACTOR = 2.0
MOST_ATTEMPTS = 4  # of one request, hedges included
LEAST_RETRY_AFTER = 0.5  # seconds
MOST_RETRY_AFTER = 10.0  # seconds


class Request(typing.NamedTuple):
    """What of a request a retry depends on; ``deadline`` is a time.

    ``replayable`` tells that its body can be sent once more, ``passed_on``
    that some of an answer went to the caller already, ``waits_for_budget``
    that after a shed it may wait until the budget has filled again.
    """

    idempotent: bool
    deadline: float
    replayable: bool = True
    passed_on: bool = False
    waits_for_budget: bool = True


class Again(typing.NamedTuple):
    """Send the request once more after a pause in seconds."""

    pause: float


class Wait(typing.NamedTuple):
    """Ask again after a pause in seconds; no attempt is made until then."""

    pause: float


class Finish(typing.NamedTuple):
    """Give up now; the caller may come back after ``retry_after`` seconds.

    Only if ``may_have_run`` is False may the caller be told "not run".
    """

    reason: outcomes.RefusalReason
    may_have_run: bool
    retry_after: float


class Abort(typing.NamedTuple):
    """Cut the caller's connection: a part of an answer went out."""


Decision = Again | Wait | Finish | Abort


class History(typing.NamedTuple):
    """The attempts of one request so far, and whether the last was shed."""

    attempts: int = 0
    may_have_run: bool = False
    shed: bool = False


def note(
    history: History, outcome: outcomes.NotRun | outcomes.Unknown
) -> History:
    """Return the history with one more attempt."""
    may_have_run = history.may_have_run or not _is_not_run(outcome)
    shed = outcome == outcomes.NotRun(outcomes.NotRunReason.SHED)
    return History(history.attempts + 1, may_have_run, shed)


def decide(
    request: Request,
    history: History,
    budget: retry_budget.RetryBudget,
    now: float,
) -> Decision:
    """Return what to do after the attempts in ``history``.

    It takes an attempt out of the budget if and only if it says Again. A
    request that was shed waits for the budget to fill, because the service
    is busy and a slow answer is better than none; any other gives up.
    """
    if request.passed_on:
        return Abort()
    reason = _refusal(request, history, now)
    if reason is None and budget.spend():
        return Again(pause_after(history.attempts))
    if reason is None and history.shed and request.waits_for_budget:
        return Wait(LONGEST_PAUSE)
    return Finish(
        reason or outcomes.RefusalReason.RETRIES_SPENT,
        history.may_have_run,
        retry_after(budget),
    )


def may_send(request: Request, history: History, now: float) -> bool:
    """Tell whether an attempt may start at this very moment.

    It is asked again right before the first byte, because the process may
    have paused since the decision.
    """
    if now >= request.deadline:
        return False
    return request.idempotent or not history.may_have_run


def pause_after(attempts: int) -> float:
    """Return the pause before the next attempt, in seconds."""
    pause = FIRST_PAUSE * PAUSE_FACTOR ** max(0, attempts - 1)
    return min(LONGEST_PAUSE, pause)


def retry_after(budget: retry_budget.RetryBudget) -> float:
    """Return when a caller may come back, in seconds.

    The emptier the budget, the longer the service has been failing.
    """
    spent = 1.0 - budget.left / budget.reserve
    return LEAST_RETRY_AFTER + spent * (MOST_RETRY_AFTER - LEAST_RETRY_AFTER)


def _refusal(
    request: Request, history: History, now: float
) -> outcomes.RefusalReason | None:
    if now + pause_after(history.attempts) >= request.deadline:
        return outcomes.RefusalReason.DEADLINE
    if not request.replayable:
        return outcomes.RefusalReason.BODY_SENT
    if not may_send(request, history, now):
        return outcomes.RefusalReason.RETRIES_SPENT
    if history.attempts >= MOST_ATTEMPTS and not history.shed:
        return outcomes.RefusalReason.RETRIES_SPENT
    return None


@functools.singledispatch
def _is_not_run(outcome: outcomes.Outcome) -> bool:
    return False


@_is_not_run.register
def _(outcome: outcomes.NotRun) -> bool:
    return True
