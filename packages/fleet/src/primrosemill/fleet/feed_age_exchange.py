"""Keeps one VM informed of as of when it knows the feed.

A VM that does not read the feed asks its readers, all the time, whether they
still do (see :mod:`primrosemill.decisions.feed_age`), and answers the
questions of others. It reads nothing: that is the follower's.
"""

import math
import random
import secrets
import typing

import trio

from primrosemill.decisions import feed_age
from primrosemill.fleet import awake_clock
from primrosemill.fleet import feed
from primrosemill.fleet import membership
from primrosemill.fleet import messages
from primrosemill.fleet import observations
from primrosemill.fleet import transport

NONCE_BITS = 62
NOTICE_NONCE = 0  # of an answer that nobody has asked for
MAX_QUESTIONS = 64  # that late answers may still fit


class Mirror(typing.Protocol):
    """What this VM has of the feed."""

    @property
    def position(self) -> feed.Position:
        """Return the point in the feed's history that is reached."""
        ...


class _Question(typing.NamedTuple):
    vm_id: str
    asked_at: float


def _ignore() -> None:
    pass


def _ignore_time(time: float) -> None:
    pass


def _ignore_position(vm_id: str, position: feed.Position) -> None:
    pass


def _is_usable(entry: messages.Entry) -> bool:
    return True


class FeedAgeExchange:
    """Asks the readers of the feed, and answers as one.

    ``clock`` counts suspended time. ``on_known`` is called with the time as
    of which all changes are applied, ``on_voucher`` when a reader vouches,
    ``on_position`` with the id of a VM and its position; ``is_usable`` tells
    whether a VM's build knows all that the feed publishes.
    """

    def __init__(
        self,
        view: membership.Membership,
        link: transport.Transport,
        mirror: Mirror,
        generator: random.Random,
        observe: observations.Observer,
        clock: typing.Callable[[], float],
    ) -> None:
        self._clock = clock
        self.on_known: typing.Callable[[float], None] = _ignore_time
        self.on_voucher: typing.Callable[[], None] = _ignore
        self.on_position: typing.Callable[[str, feed.Position], None] = (
            _ignore_position
        )
        self.is_usable: typing.Callable[[messages.Entry], bool] = _is_usable
        # Set, and replaced, as a reader is lost or found.
        self.changed = trio.Event()
        self.is_lost = False
        self._view = view
        self._transport = link
        self._mirror = mirror
        self._observe = observe
        self._generator = generator
        self._knowledge = feed_age.Knowledge()
        self._vouchers = feed_age.Vouchers(view.own.domain, generator)
        self._questions_by_nonce: dict[int, _Question] = {}
        self._noticed_ids: set[str] = set()
        # Until when the own open call counts as alive, by the clock.
        self._alive_until = -math.inf
        self._answered = trio.Event()
        self._urgent = trio.Event()

    def age(self) -> float:
        """Return the seconds for which a change may be unknown here."""
        return self._knowledge.age(self._clock())

    def record_read(self, sent_at: float) -> None:
        """Record that all changes up to a time, by the clock, are applied."""
        self._knowledge.record_read(sent_at)
        self.on_known(sent_at)
        self._set_lost(False)

    def record_call(self, wait: float) -> None:
        """Record that a call that the feed answers by then is open."""
        self._alive_until = self._clock() + wait + feed_age.OVERDUE_TIME

    def end_calls(self) -> None:
        """Record that this VM has ceased to read, and ask others at once."""
        self._alive_until = -math.inf
        self._vouchers.clear()
        self._urgent.set()

    def apply_position(self) -> None:
        """Use an answer that named what has been applied since."""
        known_at = self._knowledge.known_at
        own = self._own_version()
        self._knowledge.apply_version(own)
        self._vouchers.apply_version(own)
        self._tell_known_since(known_at)

    async def announce(self) -> None:
        """Tell the own failure domain that this VM reads the feed."""
        notice = self._build_answer(NOTICE_NONCE)
        for entry in self._view.table.present_by_id.values():
            if entry.domain == self._view.own.domain:
                await self._transport.send(entry.ip, entry.port, notice)

    async def receive(
        self, vm_id: str, message: messages.FeedQuery | messages.FeedAnswer
    ) -> None:
        """Answer another VM's question, or apply its answer."""
        position = feed.Position(message.epoch, message.revision)
        self.on_position(vm_id, position)
        if isinstance(message, messages.FeedQuery):
            entry = self._view.table.present_by_id.get(vm_id)
            if entry is not None:
                answer = self._build_answer(message.nonce)
                await self._transport.send(entry.ip, entry.port, answer)
            return
        self._apply_answer(vm_id, message)

    def _apply_answer(self, vm_id: str, message: messages.FeedAnswer) -> None:
        now = self._clock()
        answer = feed_age.Answer(
            feed_age.Version(message.epoch, message.revision),
            message.age_ms / messages.MILLISECONDS_PER_SECOND,
            message.alive_ms / messages.MILLISECONDS_PER_SECOND,
        )
        asked_at = now
        if message.nonce == NOTICE_NONCE:
            # It may have been delayed, so it tells nothing of the age.
            self._noticed_ids.add(vm_id)
        else:
            question = self._questions_by_nonce.get(message.nonce)
            if question is None or question.vm_id != vm_id:
                return
            del self._questions_by_nonce[message.nonce]
            asked_at = question.asked_at
            known_at = self._knowledge.known_at
            self._knowledge.record_answer(asked_at, answer.version, answer.age)
            self._tell_known_since(known_at)
            if answer.alive <= 0.0:
                self._noticed_ids.discard(vm_id)
        self._vouchers.record_answer(vm_id, asked_at, answer)
        self._vouchers.record_version(answer.version, self._own_version(), now)
        if self._is_vouched():
            self.on_voucher()
            self._set_lost(False)
        self._answered.set()
        self._answered = trio.Event()

    def _tell_known_since(self, known_at: float) -> None:
        """Tell as of when the feed is known, if later than before."""
        if self._knowledge.known_at > known_at:
            self.on_known(self._knowledge.known_at)

    async def run(self, in_force: trio.Event) -> None:
        """Ask readers until cancelled, once a configuration is in force."""
        await in_force.wait()
        while True:
            await self._wait_until_due()
            if not self._reads():
                await self._run_round()

    async def find_voucher(self) -> bool:
        """Return whether another VM vouches, asked now."""
        self._vouchers.clear()
        return await self._run_round() is not feed_age.Round.LOST

    def _reads(self) -> bool:
        """Return whether the own open call to the feed is alive."""
        return self._clock() < self._alive_until

    def _is_vouched(self) -> bool:
        return self._clock() < self._vouchers.ends_at()

    async def _wait_until_due(self) -> None:
        """Wait until the next question, or until one is urgent."""
        now = self._clock()
        due = self._alive_until
        if not self._reads():
            due = self._vouchers.ask_at()
            if self.is_lost:
                due = now + feed_age.QUESTION_INTERVAL
        with trio.move_on_after(max(0.0, due - now)):
            await self._urgent.wait()
        self._urgent = trio.Event()

    async def _run_round(self) -> feed_age.Round:
        first, others = self._vouchers.choose(self._find_readers())
        ended = feed_age.Round.LOST
        if await self._ask(first, feed_age.ANSWER_TIMEOUT):
            ended = feed_age.Round.VOUCHED
        elif await self._ask(others, feed_age.SECOND_TIMEOUT):
            ended = feed_age.Round.MOVED
        self._observe(observations.FeedRoundEnded(ended))
        if ended is feed_age.Round.LOST:
            self._set_lost(not self._reads())
        return ended

    async def _ask(self, vm_ids: list[str], timeout: float) -> bool:
        """Ask some VMs; return whether one vouches within a time."""
        asked_at = self._clock()
        present_by_id = self._view.table.present_by_id
        # Some may have gone since they were chosen.
        entries = [
            present_by_id[vm_id] for vm_id in vm_ids if vm_id in present_by_id
        ]
        nonces = [await self._send_question(entry) for entry in entries]
        with awake_clock.move_on_after(timeout):
            while not self._is_vouched_since(asked_at) and any(
                nonce in self._questions_by_nonce for nonce in nonces
            ):
                await self._answered.wait()
        unanswered = [
            self._questions_by_nonce[nonce].vm_id
            for nonce in nonces
            if nonce in self._questions_by_nonce
        ]
        is_vouched = self._is_vouched_since(asked_at)
        if not is_vouched:
            self._vouchers.record_silence(unanswered)
        return is_vouched

    def _is_vouched_since(self, asked_at: float) -> bool:
        return self._is_vouched() and self._vouchers.asked_at() >= asked_at

    async def _send_question(self, entry: messages.Entry) -> int:
        """Ask a VM; return the nonce of the question."""
        nonce = secrets.randbits(NONCE_BITS) + 1
        if len(self._questions_by_nonce) >= MAX_QUESTIONS:
            del self._questions_by_nonce[next(iter(self._questions_by_nonce))]
        self._questions_by_nonce[nonce] = _Question(entry.vm_id, self._clock())
        query = messages.FeedQuery(nonce, *self._mirror.position)
        await self._transport.send(entry.ip, entry.port, query)
        return nonce

    def _find_readers(self) -> list[feed_age.Reader]:
        """Return the VMs that are said to read the feed."""
        self._noticed_ids &= self._view.table.present_by_id.keys()
        return [
            feed_age.Reader(entry.vm_id, entry.domain)
            for entry in self._view.table.present_by_id.values()
            if (entry.watching or entry.vm_id in self._noticed_ids)
            and self.is_usable(entry)
        ]

    def _build_answer(self, nonce: int) -> messages.FeedAnswer:
        alive = max(0.0, self._alive_until - self._clock())
        return messages.FeedAnswer(
            nonce,
            *self._mirror.position,
            messages.encode_age(self.age()),
            int(alive * messages.MILLISECONDS_PER_SECOND),
        )

    def _own_version(self) -> feed_age.Version:
        return feed_age.Version(*self._mirror.position)

    def _set_lost(self, is_lost: bool) -> None:
        if is_lost == self.is_lost:
            return
        self.is_lost = is_lost
        age = self.age()
        self._observe(
            observations.FeedVoucherChanged(
                not is_lost, None if math.isinf(age) else round(age, 3)
            )
        )
        self.changed.set()
        self.changed = trio.Event()
