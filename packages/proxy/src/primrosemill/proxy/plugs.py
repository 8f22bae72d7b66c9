"""Declares the decisions that the HTTP path asks for.

The path carries facts to these protocols and acts on what they return. Each
has a plain implementation here, so that the path runs without the others.
"""

import enum
import typing

import expression

from primrosemill.decisions import dispatch
from primrosemill.decisions import holdings
from primrosemill.decisions import outcomes
from primrosemill.proxy import headers

RETRY_PAUSE = 0.005  # seconds
LONGEST_PAUSE = 0.1  # seconds
RETRY_AFTER = 1.0  # seconds


class Refused(typing.NamedTuple):
    """A request is turned away; ``retry_after`` is in seconds."""

    reason: outcomes.RefusalReason
    retry_after: float = RETRY_AFTER


class Admission(typing.Protocol):
    """Decides whether a caller may send another request now."""

    def admit(self, caller: str, service: str, now: float) -> Refused | None:
        """Return None to let the request in."""
        ...


class AttemptStart(typing.NamedTuple):
    """An attempt that was begun; times are trio times."""

    service: str
    instance_id: str
    started: float
    idempotent: bool
    boot: int = 0
    route: str = ""
    request_id: str = ""
    arrived: float = 0.0


class AttemptEnd(typing.NamedTuple):
    """An attempt that is over; times in seconds.

    ``first_byte`` is None unless the instance began an answer, ``draining``
    tells that the answer said the instance is leaving, ``abandoned`` that
    the proxy itself gave the attempt up (caller gone, hedge lost or
    deadline), ``timed_out`` that this was at the deadline. ``pause`` is the
    time for which the instance wants no request, or why it can't be read.
    """

    start: AttemptStart
    outcome: outcomes.Outcome
    first_byte: float | None
    elapsed: float
    draining: bool = False
    abandoned: bool = False
    load: holdings.Load | None = None
    timed_out: bool = False
    pause: expression.Result[float, headers.BadPause] | None = None


class Observer(typing.Protocol):
    """Learns of every attempt, for detection, and asks for trials."""

    def due_trial(self, service: str, now: float) -> str | None:
        """Return the instance that an idempotent request should try now."""
        ...

    def attempt_started(self, start: AttemptStart) -> None:
        """Note an attempt in flight, whose age is evidence of a stall."""
        ...

    def attempt_answered(self, start: AttemptStart, status: int) -> None:
        """Note that an instance began to answer; the end comes later."""
        ...

    def attempt_ended(self, end: AttemptEnd) -> None:
        """Note how an attempt ended."""
        ...


class Action(enum.StrEnum):
    """What follows an attempt that brought no answer."""

    RETRY = "retry"
    WAIT = "wait"  # Ask again after the pause; no attempt until then.
    GIVE_UP = "give_up"


class RetryFacts(typing.NamedTuple):
    """What a retry decision may hang on; ``attempts`` counts those made."""

    service: str
    idempotent: bool
    attempts: int
    outcome: outcomes.NotRun | outcomes.Unknown
    now: float
    deadline: float


class Decision(typing.NamedTuple):
    """What to do next; the pause and ``retry_after`` are in seconds."""

    action: Action
    pause: float = 0.0
    reason: outcomes.RefusalReason = outcomes.RefusalReason.RETRIES_SPENT
    retry_after: float = RETRY_AFTER


class RetryPolicy(typing.Protocol):
    """Decides on retries and hedges within their budget."""

    def request_started(self, service: str, now: float) -> None:
        """Count a request, which earns a share of a retry."""
        ...

    def decide(self, facts: RetryFacts) -> Decision:
        """Decide after an attempt that brought no answer.

        The path itself refuses to repeat what may have run and is not
        idempotent, whatever is returned.
        """
        ...

    def hedge_delay(
        self, service: str, now: float, route: str = ""
    ) -> float | None:
        """Return after how long a second attempt may start, or None."""
        ...

    def hedge_started(self, service: str) -> bool:
        """Count a hedge that is about to start; False forbids it."""
        ...

    def repeat_cost(self, service: str) -> float:
        """Return what a failed attempt costs, in lost requests."""
        ...


class AdmitAll:
    """Lets every request in."""

    def admit(self, caller: str, service: str, now: float) -> Refused | None:
        """Return None."""
        return None


class IgnoreAttempts:
    """Learns nothing."""

    def due_trial(self, service: str, now: float) -> str | None:
        """Return None: no trial is due."""
        return None

    def attempt_started(self, start: AttemptStart) -> None:
        """Ignore the attempt."""

    def attempt_answered(self, start: AttemptStart, status: int) -> None:
        """Ignore the answer."""

    def attempt_ended(self, end: AttemptEnd) -> None:
        """Ignore the attempt."""


class RetryUntilDeadline:
    """Retries with a growing pause for as long as the deadline allows."""

    def request_started(self, service: str, now: float) -> None:
        """Ignore the request; there is no budget."""

    def decide(self, facts: RetryFacts) -> Decision:
        """Retry unless the pause would outlast the deadline."""
        pause = min(RETRY_PAUSE * 2 ** (facts.attempts - 1), LONGEST_PAUSE)
        if facts.now + pause >= facts.deadline:
            return Decision(Action.GIVE_UP)
        return Decision(Action.RETRY, pause)

    def hedge_delay(
        self, service: str, now: float, route: str = ""
    ) -> float | None:
        """Return None: never hedge."""
        return None

    def hedge_started(self, service: str) -> bool:
        """Return True: there is no budget."""
        return True

    def repeat_cost(self, service: str) -> float:
        """Return the same always: there is no budget."""
        return dispatch.REPEAT_COST


class Plugs(typing.NamedTuple):
    """The decisions that one application uses."""

    admission: Admission
    observer: Observer
    retries: RetryPolicy


def plain() -> Plugs:
    """Return the implementations of this module."""
    return Plugs(AdmitAll(), IgnoreAttempts(), RetryUntilDeadline())
