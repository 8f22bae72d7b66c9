"""Reads what the outcome of an attempt says about the instance's health."""

import enum
import functools
import typing

from primrosemill.decisions import outcomes

ERROR_STATUSES = frozenset({500, 502, 503, 504})


class Sign(enum.Enum):
    """Which evidence an outcome is."""

    GOOD = enum.auto()  # A whole answer; its latency counts.
    ERROR = enum.auto()
    UNREACHABLE = enum.auto()  # An error, and nothing accepted it.
    LATE = enum.auto()  # No answer before the deadline; its age counts.
    ABANDONED = enum.auto()  # Given up for other reasons; its age counts.
    NONE = enum.auto()


SIGNS_BY_NOT_RUN: typing.Final = {
    outcomes.NotRunReason.CONNECT_REFUSED: Sign.UNREACHABLE,
    outcomes.NotRunReason.CONNECT_TIMEOUT: Sign.UNREACHABLE,
    # A shed request is load that the instance handles well.
    outcomes.NotRunReason.SHED: Sign.NONE,
    outcomes.NotRunReason.CANCELLED_UNSENT: Sign.NONE,
}
SIGNS_BY_UNKNOWN: typing.Final = {
    outcomes.UnknownReason.CLOSED: Sign.ERROR,
    outcomes.UnknownReason.TIMEOUT: Sign.LATE,
    outcomes.UnknownReason.TRUNCATED: Sign.ERROR,
    outcomes.UnknownReason.CANCELLED: Sign.ABANDONED,
    outcomes.UnknownReason.PROTOCOL: Sign.ERROR,
}


@functools.singledispatch
def read(outcome: outcomes.Outcome) -> Sign:
    """Return the sign in an outcome; reasons without one are NONE."""
    raise TypeError(type(outcome))


@read.register
def _read_answered(outcome: outcomes.Answered) -> Sign:
    return Sign.ERROR if outcome.status in ERROR_STATUSES else Sign.GOOD


@read.register
def _read_not_run(outcome: outcomes.NotRun) -> Sign:
    return SIGNS_BY_NOT_RUN.get(outcome.reason, Sign.NONE)


@read.register
def _read_unknown(outcome: outcomes.Unknown) -> Sign:
    return SIGNS_BY_UNKNOWN.get(outcome.reason, Sign.ERROR)
