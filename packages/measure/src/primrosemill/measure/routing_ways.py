"""Holds the ways of choosing an instance that the model compares."""

import collections
import random
import typing

from primrosemill.configuration import document as documents
from primrosemill.decisions import home_vms
from primrosemill.decisions import leads
from primrosemill.decisions import slot_pool
from primrosemill.measure import routing_model

RETRY_PAUSE = 0.005  # seconds, once every instance has shed a request
WAKE_FLOOR = 0.0001  # seconds, so that a wake is never in the past
ASK_LIFETIME = 0.1  # seconds that a lead keeps an ask
Pick = typing.Callable[["OwnCounts", list[int]], int]


def build_service(fleet: routing_model.Fleet) -> documents.Service:
    """Return the service of a fleet as its document would hold it."""
    instances = tuple(
        documents.Instance(str(each), "127.0.0.1", 9, f"d{each % 3}")
        for each in range(fleet.instances)
    )
    return documents.Service(
        fleet.name,
        1,
        instances,
        (),
        fleet.slots,
        300,
        0,
        0.5,
        0.0,
        0.0,
        "/",
        10.0,
    )


def rank_homes(
    fleet: routing_model.Fleet, count: int
) -> dict[str, tuple[str, ...]]:
    """Return the homes by instance, the lead first."""
    vms = [home_vms.Vm(str(each), f"d{each % 3}") for each in range(count)]
    return leads.rank_homes(build_service(fleet).instances, vms)


class Waiting:
    """Keeps requests that found no slot, first come first served."""

    def __init__(self, model: routing_model.Model, home: int) -> None:
        self._model = model
        self._home = home
        self._queue: collections.deque[routing_model.Request]
        self._queue = collections.deque()

    def arrive(self, request: routing_model.Request) -> None:
        """Take a request from a caller."""
        if self._queue or not self.start(request):
            self._queue.append(request)

    def drain(self) -> None:
        """Start those who wait, as far as there are slots."""
        while self._queue and self.start(self._queue[0]):
            self._queue.popleft()

    def start(self, request: routing_model.Request) -> bool:
        """Start a request if there is a slot for it."""
        raise NotImplementedError


def pick_round_robin(way: "OwnCounts", free: list[int]) -> int:
    """Return the next instance in turn."""
    way.turn += 1
    return min(free, key=lambda each: (each - way.turn) % way.count)


def pick_random(way: "OwnCounts", free: list[int]) -> int:
    """Return any instance."""
    return way.generator.choice(free)


def pick_of_two(way: "OwnCounts", free: list[int]) -> int:
    """Return the less loaded of two by this VM's own counts."""
    first, second = way.generator.choice(free), way.generator.choice(free)
    return first if way.busy[first] <= way.busy[second] else second


class OwnCounts(Waiting):
    """Chooses among all instances by this VM's own counts."""

    def __init__(
        self, model: routing_model.Model, home: int, pick: Pick
    ) -> None:
        super().__init__(model, home)
        self._pick = pick
        self.count = model.fleet.instances
        self.busy = [0] * self.count
        self.turn = home
        self.generator = random.Random(home)

    def start(self, request: routing_model.Request) -> bool:
        """Send a request to an instance that has not shed it."""
        slots = self._model.fleet.slots
        free = [
            each
            for each in range(self.count)
            if self.busy[each] < slots and each not in request.shed_by
        ]
        if not free:
            return False
        instance = self._pick(self, free)
        self.busy[instance] += 1
        self._model.send(self._home, request, instance)
        return True

    def answered(self, request: routing_model.Request, instance: int) -> None:
        """Give the slot to the next request."""
        self.busy[instance] -= 1
        self.drain()

    def shed(self, request: routing_model.Request, instance: int) -> None:
        """Go on with another instance at once; pause after a whole round."""
        self.busy[instance] -= 1
        request.shed_by.add(instance)
        if len(request.shed_by) == self.count:
            request.shed_by.clear()
            self._model.at(RETRY_PAUSE, self.arrive, request)
            return
        if not self.start(request):
            self._queue.appendleft(request)


class LeadFirst(Waiting):
    """Uses the pool of the fleet: leads first, then spills."""

    def __init__(self, model: routing_model.Model, home: int, count: int):
        super().__init__(model, home)
        self._pool = slot_pool.SlotPool(
            build_service(model.fleet), random.Random(home)
        )
        ranked_by_id = rank_homes(model.fleet, count)
        self._pool.set_ranks(leads.ranks_of(str(home), ranked_by_id))
        self._timer = 0

    def start(self, request: routing_model.Request) -> bool:
        """Send a request where the pool says."""
        shed_by = {str(each) for each in request.shed_by}
        instance = self._pool.acquire(
            self._model.now, shed_by, waiting=len(self._queue)
        )
        if instance is None:
            instance = self._pool.acquire(
                self._model.now, waiting=len(self._queue)
            )
        if instance is None:
            return False
        self._model.send(self._home, request, int(instance.id))
        return True

    def arrive(self, request: routing_model.Request) -> None:
        """Take a request, and wake up when the pool may have a slot."""
        super().arrive(request)
        self._wait()

    def answered(self, request: routing_model.Request, instance: int) -> None:
        """Give the slot to the next request."""
        self._release(request, instance, slot_pool.SlotOutcome.ANSWERED)

    def shed(self, request: routing_model.Request, instance: int) -> None:
        """Put the request first in the queue."""
        request.shed_by.add(instance)
        self._queue.appendleft(request)
        self._release(request, instance, slot_pool.SlotOutcome.SHED)

    def _release(
        self,
        request: routing_model.Request,
        instance: int,
        end: slot_pool.SlotOutcome,
    ) -> None:
        held = self._model.now - request.started
        self._pool.release(self._model.now, str(instance), held, end)
        self.drain()
        self._wait()

    def _wait(self) -> None:
        if not self._queue:
            return
        chance = self._pool.next_acquire_time(
            self._model.now, len(self._queue)
        )
        if chance is None:
            return
        self._timer += 1
        delay = max(WAKE_FLOOR, chance - self._model.now)
        self._model.at(delay, self._wake, self._timer)

    def _wake(self, timer: int) -> None:
        if timer != self._timer:
            return
        self.drain()
        self._wait()


class OwnLeads(Waiting):
    """Uses the instances it leads only; the base of the ways with messages."""

    def __init__(self, model: routing_model.Model, home: int, count: int):
        super().__init__(model, home)
        self.homes = count
        self._generator = random.Random(home)
        self.busy_by_led = {
            int(instance_id): 0
            for instance_id, ranked in rank_homes(model.fleet, count).items()
            if ranked[0] == str(home)
        }

    def take_led(self) -> int | None:
        """Count a slot of the least loaded led instance as taken."""
        free = [
            (busy, self._generator.random(), each)
            for each, busy in self.busy_by_led.items()
            if busy < self._model.fleet.slots
        ]
        if not free:
            return None
        instance = min(free)[2]
        self.busy_by_led[instance] += 1
        return instance

    def start(self, request: routing_model.Request) -> bool:
        """Send a request to a led instance."""
        instance = self.take_led()
        if instance is None:
            return False
        self._model.send(self._home, request, instance)
        return True

    def pick_peer(self) -> int:
        """Return any other home."""
        peer = self._generator.randrange(self.homes - 1)
        return peer + (peer >= self._home)

    def answered(self, request: routing_model.Request, instance: int) -> None:
        """Give the slot to the next request."""
        self.busy_by_led[instance] -= 1
        self.drain()

    def shed(self, request: routing_model.Request, instance: int) -> None:
        """Start over; a led instance can only shed when views differ."""
        self.busy_by_led[instance] -= 1
        self._queue.appendleft(request)
        self.drain()


class Borrow(OwnLeads):
    """Asks one peer at a time for a slot while a request waits."""

    def __init__(self, model: routing_model.Model, home: int, count: int):
        super().__init__(model, home, count)
        self._asked = False
        self._asks: collections.deque[tuple[int, float]] = collections.deque()

    def arrive(self, request: routing_model.Request) -> None:
        """Take a request; ask for a slot if it has to wait."""
        super().arrive(request)
        self._ask()

    def _ask(self) -> None:
        if not self._queue or self._asked or self.homes == 1:
            return
        self._asked = True
        peer = self._model.ways[self.pick_peer()]
        self._model.tell(peer.take_ask, self._home)
        self._model.at(ASK_LIFETIME, self._end_ask)

    def _end_ask(self) -> None:
        self._asked = False
        self._ask()

    def take_ask(self, home: int) -> None:
        """Grant a slot to a peer now, or keep its ask for a while."""
        expiry = self._model.now + ASK_LIFETIME
        self._asks.append((home, expiry))
        self.drain()

    def drain(self) -> None:
        """Serve this VM's own requests, then the asks of peers."""
        super().drain()
        while self._asks and not self._queue:
            home, expiry = self._asks[0]
            if expiry <= self._model.now:
                self._asks.popleft()
                continue
            instance = self.take_led()
            if instance is None:
                return
            self._asks.popleft()
            peer = self._model.ways[home]
            self._model.tell(peer.take_grant, self._home, instance)

    def take_grant(self, lead: int, instance: int) -> None:
        """Use a granted slot, or return it at once."""
        self._asked = False
        if not self._queue:
            self._model.tell(self._model.ways[lead].take_return, instance)
            return
        request = self._queue.popleft()
        self._model.send(self._home, request, instance)
        self._ask()

    def take_return(self, instance: int) -> None:
        """Take a slot back from a peer."""
        self.busy_by_led[instance] -= 1
        self.drain()

    def answered(self, request: routing_model.Request, instance: int) -> None:
        """Return a borrowed slot to its lead, or keep an own one."""
        if instance in self.busy_by_led:
            super().answered(request, instance)
            return
        for way in self._model.ways:
            if instance in way.busy_by_led:
                self._model.tell(way.take_return, instance)


class Relay(OwnLeads):
    """Passes a request that would wait on to another home, once.

    The way back of its answer is not counted, which favours this way.
    """

    def arrive(self, request: routing_model.Request) -> None:
        """Start a request here or pass it on."""
        if not self._queue and self.start(request):
            return
        if self.homes == 1:
            self._queue.append(request)
            return
        peer = self._model.ways[self.pick_peer()]
        self._model.tell(peer.take_relayed, request)

    def take_relayed(self, request: routing_model.Request) -> None:
        """Take a request that a peer passed on."""
        if self._queue or not self.start(request):
            self._queue.append(request)
