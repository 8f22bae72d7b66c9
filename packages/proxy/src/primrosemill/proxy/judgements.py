"""Tells what the outcome of an attempt says of its instance."""

import functools
import typing

from primrosemill.decisions import balance
from primrosemill.decisions import outcomes
from primrosemill.proxy import plugs

NOT_FAILURES = frozenset(
    {
        outcomes.NotRunReason.SHED,
        outcomes.NotRunReason.CANCELLED_UNSENT,
        outcomes.NotRunReason.CLOSED_UNSENT,
    }
)
# The path to the instance failed, which says nothing to other VMs.
PATH_FAILURES = frozenset(
    {
        outcomes.NotRunReason.CONNECT_TIMEOUT,
        outcomes.NotRunReason.CONNECT_FAILED,
    }
)


class Judgement(typing.NamedTuple):
    """What an attempt said of its instance.

    ``failed`` is None where it says nothing; ``shared`` tells that peers
    should know.
    """

    failed: bool | None
    shared: bool = False


@functools.singledispatch
def judge(outcome: outcomes.Outcome, end: plugs.AttemptEnd) -> Judgement:
    """Return what an attempt's outcome says of its instance."""
    raise NotImplementedError(type(outcome))


@judge.register
def _judge_answer(
    outcome: outcomes.Answered, end: plugs.AttemptEnd
) -> Judgement:
    failed = outcome.status >= outcomes.FIRST_SERVER_ERROR
    return Judgement(failed, failed)


@judge.register
def _judge_not_run(
    outcome: outcomes.NotRun, end: plugs.AttemptEnd
) -> Judgement:
    if outcome.reason in NOT_FAILURES:
        return Judgement(None)
    return Judgement(True, outcome.reason not in PATH_FAILURES)


@judge.register
def _judge_unknown(
    outcome: outcomes.Unknown, end: plugs.AttemptEnd
) -> Judgement:
    if not end.abandoned:
        return Judgement(True, True)
    # A request that waited long before has little time left to be answered.
    if end.timed_out and end.elapsed >= balance.LEAST_STALL:
        return Judgement(True, True)
    return Judgement(None)


@functools.singledispatch
def cause(outcome: outcomes.Outcome) -> str:
    """Return the word for an outcome in the log."""
    return outcome.reason.value


@cause.register
def _cause_of_answer(outcome: outcomes.Answered) -> str:
    return f"status_{outcome.status}"
