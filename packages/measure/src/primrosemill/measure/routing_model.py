"""Simulation of home VMs that share instances with few slots.

Requests arrive as a Poisson process, service times are exponentially
distributed, hops take a fixed time, and an instance sheds the requests that it
has no slot for. A routing strategy implements :class:`Strategy`.
"""

import heapq
import random
import typing

from hdrh import histogram

MICROSECONDS_PER_SECOND = 1e6
MAX_LATENCY = 60_000_000  # microseconds
SIGNIFICANT_DIGITS = 3  # of the histogram of latencies


class Fleet(typing.NamedTuple):
    """The instances of a service and the network between them and the VMs.

    Times are in seconds. ``hop_time`` is one way between failure domains,
    ``local_hop_time`` within one. ``slots`` and ``service_time`` are those of
    each instance.
    """

    name: str
    instance_count: int
    slots: int
    service_time: float
    hop_time: float
    local_hop_time: float
    domain_count: int = 3


class Load(typing.NamedTuple):
    """The load of a run, as a share of all slot time, and its length.

    Callers send their requests to the homes in proportion to
    ``home_weights``. Requests that arrive during the warm-up aren't counted.
    """

    utilization: float
    home_weights: tuple[float, ...]
    duration: float  # seconds
    warm_up: float  # seconds


class Result(typing.NamedTuple):
    """Results of one run.

    ``sheds``, ``attempts`` and ``messages`` are means per request, ``p50``
    and ``p99`` percentiles of the latency in milliseconds. ``unfinished`` is
    the number of requests without an answer at the end.
    """

    sheds: float
    attempts: float
    messages: float
    p50: float
    p99: float
    unfinished: int


class Request:
    """A request that has no answer yet, and the instances that shed it.

    ``counted`` is false if it arrived during the warm-up. ``started_at``
    is when its latest attempt was sent.
    """

    __slots__ = ("arrived_at", "counted", "shed_by", "started_at")

    def __init__(self, arrived_at: float, counted: bool) -> None:
        self.arrived_at = arrived_at
        self.counted = counted
        self.started_at = arrived_at
        self.shed_by: set[int] = set()


class Strategy(typing.Protocol):
    """What one home VM does with requests and their results."""

    def on_arrival(self, request: Request) -> None:
        """Handle a request from a caller."""
        ...

    def on_answer(self, request: Request, instance: int) -> None:
        """Handle an instance's answer."""
        ...

    def on_shed(self, request: Request, instance: int) -> None:
        """Handle a request that an instance shed."""
        ...


class Model:
    """Runs the events of one fleet under one load.

    ``strategies`` has one item per home VM.
    """

    def __init__(self, fleet: Fleet, load: Load, seed: int) -> None:
        self.fleet = fleet
        self.load = load
        self.generator = random.Random(seed)
        self.now = 0.0
        self.strategies: list[Strategy] = []
        self.messages = 0
        self._events: list[tuple] = []
        self._event_number = 0
        self._busy_slots = [0] * fleet.instance_count
        self._sheds = 0
        self._attempts = 0
        self._latencies = histogram.HdrHistogram(
            1, MAX_LATENCY, SIGNIFICANT_DIGITS
        )
        self._arrival_count = 0
        self._rate = (
            load.utilization
            * fleet.instance_count
            * fleet.slots
            / fleet.service_time
        )

    def call_after(
        self, delay: float, callback: typing.Callable, *args: object
    ) -> None:
        """Schedule a callback after a delay in seconds."""
        self._event_number += 1
        event = (self.now + delay, self._event_number, callback, args)
        heapq.heappush(self._events, event)

    def hop_time_between(self, home: int, instance: int) -> float:
        """Return the one-way time between a home and an instance."""
        domain_count = self.fleet.domain_count
        if home % domain_count == instance % domain_count:
            return self.fleet.local_hop_time
        return self.fleet.hop_time

    def send_message(self, callback: typing.Callable, *args: object) -> None:
        """Send a message between VMs, and count it after the warm-up."""
        if self.now >= self.load.warm_up:
            self.messages += 1
        self.call_after(self.fleet.hop_time, callback, *args)

    def send_attempt(self, home: int, request: Request, instance: int) -> None:
        """Send an attempt from a home VM to an instance."""
        request.started_at = self.now
        self._attempts += request.counted
        hop_time = self.hop_time_between(home, instance)
        self.call_after(
            hop_time, self._reach_instance, home, request, instance
        )

    def run(self, strategies: list[Strategy]) -> Result:
        """Run the load with one strategy per home VM and return the result."""
        self.strategies = strategies
        self.call_after(self.generator.expovariate(self._rate), self._arrive)
        end_time = self.load.duration + self.load.warm_up
        while self._events and self.now < end_time:
            self.now, _, callback, args = heapq.heappop(self._events)
            callback(*args)
        request_count = max(1, self._arrival_count)
        return Result(
            self._sheds / request_count,
            self._attempts / request_count,
            self.messages / request_count,
            self._latencies.get_value_at_percentile(50) / 1000,
            self._latencies.get_value_at_percentile(99) / 1000,
            self._arrival_count - self._latencies.get_total_count(),
        )

    def _arrive(self) -> None:
        counted = self.now >= self.load.warm_up
        self._arrival_count += counted
        strategy = self.generator.choices(
            self.strategies, self.load.home_weights
        )[0]
        strategy.on_arrival(Request(self.now, counted))
        self.call_after(self.generator.expovariate(self._rate), self._arrive)

    def _reach_instance(
        self, home: int, request: Request, instance: int
    ) -> None:
        hop_time = self.hop_time_between(home, instance)
        strategy = self.strategies[home]
        if self._busy_slots[instance] >= self.fleet.slots:
            self._sheds += request.counted
            self.call_after(hop_time, strategy.on_shed, request, instance)
            return
        self._busy_slots[instance] += 1
        service_time = self.generator.expovariate(1 / self.fleet.service_time)
        self.call_after(service_time, self._finish, home, request, instance)

    def _finish(self, home: int, request: Request, instance: int) -> None:
        self._busy_slots[instance] -= 1
        hop_time = self.hop_time_between(home, instance)
        self.call_after(hop_time, self._answer, home, request, instance)

    def _answer(self, home: int, request: Request, instance: int) -> None:
        if request.counted:
            elapsed = self.now - request.arrived_at
            self._latencies.record_value(
                int(elapsed * MICROSECONDS_PER_SECOND)
            )
        self.strategies[home].on_answer(request, instance)
