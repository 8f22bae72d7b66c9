"""Orders the requests of one service that wait, and refuses in time.

More urgent priorities go first. Among those, requests that can still be
answered within their target go before those that are late already, each in
the order of arrival. A request is refused as soon as it is known that it
can't be served before its deadline, so that nobody waits in vain.
"""

import math
import typing

from primrosemill.decisions import outcomes
from primrosemill.decisions import queue
from primrosemill.decisions import rate

CAPACITY = 1_000  # requests a service
MOST_RETRY_AFTER = 5.0  # seconds
CAUTION = 0.8  # of the time left that an estimated wait may use


class Waiter(typing.NamedTuple):
    """A request that waits; times in seconds of one clock.

    An answer by ``target`` has its full worth and none has any after
    ``deadline``; ``work`` is the time that an instance usually takes.
    """

    ticket: int
    priority: int
    target: float
    deadline: float
    work: float


class Refused(typing.NamedTuple):
    """A request is turned away; ``retry_after`` is in seconds."""

    reason: outcomes.RefusalReason
    retry_after: float


class WaitingLine:
    """Holds the waiters of one service at one VM."""

    def __init__(self, capacity: int = CAPACITY) -> None:
        self._capacity = capacity
        self._waiters_by_ticket: dict[int, Waiter] = {}
        self._arrivals_by_priority: dict[int, rate.Rate] = {}

    def __len__(self) -> int:
        return len(self._waiters_by_ticket)

    def note_arrival(self, priority: int, now: float) -> None:
        """Count a request, whether it has to wait or not."""
        arrivals = self._arrivals_by_priority.setdefault(priority, rate.Rate())
        arrivals.note(now)

    def join(
        self, waiter: Waiter, now: float, drain_rate: float | None
    ) -> Refused | None:
        """Let a request wait, or refuse it.

        ``drain_rate`` is in requests a second; None means that it is not
        known, and then the request is let in.
        """
        wait = self.estimate_wait(waiter, now, drain_rate)
        if len(self) >= self._capacity:
            return Refused(
                outcomes.RefusalReason.QUEUE_FULL,
                self.retry_after(drain_rate),
            )
        if self._is_hopeless(waiter, wait, now):
            return Refused(
                outcomes.RefusalReason.DEADLINE,
                self.retry_after(drain_rate),
            )
        self._waiters_by_ticket[waiter.ticket] = waiter
        return None

    def leave(self, ticket: int) -> bool:
        """Take a waiter out; tell whether it was there."""
        return self._waiters_by_ticket.pop(ticket, None) is not None

    def in_order(self, now: float) -> list[Waiter]:
        """Return the waiters in the order in which they should go."""
        return sorted(
            self._waiters_by_ticket.values(),
            key=lambda waiter: _key(waiter, now),
        )

    def hopeless(self, now: float, drain_rate: float | None) -> list[Waiter]:
        """Take out those that can't be served any more.

        A late waiter goes after all that are on time, so it is hopeless
        when those that come take up all that is served.
        """
        found = []
        for ahead, waiter in enumerate(self.in_order(now)):
            if not _is_late(waiter, now):
                continue
            wait = self._wait_behind(ahead, waiter, now, drain_rate)
            if self._is_hopeless(waiter, wait, now):
                del self._waiters_by_ticket[waiter.ticket]
                found.append(waiter)
        return found

    def estimate_wait(
        self, waiter: Waiter, now: float, drain_rate: float | None
    ) -> float:
        """Return how long a request will wait, in seconds."""
        own_key = _key(waiter, now)
        ahead = sum(
            _key(other, now) < own_key
            for other in self._waiters_by_ticket.values()
        )
        return self._wait_behind(ahead, waiter, now, drain_rate)

    def _wait_behind(
        self, ahead: int, waiter: Waiter, now: float, drain_rate: float | None
    ) -> float:
        """Return the wait of a request with so many ahead of it."""
        if not drain_rate:
            return 0.0
        late = _is_late(waiter, now)
        left = drain_rate - self._overtaking(waiter, late, now)
        if left <= 0.0:
            return math.inf if ahead or late else 0.0
        return ahead / left

    def retry_after(self, drain_rate: float | None) -> float:
        """Return when half of the line will have gone, in seconds."""
        return queue.retry_after(len(self), drain_rate, MOST_RETRY_AFTER)

    def _overtaking(self, waiter: Waiter, late: bool, now: float) -> float:
        """Return the rate of requests that will go before a waiter."""
        total = 0.0
        for priority, arrivals in self._arrivals_by_priority.items():
            if priority < waiter.priority or (
                late and priority == waiter.priority
            ):
                total += arrivals.per_second(now)
        return total

    def _is_hopeless(self, waiter: Waiter, wait: float, now: float) -> bool:
        left = waiter.deadline - waiter.work - now
        return left <= 0.0 or wait > CAUTION * left


def _key(waiter: Waiter, now: float) -> tuple[int, bool, int]:
    """Return what the order of the line goes by."""
    return waiter.priority, _is_late(waiter, now), waiter.ticket


def _is_late(waiter: Waiter, now: float) -> bool:
    """Tell whether an answer will probably miss the target."""
    return now + waiter.work > waiter.target
