"""Admission of requests to the instance slots of one service.

A request is granted a slot, queued or refused. This combines
:mod:`.instance_selection`, :mod:`.priority_queue` and :mod:`.response_times`.
The caller of this module delivers each grant and refusal to the request that
holds the ticket, and calls :meth:`Allocation.wake` at the time that
:meth:`Allocation.next_wake` returns.
"""

import random
import typing

from primrosemill.configuration import document as documents
from primrosemill.decisions import coverage
from primrosemill.decisions import dispatch
from primrosemill.decisions import instance_limits
from primrosemill.decisions import instance_selection
from primrosemill.decisions import outcomes
from primrosemill.decisions import priority_queue
from primrosemill.decisions import rate
from primrosemill.decisions import response_times
from primrosemill.decisions import room
from primrosemill.decisions import slot_pool

# Share of the route's target latency that a request with a large body waits
# for an instance in the VM's own failure domain before it may go to another.
LOCAL_WAIT_SHARE = 0.2
# Cost of waiting for a better instance, in lost requests. On arrival it
# exceeds the cost of crossing to another domain, so that a request waits to
# avoid a failing instance but not to avoid a crossing. Once a request is
# late, it is the value that an answer loses by being late.
FIRST_WAIT_COST = 0.2
LATE_COST = 0.7
# Costs are rounded to this step, so that many waiting requests have equal
# criteria and one failed choice rules out all of them.
COST_STEP = 0.05  # lost requests
# Callers that are refused until a pause ends return spread over this time.
RETRY_AFTER_JITTER = 0.5  # seconds
ANY_INSTANCE = instance_selection.Criteria(idempotent=True)
# A caller that returns after a refusal for a limit may meet another VM, whose
# share of the limit is free.
MAX_LIMIT_RETRY_AFTER = 1.0  # seconds


class Granted(typing.NamedTuple):
    """Permission to send a request to an instance now."""

    instance: documents.Instance


class Waiting(typing.NamedTuple):
    """A queued request and its estimated wait in seconds."""

    ticket: int
    estimate: float


class Wakeup(typing.NamedTuple):
    """A waiting request's grant or refusal."""

    ticket: int
    decision: Granted | priority_queue.Refused


class Allocation:
    """Chooses instances and keeps the queue for the requests of one service.

    ``domain`` is the VM's own failure domain.
    """

    def __init__(
        self,
        domain: str,
        generator: random.Random,
        now: float,
        floor_share: float = coverage.FLOOR_SHARE,
        crossing_cost: float = instance_selection.CROSSING_COST,
        shares: instance_limits.Shares | None = None,
    ) -> None:
        self.selector = instance_selection.InstanceSelector(
            domain, generator, floor_share, crossing_cost, shares
        )
        self._generator = generator
        self.response_times = response_times.ResponseTimes()
        self._queue = priority_queue.PriorityQueue()
        self._requests_by_ticket: dict[int, dispatch.SlotRequest] = {}
        self._next_ticket = 0
        self._last_progress = now
        self._answer_rate = rate.Rate()
        self._domain = domain
        self.room = room.service_room.ServiceRoom()

    @property
    def waiting(self) -> int:
        """Return the number of waiting requests."""
        return len(self._queue)

    def request_slot(
        self, request: dispatch.SlotRequest, now: float
    ) -> Granted | Waiting | priority_queue.Refused:
        """Grant a slot to a request, queue it or refuse it."""
        route = request.route
        if not request.excluded_ids and request.allowed_ids is None:
            # Later attempts of a request don't count as arrivals.
            self._queue.record_arrival(request.priority, now)
            has_room = self.selector.has_room_at_home(now)
            self.room.record_arrival(has_room, now)
        refusal = self._refuse_unservable(request, now)
        if refusal is not None:
            return refusal
        if not self._queue:
            criteria = self._criteria_with_wait_cost(request, 0, now)
            instance = self.selector.choose(criteria, now, request.loss)
            if instance is not None:
                return Granted(instance)
        self._next_ticket += 1
        waiter = priority_queue.Waiter(
            self._next_ticket,
            request.priority,
            request.arrived_at + route.effective_target_time,
            request.deadline,
            self.response_times.mean(route.name),
        )
        drain_rate = self.drain_rate(now)
        refusal = self._queue.enqueue(waiter, now, drain_rate)
        if refusal is not None:
            instance = self._acquire_last_resort(request, now)
            return refusal if instance is None else Granted(instance)
        self._requests_by_ticket[waiter.ticket] = request
        estimate = self._queue.estimate_wait(waiter, now, drain_rate)
        return Waiting(waiter.ticket, estimate)

    def _refuse_unservable(
        self, request: dispatch.SlotRequest, now: float
    ) -> priority_queue.Refused | None:
        """Refuse a request that no instance can serve in time."""
        criteria = self._satisfiable_criteria(request, now)
        if not self.selector.has_candidate(criteria):
            return self._refuse(outcomes.RefusalReason.NO_INSTANCE, now)
        block = self.selector.find_block(criteria, now)
        if block is None:
            return None
        response_time = self.response_times.mean(request.route.name)
        if (
            block.end + response_time
            <= request.arrived_at + request.route.effective_target_time
        ):
            return None
        return self._blocked_refusal(block, now)

    def _blocked_refusal(
        self, block: instance_selection.Block, now: float
    ) -> priority_queue.Refused:
        """Return the refusal of a request that pauses or limits rule out."""
        retry_after = block.end - now
        reason = outcomes.RefusalReason.INSTANCES_PAUSED
        if block.by_limit:
            retry_after = min(retry_after, MAX_LIMIT_RETRY_AFTER)
            reason = outcomes.RefusalReason.INSTANCES_LIMITED
        spread = RETRY_AFTER_JITTER * self._generator.random()
        return priority_queue.Refused(reason, retry_after + spread)

    def room_report(self, now: float) -> room.service_room.Report:
        """Return what this VM reports of the service to other VMs."""
        return room.service_room.Report(
            self._domain,
            self.room.is_short(now),
            self.waiting,
            self.selector.in_flight_by_domain(),
        )

    def update_room(self, now: float) -> None:
        """Apply what other VMs reported to the choice of instances."""
        totals = None
        if self.room.is_relevant(now):
            totals = self.room.totals(self.room_report(now), now)
        if totals is None:
            self.selector.open_domains = None
            return
        self.selector.open_domains = room.open_domains.choose(
            totals, self.selector.slots_by_domain(), self._generator, now
        )

    def acquire_spare(
        self, request: dispatch.SlotRequest, now: float
    ) -> documents.Instance | None:
        """Take a free slot unless other requests are waiting."""
        if self._queue:
            return None
        criteria = self._base_criteria(request, now)
        return self.selector.choose(criteria, now, request.loss)

    def release(
        self,
        instance_id: str,
        held: float,
        outcome: slot_pool.SlotOutcome,
        now: float,
    ) -> None:
        """Give back a slot that was held for ``held`` seconds."""
        self._last_progress = now
        if outcome is slot_pool.SlotOutcome.ANSWERED:
            self._answer_rate.count_event(now)
        self.selector.mean_response_time = self.response_times.overall
        self.selector.release(instance_id, now - held)
        if outcome is slot_pool.SlotOutcome.SHED:
            self.selector.record_shed(instance_id, now)

    def end_by(self, time: float) -> None:
        """Refuse waiting requests that can't be served by this time."""
        self._queue.end_by(time)

    def cancel(self, ticket: int) -> bool:
        """Remove a request from the queue; return whether it was queued."""
        self._requests_by_ticket.pop(ticket, None)
        return self._queue.remove(ticket)

    def refusal_past_deadline(self, now: float) -> priority_queue.Refused:
        """Return the refusal of a request whose deadline has passed."""
        return self._refuse(outcomes.RefusalReason.DEADLINE, now)

    def wake(self, now: float) -> list[Wakeup]:
        """Grant free slots in queue order; refuse unservable requests."""
        wakeups = []
        ahead = 0
        unsatisfied: set[instance_selection.Criteria] = set()
        for waiter in self._queue.in_order(now):
            request = self._requests_by_ticket[waiter.ticket]
            criteria = self._criteria_with_wait_cost(request, ahead, now)
            instance = None
            if criteria not in unsatisfied:
                instance = self.selector.choose(criteria, now, request.loss)
            if instance is None:
                unsatisfied.add(criteria)
                ahead += 1
                continue
            self.cancel(waiter.ticket)
            wakeups.append(Wakeup(waiter.ticket, Granted(instance)))
        drain_rate = self.drain_rate(now)
        for waiter in self._queue.pop_unservable(now, drain_rate):
            request = self._requests_by_ticket.pop(waiter.ticket)
            instance = self._acquire_last_resort(request, now)
            decision = self._refuse(outcomes.RefusalReason.DEADLINE, now)
            if instance is not None:
                decision = Granted(instance)
            wakeups.append(Wakeup(waiter.ticket, decision))
        return wakeups + self._refuse_blocked(now)

    def _refuse_blocked(self, now: float) -> list[Wakeup]:
        """Refuse requests whose deadline precedes the end of the block."""
        block = self.selector.find_block(ANY_INSTANCE, now)
        if block is None:
            return []
        wakeups = []
        for waiter in self._queue.in_order(now):
            if block.end + waiter.response_time <= waiter.deadline:
                continue
            self.cancel(waiter.ticket)
            refusal = self._blocked_refusal(block, now)
            wakeups.append(Wakeup(waiter.ticket, refusal))
        return wakeups

    def next_wake(self, now: float) -> float | None:
        """Return when :meth:`wake` may grant a slot without a release."""
        return self.selector.next_attempt_at(now) if self._queue else None

    def drain_rate(self, now: float) -> float | None:
        """Return the served requests per second, or None while none run.

        By Little's law this is the number of held slots divided by the mean
        response time. If no slot has been released for longer than that
        mean, the time since the last release replaces it. When instances
        shed, few slots are held, so the rate of answers is a lower bound;
        while they reject requests though slots are free, the rate is unknown.
        If all instances have limits, their sum is an upper bound.
        """
        limited_rate = self.selector.limited_rate(now)
        busy = self.selector.in_flight
        if not busy or self.selector.rejects_with_room(now):
            return limited_rate
        stalled_for = now - self._last_progress
        slot_rate = busy / max(self.response_times.overall, stalled_for)
        drain_rate = max(slot_rate, self._answer_rate.per_second(now))
        if limited_rate is None:
            return drain_rate
        return min(drain_rate, limited_rate)

    def _refuse(
        self, reason: outcomes.RefusalReason, now: float
    ) -> priority_queue.Refused:
        return priority_queue.Refused(
            reason, self._queue.retry_after(self.drain_rate(now))
        )

    def _base_criteria(
        self, request: dispatch.SlotRequest, now: float
    ) -> instance_selection.Criteria:
        route = request.route
        waited = now - request.arrived_at
        local = False
        if route.large_bodies and request.allowed_ids is None:
            time_limit = LOCAL_WAIT_SHARE * route.effective_target_time
            local = waited < time_limit and self.selector.has_trusted_local(
                now
            )
        return instance_selection.Criteria(
            request.idempotent,
            request.excluded_ids,
            request.allowed_ids,
            local,
            repeat_cost=_round_cost(request.repeat_cost),
            overdue_after=self.response_times.overdue_after(route.name),
            crossing_factor=(
                instance_selection.LARGE_ANSWER_FACTOR
                if route.large_answers
                else 1.0
            ),
        )

    def _acquire_last_resort(
        self, request: dispatch.SlotRequest, now: float
    ) -> documents.Instance | None:
        """Take a slot for a request that would otherwise be refused.

        A refusal states that the request was not run and lets the caller
        retry, so it is preferred to an instance that will probably fail.
        """
        criteria = self._satisfiable_criteria(request, now)._replace(
            wait_cost=LATE_COST, last_resort=True
        )
        return self.selector.choose(criteria, now, request.loss)

    def _criteria_with_wait_cost(
        self, request: dispatch.SlotRequest, ahead: int, now: float
    ) -> instance_selection.Criteria:
        """Return criteria that price the wait behind ``ahead`` requests."""
        expected_wait = now - request.arrived_at
        drain_rate = self.drain_rate(now)
        if drain_rate:
            expected_wait += (ahead + 1) / drain_rate
        cost = _wait_cost(expected_wait, request.route.effective_target_time)
        criteria = self._satisfiable_criteria(request, now)
        return criteria._replace(wait_cost=_round_cost(cost))

    def _satisfiable_criteria(
        self, request: dispatch.SlotRequest, now: float
    ) -> instance_selection.Criteria:
        """Return criteria that some present instance can meet, if possible.

        If only instances that the request has already tried remain, they
        are allowed again.
        """
        criteria = self._base_criteria(request, now)
        if criteria.excluded_ids and not self.selector.has_candidate(criteria):
            return criteria._replace(excluded_ids=frozenset())
        return criteria


def _wait_cost(expected_wait: float, target_time: float) -> float:
    """Return the cost of a wait of this many seconds since arrival."""
    share = min(1.0, expected_wait / target_time) if target_time > 0.0 else 1.0
    return FIRST_WAIT_COST + share * (LATE_COST - FIRST_WAIT_COST)


def _round_cost(cost: float) -> float:
    """Round a cost to a multiple of :data:`COST_STEP`."""
    return COST_STEP * round(cost / COST_STEP)
