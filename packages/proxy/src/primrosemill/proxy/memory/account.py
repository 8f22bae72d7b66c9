"""Counts the bytes that all servers of a VM hold for their callers.

A connection charges what it holds to its holding. Over the limit, the account
gives up connections at once, by :mod:`.eviction`.
"""

import collections
import enum
import itertools
import pathlib
import resource
import typing

import prometheus_client
import trio

from primrosemill.fleet import awake_clock
from primrosemill.telemetry import events
from primrosemill.telemetry import metrics

from primrosemill.proxy.memory import eviction
from primrosemill.proxy.memory import heavy_work
from primrosemill.proxy.memory import large_transfers
from primrosemill.proxy.memory import sizes

CHECK_INTERVAL = 0.1  # seconds between readings of the process's memory
# The fraction of the limit down to which connections are given up, so that
# the choice is made seldom.
RELIEF_FRACTION = 0.9
# The fraction of the limit from which on connections may hold less.
PRESSED_FRACTION = 0.4
# Seconds between choices that found too little to give up.
RELIEF_PAUSE = 0.02
# The fraction of connections that are closed at once for new ones.
ROOM_FRACTION = 0.02
EVENT_INTERVAL = 1.0  # seconds
STATM = pathlib.Path("/proc/self/statm")
RESIDENT_FIELD = 1  # of STATM, in pages
# Uploads too large to be kept whole that are passed on at the same time. Each
# keeps an instance's slot for as long as its caller sends.
LARGE_UPLOADS = 2
# Refused uploads that are read to their end at full speed at the same time.
DISCARDS = 4
# How much longer than the work the time to the next work of its kind is. They
# leave more than half of the processor to ordinary requests.
HEAD_SPACING = 6.0
CHUNK_SPACING = 4.0
PIPELINE_SPACING = 6.0
REPORT_SPACING = 5.0
ANSWER_SPACING = 4.0


class Kind(enum.StrEnum):
    """What held bytes are for."""

    CONNECTION = "connection"
    HEAD = "head"
    BODY = "body"
    READ_AHEAD = "read_ahead"
    PARSING = "parsing"
    ANSWER = "answer"


class Cause(enum.StrEnum):
    """Why a connection was given up or refused."""

    MEMORY = "memory"
    NO_PLACE = "no_place"
    ADDRESS_FULL = "address_full"
    SLOW_BODY = "slow_body"
    SLOW_READER = "slow_reader"
    HEAVY_WORK = "heavy_work"


class Holder(typing.Protocol):
    """A connection, as the account sees it."""

    def describe_wait(self, now: float) -> tuple[eviction.Phase, float, float]:
        """Return its phase, the seconds in it and those without progress."""
        ...

    def evict(self) -> None:
        """Refuse the request in progress, if it may be, and close."""
        ...


class Holding:
    """What one connection holds, by kind."""

    def __init__(
        self, account: "Account", holder: Holder, address: str, number: int
    ) -> None:
        self._account = account
        self.holder = holder
        self.address = address
        self.number = number
        self.held = 0
        self._held_by_kind: dict[Kind, int] = dict.fromkeys(Kind, 0)
        self.closed = False

    @property
    def is_pressed(self) -> bool:
        """Return whether callers may hold less than usual."""
        return self._account.is_pressed

    def charge(self, kind: Kind, size: int) -> None:
        """Count bytes that are held from now on."""
        if self.closed or not size:
            return
        account = self._account
        self.held += size
        self._held_by_kind[kind] += size
        account.held_by_kind[kind] += size
        account.held += size
        if account.held > account.limit:
            account.relieve()

    def release(self, kind: Kind, size: int) -> None:
        """Count bytes that are no longer held."""
        if self.closed:
            return
        self.held -= size
        self._held_by_kind[kind] -= size
        self._account.held_by_kind[kind] -= size
        self._account.held -= size

    def set(self, kind: Kind, size: int) -> None:
        """Set how many bytes of a kind are held."""
        before = self._held_by_kind[kind]
        if size > before:
            self.charge(kind, size - before)
        elif size < before:
            self.release(kind, before - size)

    def close(self) -> None:
        """Release everything; nothing is counted any more."""
        if self.closed:
            return
        for kind, size in self._held_by_kind.items():
            self.release(kind, size)
        self.closed = True
        self._account.remove(self)


class Account:
    """The account of one process, shared by all of its servers.

    ``link`` is the bandwidth in megabits a second, 0 if unknown.
    """

    def __init__(
        self,
        bounds: sizes.Bounds = sizes.Bounds(),  # noqa: B008
        registry: prometheus_client.CollectorRegistry | None = None,
        link: float = 0.0,
    ) -> None:
        self.bounds = bounds
        self.limit = bounds.limit
        self.held = 0
        self.held_by_kind: dict[Kind, int] = dict.fromkeys(Kind, 0)
        self.heavy_heads = heavy_work.HeavyWork(HEAD_SPACING)
        self.heavy_chunks = heavy_work.HeavyWork(CHUNK_SPACING)
        self.reports = heavy_work.HeavyWork(REPORT_SPACING)
        self.pipelines = heavy_work.HeavyWork(PIPELINE_SPACING)
        self.answers = heavy_work.HeavyWork(ANSWER_SPACING)
        self.large_uploads = large_transfers.Places(LARGE_UPLOADS)
        self.discards = large_transfers.Places(DISCARDS)
        self.large_answers = large_transfers.LargeAnswers(link)
        self._holdings_by_number: dict[int, Holding] = {}
        self._counts_by_address: collections.Counter[str] = (
            collections.Counter()
        )
        self._numbers = itertools.count()
        self._next_relief = 0.0
        self._next_event = 0.0
        self._evicted_since = 0
        self._resident = 0
        registry = registry or prometheus_client.CollectorRegistry()
        self._evictions = metrics.EnumCounter(
            "given_up_connections",
            "Connections closed or refused to stay within the VM's memory "
            "and descriptors, by cause.",
            "cause",
            Cause,
            registry,
        )
        metrics.make_enum_gauge(
            "held_bytes",
            "Bytes held for callers, by what they are for.",
            "kind",
            Kind,
            lambda kind: self.held_by_kind[kind],
            registry,
        )
        metrics.make_gauge(
            "held_bytes_limit",
            "Bytes that may be held for callers.",
            lambda: self.limit,
            registry,
        )
        metrics.make_gauge(
            "connections",
            "Connections of callers, operators and the platform.",
            lambda: self.connections,
            registry,
        )

    @property
    def connections(self) -> int:
        """Return the number of connections to all servers."""
        return len(self._holdings_by_number)

    @property
    def is_pressed(self) -> bool:
        """Return whether callers may hold less than usual."""
        return self.held > self.limit * PRESSED_FRACTION

    def admit(self, address: str) -> bool:
        """Return whether a new connection is accepted.

        Without a free place, connections that wait in vain are closed.
        """
        neighbours = self._counts_by_address[address]
        if eviction.is_address_full(
            neighbours, self.connections, self.bounds.connections
        ) and not self._make_places(1, address):
            self.count(Cause.ADDRESS_FULL)
            return False
        if self.connections < self.bounds.connections:
            return True
        count = max(1, int(self.bounds.connections * ROOM_FRACTION))
        if self._make_places(count):
            return True
        self.count(Cause.NO_PLACE)
        return False

    def add(self, holder: Holder, address: str) -> Holding:
        """Open the holding of a new connection."""
        holding = Holding(self, holder, address, next(self._numbers))
        self._holdings_by_number[holding.number] = holding
        self._counts_by_address[address] += 1
        holding.charge(Kind.CONNECTION, sizes.CONNECTION_COST)
        return holding

    def remove(self, holding: Holding) -> None:
        """Forget a holding that was closed."""
        del self._holdings_by_number[holding.number]
        self._counts_by_address[holding.address] -= 1
        if not self._counts_by_address[holding.address]:
            del self._counts_by_address[holding.address]

    def count(self, cause: Cause) -> None:
        """Count a connection that was given up, and log that at a rate."""
        self._evictions.count(cause)
        self._evicted_since += 1
        now = trio.current_time()
        if now < self._next_event:
            return
        self._next_event = now + EVENT_INTERVAL
        events.emit(
            events.CONNECTIONS_GIVEN_UP,
            cause=cause.value,
            count=self._evicted_since,
            connections=self.connections,
            held=self.held,
            limit=self.limit,
            resident=self._resident,
        )
        self._evicted_since = 0

    def relieve(self) -> None:
        """Give up connections until the account is within its limit."""
        now = trio.current_time()
        if now < self._next_relief:
            return
        self._next_relief = now + RELIEF_PAUSE
        excess = self.held - int(self.limit * RELIEF_FRACTION)
        chosen = eviction.choose_holders(
            self._candidates(awake_clock.now()), excess
        )
        self._evict(chosen, Cause.MEMORY)

    async def run(self) -> None:
        """Follow the process's memory until cancelled."""
        while True:
            self._resident = read_resident()
            self.limit = sizes.squeeze(self.bounds, self._resident)
            if self.held > self.limit:
                self.relieve()
            await trio.sleep(CHECK_INTERVAL)

    def _make_places(self, count: int, address: str = "") -> bool:
        """Close connections that wait in vain; return whether any did.

        With an address, only its connections are closed.
        """
        chosen = eviction.choose_waiting(
            self._candidates(awake_clock.now(), address), count
        )
        self._evict(chosen, Cause.NO_PLACE)
        return bool(chosen)

    def _candidates(
        self, now: float, address: str = ""
    ) -> list[eviction.Candidate]:
        return [
            eviction.Candidate(
                holding.number,
                *_describe(holding, now),
                self._counts_by_address[holding.address],
            )
            for holding in self._holdings_by_number.values()
            if address in ("", holding.address)
        ]

    def _evict(
        self, chosen: typing.Iterable[eviction.Candidate], cause: Cause
    ) -> None:
        for candidate in chosen:
            holding = self._holdings_by_number[candidate.number]
            holding.close()
            holding.holder.evict()
            self.count(cause)


def _describe(
    holding: Holding, now: float
) -> tuple[eviction.Phase, int, float, float]:
    phase, age, stalled = holding.holder.describe_wait(now)
    return phase, holding.held, age, stalled


def read_resident() -> int:
    """Return the bytes of memory that the process uses."""
    pages = int(STATM.read_text().split()[RESIDENT_FIELD])
    return pages * resource.getpagesize()


def plan_bounds(memory: float, descriptors: int) -> sizes.Bounds:
    """Return the bounds of this process.

    ``memory`` is in megabytes; 0 means unknown, also of the descriptors.
    """
    if not descriptors:
        descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return sizes.plan(
        int(memory * sizes.MEGABYTE), read_resident(), descriptors
    )
