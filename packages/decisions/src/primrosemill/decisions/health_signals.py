"""Classifies outcomes of attempts as evidence on an instance's health."""

import enum
import functools
import typing

from primrosemill.decisions import outcomes

ERROR_STATUSES = frozenset({500, 502, 503, 504})


class HealthSignal(enum.Enum):
    """What an attempt's outcome tells about the instance's health."""

    GOOD = enum.auto()  # A complete answer; its latency is evidence.
    ERROR = enum.auto()
    UNREACHABLE = enum.auto()  # An error: no connection was accepted.
    LATE = enum.auto()  # No answer by the deadline; the age is evidence.
    ABANDONED = enum.auto()  # Cancelled for other reasons; the age counts.
    NONE = enum.auto()


SIGNALS_BY_NOT_RUN_REASON: typing.Final = {
    outcomes.NotRunReason.CONNECT_REFUSED: HealthSignal.UNREACHABLE,
    outcomes.NotRunReason.CONNECT_TIMEOUT: HealthSignal.UNREACHABLE,
    # An instance that sheds a request is overloaded, but healthy.
    outcomes.NotRunReason.SHED: HealthSignal.NONE,
    outcomes.NotRunReason.CANCELLED_UNSENT: HealthSignal.NONE,
    outcomes.NotRunReason.INSTANCE_LEFT: HealthSignal.NONE,
    outcomes.NotRunReason.HELPER_REFUSED: HealthSignal.NONE,
    outcomes.NotRunReason.KEY_REFUSED: HealthSignal.NONE,
}
SIGNALS_BY_UNKNOWN_REASON: typing.Final = {
    outcomes.UnknownReason.CLOSED: HealthSignal.ERROR,
    outcomes.UnknownReason.TIMEOUT: HealthSignal.LATE,
    outcomes.UnknownReason.TRUNCATED: HealthSignal.ERROR,
    outcomes.UnknownReason.CANCELLED: HealthSignal.ABANDONED,
    outcomes.UnknownReason.PROTOCOL: HealthSignal.ERROR,
}


@functools.singledispatch
def classify(outcome: outcomes.Outcome) -> HealthSignal:
    """Return the health signal of an outcome."""
    raise TypeError(type(outcome))


@classify.register
def _classify_answered(outcome: outcomes.Answered) -> HealthSignal:
    return (
        HealthSignal.ERROR
        if outcome.status in ERROR_STATUSES
        else HealthSignal.GOOD
    )


@classify.register
def _classify_not_run(outcome: outcomes.NotRun) -> HealthSignal:
    return SIGNALS_BY_NOT_RUN_REASON.get(outcome.reason, HealthSignal.NONE)


@classify.register
def _classify_unknown(outcome: outcomes.Unknown) -> HealthSignal:
    return SIGNALS_BY_UNKNOWN_REASON.get(outcome.reason, HealthSignal.ERROR)
