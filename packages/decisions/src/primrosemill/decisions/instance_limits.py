"""Request limits that instances name in their answers.

An instance in need names how many requests per second it accepts from all VMs
together, for as long as its answers say so. A statement is known only to have
been made between the sending of its request and the arrival of its answer, so
the order of two statements may be unknown; then the stricter one counts.

Statements are kept per incarnation (one run of the instance's process), also
while the feed doesn't list the instance. No I/O; times are in seconds.
"""

import math
import typing

from primrosemill.configuration import document as documents
from primrosemill.decisions import announcements

# Incarnations whose limit is remembered; the oldest one is dropped first. The
# platform's target is 10,000 instances.
MAX_REMEMBERED = 10_000


class Statement(typing.NamedTuple):
    """What one answer said of its instance's limit.

    ``rate`` is in requests per second; None if the answer named no limit.
    """

    rate: float | None
    sent_at: float
    received_at: float

    @property
    def strictness(self) -> float:
        """Return the sort key of the rate, which is lowest for no limit."""
        return -math.inf if self.rate is None else -self.rate


class Change(typing.NamedTuple):
    """A change of the limit of an instance; None stands for no limit."""

    previous: float | None
    current: float | None


def is_superseded(known: Statement, new: Statement) -> bool:
    """Return whether a new statement replaces the known one."""
    if new.strictness > known.strictness:
        return new.received_at > known.sent_at
    if new.strictness < known.strictness:
        return new.sent_at >= known.received_at
    return new.received_at > known.received_at


class InstanceLimits:
    """The limits that the instances of one service have named."""

    def __init__(self) -> None:
        self._statements_by_incarnation: dict[
            announcements.Incarnation, Statement
        ] = {}
        self._faults_by_incarnation: dict[announcements.Incarnation, str] = {}

    def rate(self, instance: documents.Instance) -> float | None:
        """Return the requests per second of the limit, or None."""
        statement = self.statement(instance)
        return None if statement is None else statement.rate

    def statement(self, instance: documents.Instance) -> Statement | None:
        """Return the statement in force on an instance, or None."""
        return self._statements_by_incarnation.get(
            announcements.incarnation_of(instance)
        )

    def record(
        self, instance: documents.Instance, statement: Statement
    ) -> Change | None:
        """Record a statement; return the change of the limit, if any."""
        incarnation = announcements.incarnation_of(instance)
        known = self._statements_by_incarnation.get(incarnation)
        if known is None:
            if statement.rate is None:
                return None
            _make_room(self._statements_by_incarnation)
            self._statements_by_incarnation[incarnation] = statement
            return Change(None, statement.rate)
        if not is_superseded(known, statement):
            return None
        self._statements_by_incarnation[incarnation] = statement
        if statement.rate == known.rate:
            return None
        return Change(known.rate, statement.rate)

    def record_fault(self, instance: documents.Instance, value: str) -> bool:
        """Record an invalid limit; return whether the last was another one.

        It neither sets nor ends a limit.
        """
        incarnation = announcements.incarnation_of(instance)
        if self._faults_by_incarnation.get(incarnation) == value:
            return False
        _make_room(self._faults_by_incarnation)
        self._faults_by_incarnation[incarnation] = value
        return True


def _make_room(
    by_incarnation: dict[announcements.Incarnation, object],
) -> None:
    if len(by_incarnation) >= MAX_REMEMBERED:
        del by_incarnation[next(iter(by_incarnation))]
