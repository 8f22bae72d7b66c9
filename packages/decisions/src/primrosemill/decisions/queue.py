"""Queues the requests of one service that wait for a slot.

The queue is bounded, serves its callers in turn (first come first served
within a caller), and refuses at once what can not start in time. A caller
that fills the queue gives up its newest places to callers with fewer.
"""

import collections
import heapq
import typing

from primrosemill.decisions import outcomes

CAPACITY = 1_000  # requests a service
LEAST_RETRY_AFTER = 0.05  # seconds
MOST_RETRY_AFTER = 30.0  # seconds


class Refused(typing.NamedTuple):
    """A request is turned away; ``retry_after`` is in seconds."""

    reason: outcomes.RefusalReason
    retry_after: float


class Waiter(typing.NamedTuple):
    """A request that waits, until ``latest_start`` at the most.

    ``excluded`` holds the instances that it has tried in vain.
    """

    ticket: int
    caller: str
    latest_start: float
    idempotent: bool = True
    excluded: frozenset[str] = frozenset()


class Joined(typing.NamedTuple):
    """A request was queued, perhaps in the place of another."""

    evicted: Waiter | None


def retry_after(waiting: int, drain_rate: float | None, most: float) -> float:
    """Return when half of those waiting will have gone, in seconds.

    ``drain_rate`` is in requests a second; None means that it is not known.
    """
    if not drain_rate:
        return most if waiting else LEAST_RETRY_AFTER
    due = waiting / 2 / drain_rate
    return min(most, max(LEAST_RETRY_AFTER, due))


class WaitQueue:
    """Holds the waiters of one service."""

    def __init__(self, capacity: int = CAPACITY) -> None:
        self._capacity = capacity
        self._waiters_by_caller: collections.OrderedDict[
            str, collections.OrderedDict[int, Waiter]
        ] = collections.OrderedDict()
        self._callers_by_ticket: dict[int, str] = {}
        self._longest: list[tuple[int, str]] = []

    def __len__(self) -> int:
        return len(self._callers_by_ticket)

    def join(
        self, waiter: Waiter, now: float, drain_rate: float | None
    ) -> Joined | Refused:
        """Queue a request, or refuse what can not start in time.

        ``drain_rate`` is in requests a second; None means that it is not
        known, and then the request is let in.
        """
        wait = self.estimate_wait(waiter.caller, drain_rate)
        if now + wait > waiter.latest_start:
            return Refused(
                outcomes.RefusalReason.DEADLINE,
                self.retry_after(drain_rate),
            )
        evicted = None
        if len(self) >= self._capacity:
            evicted = self._make_room(waiter.caller)
            if evicted is None:
                return Refused(
                    outcomes.RefusalReason.QUEUE_FULL,
                    self.retry_after(drain_rate),
                )
        self._add(waiter)
        return Joined(evicted)

    def estimate_wait(self, caller: str, drain_rate: float | None) -> float:
        """Return how long a caller's next request would wait, in seconds.

        As callers take turns, at most one request of each other caller goes
        before each of this caller's.
        """
        if not drain_rate:
            return 0.0
        own = len(self._waiters_by_caller.get(caller, ()))
        ahead = min(len(self), (own + 1) * len(self._waiters_by_caller))
        return ahead / drain_rate

    def retry_after(self, drain_rate: float | None) -> float:
        """Return when half of the queue will have drained, in seconds."""
        return retry_after(len(self), drain_rate, MOST_RETRY_AFTER)

    def pop(self, now: float) -> Waiter | None:
        """Take the next waiter that can still start in time.

        Others on the way are dropped; their own timers refuse them.
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

    def put_back(self, waiter: Waiter) -> None:
        """Return a waiter that found no slot to the head of the queue."""
        self._add(waiter)
        waiters = self._waiters_by_caller[waiter.caller]
        waiters.move_to_end(waiter.ticket, last=False)
        self._waiters_by_caller.move_to_end(waiter.caller, last=False)

    def remove(self, ticket: int) -> bool:
        """Remove a waiter; tell whether it was there."""
        caller = self._callers_by_ticket.pop(ticket, None)
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
        self._callers_by_ticket[waiter.ticket] = waiter.caller
        self._note_length(waiter.caller, len(waiters))

    def _note_length(self, caller: str, length: int) -> None:
        """Record a length; the heap is rebuilt once it is mostly stale."""
        heapq.heappush(self._longest, (-length, caller))
        if len(self._longest) > 4 * self._capacity:
            self._longest = [
                (-len(waiters), each)
                for each, waiters in self._waiters_by_caller.items()
            ]
            heapq.heapify(self._longest)

    def _make_room(self, caller: str) -> Waiter | None:
        """Evict the newest waiter of the longest caller, if that is fair."""
        own = len(self._waiters_by_caller.get(caller, ()))
        while self._longest:
            length, longest = self._longest[0]
            waiters = self._waiters_by_caller.get(longest, {})
            if len(waiters) == -length:
                break
            heapq.heappop(self._longest)
            if waiters:
                heapq.heappush(self._longest, (-len(waiters), longest))
        if not self._longest or -self._longest[0][0] <= own + 1:
            return None
        waiters = self._waiters_by_caller[self._longest[0][1]]
        newest = next(reversed(waiters.values()))
        self.remove(newest.ticket)
        return newest
