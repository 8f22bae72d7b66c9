"""Plays a load pattern on the allocations of some VMs, in virtual time."""

import heapq
import itertools
import random
import typing

from primrosemill.configuration import document as documents
from primrosemill.decisions import allocation
from primrosemill.decisions import dispatch
from primrosemill.decisions import entry_points
from primrosemill.decisions import home_vms
from primrosemill.decisions import instance_usage
from primrosemill.decisions import priority_queue
from primrosemill.decisions import slot_pool

DOMAIN = "ain-sebaa"
URGENT = documents.Route(
    "host", "/bookings/", (), False, 2.5, "urgent", 0.6, 1, 2
)
PATIENT = documents.Route(
    "host", "/slots/", (), True, 2.5, "patient", 0.6, 2, 2
)
SPELL_FAILS = 0.9  # of what an instance gets in a spell of errors
INSTANCE_QUEUE = 12  # requests that an instance holds beyond its slots


class Pattern(typing.NamedTuple):
    """A load: requests a second by route, over some seconds.

    Each request comes to one of the ``vms``, which lead the instances that
    the product would let them lead. With ``told`` each hears at once of what
    failed at another.
    """

    rates: dict[documents.Route, float]
    seconds: float = 20.0
    work: float = 0.2
    returns: int = 0
    vms: int = 1
    told: bool = False


class Outcome(typing.NamedTuple):
    """How one request ended; times in seconds."""

    route: documents.Route
    arrived: float
    ended: float
    served: bool
    returned: int


class Instance:
    """An instance with slots, a queue and a speed; may shed or fail."""

    def __init__(self, number: int, slots: int = 3, **changes) -> None:
        self.record = documents.Instance(
            f"i-{number}", "10.0.0.1", 1 + number, DOMAIN, slots=slots
        )
        self.slow = changes.get("slow", 1.0)
        self.sheds = changes.get("sheds", 0.0)
        self.dead_from = changes.get("dead_from", float("inf"))
        self.fails = changes.get("fails", 0.0)
        # Times between which it fails nearly all that it gets, at once.
        self.spells: tuple[tuple[float, float], ...] = ()
        self.running = 0
        self.queue: list[tuple] = []
        self.queued_times: list[float] = []
        self.taken = 0


class Play:
    """One run of a pattern."""

    def __init__(
        self, instances: list[Instance], pattern: Pattern, seed: int = 1
    ) -> None:
        self.instances_by_id = {each.record.id: each for each in instances}
        self.pattern = pattern
        self.generator = random.Random(seed)
        records = [each.record for each in instances]
        vms = tuple(
            home_vms.Vm(f"vm-{number}", DOMAIN)
            for number in range(pattern.vms)
        )
        self.allocations = [
            allocation.Allocation(DOMAIN, self.generator, 0.0) for _ in vms
        ]
        for vm, each in zip(vms, self.allocations, strict=True):
            each.selector.set_instances(records, 0.0)
            if len(vms) > 1:
                each.selector.set_led_ids(
                    entry_points.led_ids(vm, vms, records)
                )
        self.outcomes: list[Outcome] = []
        self.attempts_at: list[tuple[float, str]] = []
        # The routes of the attempts that failed.
        self.failed_routes: list[documents.Route] = []
        self._count = itertools.count()
        self._events: list[tuple] = []
        self._waiting: dict[tuple[int, int], tuple] = {}

    def run(self) -> list[Outcome]:
        """Play all requests to their ends."""
        for route, rate in self.pattern.rates.items():
            time = 0.0
            while time < self.pattern.seconds:
                time += self.generator.expovariate(rate)
                vm = self.generator.randrange(len(self.allocations))
                self._at(time, self._arrive, (vm, route, time, 0))
        while self._events:
            now, _, act, args = heapq.heappop(self._events)
            act(now, *args)
            self._wake(now)
        return self.outcomes

    def share(self, route: documents.Route, in_time: bool = False) -> float:
        """Return the share of a route's requests that was served."""
        found = [each for each in self.outcomes if each.route is route]
        served = [
            each
            for each in found
            if each.served
            and (not in_time or each.ended - each.arrived <= route.target)
        ]
        return len(served) / len(found)

    def _at(self, time: float, act, args: tuple) -> None:
        heapq.heappush(self._events, (time, next(self._count), act, args))

    def _arrive(self, now, vm, route, arrived, returned, tried=()) -> None:
        only = None
        if len(tried) >= route.most_instances:
            only = frozenset(tried)
        wish = dispatch.SlotRequest(
            "caller",
            arrived + route.deadline,
            route.idempotent,
            frozenset(() if only else tried),
            only,
            route,
            arrived,
        )
        request = (route, arrived, returned, wish, tried, vm)
        asked = self.allocations[vm].request_slot(wish, now)
        if isinstance(asked, allocation.Waiting):
            self._waiting[vm, asked.ticket] = request
            self._at(wish.deadline, self._expire, (vm, asked.ticket))
        else:
            self._tell(now, request, asked)

    def _tell(self, now, request, told) -> None:
        if isinstance(told, priority_queue.Refused):
            self._end(now, request, False)
            return
        instance = self.instances_by_id[told.instance.id]
        instance.taken += 1
        self.attempts_at.append((now, told.instance.id))
        if now >= instance.dead_from or self._fails(instance, now):
            self._give_back(
                now, request, instance, now, slot_pool.SlotOutcome.FAILED
            )
            self._note_failure(request[5], told.instance.id, now)
            self.failed_routes.append(request[0])
            self._retry(now, request, told.instance.id)
        elif self._is_shed(instance):
            self._give_back(
                now, request, instance, now, slot_pool.SlotOutcome.SHED
            )
            self._retry(now, request, told.instance.id)
        else:
            instance.queue.append((request, now))
            self._start(now, instance)

    def _is_shed(self, instance: Instance) -> bool:
        if len(instance.queue) >= INSTANCE_QUEUE:
            return True
        return self.generator.random() < instance.sheds

    def _note_failure(self, vm: int, instance_id: str, now: float) -> None:
        for other, each in enumerate(self.allocations):
            if other == vm or self.pattern.told:
                each.selector.belief.record_failure(instance_id, now)
        self.allocations[vm].selector.coverage.note(False, now)

    def _fails(self, instance: Instance, now: float) -> bool:
        for start, end in instance.spells:
            if start <= now < end:
                return self.generator.random() < SPELL_FAILS
        return bool(instance.fails) and (
            self.generator.random() < instance.fails
        )

    def _start(self, now, instance: Instance) -> None:
        if instance.running >= instance.record.slots or not instance.queue:
            return
        request, sent = instance.queue.pop(0)
        instance.running += 1
        instance.queued_times.append(now - sent)
        work = self.generator.lognormvariate(0.0, 0.4) * self.pattern.work
        self._at(
            now + work * instance.slow, self._finish, (request, instance, sent)
        )

    def _finish(self, now, request, instance: Instance, sent) -> None:
        load = instance_usage.Load(
            instance.running, len(instance.queue), instance.record.slots
        )
        instance.running -= 1
        self._give_back(
            now, request, instance, sent, slot_pool.SlotOutcome.ANSWERED
        )
        instance_id = instance.record.id
        vm_allocation = self.allocations[request[5]]
        vm_allocation.selector.note_load(instance_id, load, now)
        times = vm_allocation.response_times
        name = request[0].name
        ratio = None
        if times.is_reliable(name):
            ratio = (now - sent) / times.mean(name)
        times.note(name, now - sent)
        self._note_answer(request[5], instance_id, ratio, sent, now)
        self._end(now, request, now <= request[3].deadline)
        self._start(now, instance)

    def _note_answer(self, vm, instance_id, ratio, sent, now) -> None:
        belief = self.allocations[vm].selector.belief
        if ratio is not None and belief.record_time_ratio(
            instance_id, ratio, now
        ):
            self._note_failure(vm, instance_id, now)
            return
        self.allocations[vm].selector.coverage.note(True, now)
        for other, each in enumerate(self.allocations):
            if other == vm or self.pattern.told:
                each.selector.belief.record_success(instance_id, sent, now)

    def _give_back(self, now, request, instance, sent, end) -> None:
        instance_id = instance.record.id
        vm_allocation = self.allocations[request[5]]
        vm_allocation.release(instance_id, now - sent, end, now)

    def _retry(self, now, request, instance_id) -> None:
        route, arrived, attempts, _, tried, vm = request
        if attempts >= 3:
            self._end(now, request, False)
            return
        tried = tuple({*tried, instance_id})
        self._at(
            now + 0.005,
            self._arrive,
            (vm, route, arrived, attempts + 1, tried),
        )

    def _expire(self, now, vm, ticket) -> None:
        request = self._waiting.pop((vm, ticket), None)
        if request is not None:
            self.allocations[vm].cancel(ticket)
            self._end(now, request, False)

    def _wake(self, now) -> None:
        dues = []
        for vm, vm_allocation in enumerate(self.allocations):
            if not vm_allocation.waiting:
                continue
            for wakeup in vm_allocation.wake(now):
                request = self._waiting.pop((vm, wakeup.ticket))
                self._tell(now, request, wakeup.decision)
            due = vm_allocation.next_wake(now)
            if due is not None:
                dues.append(due)
        if dues and not any(each[2] == self._look for each in self._events):
            self._at(min(dues), self._look, ())

    def _look(self, now) -> None:
        """Let :meth:`_wake` run."""

    def _end(self, now, request, served) -> None:
        route, arrived, returned, *_ = request
        self.outcomes.append(Outcome(route, arrived, now, served, returned))
        if not served and returned < self.pattern.returns:
            vm = request[5]
            self._at(now, self._arrive, (vm, route, now, returned + 1))
