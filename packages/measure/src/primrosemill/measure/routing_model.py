"""Models VMs that share instances with few slots, as queues in one process.

Requests arrive as a Poisson process, service times are exponential, hops
take a fixed time, and an instance sheds what it has no slot for. Ways of
choosing an instance plug in as :class:`Way`.
"""

import heapq
import random
import typing

from hdrh import histogram

MICROSECONDS = 1e6
HIGHEST_LATENCY = 60_000_000  # microseconds
DIGITS = 3  # of the histogram


class Fleet(typing.NamedTuple):
    """Instances, their slots, and one-way hops in seconds.

    ``local_hop`` is the hop inside a failure domain.
    """

    name: str
    instances: int
    slots: int
    service_time: float
    hop: float
    local_hop: float
    domains: int = 3


class Load(typing.NamedTuple):
    """How much is asked: the share of all slot time, and at which homes."""

    share: float
    home_weights: tuple[float, ...]
    duration: float  # seconds
    warm_up: float  # seconds


class Figures(typing.NamedTuple):
    """What one run met; latencies in milliseconds, the rest per request."""

    sheds: float
    attempts: float
    messages: float
    median: float
    high: float
    left: int


class Request:
    """A request on its way, and the instances that shed it."""

    __slots__ = ("arrived", "counted", "shed_by", "started")

    def __init__(self, arrived: float, counted: bool) -> None:
        self.arrived = arrived
        self.counted = counted
        self.started = arrived
        self.shed_by: set[int] = set()


class Way(typing.Protocol):
    """What one home VM does with requests."""

    def arrive(self, request: Request) -> None:
        """Take a request from a caller."""
        ...

    def answered(self, request: Request, instance: int) -> None:
        """Learn that an instance answered."""
        ...

    def shed(self, request: Request, instance: int) -> None:
        """Learn that an instance shed a request."""
        ...


class Model:
    """Runs the events of one fleet under one load."""

    def __init__(self, fleet: Fleet, load: Load, seed: int) -> None:
        self.fleet = fleet
        self.load = load
        self.generator = random.Random(seed)
        self.now = 0.0
        self.ways: list[Way] = []
        self.messages = 0
        self._events: list[tuple] = []
        self._number = 0
        self._busy = [0] * fleet.instances
        self._sheds = 0
        self._attempts = 0
        self._latencies = histogram.HdrHistogram(1, HIGHEST_LATENCY, DIGITS)
        self._arrived = 0
        self._rate = (
            load.share * fleet.instances * fleet.slots / fleet.service_time
        )

    def at(self, delay: float, call: typing.Callable, *args: object) -> None:
        """Call something after a delay in seconds."""
        self._number += 1
        event = (self.now + delay, self._number, call, args)
        heapq.heappush(self._events, event)

    def hop_between(self, home: int, instance: int) -> float:
        """Return the one-way hop between a home and an instance."""
        domains = self.fleet.domains
        if home % domains == instance % domains:
            return self.fleet.local_hop
        return self.fleet.hop

    def tell(self, call: typing.Callable, *args: object) -> None:
        """Send a message between VMs; it is counted."""
        if self.now >= self.load.warm_up:
            self.messages += 1
        self.at(self.fleet.hop, call, *args)

    def send(self, home: int, request: Request, instance: int) -> None:
        """Send an attempt from a home VM to an instance."""
        request.started = self.now
        self._attempts += request.counted
        hop = self.hop_between(home, instance)
        self.at(hop, self._reach, home, request, instance)

    def run(self, ways: list[Way]) -> Figures:
        """Run all requests to the end and return what they met."""
        self.ways = ways
        self.at(self.generator.expovariate(self._rate), self._arrive)
        end = self.load.duration + self.load.warm_up
        while self._events and self.now < end:
            self.now, _, call, args = heapq.heappop(self._events)
            call(*args)
        count = max(1, self._arrived)
        return Figures(
            self._sheds / count,
            self._attempts / count,
            self.messages / count,
            self._latencies.get_value_at_percentile(50) / 1000,
            self._latencies.get_value_at_percentile(99) / 1000,
            self._arrived - self._latencies.get_total_count(),
        )

    def _arrive(self) -> None:
        counted = self.now >= self.load.warm_up
        self._arrived += counted
        way = self.generator.choices(self.ways, self.load.home_weights)[0]
        way.arrive(Request(self.now, counted))
        self.at(self.generator.expovariate(self._rate), self._arrive)

    def _reach(self, home: int, request: Request, instance: int) -> None:
        hop = self.hop_between(home, instance)
        way = self.ways[home]
        if self._busy[instance] >= self.fleet.slots:
            self._sheds += request.counted
            self.at(hop, way.shed, request, instance)
            return
        self._busy[instance] += 1
        time = self.generator.expovariate(1 / self.fleet.service_time)
        self.at(time, self._finish, home, request, instance)

    def _finish(self, home: int, request: Request, instance: int) -> None:
        self._busy[instance] -= 1
        hop = self.hop_between(home, instance)
        self.at(hop, self._answer, home, request, instance)

    def _answer(self, home: int, request: Request, instance: int) -> None:
        if request.counted:
            elapsed = self.now - request.arrived
            self._latencies.record_value(int(elapsed * MICROSECONDS))
        self.ways[home].answered(request, instance)
