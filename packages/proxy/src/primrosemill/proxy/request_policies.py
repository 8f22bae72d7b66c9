"""Defines the policies that the request path consults.

The request path passes facts to these protocols and acts on the decisions
that they return. Each protocol has a default implementation here, so that
the path also runs on its own.
"""

import enum
import typing

import expression

from primrosemill.configuration import document as documents
from primrosemill.decisions import dispatch
from primrosemill.decisions import instance_usage
from primrosemill.decisions import outcomes
from primrosemill.proxy import headers

BASE_BACKOFF = 0.005  # seconds before the first retry
MAX_BACKOFF = 0.1  # seconds
DEFAULT_RETRY_AFTER = 1.0  # seconds
STOPPING_RETRY_AFTER = 0.05  # seconds


class Refused(typing.NamedTuple):
    """A request was refused; ``retry_after`` is in seconds."""

    reason: outcomes.RefusalReason
    retry_after: float = DEFAULT_RETRY_AFTER


# The VM stops before the request can end; another one may be asked at once.
STOPPING = Refused(outcomes.RefusalReason.STOPPING, STOPPING_RETRY_AFTER)


class Admission(typing.Protocol):
    """Decides whether a caller may send another request now."""

    def admit(self, caller: str, service: str, now: float) -> Refused | None:
        """Return None to admit the request."""
        ...


# Returns why a request must not start any more, or None.
Recheck = typing.Callable[[], Refused | None]


class CustomerCaps(typing.Protocol):
    """Decides whether a customer's cap allows another request."""

    async def acquire(
        self, customer: documents.Customer, deadline: float
    ) -> Refused | None:
        """Return None to admit a request; ``deadline`` is a trio time."""
        ...

    def check_start(
        self, customer: documents.Customer, recheck_key: Recheck
    ) -> Recheck:
        """Return the check of an admitted request before it starts."""
        ...

    def give_back(
        self, customer: documents.Customer, admitted_at: float
    ) -> None:
        """Record that an admitted request was refused and has not run.

        ``admitted_at`` is the trio time at which it was admitted.
        """
        ...


class AttemptStart(typing.NamedTuple):
    """An attempt that has started.

    ``started`` is the trio time of the attempt, ``arrived`` that of the
    request. ``boot`` tells incarnations of an instance apart.
    """

    service: str
    instance_id: str
    started: float
    idempotent: bool
    boot: int = 0
    route: str = ""
    request_id: str = ""
    arrived: float = 0.0


class AttemptEnd(typing.NamedTuple):
    """An attempt that has ended; durations are in seconds.

    ``first_byte`` is the time until the answer started, None if it never
    did. ``draining`` means that the answer announced that the instance is
    leaving, ``abandoned`` that the proxy itself gave up the attempt (caller
    gone, hedge lost or deadline), ``timed_out`` that this happened at the
    deadline. ``load`` is the load that the instance reported, ``pause`` the
    time for which it asks for no requests, or why that can't be parsed.
    ``connected_anew`` means that its connection was opened for it.
    """

    start: AttemptStart
    outcome: outcomes.Outcome
    first_byte: float | None
    elapsed: float
    draining: bool = False
    abandoned: bool = False
    load: instance_usage.Load | None = None
    timed_out: bool = False
    pause: expression.Result[float, headers.InvalidPause] | None = None
    connected_anew: bool = False


class LimitReading(typing.NamedTuple):
    """What an answer said of its instance's limit.

    ``limit`` is the number of requests per second, why it is invalid, or
    None if the answer named none.
    """

    start: AttemptStart
    limit: expression.Result[float, headers.InvalidLimit] | None


class Observer(typing.Protocol):
    """Receives every attempt, for fault detection, and schedules trials.

    A trial is a request that shows whether an instance is healthy, such as
    one that may return to use.
    """

    def next_trial_instance(self, service: str, now: float) -> str | None:
        """Return the instance to try with an idempotent request, or None."""
        ...

    def attempt_started(self, start: AttemptStart) -> None:
        """Record an attempt in flight; its age is evidence of a stall."""
        ...

    def attempt_answered(self, start: AttemptStart, status: int) -> None:
        """Record that an instance started to answer; the end follows."""
        ...

    def limit_read(self, reading: LimitReading) -> None:
        """Record what an answer, not yet relayed, said of a limit."""
        ...

    def attempt_ended(self, end: AttemptEnd) -> None:
        """Record how an attempt ended."""
        ...


class Action(enum.StrEnum):
    """What to do after an attempt without an answer."""

    RETRY = "retry"
    WAIT = "wait"  # Decide again after the pause, without an attempt.
    GIVE_UP = "give_up"


class RetryFacts(typing.NamedTuple):
    """The inputs of a retry decision; ``attempts`` counts those made.

    ``now`` and ``deadline`` are trio times.
    """

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
    retry_after: float = DEFAULT_RETRY_AFTER


class RetryPolicy(typing.Protocol):
    """Decides on retries and hedges within a budget."""

    def request_started(self, service: str, now: float) -> None:
        """Count a request, which adds a fraction of a retry to the budget."""
        ...

    def decide(self, facts: RetryFacts) -> Decision:
        """Decide what to do after an attempt without an answer.

        Whatever is returned, the request path itself never repeats a
        non-idempotent request that may have run.
        """
        ...

    def hedge_delay(
        self, service: str, now: float, route: str = ""
    ) -> float | None:
        """Return the seconds until a hedge may start, or None for no hedge."""
        ...

    def try_spend_hedge(self, service: str) -> bool:
        """Charge a hedge to the budget; return False if it must not start."""
        ...

    def repeat_cost(self, service: str) -> float:
        """Return the cost of repeating an attempt, in lost requests."""
        ...


class AdmitAll:
    """Admits every request."""

    def admit(self, caller: str, service: str, now: float) -> Refused | None:
        """Return None."""
        return None


class NoCaps:
    """Admits every request of a customer."""

    async def acquire(
        self, customer: documents.Customer, deadline: float
    ) -> Refused | None:
        """Return None."""
        return None

    def check_start(
        self, customer: documents.Customer, recheck_key: Recheck
    ) -> Recheck:
        """Return the check of the key alone."""
        return recheck_key

    def give_back(
        self, customer: documents.Customer, admitted_at: float
    ) -> None:
        """Ignore the request."""


class NullObserver:
    """Ignores all attempts and schedules no trials."""

    def next_trial_instance(self, service: str, now: float) -> str | None:
        """Return None: no trial is ever due."""
        return None

    def attempt_started(self, start: AttemptStart) -> None:
        """Ignore the attempt."""

    def attempt_answered(self, start: AttemptStart, status: int) -> None:
        """Ignore the answer."""

    def limit_read(self, reading: LimitReading) -> None:
        """Ignore the limit."""

    def attempt_ended(self, end: AttemptEnd) -> None:
        """Ignore the attempt."""


class RetryUntilDeadline:
    """Retries with exponential backoff until the deadline."""

    def request_started(self, service: str, now: float) -> None:
        """Ignore the request; there is no budget."""

    def decide(self, facts: RetryFacts) -> Decision:
        """Retry unless the backoff would exceed the deadline."""
        pause = min(BASE_BACKOFF * 2 ** (facts.attempts - 1), MAX_BACKOFF)
        if facts.now + pause >= facts.deadline:
            return Decision(Action.GIVE_UP)
        return Decision(Action.RETRY, pause)

    def hedge_delay(
        self, service: str, now: float, route: str = ""
    ) -> float | None:
        """Return None: never hedge."""
        return None

    def try_spend_hedge(self, service: str) -> bool:
        """Return True: there is no budget."""
        return True

    def repeat_cost(self, service: str) -> float:
        """Return a constant: there is no budget."""
        return dispatch.REPEAT_COST


class Policies(typing.NamedTuple):
    """The policies that an application uses."""

    admission: Admission
    observer: Observer
    retries: RetryPolicy


def default_policies() -> Policies:
    """Return the default policies."""
    return Policies(AdmitAll(), NullObserver(), RetryUntilDeadline())
