"""Plays a load pattern on the allocations of some VMs, in virtual time.

Instances have slots and a queue and fail in spells; VMs tell each other what
they see as the product does. Everything follows from the seed.
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
from primrosemill.decisions import instance_usage
from primrosemill.decisions import priority_queue
from primrosemill.decisions import retry_budget
from primrosemill.decisions import slot_pool
from primrosemill.measure import load_instances
from primrosemill.measure import load_patterns

QUEUE = 12  # requests that an instance holds beyond its slots
PAUSE = 0.005  # seconds before another attempt
ERROR_TIME = 0.003  # seconds in which an instance answers with its own error
TELL_AFTER = 0.4  # seconds between tellings of good answers of an instance
# Of the fleet's retries, as the product takes them: share and reserve a VM.
RETRY_SHARE = 0.16
RETRY_RESERVE = 6.0

Make = typing.Callable[["Play", str], allocation.Allocation]


class Outcome(typing.NamedTuple):
    """How one request ended; times in seconds."""

    route: documents.Route
    arrived: float
    ended: float
    served: bool
    failed: bool


class Vm(typing.NamedTuple):
    """An entry VM, its decisions and what it told of instances."""

    id: str
    domain: str
    allocation: allocation.Allocation
    budget: retry_budget.RetryBudget
    told_at_by_id: dict[str, float]


class _Request(typing.NamedTuple):
    route: documents.Route
    arrived: float
    vm: Vm
    attempts: int
    returned: int
    tried: frozenset[str]


class Play:
    """One run of a pattern."""

    def __init__(
        self, pattern: load_patterns.Pattern, make: Make, seed: int
    ) -> None:
        self.pattern = pattern
        self.generator = random.Random(seed)
        self.now = 0.0
        self.outcomes: list[Outcome] = []
        self.attempts = 0
        self.crossings = 0
        self.repeats = 0
        self.into_spells = 0
        self._count = itertools.count()
        self._events: list[tuple] = []
        self._waiting: dict[tuple[str, int], _Request] = {}
        self._wakes_due: set[str] = set()
        self.instances_by_id = load_instances.draw(pattern, self.generator)
        records = [each.record for each in self.instances_by_id.values()]
        self._vms_by_domain: dict[str, list[Vm]] = {}
        for number in range(len(pattern.domains)):
            self._add_vms(f"d{number}", make, records)

    def _add_vms(
        self, domain: str, make: Make, records: list[documents.Instance]
    ) -> None:
        points = tuple(
            home_vms.Vm(f"{domain}-vm-{number}", domain)
            for number in range(self.pattern.vms)
        )
        vms = self._vms_by_domain[domain] = []
        for point in points:
            made = make(self, domain)
            made.selector.set_instances(records, 0.0)
            led_ids = entry_points.led_ids(point, points, records)
            made.selector.set_led_ids(led_ids)
            budget = retry_budget.RetryBudget(RETRY_SHARE, RETRY_RESERVE)
            vms.append(Vm(point.id, domain, made, budget, {}))

    def run(self) -> list[Outcome]:
        """Play all requests to their ends."""
        pattern = self.pattern
        total = sum(pattern.shares)
        for route, rate in pattern.rates.items():
            for number, share in enumerate(pattern.shares):
                self._schedule(route, rate * share / total, f"d{number}")
        while self._events:
            now, _, act, args = heapq.heappop(self._events)
            self.now = now
            act(now, *args)
        return self.outcomes

    def _schedule(
        self, route: documents.Route, rate: float, domain: str
    ) -> None:
        """Draw the arrivals of a route in a domain."""
        pattern = self.pattern
        time = 0.0
        vms = self._vms_by_domain[domain]
        while time < pattern.seconds:
            struck = 0.0 <= time - pattern.strikes < pattern.lasts
            factor = pattern.burst if struck else 1.0
            time += self.generator.expovariate(rate * factor)
            vm = self.generator.choice(vms)
            request = _Request(route, time, vm, 0, 0, frozenset())
            self._at(time, self._arrive, request)

    def _at(self, time: float, act: typing.Callable, *args: object) -> None:
        heapq.heappush(self._events, (time, next(self._count), act, args))

    def _wish(self, request: _Request) -> dispatch.SlotRequest:
        route = request.route
        excluded, only = request.tried, None
        if len(request.tried) >= route.most_instances:
            excluded, only = frozenset(), request.tried
        return dispatch.SlotRequest(
            "caller",
            request.arrived + route.deadline,
            route.idempotent,
            excluded,
            only,
            route,
            request.arrived,
            repeat_cost=request.vm.budget.repeat_cost,
        )

    def _arrive(self, now: float, request: _Request) -> None:
        vm = request.vm
        if not request.attempts:
            vm.budget.earn()
        asked = vm.allocation.request_slot(self._wish(request), now)
        if isinstance(asked, allocation.Waiting):
            self._waiting[vm.id, asked.ticket] = request
            deadline = request.arrived + request.route.deadline
            self._at(deadline, self._expire, vm, asked.ticket)
            self._wake(now, vm)
        else:
            self._tell(now, request, asked)

    def _tell(
        self,
        now: float,
        request: _Request,
        told: allocation.Granted | priority_queue.Refused,
    ) -> None:
        if isinstance(told, priority_queue.Refused):
            self._end(now, request, False, False)
            return
        instance = self.instances_by_id[told.instance.id]
        self.attempts += 1
        self.repeats += bool(request.attempts)
        self.crossings += instance.record.domain != request.vm.domain
        if load_instances.covers(instance.silent, now):
            deadline = request.arrived + request.route.deadline
            self._at(deadline, self._fail, request, instance, now)
        elif load_instances.covers(instance.lost, now):
            self._at(now + ERROR_TIME, self._lose, request, instance, now)
        elif self._fails(instance, now):
            self._at(now + ERROR_TIME, self._fail, request, instance, now)
        elif self._sheds(instance, now):
            self._at(now + ERROR_TIME, self._shed, request, instance, now)
        else:
            instance.queue.append((request, now))
            self._start(now, instance)

    def _fails(self, instance: load_instances.Instance, now: float) -> bool:
        spells = self.pattern.spells
        in_spell = load_instances.covers(instance.spells, now)
        self.into_spells += in_spell
        share = spells.fails if in_spell else spells.ordinary
        return self.generator.random() < share

    def _sheds(self, instance: load_instances.Instance, now: float) -> bool:
        struck = 0.0 <= now - self.pattern.strikes < self.pattern.lasts
        if struck and self.generator.random() < self.pattern.shed:
            return True
        return len(instance.queue) >= QUEUE

    def _start(self, now: float, instance: load_instances.Instance) -> None:
        if instance.running >= instance.record.slots or not instance.queue:
            return
        request, sent = instance.queue.pop(0)
        instance.running += 1
        spread = self.pattern.spread
        mean = -spread * spread / 2.0
        work = self.pattern.work * self.generator.lognormvariate(mean, spread)
        if load_instances.covers(instance.slow, now):
            work *= self.pattern.slow
        self._at(now + work, self._finish, request, instance, sent)

    def _finish(
        self,
        now: float,
        request: _Request,
        instance: load_instances.Instance,
        sent: float,
    ) -> None:
        load = instance_usage.Load(
            instance.running, len(instance.queue), instance.record.slots
        )
        instance.running -= 1
        self._give_back(
            now, request, instance, sent, slot_pool.SlotOutcome.ANSWERED
        )
        made = request.vm.allocation
        made.selector.note_load(instance.record.id, load, now)
        self._note_answer(now, request, instance, sent)
        deadline = request.arrived + request.route.deadline
        self._end(now, request, now <= deadline, now > deadline)
        self._start(now, instance)
        self._wake(now, request.vm)

    def _note_answer(
        self,
        now: float,
        request: _Request,
        instance: load_instances.Instance,
        sent: float,
    ) -> None:
        vm, name = request.vm, request.route.name
        times = vm.allocation.response_times
        known = times.is_reliable(name)
        ratio = (now - sent) / times.mean(name) if known else 1.0
        times.note(name, now - sent)
        instance_id = instance.record.id
        belief = vm.allocation.selector.belief
        if known and belief.record_time_ratio(instance_id, ratio, now):
            self._note_failure(now, request, instance)
            return
        vm.allocation.selector.coverage.note(True, now)
        belief.record_reached(instance_id, now)
        belief.record_success(instance_id, sent, now)
        told_at = vm.told_at_by_id.get(instance_id, -math.inf)
        at_home = instance.record.domain == vm.domain
        if self.pattern.told is None or not at_home:
            return
        if now - told_at < TELL_AFTER:
            return
        for other in self._vms_by_domain[vm.domain]:
            other.told_at_by_id[instance_id] = now
            if other is not vm:
                self._at(
                    now + self.pattern.told,
                    self._hear_good,
                    other,
                    instance_id,
                    sent,
                )

    def _hear_good(
        self, now: float, vm: Vm, instance_id: str, sent: float
    ) -> None:
        vm.allocation.selector.belief.record_success(instance_id, sent, now)

    def _note_failure(
        self, now: float, request: _Request, instance: load_instances.Instance
    ) -> None:
        vm, instance_id = request.vm, instance.record.id
        balance = vm.allocation.selector
        balance.coverage.note(False, now)
        change = balance.belief.record_failure(instance_id, now)
        vm.told_at_by_id.pop(instance_id, None)
        if self.pattern.told is None:
            return
        wide = beliefs.trust_of(change.after) is not beliefs.Trust.TRUSTED
        for domain, vms in self._vms_by_domain.items():
            if domain != vm.domain and not wide:
                continue
            for other in vms:
                if other is not vm:
                    self._at(
                        now + self.pattern.told,
                        self._hear_failure,
                        other,
                        instance_id,
                    )

    def _hear_failure(self, now: float, vm: Vm, instance_id: str) -> None:
        vm.allocation.selector.belief.record_failure(instance_id, now)
        vm.told_at_by_id.pop(instance_id, None)

    def _fail(
        self,
        now: float,
        request: _Request,
        instance: load_instances.Instance,
        sent: float,
    ) -> None:
        """Answer with the instance's own error, or not at all in time."""
        self._give_back(
            now, request, instance, sent, slot_pool.SlotOutcome.FAILED
        )
        self._note_failure(now, request, instance)
        if request.route.idempotent:
            self._retry(now, request, instance, failed=True)
        else:
            self._end(now, request, False, True)
        self._wake(now, request.vm)

    def _lose(
        self,
        now: float,
        request: _Request,
        instance: load_instances.Instance,
        sent: float,
    ) -> None:
        """Find that there is no way to the instance."""
        self._give_back(
            now, request, instance, sent, slot_pool.SlotOutcome.FAILED
        )
        balance = request.vm.allocation.selector
        balance.coverage.note(False, now)
        balance.belief.record_unreachable(instance.record.id, now)
        self._retry(now, request, instance, failed=False)
        self._wake(now, request.vm)

    def _shed(
        self,
        now: float,
        request: _Request,
        instance: load_instances.Instance,
        sent: float,
    ) -> None:
        self._give_back(
            now, request, instance, sent, slot_pool.SlotOutcome.SHED
        )
        request.vm.allocation.selector.coverage.note(False, now)
        self._retry(now, request, instance, failed=False)
        self._wake(now, request.vm)

    def _give_back(
        self,
        now: float,
        request: _Request,
        instance: load_instances.Instance,
        sent: float,
        end: slot_pool.SlotOutcome,
    ) -> None:
        request.vm.allocation.release(instance.record.id, now - sent, end, now)

    def _retry(
        self,
        now: float,
        request: _Request,
        instance: load_instances.Instance,
        failed: bool,
    ) -> None:
        tried = request.tried | {instance.record.id}
        done = failed and len(tried) >= request.route.most_instances
        late = now + PAUSE >= request.arrived + request.route.deadline
        if done or late or not request.vm.budget.spend():
            self._end(now, request, False, failed)
            return
        again = request._replace(attempts=request.attempts + 1, tried=tried)
        self._at(now + PAUSE, self._arrive, again)

    def _expire(self, now: float, vm: Vm, ticket: int) -> None:
        request = self._waiting.pop((vm.id, ticket), None)
        if request is not None:
            vm.allocation.cancel(ticket)
            self._end(now, request, False, False)

    def _wake(self, now: float, vm: Vm) -> None:
        if not vm.allocation.waiting:
            return
        for wakeup in vm.allocation.wake(now):
            request = self._waiting.pop((vm.id, wakeup.ticket))
            self._tell(now, request, wakeup.decision)
        due = vm.allocation.next_wake(now)
        if due is not None and vm.id not in self._wakes_due:
            self._wakes_due.add(vm.id)
            self._at(max(due, now + PAUSE), self._wake_later, vm)

    def _wake_later(self, now: float, vm: Vm) -> None:
        self._wakes_due.discard(vm.id)
        self._wake(now, vm)

    def _end(
        self, now: float, request: _Request, served: bool, failed: bool
    ) -> None:
        route, arrived = request.route, request.arrived
        self.outcomes.append(Outcome(route, arrived, now, served, failed))
        if (
            not served
            and not failed
            and (request.returned < self.pattern.returns)
        ):
            again = request._replace(
                arrived_at=now,
                attempts=0,
                returned=request.returned + 1,
                tried=frozenset(),
            )
            self._at(now, self._arrive, again)
