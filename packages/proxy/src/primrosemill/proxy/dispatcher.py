"""Lets the tasks of requests wait for a slot of their service.

The decisions are made in :mod:`primrosemill.decisions.dispatch`; this module
delivers each grant to the task that holds the ticket.
"""

import random

import trio

from primrosemill.configuration import document as documents
from primrosemill.decisions import cold_start_ramp
from primrosemill.decisions import dispatch
from primrosemill.decisions import outcomes
from primrosemill.decisions import request_losses
from primrosemill.decisions import slot_pool
from primrosemill.decisions import standings
from primrosemill.decisions import wait_queue
from primrosemill.proxy import alarm as alarms
from primrosemill.proxy import request_policies
from primrosemill.proxy import waiters

QUEUE_LIMIT = wait_queue.CAPACITY  # requests


class Dispatcher:
    """Grants the slots of one service and queues requests without one.

    The alarm is set to the time at which :meth:`wake` is due even if no slot
    is released before.
    """

    def __init__(
        self,
        service: documents.Service,
        generator: random.Random,
        alarm: alarms.Alarm,
        queue_limit: int = QUEUE_LIMIT,
    ) -> None:
        self._dispatch = dispatch.Dispatch(service, generator, queue_limit)
        self._alarm = alarm
        self._ramp = cold_start_ramp.ColdStartRamp(service)
        self._standings_by_id: dict[str, standings.Standing] = {}
        self._cold_ids: set[str] = set()
        self._waiters_by_ticket: dict[int, waiters.Waiter] = {}

    @property
    def slots(self) -> slot_pool.SlotPool:
        """Return the slot pool, which holds the ranks and standings."""
        return self._dispatch.pool

    @property
    def waiting(self) -> int:
        """Return the number of requests in the queue."""
        return self._dispatch.waiting

    def set_service(self, service: documents.Service) -> None:
        """Apply a new revision of the service."""
        self.slots.set_service(service)
        self._ramp.set_service(service, trio.current_time())
        kept_ids = {each.id for each in service.instances}
        for instance_id in set(self._standings_by_id) - kept_ids:
            del self._standings_by_id[instance_id]
        self.ramp_up()
        self.wake()

    def set_ranks(self, rank_by_instance_id: dict[str, int]) -> None:
        """Set this VM's rank at each instance.

        Rank 0 means that this VM leads the instance: it uses the instance
        first, while other VMs only spill over to it.
        """
        self.slots.set_ranks(rank_by_instance_id)
        self.wake()

    def set_standing(
        self, instance_id: str, standing: standings.Standing
    ) -> None:
        """Set an instance's standing; one that ended its trial is cold."""
        previous = self._standings_by_id.get(instance_id, standings.HEALTHY)
        self._standings_by_id[instance_id] = standing
        ended_trial = previous.state is standings.State.TRIAL
        if ended_trial and standing.state is standings.State.IN_ROTATION:
            self._ramp.record_return(instance_id, trio.current_time())
        self._apply_standing(instance_id)
        self.ramp_up()
        self.wake()

    def record_end(
        self, request: request_losses.RequestLoss, served: bool
    ) -> None:
        """Do nothing: ejection keeps to the floor here."""

    def ramp_up(self) -> None:
        """Raise the shares of cold instances; to be called periodically."""
        if not self._cold_ids and not self._ramp.may_have_cold:
            return
        cold_ids = set(self._ramp.cold_shares(trio.current_time()))
        for instance_id in cold_ids | self._cold_ids:
            self._apply_standing(instance_id)
        self._cold_ids = cold_ids

    def wake(self) -> None:
        """Grant free slots to waiting requests.

        To be called when a slot may have become free without a release, for
        example because the share of a cold instance grew.
        """
        if self.waiting:
            self._notify_waiters(self._dispatch.wake(trio.current_time()))

    async def acquire(
        self, request: dispatch.SlotRequest
    ) -> waiters.WaitResult:
        """Acquire a slot, waiting while the request can still start."""
        now = trio.current_time()
        decision = self._dispatch.request_slot(request, now)
        if isinstance(decision, dispatch.Granted):
            return decision.instance
        if isinstance(decision, wait_queue.Refused):
            return request_policies.Refused(
                decision.reason, decision.retry_after
            )
        if decision.evicted is not None:
            reason = outcomes.RefusalReason.QUEUE_FULL
            evicted = self._waiters_by_ticket.pop(decision.evicted)
            evicted.resolve(self._refuse(reason, now))
        waiter = self._waiters_by_ticket[decision.ticket] = waiters.Waiter()
        self._alarm.set(self._dispatch.next_wake(now))
        try:
            with trio.move_on_at(decision.latest_start):
                await waiter.resolved.wait()
        except trio.Cancelled:
            self._withdraw(decision.ticket, waiter)
            raise
        if waiter.result is None:
            self._withdraw(decision.ticket, waiter)
            now = trio.current_time()
            return self._refuse(outcomes.RefusalReason.DEADLINE, now)
        return waiter.result

    def end_by(self, time: float) -> None:
        """Refuse waiting requests that can't be answered by this time."""
        now = trio.current_time()
        for ticket in self._dispatch.end_by(time, now):
            waiter = self._waiters_by_ticket.pop(ticket)
            waiter.resolve(self._refuse(outcomes.RefusalReason.DEADLINE, now))

    def usual_time(self, route: str) -> float:
        """Return the seconds that an answer takes; the same for all routes."""
        return self.slots.mean_hold_time

    def acquire_instance(self, instance_id: str) -> documents.Instance | None:
        """Acquire a slot of the given instance for a trial, if it has one."""
        return self.slots.acquire_instance(trio.current_time(), instance_id)

    def try_acquire(
        self, request: dispatch.SlotRequest
    ) -> documents.Instance | None:
        """Acquire a slot if one is free and no request waits for it."""
        return self._dispatch.acquire_spare(request, trio.current_time())

    def may_send(self, instance: documents.Instance) -> bool:
        """Return whether a granted instance still takes requests."""
        return self.slots.is_staying(instance.id, instance.boot)

    def release(
        self, instance_id: str, held: float, outcome: slot_pool.SlotOutcome
    ) -> None:
        """Release a slot and grant it to the next waiting request."""
        now = trio.current_time()
        self._notify_waiters(
            self._dispatch.release(instance_id, held, outcome, now)
        )

    def _apply_standing(self, instance_id: str) -> None:
        standing = self._standings_by_id.get(instance_id, standings.HEALTHY)
        now = trio.current_time()
        self.slots.set_standing(
            instance_id, self._ramp.apply(instance_id, standing, now)
        )

    def _notify_waiters(self, wakeups: list[dispatch.Wakeup]) -> None:
        for wakeup in wakeups:
            waiter = self._waiters_by_ticket.pop(wakeup.ticket)
            waiter.resolve(wakeup.instance)
        self._alarm.set(self._dispatch.next_wake(trio.current_time()))

    def _refuse(
        self, reason: outcomes.RefusalReason, now: float
    ) -> request_policies.Refused:
        return request_policies.Refused(
            reason, self._dispatch.retry_after(now)
        )

    def _withdraw(self, ticket: int, waiter: waiters.Waiter) -> None:
        """Remove a task from the queue and release a slot granted to it."""
        self._waiters_by_ticket.pop(ticket, None)
        self._dispatch.cancel(ticket)
        if isinstance(waiter.result, documents.Instance):
            self.release(waiter.result.id, 0.0, slot_pool.SlotOutcome.FAILED)
