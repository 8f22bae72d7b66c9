"""The queue of the waiting requests of one service.

More urgent priorities come first. Within a priority, requests that can still
be answered within their target latency precede those that are late, each in
order of arrival. A request is refused as soon as its estimated wait exceeds
its deadline, so that no caller waits for an answer that can't come in time.
"""

import math
import typing

from primrosemill.decisions import outcomes
from primrosemill.decisions import rate
from primrosemill.decisions import wait_queue

MAX_WAITING = 1_000  # requests per service
MAX_RETRY_AFTER = 5.0  # seconds
# Share of the time until the latest start that an estimated wait may use.
MAX_WAIT_SHARE = 0.8
# Lower values are more urgent.
Priority = tuple[int, int]


class Waiter(typing.NamedTuple):
    """A waiting request.

    An answer has full value until the time ``target`` and none after the
    time ``deadline``. ``response_time`` is the expected one, in seconds.
    """

    ticket: int
    priority: Priority
    target: float
    deadline: float
    response_time: float


class Refused(typing.NamedTuple):
    """The refusal of a request; ``retry_after`` is in seconds."""

    reason: outcomes.RefusalReason
    retry_after: float


class PriorityQueue:
    """The waiting requests of one service at one VM."""

    def __init__(self, capacity: int = MAX_WAITING) -> None:
        self._capacity = capacity
        self._waiters_by_ticket: dict[int, Waiter] = {}
        self._arrivals_by_priority: dict[Priority, rate.Rate] = {}
        self._is_closing = False

    def __len__(self) -> int:
        return len(self._waiters_by_ticket)

    def end_by(self, time: float) -> None:
        """Bring all deadlines forward to this time.

        From now on a waiter is removed as soon as it can't be served by then,
        also if it is not late yet: it may be served elsewhere.
        """
        self._is_closing = True
        for ticket, waiter in self._waiters_by_ticket.items():
            deadline = min(waiter.deadline, time)
            self._waiters_by_ticket[ticket] = waiter._replace(
                deadline=deadline
            )

    def record_arrival(self, priority: Priority, now: float) -> None:
        """Count the arrival of a request, whether it has to wait or not."""
        arrivals = self._arrivals_by_priority.setdefault(priority, rate.Rate())
        arrivals.count_event(now)

    def enqueue(
        self, waiter: Waiter, now: float, drain_rate: float | None
    ) -> Refused | None:
        """Add a waiter and return None, or return its refusal.

        ``drain_rate`` is in requests per second; None means that it is not
        known, and the wait is then taken to be 0.
        """
        wait = self.estimate_wait(waiter, now, drain_rate)
        if len(self) >= self._capacity:
            return Refused(
                outcomes.RefusalReason.QUEUE_FULL,
                self.retry_after(drain_rate),
            )
        if self._is_unservable(waiter, wait, now):
            return Refused(
                outcomes.RefusalReason.DEADLINE,
                self.retry_after(drain_rate),
            )
        self._waiters_by_ticket[waiter.ticket] = waiter
        return None

    def remove(self, ticket: int) -> bool:
        """Remove a waiter; return whether it was in the queue."""
        return self._waiters_by_ticket.pop(ticket, None) is not None

    def in_order(self, now: float) -> list[Waiter]:
        """Return the waiters in the order in which to serve them."""
        return sorted(
            self._waiters_by_ticket.values(),
            key=lambda waiter: _sort_key(waiter, now),
        )

    def pop_unservable(
        self, now: float, drain_rate: float | None
    ) -> list[Waiter]:
        """Remove and return the late waiters that can't be served in time.

        Requests on time overtake a late waiter, so it is removed when the
        arrivals use up the drain rate. After :meth:`end_by` those on time are
        removed as well.
        """
        unservable = []
        for ahead, waiter in enumerate(self.in_order(now)):
            if not self._is_closing and not _is_late(waiter, now):
                continue
            wait = self._wait_behind(ahead, waiter, now, drain_rate)
            if self._is_unservable(waiter, wait, now):
                del self._waiters_by_ticket[waiter.ticket]
                unservable.append(waiter)
        return unservable

    def estimate_wait(
        self, waiter: Waiter, now: float, drain_rate: float | None
    ) -> float:
        """Return the estimated wait of a request, in seconds."""
        own_key = _sort_key(waiter, now)
        ahead = sum(
            _sort_key(other, now) < own_key
            for other in self._waiters_by_ticket.values()
        )
        return self._wait_behind(ahead, waiter, now, drain_rate)

    def _wait_behind(
        self, ahead: int, waiter: Waiter, now: float, drain_rate: float | None
    ) -> float:
        """Return the wait behind ``ahead`` requests, in seconds."""
        if not drain_rate:
            return 0.0
        is_late = _is_late(waiter, now)
        spare_rate = drain_rate - self._overtaking_rate(waiter, is_late, now)
        if spare_rate <= 0.0:
            return math.inf if ahead or is_late else 0.0
        return ahead / spare_rate

    def retry_after(self, drain_rate: float | None) -> float:
        """Return the time to serve half of the queue, in seconds."""
        return wait_queue.retry_after(len(self), drain_rate, MAX_RETRY_AFTER)

    def _overtaking_rate(
        self, waiter: Waiter, is_late: bool, now: float
    ) -> float:
        """Return the rate of arrivals that will overtake a waiter."""
        rate_sum = 0.0
        for priority, arrivals in self._arrivals_by_priority.items():
            if priority < waiter.priority or (
                is_late and priority == waiter.priority
            ):
                rate_sum += arrivals.per_second(now)
        return rate_sum

    def _is_unservable(self, waiter: Waiter, wait: float, now: float) -> bool:
        remaining = waiter.deadline - waiter.response_time - now
        return remaining <= 0.0 or wait > MAX_WAIT_SHARE * remaining


def _sort_key(waiter: Waiter, now: float) -> tuple[Priority, bool, int]:
    """Return the sort key of the queue: urgent, on time, oldest first."""
    return waiter.priority, _is_late(waiter, now), waiter.ticket


def _is_late(waiter: Waiter, now: float) -> bool:
    """Return whether an answer will probably miss the target latency."""
    return now + waiter.response_time > waiter.target
