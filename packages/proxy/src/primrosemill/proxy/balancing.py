"""Carries requests to the balance of each service, and outcomes back.

The decisions are in :mod:`primrosemill.decisions.allocation` and
:mod:`primrosemill.decisions.belief`; here each grant goes to the task that
waits for it, and what an attempt met changes what is believed of its instance.
"""

import random
import typing

import trio

from primrosemill.configuration import document as documents
from primrosemill.decisions import allocation
from primrosemill.decisions import balance
from primrosemill.decisions import belief as beliefs
from primrosemill.decisions import coverage
from primrosemill.decisions import dispatch
from primrosemill.decisions import outcomes
from primrosemill.decisions import pool
from primrosemill.decisions import standings
from primrosemill.decisions import waiting_line
from primrosemill.fleet import messages
from primrosemill.proxy import alarm as alarms
from primrosemill.proxy import judgements
from primrosemill.proxy import learned
from primrosemill.proxy import plugs
from primrosemill.proxy import waiters
from primrosemill.proxy import weighing
from primrosemill.telemetry import events

STATES_BY_TRUST = {
    beliefs.Trust.TRUSTED: standings.State.IN_ROTATION,
    beliefs.Trust.DOUBTED: standings.State.RANKED_LAST,
    beliefs.Trust.AVOIDED: standings.State.AVOIDED,
}

SHED = outcomes.NotRun(outcomes.NotRunReason.SHED)
MILLISECONDS = 1_000


class Costs(typing.NamedTuple):
    """What the operator sets of the choice; see the settings page."""

    floor_share: float
    crossing_cost: float


DEFAULT_COSTS = Costs(coverage.FLOOR_SHARE, balance.CROSSING_COST)


class Balancer:
    """Carries requests for one service to its allocation.

    The alarm is set whenever :meth:`wake` is due without a release.
    """

    def __init__(
        self,
        service: documents.Service,
        domain: str,
        generator: random.Random,
        alarm: alarms.Alarm,
        costs: Costs = DEFAULT_COSTS,
    ) -> None:
        self.name = service.name
        self.allocation = allocation.Allocation(
            domain, generator, trio.current_time(), *costs
        )
        self._alarm = alarm
        self._waiters_by_ticket: dict[int, waiters.Waiter] = {}
        self.set_service(service)

    @property
    def balance(self) -> balance.Balance:
        """Return the balance, to which what instances told is noted."""
        return self.allocation.balance

    @property
    def waiting(self) -> int:
        """Return the number of requests that wait."""
        return self.allocation.waiting

    def set_service(self, service: documents.Service) -> None:
        """Take the instances that are known now."""
        self.balance.set_instances(service.instances, trio.current_time())
        self.wake()

    async def acquire(self, wish: dispatch.Wish) -> waiters.Grant:
        """Take a slot, or wait for one as long as that makes sense."""
        now = trio.current_time()
        asked = self.allocation.ask(wish, now)
        if not isinstance(asked, allocation.Waiting):
            return _grant_of(asked)
        events.emit(
            events.REQUEST_WAITS,
            request_id=wish.request_id,
            service=self.name,
            route=wish.route.name,
            waiting=self.waiting,
            busy=self.balance.busy,
            estimated_wait=round(asked.estimate, 3),
            seconds_left=round(wish.deadline - now, 3),
        )
        return await self._wait(asked.ticket, wish.deadline)

    async def _wait(self, ticket: int, deadline: float) -> waiters.Grant:
        waiter = self._waiters_by_ticket[ticket] = waiters.Waiter()
        # An urgent request may go at once past others that wait.
        self.wake()
        try:
            with trio.move_on_at(deadline):
                await waiter.told.wait()
        except trio.Cancelled:
            self._leave(ticket, waiter)
            raise
        if waiter.grant is None:
            self._leave(ticket, waiter)
            late = self.allocation.refuse_late(trio.current_time())
            return _grant_of(late)
        return waiter.grant

    def acquire_named(self, instance_id: str) -> documents.Instance | None:
        """Grant nothing by name; trials go by the choice itself."""
        return None

    def try_acquire(self, wish: dispatch.Wish) -> documents.Instance | None:
        """Take a slot if one is free now that nobody waits for."""
        return self.allocation.take_spare(wish, trio.current_time())

    def release(self, instance_id: str, held: float, end: pool.End) -> None:
        """Give a slot back and grant it to the next request in turn."""
        self.allocation.release(instance_id, held, end, trio.current_time())
        self.wake()

    def ramp_up(self) -> None:
        """Do nothing: a cold instance counts as busier by itself."""

    def wake(self) -> None:
        """Carry grants and refusals to those who wait."""
        if not self.waiting:
            return
        now = trio.current_time()
        for wakeup in self.allocation.wake(now):
            waiter = self._waiters_by_ticket.pop(wakeup.ticket)
            waiter.tell(_grant_of(wakeup.told))
        self._alarm.set(self.allocation.next_wake(now))

    def _leave(self, ticket: int, waiter: waiters.Waiter) -> None:
        """Take a task out of the line, or give its slot to another."""
        self._waiters_by_ticket.pop(ticket, None)
        self.allocation.leave(ticket)
        if isinstance(waiter.grant, documents.Instance):
            self.release(waiter.grant.id, 0.0, pool.End.FAILED)


def _grant_of(
    told: allocation.Granted | waiting_line.Refused,
) -> waiters.Grant:
    if isinstance(told, allocation.Granted):
        return told.instance
    return plugs.Refused(told.reason, told.retry_after)


class Balancers:
    """The balancers of all services; learns of every attempt."""

    def __init__(
        self,
        domain: str,
        generator: random.Random,
        listeners: learned.Listeners,
        costs: Costs = DEFAULT_COSTS,
    ) -> None:
        self._domain = domain
        self._costs = costs
        self._generator = generator
        self._listeners = listeners
        self._balancers_by_service: dict[str, Balancer] = {}

    def make(
        self, service: documents.Service, alarm: alarms.Alarm
    ) -> Balancer:
        """Return a new balancer, as the application asks for one."""
        made = Balancer(
            service, self._domain, self._generator, alarm, self._costs
        )
        self._balancers_by_service[service.name] = made
        return made

    def set_led(self, service: str, led_ids: frozenset[str]) -> None:
        """Take the instances of a service that this VM fills first."""
        balancer = self._balancers_by_service.get(service)
        if balancer is not None:
            balancer.balance.set_led(led_ids)

    def take_sightings(self, told: messages.Sightings) -> None:
        """Take what a peer has seen of instances."""
        now = trio.current_time()
        for each in told.sightings:
            balancer = self._balancers_by_service.get(each.service)
            if balancer is None:
                continue
            instance = balancer.balance.instance(each.instance_id)
            if instance is None or instance.boot != each.boot:
                continue
            at = now - each.age / MILLISECONDS
            belief = balancer.balance.belief
            failed = each.seen is messages.Seen.FAILED
            if failed:
                change = belief.failed(instance.id, at)
            else:
                change = belief.succeeded(instance.id, at, now)
            self._listeners.on_change(
                learned.Changed(
                    each.service,
                    instance,
                    change,
                    learned.PEER,
                    failed,
                    False,
                    at,
                )
            )

    def take_departure(
        self, service: str, instance_id: str, boot: int
    ) -> None:
        """Take the word of a peer that an instance says it is leaving."""
        self._note_leaving(service, instance_id, boot, learned.PEER)

    def _note_leaving(
        self,
        service: str,
        instance_id: str,
        boot: int,
        source: str,
        request_id: str = "",
    ) -> None:
        balancer = self._balancers_by_service.get(service)
        if balancer is None:
            return
        if not balancer.balance.note_leaving(instance_id, boot):
            return
        instance = balancer.balance.instance(instance_id)
        self._listeners.on_departure(
            learned.Departure(service, instance, source, request_id)
        )
        balancer.wake()

    def usual_time(self, service: str, route: str) -> float | None:
        """Return how long answers to a route take; None while unknown."""
        balancer = self._balancers_by_service.get(service)
        if balancer is None or not balancer.allocation.times.known(route):
            return None
        return balancer.allocation.times.usual(route)

    def standing(
        self, service: str, instance: documents.Instance
    ) -> standings.Standing:
        """Return what this VM thinks of an instance, for operators."""
        balancer = self._balancers_by_service.get(service)
        if instance.leaving:
            return standings.Standing(standings.State.DRAINING)
        if balancer is None:
            return standings.HEALTHY
        belief = balancer.balance.belief
        chance = belief.chance(instance.id, trio.current_time())
        return standings.Standing(
            STATES_BY_TRUST[beliefs.trust_of(chance)], 1.0 - chance
        )

    def due_trial(self, service: str, now: float) -> str | None:
        """Return None: trials go by the choice itself."""
        return None

    def attempt_started(self, start: plugs.AttemptStart) -> None:
        """Log the choice; the balance knows what is in flight."""
        balancer = self._balancers_by_service.get(start.service)
        if balancer is None:
            return
        now = trio.current_time()
        crossing = balancer.balance.crossing(start.instance_id, now)
        if crossing is not None:
            self._listeners.on_crossing(crossing)
        chance = balancer.balance.belief.chance(start.instance_id, now)
        events.emit(
            events.REQUEST_SENT,
            request_id=start.request_id,
            service=start.service,
            route=start.route,
            instance_id=start.instance_id,
            boot=start.boot,
            busy=balancer.balance.busy_at(start.instance_id),
            chance=round(chance, 3),
            waited=round(now - start.arrived, 4),
        )

    def attempt_answered(self, start: plugs.AttemptStart, status: int) -> None:
        """Learn nothing before the answer is whole."""

    def attempt_ended(self, end: plugs.AttemptEnd) -> None:
        """Change the trust in an instance by how an attempt ended."""
        events.emit(
            events.ATTEMPT_ENDED,
            request_id=end.start.request_id,
            instance_id=end.start.instance_id,
            outcome=judgements.cause(end.outcome),
            elapsed=round(end.elapsed, 4),
            load=end.load,
        )
        balancer = self._balancers_by_service.get(end.start.service)
        if balancer is None:
            return
        now = trio.current_time()
        start = end.start
        instance = balancer.balance.instance(start.instance_id)
        if instance is None or instance.boot != start.boot:
            return
        if end.load is not None:
            balancer.balance.note_load(instance.id, end.load, now)
        self._take_announcements(balancer, end, now)
        judged = judgements.judge(end.outcome, end)
        if end.outcome == SHED:
            balancer.balance.coverage.note(False, now)
        if judged.failed is None:
            return
        balancer.balance.coverage.note(not judged.failed, now)
        self._listeners.on_change(
            weighing.weigh(balancer.allocation, instance, end, judged, now)
        )
        balancer.wake()

    def _take_announcements(
        self, balancer: Balancer, end: plugs.AttemptEnd, now: float
    ) -> None:
        """Believe what the instance said of itself with its answer."""
        start = end.start
        if end.draining:
            self._note_leaving(
                start.service,
                start.instance_id,
                start.boot,
                learned.OWN_WORD,
                start.request_id,
            )
        if end.pause is None:
            return
        fault = end.pause.error if end.pause.is_error() else None
        seconds = end.pause.ok if fault is None else fault.seconds
        balancer.balance.note_pause(
            start.instance_id, start.boot, seconds, now
        )
        self._listeners.on_pause(
            learned.Pause(
                start.service,
                start.instance_id,
                start.boot,
                seconds,
                start.request_id,
                fault,
            )
        )
