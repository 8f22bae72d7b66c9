"""Queues the requests of one service that wait for a slot.

The queue is bounded and serves the callers round-robin, the requests of one
caller first in, first out. It refuses requests at once that can't start in
time. When it is full, the newest request of the caller with the most requests
is evicted in favour of callers with fewer.
"""

import collections
import heapq
import itertools
import typing

from primrosemill.decisions import outcomes

CAPACITY = 1_000  # requests per service
MIN_RETRY_AFTER = 0.05  # seconds
MAX_RETRY_AFTER = 30.0  # seconds


class Refused(typing.NamedTuple):
    """The request is refused; ``retry_after`` is in seconds."""

    reason: outcomes.RefusalReason
    retry_after: float


class Waiter(typing.NamedTuple):
    """A queued request, useless after ``latest_start``.

    ``excluded_ids`` holds the instances that it has already tried.
    """

    ticket: int
    caller: str
    latest_start: float
    idempotent: bool = True
    excluded_ids: frozenset[str] = frozenset()


class Enqueued(typing.NamedTuple):
    """The request was queued, maybe in place of an evicted one."""

    evicted: Waiter | None


def retry_after(
    waiting: int, drain_rate: float | None, max_delay: float
) -> float:
    """Return the seconds in which half of the queue will have drained.

    ``drain_rate`` is in requests a second; None means unknown.
    """
    if not drain_rate:
        return max_delay if waiting else MIN_RETRY_AFTER
    delay = waiting / 2 / drain_rate
    return min(max_delay, max(MIN_RETRY_AFTER, delay))


class WaitQueue:
    """Holds the queued requests of one service."""

    def __init__(self, capacity: int = CAPACITY) -> None:
        self._capacity = capacity
        self._waiters_by_caller: collections.OrderedDict[
            str, collections.OrderedDict[int, Waiter]
        ] = collections.OrderedDict()
        self._caller_by_ticket: dict[int, str] = {}
        self._lengths_heap: list[tuple[int, str]] = []

    def __len__(self) -> int:
        return len(self._caller_by_ticket)

    def enqueue(
        self, waiter: Waiter, now: float, drain_rate: float | None
    ) -> Enqueued | Refused:
        """Queue a request, or refuse it if it can't start in time.

        ``drain_rate`` is in requests a second; None means unknown, and the
        request is then queued if there is room.
        """
        wait = self.estimate_wait(waiter.caller, drain_rate)
        if now + wait > waiter.latest_start:
            return Refused(
                outcomes.RefusalReason.DEADLINE,
                self.retry_after(drain_rate),
            )
        evicted = None
        if len(self) >= self._capacity:
            evicted = self._evict_for(waiter.caller)
            if evicted is None:
                return Refused(
                    outcomes.RefusalReason.QUEUE_FULL,
                    self.retry_after(drain_rate),
                )
        self._add(waiter)
        return Enqueued(evicted)

    def estimate_wait(self, caller: str, drain_rate: float | None) -> float:
        """Return how long a caller's next request would wait, in seconds.

        As callers are served round-robin, at most one request of each other
        caller goes before each request of this caller.
        """
        if not drain_rate:
            return 0.0
        own_length = len(self._waiters_by_caller.get(caller, ()))
        ahead = min(len(self), (own_length + 1) * len(self._waiters_by_caller))
        return ahead / drain_rate

    def retry_after(self, drain_rate: float | None) -> float:
        """Return the seconds in which half of the queue will have drained."""
        return retry_after(len(self), drain_rate, MAX_RETRY_AFTER)

    def pop(self, now: float) -> Waiter | None:
        """Remove and return the next request that can still start in time.

        Requests before it that can't are dropped; their timers refuse them.
        """
        while self._waiters_by_caller:
            caller, waiters = next(iter(self._waiters_by_caller.items()))
            waiter = next(iter(waiters.values()))
            self.remove(waiter.ticket)
            if caller in self._waiters_by_caller:
                self._waiters_by_caller.move_to_end(caller)
            if now <= waiter.latest_start:
                return waiter
        return None

    def end_by(
        self, latest_start: float, now: float, drain_rate: float | None
    ) -> list[Waiter]:
        """Remove and return the waiters that can't start by this time.

        Those that stay must start by then.
        """
        waiters_by_caller = self._waiters_by_caller.values()
        rounds = itertools.zip_longest(
            *(tuple(waiters.values()) for waiters in waiters_by_caller)
        )
        in_order = [
            waiter
            for waiter in itertools.chain.from_iterable(rounds)
            if waiter is not None
        ]
        removed = []
        for ahead, waiter in enumerate(in_order):
            wait = ahead / drain_rate if drain_rate else 0.0
            if now + wait > latest_start:
                self.remove(waiter.ticket)
                removed.append(waiter)
                continue
            self._waiters_by_caller[waiter.caller][waiter.ticket] = (
                waiter._replace(
                    latest_start=min(waiter.latest_start, latest_start)
                )
            )
        return removed

    def push_front(self, waiter: Waiter) -> None:
        """Put a request that found no slot back at the head of the queue."""
        self._add(waiter)
        waiters = self._waiters_by_caller[waiter.caller]
        waiters.move_to_end(waiter.ticket, last=False)
        self._waiters_by_caller.move_to_end(waiter.caller, last=False)

    def remove(self, ticket: int) -> bool:
        """Remove a request; return whether it was there."""
        caller = self._caller_by_ticket.pop(ticket, None)
        if caller is None:
            return False
        waiters = self._waiters_by_caller[caller]
        del waiters[ticket]
        if not waiters:
            del self._waiters_by_caller[caller]
        return True

    def _add(self, waiter: Waiter) -> None:
        waiters = self._waiters_by_caller.get(waiter.caller)
        if waiters is None:
            waiters = collections.OrderedDict()
            self._waiters_by_caller[waiter.caller] = waiters
        waiters[waiter.ticket] = waiter
        self._caller_by_ticket[waiter.ticket] = waiter.caller
        self._record_length(waiter.caller, len(waiters))

    def _record_length(self, caller: str, length: int) -> None:
        """Record the length of a caller's queue in the heap of lengths.

        Entries in the heap go stale; it is rebuilt when most of them are.
        """
        heapq.heappush(self._lengths_heap, (-length, caller))
        if len(self._lengths_heap) > 4 * self._capacity:
            self._lengths_heap = [
                (-len(waiters), each)
                for each, waiters in self._waiters_by_caller.items()
            ]
            heapq.heapify(self._lengths_heap)

    def _evict_for(self, caller: str) -> Waiter | None:
        """Evict a request in favour of a caller, if that is fair.

        It is the newest one of the caller with the longest queue. That is
        fair if that queue would still be no shorter than ``caller``'s.
        """
        own_length = len(self._waiters_by_caller.get(caller, ()))
        while self._lengths_heap:
            length, longest = self._lengths_heap[0]
            waiters = self._waiters_by_caller.get(longest, {})
            if len(waiters) == -length:
                break
            heapq.heappop(self._lengths_heap)
            if waiters:
                heapq.heappush(self._lengths_heap, (-len(waiters), longest))
        if (
            not self._lengths_heap
            or -self._lengths_heap[0][0] <= own_length + 1
        ):
            return None
        waiters = self._waiters_by_caller[self._lengths_heap[0][1]]
        newest = next(reversed(waiters.values()))
        self.remove(newest.ticket)
        return newest
