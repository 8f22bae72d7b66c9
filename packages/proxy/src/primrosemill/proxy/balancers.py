"""Load balancing of requests over the instances of each service.

The decisions are made in :mod:`primrosemill.decisions.allocation` and
:mod:`primrosemill.decisions.belief`. This module passes each grant to the task
that waits for it, and updates the belief in an instance from the outcomes of
attempts.
"""

import math
import random
import typing

import trio

from primrosemill.configuration import document as documents
from primrosemill.decisions import allocation
from primrosemill.decisions import belief as beliefs
from primrosemill.decisions import coverage
from primrosemill.decisions import dispatch
from primrosemill.decisions import instance_limits
from primrosemill.decisions import instance_selection
from primrosemill.decisions import outcomes
from primrosemill.decisions import priority_queue
from primrosemill.decisions import request_losses
from primrosemill.decisions import service_losses
from primrosemill.decisions import slot_pool
from primrosemill.decisions import standings
from primrosemill.fleet import messages
from primrosemill.proxy import alarm as alarms
from primrosemill.proxy import belief_updates
from primrosemill.proxy import instance_observations
from primrosemill.proxy import limit_tracker
from primrosemill.proxy import outcome_classification
from primrosemill.proxy import path_watch
from primrosemill.proxy import request_policies
from primrosemill.proxy import waiters
from primrosemill.telemetry import events

STATES_BY_TRUST = {
    beliefs.Trust.TRUSTED: standings.State.IN_ROTATION,
    beliefs.Trust.DOUBTED: standings.State.RANKED_LAST,
    beliefs.Trust.AVOIDED: standings.State.AVOIDED,
}

MILLISECONDS_PER_SECOND = 1_000


class BalanceSettings(typing.NamedTuple):
    """Balancing parameters set by the operator; see the settings page."""

    floor_share: float
    crossing_cost: float


DEFAULT_SETTINGS = BalanceSettings(
    coverage.FLOOR_SHARE, instance_selection.CROSSING_COST
)


class Balancer:
    """Queues requests for one service and grants them its instances.

    The alarm is set to the time at which :meth:`wake` must be called next if
    no slot is released before.
    """

    def __init__(
        self,
        service: documents.Service,
        domain: str,
        generator: random.Random,
        alarm: alarms.Alarm,
        settings: BalanceSettings = DEFAULT_SETTINGS,
        shares: instance_limits.Shares | None = None,
    ) -> None:
        self.name = service.name
        self.allocation = allocation.Allocation(
            domain, generator, trio.current_time(), *settings, shares
        )
        self._alarm = alarm
        self._waiters_by_ticket: dict[int, waiters.Waiter] = {}
        self.instances = service.instances
        self.set_service(service)

    @property
    def selector(self) -> instance_selection.InstanceSelector:
        """Return the state of the instances, including reported load."""
        return self.allocation.selector

    @property
    def waiting(self) -> int:
        """Return the number of waiting requests."""
        return self.allocation.waiting

    def set_service(self, service: documents.Service) -> None:
        """Set the instances that are known now."""
        self.instances = service.instances
        self.selector.set_instances(service.instances, trio.current_time())
        self.wake()

    async def acquire(
        self, request: dispatch.SlotRequest
    ) -> waiters.WaitResult:
        """Acquire a slot, waiting in the queue unless refused at once."""
        now = trio.current_time()
        decision = self.allocation.request_slot(request, now)
        if not isinstance(decision, allocation.Waiting):
            return _to_grant(decision)
        events.emit(
            events.REQUEST_WAITS,
            request_id=request.request_id,
            service=self.name,
            route=request.route.name,
            waiting=self.waiting,
            busy=self.selector.in_flight,
            estimated_wait=round(decision.estimate, 3),
            seconds_left=round(request.deadline - now, 3),
        )
        return await self._wait(decision.ticket, request.deadline)

    async def _wait(self, ticket: int, deadline: float) -> waiters.WaitResult:
        waiter = self._waiters_by_ticket[ticket] = waiters.Waiter()
        # An urgent request may be granted a slot ahead of the others.
        self.wake()
        try:
            with trio.move_on_at(deadline):
                await waiter.resolved.wait()
        except trio.Cancelled:
            self._abandon(ticket, waiter)
            raise
        if waiter.result is None:
            self._abandon(ticket, waiter)
            refusal = self.allocation.refusal_past_deadline(
                trio.current_time()
            )
            return _to_grant(refusal)
        return waiter.result

    def end_by(self, time: float) -> None:
        """Refuse waiting requests that can't be answered by this time."""
        self.allocation.end_by(time)
        self.wake()

    def usual_time(self, route: str) -> float:
        """Return the seconds that few answers of a route exceed."""
        response_times = self.allocation.response_times
        overdue_after = response_times.overdue_after(route)
        if math.isfinite(overdue_after):
            return overdue_after
        return response_times.mean(route)

    def acquire_instance(self, instance_id: str) -> documents.Instance | None:
        """Return None: trials are part of the allocation's own choice."""
        return None

    def try_acquire(
        self, request: dispatch.SlotRequest
    ) -> documents.Instance | None:
        """Take a slot if one is free and no request waits for it."""
        return self.allocation.acquire_spare(request, trio.current_time())

    def may_send(self, instance: documents.Instance) -> bool:
        """Return whether a granted instance still takes requests."""
        return self.selector.is_staying(instance.id, instance.boot)

    def release(
        self, instance_id: str, held: float, outcome: slot_pool.SlotOutcome
    ) -> None:
        """Release a slot and grant it to the next waiting request."""
        self.allocation.release(
            instance_id, held, outcome, trio.current_time()
        )
        self.wake()

    def record_end(
        self, request: request_losses.RequestLoss, served: bool
    ) -> None:
        """Count a request that has ended as served or as lost."""
        losses = self.selector.coverage.losses
        losses.record_end(request, served, trio.current_time())

    def ramp_up(self) -> None:
        """Do nothing: the selector counts a cold instance as busier."""

    def wake(self) -> None:
        """Deliver grants and refusals that are due to waiting tasks."""
        if not self.waiting:
            return
        now = trio.current_time()
        for wakeup in self.allocation.wake(now):
            waiter = self._waiters_by_ticket.pop(wakeup.ticket)
            waiter.resolve(_to_grant(wakeup.decision))
        self._alarm.set(self.allocation.next_wake(now))

    def _abandon(self, ticket: int, waiter: waiters.Waiter) -> None:
        """Remove a task from the queue, or release its unused slot."""
        self._waiters_by_ticket.pop(ticket, None)
        self.allocation.cancel(ticket)
        if isinstance(waiter.result, documents.Instance):
            self.release(waiter.result.id, 0.0, slot_pool.SlotOutcome.FAILED)


def _to_grant(
    decision: allocation.Granted | priority_queue.Refused,
) -> waiters.WaitResult:
    if isinstance(decision, allocation.Granted):
        return decision.instance
    return request_policies.Refused(decision.reason, decision.retry_after)


class Balancers:
    """The balancers of all services, which observe every attempt."""

    def __init__(
        self,
        domain: str,
        generator: random.Random,
        listeners: instance_observations.Listeners,
        settings: BalanceSettings = DEFAULT_SETTINGS,
        shares: instance_limits.Shares | None = None,
    ) -> None:
        self._shares = shares
        self._domain = domain
        self._settings = settings
        self._generator = generator
        self._listeners = listeners
        self._is_entry_point = True
        self._balancers_by_service: dict[str, Balancer] = {}
        self.limits = limit_tracker.LimitTracker(listeners.on_limit)
        self.paths = path_watch.PathWatch(self._path_services, generator)

    def create(
        self, service: documents.Service, alarm: alarms.Alarm
    ) -> Balancer:
        """Create the balancer of a service for the application."""
        balancer = Balancer(
            service,
            self._domain,
            self._generator,
            alarm,
            self._settings,
            self._shares,
        )
        balancer.selector.coverage.hears_peers = self._is_entry_point
        self._balancers_by_service[service.name] = balancer
        self.limits.add_service(service.name, balancer.selector)
        return balancer

    def _path_services(self) -> list[path_watch.Service]:
        return [
            path_watch.Service(
                name,
                balancer.instances,
                balancer.allocation.response_times.overall,
            )
            for name, balancer in self._balancers_by_service.items()
            if balancer.instances
        ]

    def record_overdue(self) -> None:
        """Count the requests whose answers have become overdue as lost."""
        now = trio.current_time()
        for balancer in self._balancers_by_service.values():
            balancer.selector.record_overdue(now)

    def losses_by_service(self) -> dict[str, service_losses.ServiceLosses]:
        """Return the estimates of the losses of all services."""
        return {
            name: balancer.selector.coverage.losses
            for name, balancer in self._balancers_by_service.items()
        }

    def allocations_by_service(self) -> dict[str, allocation.Allocation]:
        """Return the allocations of all services."""
        return {
            name: balancer.allocation
            for name, balancer in self._balancers_by_service.items()
        }

    def set_led_instances(self, service: str, led_ids: frozenset[str]) -> None:
        """Set the instances of a service that this VM leads.

        A VM fills the slots of the instances that it leads first.
        """
        balancer = self._balancers_by_service.get(service)
        if balancer is not None:
            balancer.selector.set_led_ids(led_ids)

    def set_entry_point(self, is_entry_point: bool) -> None:
        """Set whether callers are sent to this VM.

        Peers tell the entry points of their requests to instances.
        """
        self._is_entry_point = is_entry_point
        for balancer in self._balancers_by_service.values():
            balancer.selector.coverage.hears_peers = is_entry_point

    def apply_starts(self, message: messages.Starts) -> None:
        """Record requests that a peer sent to instances."""
        now = trio.current_time()
        for start in message.starts:
            balancer = self._balancers_by_service.get(start.service)
            if balancer is None:
                continue
            selector = balancer.selector
            if selector.find(start.instance_id, start.boot) is None:
                continue
            selector.coverage.record_peer_start(
                start.instance_id, now - start.age_ms / MILLISECONDS_PER_SECOND
            )

    def apply_sightings(self, message: messages.Sightings) -> None:
        """Update beliefs from what a peer observed of instances."""
        now = trio.current_time()
        for sighting in message.sightings:
            balancer = self._balancers_by_service.get(sighting.service)
            if balancer is None:
                continue
            instance = balancer.selector.find(
                sighting.instance_id, sighting.boot
            )
            if instance is None:
                continue
            observed_at = now - sighting.age_ms / MILLISECONDS_PER_SECOND
            belief = balancer.selector.belief
            failed = sighting.outcome is messages.SightingOutcome.FAILED
            if failed:
                change = belief.record_failure(instance.id, observed_at)
            else:
                change = belief.record_success(instance.id, observed_at, now)
            self._listeners.on_belief_update(
                instance_observations.BeliefUpdate(
                    sighting.service,
                    instance,
                    change,
                    instance_observations.SOURCE_PEER,
                    failed,
                    False,
                    observed_at,
                )
            )

    def apply_departure(
        self, service: str, instance_id: str, boot: int
    ) -> None:
        """Mark an instance as leaving because a peer reported it."""
        self._record_leaving(
            service, instance_id, boot, instance_observations.SOURCE_PEER
        )

    def _record_leaving(
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
        if not balancer.selector.record_leaving(instance_id, boot):
            return
        instance = balancer.selector.instance(instance_id)
        self._listeners.on_departure(
            instance_observations.Departure(
                service, instance, source, request_id
            )
        )
        balancer.wake()

    def mean_response_time(self, service: str, route: str) -> float | None:
        """Return the mean response time of a route, or None if unknown."""
        balancer = self._balancers_by_service.get(service)
        if (
            balancer is None
            or not balancer.allocation.response_times.is_reliable(route)
        ):
            return None
        return balancer.allocation.response_times.mean(route)

    def standing(
        self, service: str, instance: documents.Instance
    ) -> standings.Standing:
        """Return the standing of an instance in the view of this VM."""
        balancer = self._balancers_by_service.get(service)
        if instance.leaving:
            return standings.Standing(standings.State.DRAINING)
        if balancer is None:
            return standings.HEALTHY
        belief = balancer.selector.belief
        chance = belief.chance(instance.id, trio.current_time())
        return standings.Standing(
            STATES_BY_TRUST[beliefs.trust_of(chance)], 1.0 - chance
        )

    def next_trial_instance(self, service: str, now: float) -> str | None:
        """Return None: trials are part of the allocation's own choice."""
        return None

    def attempt_started(self, start: request_policies.AttemptStart) -> None:
        """Log the choice; the selector already counts the attempt."""
        self.paths.attempt_started(start)
        balancer = self._balancers_by_service.get(start.service)
        if balancer is None:
            return
        now = trio.current_time()
        self._report_start(balancer, start, now)
        crossing = balancer.selector.crossing_reason(start.instance_id, now)
        if crossing is not None:
            self._listeners.on_crossing(crossing)
        chance = balancer.selector.belief.chance(start.instance_id, now)
        events.emit(
            events.REQUEST_SENT,
            request_id=start.request_id,
            service=start.service,
            route=start.route,
            instance_id=start.instance_id,
            boot=start.boot,
            busy=balancer.selector.in_flight_at(start.instance_id),
            chance=round(chance, 3),
            waited=round(now - start.arrived, 4),
        )

    def _report_start(
        self,
        balancer: Balancer,
        start: request_policies.AttemptStart,
        now: float,
    ) -> None:
        """Tell the VMs that may take an instance for idle of a request."""
        selector = balancer.selector
        instance = selector.find(start.instance_id, start.boot)
        if instance is None or instance.domain != self._domain:
            return
        if selector.coverage.take_start_report(
            instance.id, selector.belief, now
        ):
            self._listeners.on_start(
                instance_observations.Start(start.service, instance)
            )

    def attempt_answered(
        self, start: request_policies.AttemptStart, status: int
    ) -> None:
        """Do nothing: only a complete answer is evidence."""

    def limit_read(self, reading: request_policies.LimitReading) -> None:
        """Record the limit that an answer names, or that it names none."""
        self.limits.record_reading(reading)

    def attempt_ended(self, end: request_policies.AttemptEnd) -> None:
        """Update the belief in an instance from an attempt's outcome."""
        self.paths.attempt_ended(end)
        events.emit(
            events.ATTEMPT_ENDED,
            request_id=end.start.request_id,
            instance_id=end.start.instance_id,
            outcome=outcome_classification.cause_label(end.outcome),
            elapsed=round(end.elapsed, 4),
            load=end.load,
        )
        balancer = self._balancers_by_service.get(end.start.service)
        if balancer is None:
            return
        now = trio.current_time()
        start = end.start
        instance = balancer.selector.find(start.instance_id, start.boot)
        if instance is None:
            return
        if end.load is not None:
            balancer.selector.record_load(instance.id, end.load, now)
        self._apply_announcements(balancer, end, now)
        classification = self._classify(end)
        if classification.failed is None:
            return
        self._listeners.on_belief_update(
            belief_updates.update_belief(
                balancer.allocation, instance, end, classification, now
            )
        )
        balancer.wake()

    def _classify(
        self, end: request_policies.AttemptEnd
    ) -> outcome_classification.Classification:
        """Classify an attempt; what a cut path causes is not shared."""
        classification = outcome_classification.classify(end.outcome, end)
        if isinstance(end.outcome, outcomes.Answered):
            return classification
        if not self.paths.is_failing(end.start.service):
            return classification
        return classification._replace(shareable=False)

    def _apply_announcements(
        self, balancer: Balancer, end: request_policies.AttemptEnd, now: float
    ) -> None:
        """Apply the drain sign and pause that an answer carried."""
        start = end.start
        if end.draining:
            self._record_leaving(
                start.service,
                start.instance_id,
                start.boot,
                instance_observations.SOURCE_ANSWER,
                start.request_id,
            )
        if end.pause is None:
            return
        fault = end.pause.error if end.pause.is_error() else None
        seconds = end.pause.ok if fault is None else fault.seconds
        balancer.selector.record_pause(
            start.instance_id, start.boot, seconds, now
        )
        self._listeners.on_pause(
            instance_observations.Pause(
                start.service,
                start.instance_id,
                start.boot,
                seconds,
                start.request_id,
                fault,
            )
        )
