"""Strategies of choosing an instance that the simulation compares.

Home VMs and instances are identified by number. The home VMs of a service are
the entry VMs to which its callers are directed. The lead of an instance is the
home that fills its slots first.
"""

import collections
import random
import typing

from primrosemill.configuration import document as documents
from primrosemill.decisions import home_vms
from primrosemill.decisions import leads
from primrosemill.decisions import slot_pool
from primrosemill.measure import routing_model

# Before a request is sent again that every instance has shed.
RETRY_PAUSE = 0.005  # seconds
MIN_WAKE_DELAY = 0.0001  # seconds, so that a wake is never in the past
SLOT_REQUEST_LIFETIME = 0.1  # seconds that a lead queues a peer's request
Picker = typing.Callable[["OwnCounts", list[int]], int]


def build_service(fleet: routing_model.Fleet) -> documents.Service:
    """Return the service of a fleet as in a configuration document."""
    instances = tuple(
        documents.Instance(str(number), "127.0.0.1", 9, f"d{number % 3}")
        for number in range(fleet.instance_count)
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
    """Return the ids of the homes by instance id, the lead first."""
    vms = [
        home_vms.Vm(str(number), f"d{number % 3}") for number in range(count)
    ]
    return leads.rank_homes(build_service(fleet).instances, vms)


class QueueingStrategy:
    """Queues the requests that found no slot, first in, first out."""

    def __init__(self, model: routing_model.Model, home: int) -> None:
        self._model = model
        self._home = home
        self._queue: collections.deque[routing_model.Request]
        self._queue = collections.deque()

    def on_arrival(self, request: routing_model.Request) -> None:
        """Handle a request from a caller."""
        if self._queue or not self.start(request):
            self._queue.append(request)

    def drain(self) -> None:
        """Send queued requests as long as there are free slots."""
        while self._queue and self.start(self._queue[0]):
            self._queue.popleft()

    def start(self, request: routing_model.Request) -> bool:
        """Send a request if it gets a slot; return whether it did."""
        raise NotImplementedError


def pick_round_robin(strategy: "OwnCounts", candidates: list[int]) -> int:
    """Return the next instance in turn."""
    strategy.turn += 1
    return min(
        candidates,
        key=lambda number: (number - strategy.turn) % strategy.count,
    )


def pick_random(strategy: "OwnCounts", candidates: list[int]) -> int:
    """Return a random instance."""
    return strategy.generator.choice(candidates)


def pick_of_two(strategy: "OwnCounts", candidates: list[int]) -> int:
    """Return the less loaded of two random instances, by the VM's counts."""
    first, second = (
        strategy.generator.choice(candidates),
        strategy.generator.choice(candidates),
    )
    return first if strategy.busy[first] <= strategy.busy[second] else second


class OwnCounts(QueueingStrategy):
    """Chooses among all instances, and counts only this VM's requests.

    ``busy`` is the number of the VM's requests at each instance.
    """

    def __init__(
        self, model: routing_model.Model, home: int, pick: Picker
    ) -> None:
        super().__init__(model, home)
        self._pick = pick
        self.count = model.fleet.instance_count
        self.busy = [0] * self.count
        self.turn = home
        self.generator = random.Random(home)

    def start(self, request: routing_model.Request) -> bool:
        """Send a request to a free instance that has not shed it."""
        slots = self._model.fleet.slots
        candidates = [
            number
            for number in range(self.count)
            if self.busy[number] < slots and number not in request.shed_by
        ]
        if not candidates:
            return False
        instance = self._pick(self, candidates)
        self.busy[instance] += 1
        self._model.send_attempt(self._home, request, instance)
        return True

    def on_answer(self, request: routing_model.Request, instance: int) -> None:
        """Release the slot and use it for the next request."""
        self.busy[instance] -= 1
        self.drain()

    def on_shed(self, request: routing_model.Request, instance: int) -> None:
        """Try another instance at once, or pause once all have shed it."""
        self.busy[instance] -= 1
        request.shed_by.add(instance)
        if len(request.shed_by) == self.count:
            request.shed_by.clear()
            self._model.call_after(RETRY_PAUSE, self.on_arrival, request)
            return
        if not self.start(request):
            self._queue.appendleft(request)


class LeadFirst(QueueingStrategy):
    """Uses the product's slot pool: led instances first, then others."""

    def __init__(self, model: routing_model.Model, home: int, count: int):
        super().__init__(model, home)
        self._pool = slot_pool.SlotPool(
            build_service(model.fleet), random.Random(home)
        )
        ranked_by_id = rank_homes(model.fleet, count)
        self._pool.set_ranks(leads.ranks_of(str(home), ranked_by_id))
        self._latest_timer = 0

    def start(self, request: routing_model.Request) -> bool:
        """Send a request to the instance that the pool returns."""
        shed_by = {str(number) for number in request.shed_by}
        instance = self._pool.acquire(
            self._model.now, shed_by, waiting=len(self._queue)
        )
        if instance is None:
            instance = self._pool.acquire(
                self._model.now, waiting=len(self._queue)
            )
        if instance is None:
            return False
        self._model.send_attempt(self._home, request, int(instance.id))
        return True

    def on_arrival(self, request: routing_model.Request) -> None:
        """Handle a request, and wake up when the pool may have a slot."""
        super().on_arrival(request)
        self._schedule_wake()

    def on_answer(self, request: routing_model.Request, instance: int) -> None:
        """Release the slot and use it for the next request."""
        self._release(request, instance, slot_pool.SlotOutcome.ANSWERED)

    def on_shed(self, request: routing_model.Request, instance: int) -> None:
        """Put the request at the head of the queue."""
        request.shed_by.add(instance)
        self._queue.appendleft(request)
        self._release(request, instance, slot_pool.SlotOutcome.SHED)

    def _release(
        self,
        request: routing_model.Request,
        instance: int,
        outcome: slot_pool.SlotOutcome,
    ) -> None:
        hold_time = self._model.now - request.started_at
        self._pool.release(self._model.now, str(instance), hold_time, outcome)
        self.drain()
        self._schedule_wake()

    def _schedule_wake(self) -> None:
        if not self._queue:
            return
        acquire_time = self._pool.next_acquire_time(
            self._model.now, len(self._queue)
        )
        if acquire_time is None:
            return
        self._latest_timer += 1
        delay = max(MIN_WAKE_DELAY, acquire_time - self._model.now)
        self._model.call_after(delay, self._wake, self._latest_timer)

    def _wake(self, timer: int) -> None:
        if timer != self._latest_timer:
            return
        self.drain()
        self._schedule_wake()


class LedOnly(QueueingStrategy):
    """Uses only the instances that this VM leads.

    It is the base of the strategies that exchange messages. ``busy_by_led`` is
    the number of used slots of each led instance.
    """

    def __init__(self, model: routing_model.Model, home: int, count: int):
        super().__init__(model, home)
        self.home_count = count
        self._generator = random.Random(home)
        self.busy_by_led = {
            int(instance_id): 0
            for instance_id, ranked_vm_ids in rank_homes(
                model.fleet, count
            ).items()
            if ranked_vm_ids[0] == str(home)
        }

    def acquire_led(self) -> int | None:
        """Take a slot of the least loaded led instance, or return None."""
        candidates = [
            (busy, self._generator.random(), number)
            for number, busy in self.busy_by_led.items()
            if busy < self._model.fleet.slots
        ]
        if not candidates:
            return None
        instance = min(candidates)[2]
        self.busy_by_led[instance] += 1
        return instance

    def start(self, request: routing_model.Request) -> bool:
        """Send a request to a led instance."""
        instance = self.acquire_led()
        if instance is None:
            return False
        self._model.send_attempt(self._home, request, instance)
        return True

    def pick_peer(self) -> int:
        """Return another home at random."""
        peer = self._generator.randrange(self.home_count - 1)
        return peer + (peer >= self._home)

    def on_answer(self, request: routing_model.Request, instance: int) -> None:
        """Release the slot and use it for the next request."""
        self.busy_by_led[instance] -= 1
        self.drain()

    def on_shed(self, request: routing_model.Request, instance: int) -> None:
        """Queue the request again.

        A led instance can shed only if the homes disagree on its lead.
        """
        self.busy_by_led[instance] -= 1
        self._queue.appendleft(request)
        self.drain()


class Borrowing(LedOnly):
    """Asks one peer at a time for a slot while a request waits."""

    def __init__(self, model: routing_model.Model, home: int, count: int):
        super().__init__(model, home, count)
        self._slot_request_pending = False
        self._peer_slot_requests: collections.deque[tuple[int, float]] = (
            collections.deque()
        )

    def on_arrival(self, request: routing_model.Request) -> None:
        """Handle a request; ask a peer for a slot if it has to wait."""
        super().on_arrival(request)
        self._request_slot()

    def _request_slot(self) -> None:
        if (
            not self._queue
            or self._slot_request_pending
            or self.home_count == 1
        ):
            return
        self._slot_request_pending = True
        peer = self._model.strategies[self.pick_peer()]
        self._model.send_message(peer.receive_slot_request, self._home)
        self._model.call_after(
            SLOT_REQUEST_LIFETIME, self._expire_slot_request
        )

    def _expire_slot_request(self) -> None:
        self._slot_request_pending = False
        self._request_slot()

    def receive_slot_request(self, home: int) -> None:
        """Grant a peer a slot now, or queue its request until it expires."""
        expires_at = self._model.now + SLOT_REQUEST_LIFETIME
        self._peer_slot_requests.append((home, expires_at))
        self.drain()

    def drain(self) -> None:
        """Serve this VM's queued requests, then the slot requests of peers."""
        super().drain()
        while self._peer_slot_requests and not self._queue:
            home, expires_at = self._peer_slot_requests[0]
            if expires_at <= self._model.now:
                self._peer_slot_requests.popleft()
                continue
            instance = self.acquire_led()
            if instance is None:
                return
            self._peer_slot_requests.popleft()
            peer = self._model.strategies[home]
            self._model.send_message(peer.receive_grant, self._home, instance)

    def receive_grant(self, lead: int, instance: int) -> None:
        """Use a granted slot, or return it at once if no request is queued."""
        self._slot_request_pending = False
        if not self._queue:
            self._model.send_message(
                self._model.strategies[lead].receive_return, instance
            )
            return
        request = self._queue.popleft()
        self._model.send_attempt(self._home, request, instance)
        self._request_slot()

    def receive_return(self, instance: int) -> None:
        """Take a slot back from a peer."""
        self.busy_by_led[instance] -= 1
        self.drain()

    def on_answer(self, request: routing_model.Request, instance: int) -> None:
        """Return a borrowed slot to its lead, or reuse an own one."""
        if instance in self.busy_by_led:
            super().on_answer(request, instance)
            return
        for strategy in self._model.strategies:
            if instance in strategy.busy_by_led:
                self._model.send_message(strategy.receive_return, instance)


class Relaying(LedOnly):
    """Relays a request that would have to wait to another home, once.

    The hop of the answer back from that home is not simulated, which favors
    this strategy.
    """

    def on_arrival(self, request: routing_model.Request) -> None:
        """Send a request, or relay it to a peer."""
        if not self._queue and self.start(request):
            return
        if self.home_count == 1:
            self._queue.append(request)
            return
        peer = self._model.strategies[self.pick_peer()]
        self._model.send_message(peer.receive_relayed, request)

    def receive_relayed(self, request: routing_model.Request) -> None:
        """Handle a request that a peer relayed."""
        if self._queue or not self.start(request):
            self._queue.append(request)
