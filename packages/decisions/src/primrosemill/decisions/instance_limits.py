"""Request limits that instances name in their answers.

An instance in need names how many requests per second it accepts from all VMs
together, for as long as its answers say so. A statement is known only to have
been made between the sending of its request and the arrival of its answer, so
the order of two statements may be unknown. Of all statements that may be the
latest one, the strictest counts.

Statements are kept per incarnation (one run of the instance's process), also
while the feed doesn't list the instance. A VM sends at its share of the limit
(:mod:`.limit_shares`), evenly. No I/O; times are in seconds, rates in requests
per second.
"""

import math
import typing

from primrosemill.configuration import document as documents
from primrosemill.decisions import announcements
from primrosemill.decisions import limit_shares

# Incarnations whose limit is remembered; the oldest one is dropped first. The
# platform's target is 10,000 instances.
MAX_REMEMBERED = 10_000
# Statements kept of one incarnation; the loosest one is dropped first.
MAX_STATEMENTS = 16
# Interval at which the first holder tells the other VMs of a limit.
REPEAT_INTERVAL = 5.0  # seconds
# Time without a report from a peer after which any VM repeats what it knows:
# the first holder may not have heard of the limit.
MAX_SILENCE = 1.5 * REPEAT_INTERVAL
# Time for which VMs are told again that an instance has dropped its limit.
DROP_REPEAT_TIME = 3.0 * REPEAT_INTERVAL
# Age of a statement at which a VM without a share may send one request: the
# VMs with a share have had no answer since, so a limit that has ended would
# go unnoticed.
TRIAL_AGE = 20.0  # seconds


class Statement(typing.NamedTuple):
    """What one answer said of its instance's limit.

    ``rate`` is in requests per second; None if the answer named no limit.
    """

    rate: float | None
    sent_at: float
    received_at: float

    @property
    def order(self) -> float:
        """Return the rate as a number, so that the strictest is the lowest."""
        return math.inf if self.rate is None else self.rate


class Change(typing.NamedTuple):
    """A change of the limit of an instance; None stands for no limit.

    Both are equal if a limit was named again after a long time.
    """

    previous: float | None
    current: float | None


class Allowance(typing.NamedTuple):
    """The part of a VM in a limit, and when it may send the next request.

    ``own_rate`` is in requests per second.
    """

    own_rate: float
    next_send_at: float


def add_statement(
    statements: tuple[Statement, ...], new: Statement
) -> tuple[Statement, ...]:
    """Add a statement to those of which each may be the latest one.

    Of several statements with one rate, the last one was made no earlier than
    the latest request among them was sent.
    """
    if any(each.sent_at >= new.received_at for each in statements):
        return statements
    kept = []
    for each in statements:
        if new.sent_at >= each.received_at:
            continue
        if each.rate != new.rate:
            kept.append(each)
            continue
        new = Statement(
            new.rate,
            max(new.sent_at, each.sent_at),
            max(new.received_at, each.received_at),
        )
    if len(kept) == MAX_STATEMENTS:
        kept.remove(max(kept, key=lambda each: each.order))
    return (*kept, new)


class Shares(typing.Protocol):
    """Returns this VM's share of a limit; see :mod:`.limit_shares`."""

    def share(
        self, instance: documents.Instance, rate: float, now: float
    ) -> float:
        """Return the share of an instance's limit, from 0 to 1."""
        ...

    def is_first_holder(self, instance: documents.Instance) -> bool:
        """Return whether this VM keeps the others informed of a limit."""
        ...

    def trial_delay(self, instance: documents.Instance) -> float:
        """Return how long to leave a due trial to other VMs, in seconds."""
        ...


class _KnownLimit:
    """What is known of the limit of one incarnation.

    ``statements`` are those that may be the latest one. ``changed_at`` is the
    time of the last change of the limit, ``sent_at`` that of this VM's last
    request, and ``heard_at`` that of the last report from a peer.
    """

    __slots__ = ("changed_at", "heard_at", "sent_at", "statements")

    def __init__(self, statement: Statement) -> None:
        self.statements = (statement,)
        self.changed_at = statement.received_at
        # Requests were sent without a limit until now.
        self.sent_at = statement.received_at
        self.heard_at = statement.received_at

    @property
    def statement(self) -> Statement:
        """Return the statement that counts."""
        if len(self.statements) == 1:
            return self.statements[0]
        return min(self.statements, key=lambda each: each.order)


class InstanceLimits:
    """The limits that the instances of one service have named."""

    def __init__(self, shares: Shares | None = None) -> None:
        self._shares = shares or limit_shares.WholeLimit()
        self._known_by_incarnation: dict[
            announcements.Incarnation, _KnownLimit
        ] = {}
        self._faults_by_incarnation: dict[announcements.Incarnation, str] = {}

    @property
    def any_named(self) -> bool:
        """Return whether any instance has named a limit so far."""
        return bool(self._known_by_incarnation)

    def incarnations(self) -> tuple[announcements.Incarnation, ...]:
        """Return the incarnations that have named a limit, now or before."""
        return tuple(self._known_by_incarnation)

    def statement(self, instance: documents.Instance) -> Statement | None:
        """Return the statement that counts for an instance, or None."""
        known = self._find(instance)
        return None if known is None else known.statement

    def rate(self, instance: documents.Instance) -> float | None:
        """Return the requests per second of the limit, or None."""
        known = self._find(instance)
        return None if known is None else known.statement.rate

    def allowance(
        self, instance: documents.Instance, now: float
    ) -> Allowance | None:
        """Return what this VM may send to an instance; None for any number."""
        known = self._find(instance)
        if known is None or known.statement.rate is None:
            return None
        rate = known.statement.rate
        own_rate = rate * self._shares.share(instance, rate, now)
        next_send_at = (
            max(known.sent_at, known.statement.received_at)
            + TRIAL_AGE
            + self._shares.trial_delay(instance)
        )
        if own_rate > 0.0:
            next_send_at = min(next_send_at, known.sent_at + 1.0 / own_rate)
        return Allowance(own_rate, next_send_at)

    def own_rate(
        self, instance: documents.Instance, now: float
    ) -> float | None:
        """Return this VM's part of an instance's limit; None without one."""
        allowance = self.allowance(instance, now)
        return None if allowance is None else allowance.own_rate

    def next_send_at(self, instance: documents.Instance, now: float) -> float:
        """Return when this VM may send the next request to an instance.

        The result is not after ``now`` if it may send one now.
        """
        allowance = self.allowance(instance, now)
        return -math.inf if allowance is None else allowance.next_send_at

    def record_sent(self, instance: documents.Instance, now: float) -> None:
        """Record that this VM sends a request to an instance."""
        known = self._find(instance)
        if known is not None:
            known.sent_at = now

    def record_heard(self, instance: documents.Instance, now: float) -> None:
        """Record that a peer reported on the limit of an instance."""
        known = self._find(instance)
        if known is not None:
            known.heard_at = now

    def is_to_repeat(self, instance: documents.Instance, now: float) -> bool:
        """Return whether this VM keeps the others informed of a limit."""
        known = self._find(instance)
        if known is None:
            return False
        if known.statement.rate is None and (
            now - known.changed_at > DROP_REPEAT_TIME
        ):
            return False
        if now - known.heard_at > MAX_SILENCE:
            return True
        return self._shares.is_first_holder(instance)

    def record(
        self, instance: documents.Instance, statement: Statement
    ) -> Change | None:
        """Record a statement; return the change of the limit, if any."""
        known = self._find(instance)
        if known is None:
            return self._record_first(instance, statement)
        previous = known.statement
        known.statements = add_statement(known.statements, statement)
        current = known.statement
        if current.rate != previous.rate:
            known.changed_at = statement.received_at
            return Change(previous.rate, current.rate)
        if current.rate is None or (
            current.received_at - previous.received_at < TRIAL_AGE
        ):
            return None
        return Change(previous.rate, current.rate)

    def _record_first(
        self, instance: documents.Instance, statement: Statement
    ) -> Change | None:
        if statement.rate is None:
            return None
        _make_room(self._known_by_incarnation)
        incarnation = announcements.incarnation_of(instance)
        self._known_by_incarnation[incarnation] = _KnownLimit(statement)
        return Change(None, statement.rate)

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

    def _find(self, instance: documents.Instance) -> _KnownLimit | None:
        return self._known_by_incarnation.get(
            announcements.incarnation_of(instance)
        )


def _make_room(
    by_incarnation: dict[announcements.Incarnation, object],
) -> None:
    """Drop the oldest entry if there are as many as are remembered."""
    if len(by_incarnation) >= MAX_REMEMBERED:
        del by_incarnation[next(iter(by_incarnation))]
