"""Grants slots of one service to requests, or queues the requests.

This combines :mod:`.slot_pool` and :mod:`.wait_queue`. The caller passes each
grant to the request with its ticket, and calls :meth:`Dispatch.wake` at the
time that :meth:`Dispatch.next_wake` returns.
"""

import random
import typing

from primrosemill.configuration import document as documents
from primrosemill.decisions import priority_queue
from primrosemill.decisions import request_losses
from primrosemill.decisions import slot_pool
from primrosemill.decisions import wait_queue

# Cost of another attempt of a repeatable request while the retry budget is
# full, in lost requests: some delay, and its part of a budget that permits
# retries of about a fifth of all requests.
REPEAT_COST = 0.3
# Queued requests that wake() passes over because no free slot suits them.
MAX_PASSED_OVER = 8


class SlotRequest(typing.NamedTuple):
    """A request for a slot.

    ``deadline`` and ``arrived_at`` are times in seconds. ``excluded_ids`` are
    the instances that were already tried, ``allowed_ids`` those that it may be
    sent to, where None means all. ``route`` is the route that it matched.
    ``repeat_cost`` is the cost of another attempt, in lost requests.
    ``customer_priority`` is that of the customer; None leaves it to the route.
    ``loss`` is whether the request counts as lost, over all its attempts.
    """

    caller: str
    deadline: float
    idempotent: bool = True
    excluded_ids: frozenset[str] = frozenset()
    allowed_ids: frozenset[str] | None = None
    route: documents.Route | None = None
    arrived_at: float = 0.0
    request_id: str = ""
    repeat_cost: float = REPEAT_COST
    customer_priority: int | None = None
    loss: request_losses.RequestLoss | None = None

    @property
    def priority(self) -> priority_queue.Priority:
        """Return the customer's priority, or the route's; then the route's."""
        route_priority = self.route.priority
        if self.customer_priority is None:
            return route_priority, route_priority
        return self.customer_priority, route_priority


class Granted(typing.NamedTuple):
    """The request may be sent to an instance now."""

    instance: documents.Instance


class Waiting(typing.NamedTuple):
    """The request was queued, until ``latest_start`` at the latest.

    ``evicted`` is the ticket of a request that lost its place to this one
    and must be refused.
    """

    ticket: int
    latest_start: float
    evicted: int | None


class Wakeup(typing.NamedTuple):
    """A queued request was granted a slot."""

    ticket: int
    instance: documents.Instance


class Dispatch:
    """Controls the slots and the queue of one service."""

    def __init__(
        self,
        service: documents.Service,
        generator: random.Random,
        capacity: int = wait_queue.CAPACITY,
    ) -> None:
        self.pool = slot_pool.SlotPool(service, generator)
        self._queue = wait_queue.WaitQueue(capacity)
        self._next_ticket = 0

    @property
    def waiting(self) -> int:
        """Return the number of requests in the queue."""
        return len(self._queue)

    def request_slot(
        self, request: SlotRequest, now: float
    ) -> Granted | Waiting | wait_queue.Refused:
        """Grant a slot, queue the request or refuse it."""
        self._next_ticket += 1
        latest_start = request.deadline - self.pool.mean_hold_time
        waiter = wait_queue.Waiter(
            self._next_ticket,
            request.caller,
            latest_start,
            request.idempotent,
            request.excluded_ids,
        )
        if now > request.deadline:
            return self._queue.enqueue(waiter, now, None)
        if not self._queue:
            instance = self._acquire(waiter, now)
            if instance is not None:
                return Granted(instance)
        enqueued = self._queue.enqueue(waiter, now, self.pool.drain_rate(now))
        if isinstance(enqueued, wait_queue.Refused):
            return enqueued
        evicted = enqueued.evicted.ticket if enqueued.evicted else None
        return Waiting(waiter.ticket, latest_start, evicted)

    def acquire_spare(
        self, request: SlotRequest, now: float
    ) -> documents.Instance | None:
        """Take a slot of an untried instance, if no request is queued."""
        if self._queue:
            return None
        return self.pool.acquire(now, request.excluded_ids, request.idempotent)

    def retry_after(self, now: float) -> float:
        """Return after how many seconds a refused request may be retried."""
        return self._queue.retry_after(self.pool.drain_rate(now))

    def release(
        self,
        instance_id: str,
        hold_time: float,
        outcome: slot_pool.SlotOutcome,
        now: float,
    ) -> list[Wakeup]:
        """Release a slot; return the queued requests that get one now."""
        self.pool.release(now, instance_id, hold_time, outcome)
        return self.wake(now)

    def end_by(self, time: float, now: float) -> list[int]:
        """Remove the queued requests that can't be answered by this time.

        Returns their tickets.
        """
        removed = self._queue.end_by(
            time - self.pool.mean_hold_time, now, self.pool.drain_rate(now)
        )
        return [waiter.ticket for waiter in removed]

    def cancel(self, ticket: int) -> bool:
        """Remove a request from the queue; return whether it was there."""
        return self._queue.remove(ticket)

    def wake(self, now: float) -> list[Wakeup]:
        """Grant the free slots to queued requests."""
        wakeups = []
        passed_over = []
        while self._queue and len(passed_over) < MAX_PASSED_OVER:
            waiter = self._queue.pop(now)
            if waiter is None:
                break
            instance = self._acquire(waiter, now)
            if instance is None:
                passed_over.append(waiter)
                continue
            wakeups.append(Wakeup(waiter.ticket, instance))
        for waiter in reversed(passed_over):
            self._queue.push_front(waiter)
        return wakeups

    def next_wake(self, now: float) -> float | None:
        """Return when :meth:`wake` may grant a slot without a release."""
        if not self._queue:
            return None
        return self.pool.next_acquire_time(now, len(self._queue))

    def _acquire(
        self, waiter: wait_queue.Waiter, now: float
    ) -> documents.Instance | None:
        waiting = len(self._queue)
        idempotent = waiter.idempotent
        instance = self.pool.acquire(
            now, waiter.excluded_ids, idempotent, waiting
        )
        if instance is None and waiter.excluded_ids:
            # An instance that the request has tried is better than none.
            instance = self.pool.acquire(now, (), idempotent, waiting)
        return instance
