"""Makes requests wait for a slot of their service.

The decisions are in :mod:`primrosemill.decisions.dispatch`; here each grant
goes to the task that holds its ticket.
"""

import random

import trio

from primrosemill.configuration import document as documents
from primrosemill.decisions import dispatch
from primrosemill.decisions import outcomes
from primrosemill.decisions import pool
from primrosemill.decisions import queue
from primrosemill.decisions import ramp
from primrosemill.decisions import standings
from primrosemill.proxy import alarm as alarms
from primrosemill.proxy import plugs
from primrosemill.proxy import waiters

QUEUE_LIMIT = queue.CAPACITY  # requests


class Dispatcher:
    """Grants the slots of one service and queues who finds none.

    The alarm is set whenever :meth:`wake` is due without a release.
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
        self._ramp = ramp.Ramp(service)
        self._standings_by_id: dict[str, standings.Standing] = {}
        self._cold_ids: set[str] = set()
        self._waiters_by_ticket: dict[int, waiters.Waiter] = {}

    @property
    def slots(self) -> pool.SlotPool:
        """Return the slots, to which ranks and standings are told."""
        return self._dispatch.pool

    @property
    def waiting(self) -> int:
        """Return the number of requests in the queue."""
        return self._dispatch.waiting

    def set_service(self, service: documents.Service) -> None:
        """Take a new revision."""
        self.slots.set_service(service)
        self._ramp.set_service(service, trio.current_time())
        kept_ids = {each.id for each in service.instances}
        for instance_id in set(self._standings_by_id) - kept_ids:
            del self._standings_by_id[instance_id]
        self.ramp_up()
        self.wake()

    def set_ranks(self, rank_by_instance: dict[str, int]) -> None:
        """Take this VM's rank at each instance; 0 is the lead."""
        self.slots.set_ranks(rank_by_instance)
        self.wake()

    def set_standing(
        self, instance_id: str, standing: standings.Standing
    ) -> None:
        """Take what is thought of an instance; back from trial it is cold."""
        before = self._standings_by_id.get(instance_id, standings.HEALTHY)
        self._standings_by_id[instance_id] = standing
        returned = before.state is standings.State.TRIAL
        if returned and standing.state is standings.State.IN_ROTATION:
            self._ramp.note_return(instance_id, trio.current_time())
        self._apply(instance_id)
        self.ramp_up()
        self.wake()

    def ramp_up(self) -> None:
        """Let the shares of cold instances grow; call it now and then."""
        if not self._cold_ids and not self._ramp.any_cold:
            return
        cold_ids = set(self._ramp.cold(trio.current_time()))
        for instance_id in cold_ids | self._cold_ids:
            self._apply(instance_id)
        self._cold_ids = cold_ids

    def wake(self) -> None:
        """Grant what slots are free to those who wait.

        Call it when a slot may have become free other than by a release,
        for instance as the share of a cold instance grows.
        """
        if self.waiting:
            self._tell(self._dispatch.wake(trio.current_time()))

    async def acquire(self, wish: dispatch.Wish) -> waiters.Grant:
        """Take a slot, or wait for one as long as the request can start."""
        now = trio.current_time()
        asked = self._dispatch.ask(wish, now)
        if isinstance(asked, dispatch.Granted):
            return asked.instance
        if isinstance(asked, queue.Refused):
            return plugs.Refused(asked.reason, asked.retry_after)
        if asked.evicted is not None:
            reason = outcomes.RefusalReason.QUEUE_FULL
            evicted = self._waiters_by_ticket.pop(asked.evicted)
            evicted.tell(self._refuse(reason, now))
        waiter = self._waiters_by_ticket[asked.ticket] = waiters.Waiter()
        self._alarm.set(self._dispatch.next_wake(now))
        try:
            with trio.move_on_at(asked.latest_start):
                await waiter.told.wait()
        except trio.Cancelled:
            self._leave(asked.ticket, waiter)
            raise
        if waiter.grant is None:
            self._leave(asked.ticket, waiter)
            now = trio.current_time()
            return self._refuse(outcomes.RefusalReason.DEADLINE, now)
        return waiter.grant

    def acquire_named(self, instance_id: str) -> documents.Instance | None:
        """Take a slot of one instance for a trial, if it has one."""
        return self.slots.acquire_named(trio.current_time(), instance_id)

    def try_acquire(self, wish: dispatch.Wish) -> documents.Instance | None:
        """Take a slot if one is free now that nobody waits for."""
        return self._dispatch.take_spare(wish, trio.current_time())

    def release(self, instance_id: str, held: float, end: pool.End) -> None:
        """Give a slot back and grant it to the next request in turn."""
        now = trio.current_time()
        self._tell(self._dispatch.release(instance_id, held, end, now))

    def _apply(self, instance_id: str) -> None:
        standing = self._standings_by_id.get(instance_id, standings.HEALTHY)
        now = trio.current_time()
        self.slots.set_standing(
            instance_id, self._ramp.apply(instance_id, standing, now)
        )

    def _tell(self, wakeups: list[dispatch.Wakeup]) -> None:
        for wakeup in wakeups:
            waiter = self._waiters_by_ticket.pop(wakeup.ticket)
            waiter.tell(wakeup.instance)
        self._alarm.set(self._dispatch.next_wake(trio.current_time()))

    def _refuse(
        self, reason: outcomes.RefusalReason, now: float
    ) -> plugs.Refused:
        return plugs.Refused(reason, self._dispatch.retry_after(now))

    def _leave(self, ticket: int, waiter: waiters.Waiter) -> None:
        """Take a task out of the queue, or give its slot to another."""
        self._waiters_by_ticket.pop(ticket, None)
        self._dispatch.leave(ticket)
        if isinstance(waiter.grant, documents.Instance):
            self.release(waiter.grant.id, 0.0, pool.End.FAILED)
