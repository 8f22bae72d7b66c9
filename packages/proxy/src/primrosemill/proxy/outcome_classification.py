"""Classifies outcomes of attempts as successes or failures of instances."""

import functools
import typing

from primrosemill.decisions import instance_selection
from primrosemill.decisions import outcomes
from primrosemill.proxy import request_policies

INCONCLUSIVE_REASONS = frozenset(
    {
        outcomes.NotRunReason.SHED,
        outcomes.NotRunReason.CANCELLED_UNSENT,
        outcomes.NotRunReason.CLOSED_UNSENT,
        outcomes.NotRunReason.INSTANCE_LEFT,
        outcomes.NotRunReason.KEY_REFUSED,
    }
)
# The path from this VM to the instance failed: no evidence for other VMs.
PATH_FAILURE_REASONS = frozenset(
    {
        outcomes.NotRunReason.CONNECT_TIMEOUT,
        outcomes.NotRunReason.CONNECT_FAILED,
    }
)


class Classification(typing.NamedTuple):
    """Whether an attempt is evidence for or against its instance.

    ``failed`` is None if the attempt is inconclusive; ``shareable`` is True
    for a failure that peers should be notified of.
    """

    failed: bool | None
    shareable: bool = False


@functools.singledispatch
def classify(
    outcome: outcomes.Outcome, end: request_policies.AttemptEnd
) -> Classification:
    """Classify an attempt by its outcome."""
    raise NotImplementedError(type(outcome))


@classify.register
def _classify_answer(
    outcome: outcomes.Answered, end: request_policies.AttemptEnd
) -> Classification:
    failed = outcome.status >= outcomes.FIRST_SERVER_ERROR
    return Classification(failed, failed)


@classify.register
def _classify_not_run(
    outcome: outcomes.NotRun, end: request_policies.AttemptEnd
) -> Classification:
    if outcome.reason in INCONCLUSIVE_REASONS:
        return Classification(None)
    return Classification(True, outcome.reason not in PATH_FAILURE_REASONS)


@classify.register
def _classify_unknown(
    outcome: outcomes.Unknown, end: request_policies.AttemptEnd
) -> Classification:
    if not end.abandoned:
        return Classification(True, True)
    # A request that waited long before the attempt leaves the instance little
    # time to answer, so a short attempt is no evidence of a stall.
    if end.timed_out and end.elapsed >= instance_selection.MIN_STALL_TIME:
        return Classification(True, True)
    return Classification(None)


@functools.singledispatch
def cause_label(outcome: outcomes.Outcome) -> str:
    """Return the label of an outcome in the log."""
    return outcome.reason.value


@cause_label.register
def _answer_cause_label(outcome: outcomes.Answered) -> str:
    return f"status_{outcome.status}"
