"""Grants slots of one service to requests, or makes them wait in a queue.

This joins :mod:`.pool` and :mod:`.queue`: whoever drives it carries each
grant to the request that holds its ticket, and calls :meth:`Dispatch.wake`
at the time that :meth:`Dispatch.next_wake` names.
"""

import random
import typing

from primrosemill.configuration import document as documents
from primrosemill.decisions import pool
from primrosemill.decisions import queue

# What another attempt of a repeatable request costs while the retry budget is
# full, in lost requests: a moment, and its part of a budget that holds about
# a fifth of all requests.
REPEAT_COST = 0.3
TRIES = 8  # waiters looked at for a slot that the first can not use


class Wish(typing.NamedTuple):
    """A request that wants a slot before its deadline, in seconds.

    ``only`` names the instances that it may still be sent to; None stands
    for all. ``route`` is the one that it came by, ``arrived`` when.
    ``repeat_cost`` is what another attempt would cost, in lost requests.
    """

    caller: str
    deadline: float
    idempotent: bool = True
    excluded: frozenset[str] = frozenset()
    only: frozenset[str] | None = None
    route: documents.Route | None = None
    arrived: float = 0.0
    request_id: str = ""
    repeat_cost: float = REPEAT_COST


class Granted(typing.NamedTuple):
    """A request may be sent to an instance now."""

    instance: documents.Instance


class Waiting(typing.NamedTuple):
    """A request waits, until ``latest_start`` at the most.

    ``evicted`` is the ticket of a waiter that must be refused for it.
    """

    ticket: int
    latest_start: float
    evicted: int | None


class Wakeup(typing.NamedTuple):
    """A waiting request got a slot."""

    ticket: int
    instance: documents.Instance


class Dispatch:
    """Decides on the slots and the queue of one service."""

    def __init__(
        self,
        service: documents.Service,
        generator: random.Random,
        capacity: int = queue.CAPACITY,
    ) -> None:
        self.pool = pool.SlotPool(service, generator)
        self._queue = queue.WaitQueue(capacity)
        self._next_ticket = 0

    @property
    def waiting(self) -> int:
        """Return the number of requests in the queue."""
        return len(self._queue)

    def ask(self, wish: Wish, now: float) -> Granted | Waiting | queue.Refused:
        """Grant a slot, queue the request or refuse it."""
        self._next_ticket += 1
        latest_start = wish.deadline - self.pool.mean_hold
        waiter = queue.Waiter(
            self._next_ticket,
            wish.caller,
            latest_start,
            wish.idempotent,
            wish.excluded,
        )
        if now > wish.deadline:
            return self._queue.join(waiter, now, None)
        if not self._queue:
            instance = self._acquire(waiter, now)
            if instance is not None:
                return Granted(instance)
        joined = self._queue.join(waiter, now, self.pool.drain_rate(now))
        if isinstance(joined, queue.Refused):
            return joined
        evicted = joined.evicted.ticket if joined.evicted else None
        return Waiting(waiter.ticket, latest_start, evicted)

    def take_spare(self, wish: Wish, now: float) -> documents.Instance | None:
        """Take a slot of an instance not tried, if nobody waits for it."""
        if self._queue:
            return None
        return self.pool.acquire(now, wish.excluded, wish.idempotent)

    def retry_after(self, now: float) -> float:
        """Return when a refused request may come back, in seconds."""
        return self._queue.retry_after(self.pool.drain_rate(now))

    def release(
        self, instance_id: str, held: float, end: pool.End, now: float
    ) -> list[Wakeup]:
        """Give a slot back; returns whom to wake."""
        self.pool.release(now, instance_id, held, end)
        return self.wake(now)

    def leave(self, ticket: int) -> bool:
        """Take a request out of the queue; tell whether it was there."""
        return self._queue.remove(ticket)

    def wake(self, now: float) -> list[Wakeup]:
        """Grant what slots there are to those who wait."""
        wakeups = []
        passed_over = []
        while self._queue and len(passed_over) < TRIES:
            waiter = self._queue.pop(now)
            if waiter is None:
                break
            instance = self._acquire(waiter, now)
            if instance is None:
                passed_over.append(waiter)
                continue
            wakeups.append(Wakeup(waiter.ticket, instance))
        for waiter in reversed(passed_over):
            self._queue.put_back(waiter)
        return wakeups

    def next_wake(self, now: float) -> float | None:
        """Return when :meth:`wake` may grant a slot without a release."""
        if not self._queue:
            return None
        return self.pool.next_chance(now, len(self._queue))

    def _acquire(
        self, waiter: queue.Waiter, now: float
    ) -> documents.Instance | None:
        waiting = len(self._queue)
        idempotent = waiter.idempotent
        instance = self.pool.acquire(now, waiter.excluded, idempotent, waiting)
        if instance is None and waiter.excluded:
            # What a request has tried is better than nothing.
            instance = self.pool.acquire(now, (), idempotent, waiting)
        return instance
