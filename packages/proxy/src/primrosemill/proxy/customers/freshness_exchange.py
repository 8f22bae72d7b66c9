"""Learns as of when this VM knows the configuration, and tells other VMs.

Only the age of what a VM knows is exchanged here. The configuration itself
spreads as all that the feed publishes.
"""

import enum
import math
import random
import secrets
import typing

import trio

from primrosemill.decisions import feed_age
from primrosemill.fleet import feed_follower
from primrosemill.fleet import messages
from primrosemill.fleet import node
from primrosemill.proxy import peers as fleet_peers
from primrosemill.telemetry import events

from primrosemill.decisions.customers import freshness

# A request waits no longer than this for the VM to learn more: about as long
# as three readers and then the feed may take to answer.
CONFIRM_TIMEOUT = 0.6  # seconds
# After a failure to learn more, requests are refused at once for this long.
# While requests arrive, the next attempt ends earlier.
FAILURE_PAUSE = 1.0  # seconds
# After a restore of the feed, own reads count only after this time, or once
# another VM has answered: the copy may be older than a version of the
# configuration that this VM has missed and others know.
RESTORE_TIME = 0.6  # seconds
NONCE_BITS = 62


class Round(enum.StrEnum):
    """How an attempt to learn the age of the configuration ended."""

    ANSWERED = "answered"
    READ = "read"
    FAILED = "failed"


Send = typing.Callable[
    [messages.Message, typing.Iterable[str]], typing.Awaitable[None]
]
Count = typing.Callable[[Round], None]


class FreshnessExchange:
    """Keeps the age of one VM's configuration low while keys are used.

    ``clock`` counts suspended time, and ``find_version`` returns the version
    in force here; ``on_peer_version`` is called with the id of another VM and
    the number of the version in force there. Nothing is asked while requests
    need no keys.
    """

    def __init__(
        self,
        domain: str,
        timing: freshness.Timing,
        generator: random.Random,
        count: Count,
        clock: feed_follower.Clock,
        find_version: typing.Callable[[], feed_age.Version],
        on_peer_version: typing.Callable[[str, int], None],
    ) -> None:
        self.timing = timing
        self._domain = domain
        self._generator = generator
        self._count = count
        self._clock = clock
        self._knowledge = freshness.Knowledge()
        self._backoff = freshness.ReadBackoff(generator)
        self._find_version = find_version
        self._on_peer_version = on_peer_version
        self._asked_at_by_nonce: dict[int, float] = {}
        self._wanted = trio.Event()
        self._urgent = trio.Event()
        # Set, and replaced, as this VM learns more or fails to.
        self._progress = trio.Event()
        # When this VM last failed to learn more, a trio time.
        self._failed_at = -math.inf
        self._is_stale = False
        # Until when own reads do not count, by the clock.
        self._reads_count_from = -math.inf

    def age(self) -> float:
        """Return the seconds for which a change may be unknown here."""
        now = self._clock()
        if now < self._reads_count_from:
            return math.inf
        return self._knowledge.age(now)

    def apply_version(self) -> None:
        """Use an answer that named a version which is in force since now."""
        self._knowledge.apply_version(self._find_version())
        self._note_progress()

    def begin_epoch(self) -> None:
        """Rely on other VMs, if any answer: the feed was restored."""
        self._reads_count_from = self._clock() + RESTORE_TIME

    def record_read(self, sent_at: float) -> None:
        """Record that all changes up to a time, by the clock, are applied."""
        self._knowledge.record_read(sent_at)
        self._note_progress()

    def record_demand(self) -> None:
        """Record that a request with a key has arrived."""
        if not math.isinf(self.timing.served):
            self._wanted.set()

    async def wait_until(self, max_age: float) -> bool:
        """Wait until the age is low enough; return False if that fails."""
        with trio.move_on_after(CONFIRM_TIMEOUT):
            while self.age() > max_age and not self._has_just_failed():
                self._wanted.set()
                self._urgent.set()
                await self._progress.wait()
        self._wanted.set()
        return self.age() <= max_age

    async def receive(
        self, vm_id: str, message: node.FreshnessMessage, send: Send
    ) -> None:
        """Answer another VM's question, or apply its answer."""
        version = feed_age.Version(message.epoch, message.routing_version)
        self._knowledge.apply_version(self._find_version())
        self._knowledge.record_version(version)
        self._on_peer_version(vm_id, version.number)
        if isinstance(message, messages.FreshnessQuery):
            await send(self._build_answer(message), (vm_id,))
            return
        asked_at = self._asked_at_by_nonce.pop(message.nonce, None)
        if asked_at is None:
            return
        if self._find_version().includes(version):
            self._reads_count_from = -math.inf
        answer = freshness.Answer(
            version, message.age_ms / messages.MILLISECONDS_PER_SECOND
        )
        self._knowledge.record_answer(asked_at, answer)
        self._note_progress()

    async def run(self, peers: fleet_peers.Peers) -> None:
        """Ask readers, or read the feed, while that is wanted."""
        while True:
            await self._wanted.wait()
            self._wanted = trio.Event()
            self._urgent = trio.Event()
            started = trio.current_time()
            if self._has_to_ask():
                await self._ask(peers)
            await trio.sleep(freshness.ANSWER_TIMEOUT)
            interval = freshness.question_interval(
                self.timing.interval, peers.count_in_domain(self._domain)
            )
            with trio.move_on_at(started + interval):
                await self._urgent.wait()

    def _has_to_ask(self) -> bool:
        """Return whether what this VM knows of the feed is too old."""
        return self.age() > self.timing.refused

    async def _ask(self, peers: fleet_peers.Peers) -> None:
        ended = await self._run_round(peers)
        self._count(ended)
        self._failed_at = -math.inf
        if ended is Round.FAILED:
            self._failed_at = trio.current_time()
        self._log_change()
        self._wake()

    async def _run_round(self, peers: fleet_peers.Peers) -> Round:
        self._asked_at_by_nonce.clear()
        readers = [
            feed_age.Reader(entry.vm_id, entry.domain)
            for entry in peers.readers()
        ]
        for vm_id in freshness.choose_readers(
            readers, self._domain, self._generator
        ):
            answered = await self._ask_reader(vm_id, peers.node.send_to)
            if answered and self._is_enough():
                return Round.ANSWERED
        return Round.READ if await self._read_feed(peers) else Round.FAILED

    async def _ask_reader(self, vm_id: str, send: Send) -> bool:
        """Ask a reader; return whether it answers within a short time."""
        # A late answer to an earlier process of this VM must not fit.
        nonce = secrets.randbits(NONCE_BITS)
        self._asked_at_by_nonce[nonce] = self._clock()
        version = self._find_version()
        await send(messages.FreshnessQuery(nonce, *version), (vm_id,))
        with trio.move_on_after(freshness.ANSWER_TIMEOUT):
            while nonce in self._asked_at_by_nonce:
                await self._progress.wait()
        return nonce not in self._asked_at_by_nonce

    async def _read_feed(self, peers: fleet_peers.Peers) -> bool:
        now = self._clock()
        if not self._backoff.may_read(now):
            return False
        succeeded = await peers.node.follower.check_feed()
        self._backoff.record(self._clock(), succeeded)
        return succeeded and self._is_enough()

    def _has_just_failed(self) -> bool:
        return trio.current_time() - self._failed_at < FAILURE_PAUSE

    def _is_enough(self) -> bool:
        return self.age() <= self.timing.refused

    def _build_answer(
        self, query: messages.FreshnessQuery
    ) -> messages.FreshnessAnswer:
        return messages.FreshnessAnswer(
            query.nonce,
            *self._find_version(),
            messages.encode_age(self.age()),
        )

    def _note_progress(self) -> None:
        if self._is_enough():
            self._failed_at = -math.inf
        if self._is_stale:
            self._log_change()
        self._wake()

    def _wake(self) -> None:
        self._progress.set()
        self._progress = trio.Event()

    def _log_change(self) -> None:
        """Log that keys begin or cease to be refused for their age."""
        age = self.age()
        is_stale = age > self.timing.served
        if is_stale == self._is_stale:
            return
        self._is_stale = is_stale
        events.emit(
            events.KEYS_STALE,
            stale=is_stale,
            age=None if math.isinf(age) else round(age, 2),
        )
