"""Simulation of a load pattern on the allocations of some VMs.

Time is virtual and in seconds. Instances have slots and a queue, and fail in
spells. VMs report their observations of instances to each other as in the
product. A seed determines the whole run.
"""

import heapq
import itertools
import math
import random
import typing

from primrosemill.configuration import document as documents
from primrosemill.decisions import allocation
from primrosemill.decisions import belief as beliefs
from primrosemill.decisions import dispatch
from primrosemill.decisions import entry_points
from primrosemill.decisions import home_vms
from primrosemill.decisions import instance_limits
from primrosemill.decisions import instance_usage
from primrosemill.decisions import limit_shares
from primrosemill.decisions import priority_queue
from primrosemill.decisions import request_losses
from primrosemill.decisions import retry_budget
from primrosemill.decisions import room
from primrosemill.decisions import service_losses
from primrosemill.decisions import slot_pool
from primrosemill.measure import load_instances
from primrosemill.measure import load_patterns

# Requests that an instance queues beyond its slots, for each slot.
QUEUE_FACTOR = 3
RETRY_PAUSE = 0.005  # seconds before another attempt
# Share of its remaining time for which a caller honours a Retry-After.
MAX_RETURN_WAIT_SHARE = 1.0 / 3.0
ERROR_TIME = 0.003  # seconds until a failed, lost or shed attempt ends
# A domain's VMs report an instance's successes to each other this often.
SUCCESS_REPORT_INTERVAL = 0.4  # seconds
RETRY_WINDOW = 10.0  # seconds in which the fleet's retries are counted
RETRY_SHARE = 0.2  # of the fleet's requests may be repeated

# Returns the allocation of a VM in a failure domain.
AllocationFactory = typing.Callable[["Simulation", str], allocation.Allocation]


class Outcome(typing.NamedTuple):
    """How one request ended; if neither served nor failed, it was refused."""

    route: documents.Route
    arrived_at: float
    ended_at: float
    served: bool
    failed: bool


class Vm(typing.NamedTuple):
    """An entry VM and its decisions on the requests of one service.

    ``reported_at_by_id`` is when an instance's success was last reported in
    the VM's failure domain.
    """

    id: str
    domain: str
    allocation: allocation.Allocation
    budget: retry_budget.RetryBudget
    reported_at_by_id: dict[str, float]


class _Request(typing.NamedTuple):
    """A request that has not ended, and the instances that it was sent to."""

    route: documents.Route
    arrived_at: float
    vm: Vm
    attempts: int
    resubmissions: int
    tried_ids: frozenset[str]
    loss: request_losses.RequestLoss


class Simulation:
    """One run of a pattern.

    ``attempts`` counts all attempts, ``crossings`` those to another failure
    domain than the VM's, ``repeats`` those after the first of a request, and
    ``into_spells`` those to an instance during one of its spells.
    """

    def __init__(
        self,
        pattern: load_patterns.Pattern,
        make_allocation: AllocationFactory,
        seed: int,
    ) -> None:
        self.pattern = pattern
        self.generator = random.Random(seed)
        self.now = 0.0
        self.outcomes: list[Outcome] = []
        self.attempts = 0
        self.crossings = 0
        self.repeats = 0
        self.into_spells = 0
        self.room_reports = 0
        self._event_numbers = itertools.count()
        self._events: list[tuple] = []
        self._requests_by_ticket: dict[tuple[str, int], _Request] = {}
        self._scheduled_wakes: set[str] = set()
        self.instances_by_id = load_instances.draw(pattern, self.generator)
        records = [each.record for each in self.instances_by_id.values()]
        self._vms_by_domain: dict[str, list[Vm]] = {}
        self._vm_count = pattern.vms_per_domain * len(pattern.instance_counts)
        for number in range(len(pattern.instance_counts)):
            self._add_vms(f"d{number}", make_allocation, records)

    def _add_vms(
        self,
        domain: str,
        make_allocation: AllocationFactory,
        records: list[documents.Instance],
    ) -> None:
        entry_vms = tuple(
            home_vms.Vm(f"{domain}-vm-{number}", domain)
            for number in range(self.pattern.vms_per_domain)
        )
        vms = self._vms_by_domain[domain] = []
        for entry_vm in entry_vms:
            vm_allocation = make_allocation(self, domain)
            vm_allocation.selector.set_instances(records, 0.0)
            shares = limit_shares.LimitShares(entry_vm.id)
            view = limit_shares.View({domain: entry_vms}, len(entry_vms))
            shares.set_view(view, -limit_shares.VIEW_SETTLE_TIME)
            vm_allocation.selector.limits = instance_limits.InstanceLimits(
                shares
            )
            led_ids = entry_points.led_ids(entry_vm, entry_vms, records)
            vm_allocation.selector.set_led_ids(led_ids)
            vm_allocation.selector.coverage.losses.vm_count = self._vm_count
            budget = retry_budget.WindowedRetryBudget(
                retry_budget.FLEET_FRACTION * RETRY_SHARE,
                retry_budget.FLEET_FRACTION
                * self.pattern.retry_slack
                / self._vm_count,
                RETRY_WINDOW,
            )
            vms.append(Vm(entry_vm.id, domain, vm_allocation, budget, {}))

    def run(self) -> list[Outcome]:
        """Run until all requests have ended, and return their outcomes."""
        pattern = self.pattern
        total = sum(pattern.caller_weights)
        for route, rate in pattern.rate_by_route.items():
            for number, weight in enumerate(pattern.caller_weights):
                self._schedule_arrivals(route, rate * weight / total, number)
        for number, vm in enumerate(self._all_vms()):
            self._schedule(0.0, self._report_losses, vm)
            if pattern.room_shared and pattern.report_delay is not None:
                vm.allocation.room.peer_count = self._vm_count - 1
                interval = room.service_room.REPORT_INTERVAL
                first = interval * number / self._vm_count
                self._schedule(first, self._report_room, vm)
        while self._events:
            now, _, callback, args = heapq.heappop(self._events)
            self.now = now
            callback(now, *args)
        return self.outcomes

    def _all_vms(self) -> list[Vm]:
        return [vm for vms in self._vms_by_domain.values() for vm in vms]

    def _report_losses(self, now: float, vm: Vm) -> None:
        """Report what a VM loses to all others, and again later."""
        if now >= self.pattern.seconds:
            return
        self._schedule(
            now + service_losses.CHECK_INTERVAL, self._report_losses, vm
        )
        vm.allocation.selector.record_overdue(now)
        losses = vm.allocation.selector.coverage.losses
        report = losses.take_report(now)
        if report is None or self.pattern.report_delay is None:
            return
        self._tell(
            vm, self._all_vms(), now, self._receive_losses, vm.id, report
        )

    def _tell(
        self,
        sender: Vm,
        vms: typing.Iterable[Vm],
        now: float,
        receive: typing.Callable,
        *args: object,
    ) -> None:
        """Let other VMs receive what one of them reports."""
        for vm in vms:
            if vm is sender:
                continue
            self._schedule(now + self.pattern.report_delay, receive, vm, *args)

    def _receive_losses(
        self,
        now: float,
        vm: Vm,
        reporter_id: str,
        report: service_losses.Report,
    ) -> None:
        losses = vm.allocation.selector.coverage.losses
        losses.record_peer(reporter_id, report, now)

    def _report_room(self, now: float, vm: Vm) -> None:
        """Report what a VM holds of the service, and again later."""
        if now >= self.pattern.seconds:
            return
        self._schedule(
            now + room.service_room.CHECK_INTERVAL, self._report_room, vm
        )
        vm.allocation.update_room(now)
        if not vm.allocation.room.is_report_due(now):
            return
        report = vm.allocation.room_report(now)
        self.room_reports += 1
        self._tell(
            vm, self._all_vms(), now, self._receive_room, vm.id, report, now
        )

    def _receive_room(
        self,
        now: float,
        vm: Vm,
        reporter_id: str,
        report: room.service_room.Report,
        measured_at: float,
    ) -> None:
        vm.allocation.room.record_peer(reporter_id, report, measured_at, now)

    def _schedule_arrivals(
        self, route: documents.Route, rate: float, domain_number: int
    ) -> None:
        """Draw the arrivals of a route's requests in a failure domain."""
        pattern = self.pattern
        time = 0.0
        vms = self._vms_by_domain[f"d{domain_number}"]
        while time < pattern.seconds:
            factor = pattern.rate_factor(route, domain_number, time)
            time += self.generator.expovariate(rate * factor)
            vm = self.generator.choice(vms)
            request = _Request(
                route,
                time,
                vm,
                0,
                0,
                frozenset(),
                request_losses.RequestLoss(),
            )
            self._schedule(time, self._arrive, request)

    def _schedule(
        self, time: float, callback: typing.Callable, *args: object
    ) -> None:
        heapq.heappush(
            self._events, (time, next(self._event_numbers), callback, args)
        )

    def _slot_request(self, request: _Request) -> dispatch.SlotRequest:
        route = request.route
        excluded_ids, allowed_ids = request.tried_ids, None
        if len(request.tried_ids) >= route.max_instances:
            excluded_ids, allowed_ids = frozenset(), request.tried_ids
        return dispatch.SlotRequest(
            "caller",
            request.arrived_at + route.deadline,
            route.idempotent,
            excluded_ids,
            allowed_ids,
            route,
            request.arrived_at,
            repeat_cost=request.vm.budget.repeat_cost,
            loss=request.loss,
        )

    def _arrive(self, now: float, request: _Request) -> None:
        vm = request.vm
        if self._is_failing(vm, now):
            self._finish(now, request, False, False)
            return
        vm.budget.advance(now)
        if not request.attempts:
            vm.budget.earn()
        decision = vm.allocation.request_slot(self._slot_request(request), now)
        if isinstance(decision, allocation.Waiting):
            self._requests_by_ticket[vm.id, decision.ticket] = request
            deadline = request.arrived_at + request.route.deadline
            self._schedule(deadline, self._expire, vm, decision.ticket)
            self._wake(now, vm)
        else:
            self._handle_decision(now, request, decision)

    def _is_failing(self, vm: Vm, now: float) -> bool:
        """Return whether a VM refuses all requests now."""
        pattern = self.pattern
        vms = self._vms_by_domain[vm.domain]
        failing_count = round(pattern.failing_vm_share * len(vms))
        return vm in vms[:failing_count] and (
            0.0 <= now - pattern.incident_start < pattern.incident_duration
        )

    def _handle_decision(
        self,
        now: float,
        request: _Request,
        decision: allocation.Granted | priority_queue.Refused,
    ) -> None:
        if isinstance(decision, priority_queue.Refused):
            self._refuse(now, request, decision)
            return
        instance = self.instances_by_id[decision.instance.id]
        instance.arrivals.append(now)
        self._report_start(now, request.vm, instance)
        self.attempts += 1
        self.repeats += bool(request.attempts)
        self.crossings += instance.record.domain != request.vm.domain
        if load_instances.covers(instance.silent, now):
            deadline = request.arrived_at + request.route.deadline
            self._schedule(
                deadline, self._fail_attempt, request, instance, now
            )
        elif load_instances.covers(instance.lost, now):
            self._schedule(
                now + ERROR_TIME,
                self._fail_unreachable,
                request,
                instance,
                now,
            )
        elif self._draw_failure(instance, now):
            instance.failed_at.append(now)
            self._schedule(
                now + ERROR_TIME, self._fail_attempt, request, instance, now
            )
        elif self._draw_shed(instance, now):
            self._schedule(
                now + ERROR_TIME, self._shed_attempt, request, instance, now
            )
        else:
            instance.queue.append((request, now))
            self._start_next(now, instance)

    def _report_start(
        self, now: float, vm: Vm, instance: load_instances.Instance
    ) -> None:
        """Report a start in the VM's domain while the service is degraded."""
        if self.pattern.report_delay is None:
            return
        if instance.record.domain != vm.domain:
            return
        selector = vm.allocation.selector
        if not selector.coverage.take_start_report(
            instance.record.id, selector.belief, now
        ):
            return
        domain_vms = self._vms_by_domain[vm.domain]
        self._tell(
            vm, domain_vms, now, self._receive_start, instance.record.id, now
        )

    def _receive_start(
        self, now: float, vm: Vm, instance_id: str, sent_at: float
    ) -> None:
        coverage = vm.allocation.selector.coverage
        coverage.record_peer_start(instance_id, sent_at)

    def _draw_failure(
        self, instance: load_instances.Instance, now: float
    ) -> bool:
        spells = self.pattern.spells
        in_spell = load_instances.covers(instance.spells, now)
        self.into_spells += in_spell
        share = (
            spells.failure_share if in_spell else spells.ordinary_failure_share
        )
        return self.generator.random() < share

    def _draw_shed(
        self, instance: load_instances.Instance, now: float
    ) -> bool:
        if (
            load_instances.covers(instance.shedding, now)
            and self.generator.random() < self.pattern.shed_share
        ):
            return True
        return len(instance.queue) >= QUEUE_FACTOR * self.pattern.slots

    def _start_next(
        self, now: float, instance: load_instances.Instance
    ) -> None:
        if instance.running >= instance.record.slots or not instance.queue:
            return
        request, sent_at = instance.queue.pop(0)
        instance.running += 1
        sigma = self.pattern.service_time_sigma
        mu = -sigma * sigma / 2.0
        service_time = (
            self.pattern.service_time
            * self.pattern.work_factors.get(request.route.name, 1.0)
            * self.generator.lognormvariate(mu, sigma)
        )
        if load_instances.covers(instance.slow, now):
            service_time *= self.pattern.slow_factor
        self._schedule(
            now + service_time, self._answer, request, instance, sent_at
        )

    def _answer(
        self,
        now: float,
        request: _Request,
        instance: load_instances.Instance,
        sent_at: float,
    ) -> None:
        load = instance_usage.Load(
            instance.running, len(instance.queue), instance.record.slots
        )
        instance.running -= 1
        self._release(
            now, request, instance, sent_at, slot_pool.SlotOutcome.ANSWERED
        )
        vm_allocation = request.vm.allocation
        vm_allocation.selector.record_load(instance.record.id, load, now)
        self._record_answer(now, request, instance, sent_at)
        self._record_limit(now, request.vm, instance, sent_at)
        deadline = request.arrived_at + request.route.deadline
        self._finish(now, request, now <= deadline, now > deadline)
        self._start_next(now, instance)
        self._wake(now, request.vm)

    def _record_answer(
        self,
        now: float,
        request: _Request,
        instance: load_instances.Instance,
        sent_at: float,
    ) -> None:
        vm, name = request.vm, request.route.name
        response_times = vm.allocation.response_times
        reliable = response_times.is_reliable(name)
        ratio = (
            (now - sent_at) / response_times.mean(name) if reliable else 1.0
        )
        response_times.record(name, now - sent_at)
        instance_id = instance.record.id
        belief = vm.allocation.selector.belief
        if reliable and belief.record_time_ratio(instance_id, ratio, now):
            self._record_failure(now, request, instance)
            return
        belief.record_reached(instance_id, now)
        belief.record_success(instance_id, sent_at, now)
        reported_at = vm.reported_at_by_id.get(instance_id, -math.inf)
        local = instance.record.domain == vm.domain
        if self.pattern.report_delay is None or not local:
            return
        if now - reported_at < SUCCESS_REPORT_INTERVAL:
            return
        domain_vms = self._vms_by_domain[vm.domain]
        for each in domain_vms:
            each.reported_at_by_id[instance_id] = now
        self._tell(
            vm, domain_vms, now, self._receive_success, instance_id, sent_at
        )

    def _record_limit(
        self,
        now: float,
        vm: Vm,
        instance: load_instances.Instance,
        sent_at: float,
    ) -> None:
        """Record the limit that an answer names, and report a change."""
        rate = None
        if load_instances.covers(instance.limited, now):
            rate = self.pattern.limit_rate
        statement = instance_limits.Statement(rate, sent_at, now)
        change = vm.allocation.selector.limits.record(
            instance.record, statement
        )
        if change is None or self.pattern.report_delay is None:
            return
        self._tell(
            vm,
            self._all_vms(),
            now,
            self._receive_limit,
            instance.record,
            statement,
        )

    def _receive_limit(
        self,
        now: float,
        vm: Vm,
        instance: documents.Instance,
        statement: instance_limits.Statement,
    ) -> None:
        vm.allocation.selector.limits.record(instance, statement)

    def _receive_success(
        self, now: float, vm: Vm, instance_id: str, sent_at: float
    ) -> None:
        vm.allocation.selector.belief.record_success(instance_id, sent_at, now)

    def _record_failure(
        self, now: float, request: _Request, instance: load_instances.Instance
    ) -> None:
        vm, instance_id = request.vm, instance.record.id
        selector = vm.allocation.selector
        change = selector.belief.record_failure(instance_id, now)
        vm.reported_at_by_id.pop(instance_id, None)
        if self.pattern.report_delay is None:
            return
        report_to_all = (
            beliefs.trust_of(change.after) is not beliefs.Trust.TRUSTED
        )
        for domain, vms in self._vms_by_domain.items():
            if domain != vm.domain and not report_to_all:
                continue
            self._tell(vm, vms, now, self._receive_failure, instance_id)

    def _receive_failure(self, now: float, vm: Vm, instance_id: str) -> None:
        vm.allocation.selector.belief.record_failure(instance_id, now)
        vm.reported_at_by_id.pop(instance_id, None)

    def _fail_attempt(
        self,
        now: float,
        request: _Request,
        instance: load_instances.Instance,
        sent_at: float,
    ) -> None:
        """Handle an error response, or no response by the deadline."""
        self._release(
            now, request, instance, sent_at, slot_pool.SlotOutcome.FAILED
        )
        self._record_failure(now, request, instance)
        if request.route.idempotent:
            self._retry(now, request, instance, failed=True)
        else:
            self._finish(now, request, False, True)
        self._wake(now, request.vm)

    def _fail_unreachable(
        self,
        now: float,
        request: _Request,
        instance: load_instances.Instance,
        sent_at: float,
    ) -> None:
        """Handle an attempt that could not reach its instance."""
        self._release(
            now, request, instance, sent_at, slot_pool.SlotOutcome.FAILED
        )
        selector = request.vm.allocation.selector
        selector.belief.record_unreachable(instance.record.id, now)
        self._retry(now, request, instance, failed=False)
        self._wake(now, request.vm)

    def _shed_attempt(
        self,
        now: float,
        request: _Request,
        instance: load_instances.Instance,
        sent_at: float,
    ) -> None:
        self._release(
            now, request, instance, sent_at, slot_pool.SlotOutcome.SHED
        )
        self._retry(now, request, instance, failed=False)
        self._wake(now, request.vm)

    def _release(
        self,
        now: float,
        request: _Request,
        instance: load_instances.Instance,
        sent_at: float,
        outcome: slot_pool.SlotOutcome,
    ) -> None:
        request.vm.allocation.release(
            instance.record.id, now - sent_at, outcome, now
        )

    def _retry(
        self,
        now: float,
        request: _Request,
        instance: load_instances.Instance,
        failed: bool,
    ) -> None:
        tried_ids = request.tried_ids | {instance.record.id}
        exhausted = failed and len(tried_ids) >= request.route.max_instances
        late = now + RETRY_PAUSE >= request.arrived_at + request.route.deadline
        budget = request.vm.budget
        budget.advance(now)
        may_spend = failed or budget.allows_shed_retry
        if exhausted or late or not may_spend or not budget.spend():
            self._finish(now, request, False, failed)
            return
        retry = request._replace(
            attempts=request.attempts + 1, tried_ids=tried_ids
        )
        self._schedule(now + RETRY_PAUSE, self._arrive, retry)

    def _expire(self, now: float, vm: Vm, ticket: int) -> None:
        request = self._requests_by_ticket.pop((vm.id, ticket), None)
        if request is not None:
            vm.allocation.cancel(ticket)
            self._finish(now, request, False, False)

    def _wake(self, now: float, vm: Vm) -> None:
        if not vm.allocation.waiting:
            return
        for wakeup in vm.allocation.wake(now):
            request = self._requests_by_ticket.pop((vm.id, wakeup.ticket))
            self._handle_decision(now, request, wakeup.decision)
        wake_at = vm.allocation.next_wake(now)
        if wake_at is not None and vm.id not in self._scheduled_wakes:
            self._scheduled_wakes.add(vm.id)
            self._schedule(
                max(wake_at, now + RETRY_PAUSE), self._run_scheduled_wake, vm
            )

    def _run_scheduled_wake(self, now: float, vm: Vm) -> None:
        self._scheduled_wakes.discard(vm.id)
        self._wake(now, vm)

    def _refuse(
        self, now: float, request: _Request, refusal: priority_queue.Refused
    ) -> None:
        """End a refused request, or let its caller come back."""
        deadline = request.arrived_at + request.route.deadline
        wait = min(
            refusal.retry_after, (deadline - now) * MAX_RETURN_WAIT_SHARE
        )
        if (
            not self.pattern.honours_retry_after
            or wait <= 0.0
            or request.resubmissions >= self.pattern.max_resubmissions
        ):
            self._finish(now, request, False, False)
            return
        vms = self._vms_by_domain[request.vm.domain]
        resubmission = request._replace(
            vm=self.generator.choice(vms),
            attempts=0,
            resubmissions=request.resubmissions + 1,
            tried_ids=frozenset(),
            loss=request_losses.RequestLoss(),
        )
        self._schedule(now + wait, self._arrive, resubmission)

    def _finish(
        self, now: float, request: _Request, served: bool, failed: bool
    ) -> None:
        route, arrived = request.route, request.arrived_at
        losses = request.vm.allocation.selector.coverage.losses
        losses.record_end(request.loss, served, now)
        self.outcomes.append(Outcome(route, arrived, now, served, failed))
        if (
            not served
            and not failed
            and request.resubmissions < self.pattern.max_resubmissions
            and not self.pattern.honours_retry_after
        ):
            resubmission = request._replace(
                arrived_at=now,
                attempts=0,
                resubmissions=request.resubmissions + 1,
                tried_ids=frozenset(),
                loss=request_losses.RequestLoss(),
            )
            self._schedule(now, self._arrive, resubmission)
