"""Decides as of when a VM knows the feed, and who vouches for that.

A few VMs of each failure domain read the feed and pass its changes on; the
others rely on them. That a VM is said to read, or answers probes, does not
tell that its changes still arrive: it may be gone, cut off, or without its
own path to the feed. So a VM relies on two things that it asks its readers
for, all the time:

- As of when a reader knows the feed. A reader knows it as of the time at
  which it sent the call that was answered last; a VM that asks takes the time
  at which it sent the question, less the age that the answer states. That
  time is never later than the truth, and clocks of VMs are never compared.
- For how long the reader's open call to the feed counts as alive. While it is
  and the reader answers, a change arrives here as soon as it is published.

A VM for which no reader vouches reads the feed itself. The module does no
I/O; times are in seconds by a clock that counts suspended time.
"""

import enum
import math
import random
import typing

# Between two questions of one VM. Half of the shortest bound on a change,
# 2 s, has to suffice for this, two rounds of answers and a read.
QUESTION_INTERVAL = 0.35  # seconds
# Others are asked as well if one has not answered within this time.
ANSWER_TIMEOUT = 0.15  # seconds
SECOND_TIMEOUT = 0.12  # seconds for the answers of these
OTHERS_ASKED = 2  # one of them in another failure domain
# Of asking another reader than the one that has vouched last.
CHANGE_CHANCE = 0.1
# How much longer than asked for the feed may take to answer a call.
OVERDUE_TIME = 0.15  # seconds
# How long this VM may lack what a reader that vouches for it has.
BEHIND_TIME = 0.5  # seconds
# VMs that no reader vouches for begin to read within this time, so that the
# first of them is heard by the others, and all of a large fleet stay within
# the rate of reads that the feed allows.
MIN_SPREAD = 0.2  # seconds
MAX_SPREAD = 0.35  # seconds
READ_RATE = 2_000.0  # calls a second of all VMs


class Round(enum.StrEnum):
    """How an attempt to find a reader that vouches has ended."""

    VOUCHED = "vouched"  # by the reader that was asked first
    MOVED = "moved"  # by another one
    LOST = "lost"


class Version(typing.NamedTuple):
    """A version of what is published, and the feed's epoch that it is from."""

    epoch: int = 0
    number: int = 0

    def includes(self, other: "Version") -> bool:
        """Return whether nothing of another version is missing here."""
        return self.epoch >= other.epoch and self.number >= other.number


class Answer(typing.NamedTuple):
    """What a VM says of its knowledge of the feed.

    It knows ``version`` as of ``age`` seconds ago. Its open call to the feed
    counts as alive for ``alive`` seconds more; 0 if it has none.
    """

    version: Version
    age: float
    alive: float


class _Confirmation(typing.NamedTuple):
    """A version that was the newest one at a time."""

    version: Version
    known_at: float


class Knowledge:
    """As of when a VM knows what is published."""

    def __init__(self) -> None:
        self._own = Version()
        self.known_at = -math.inf
        # Of a version that this VM does not have yet.
        self._pending: _Confirmation | None = None

    def age(self, now: float) -> float:
        """Return the seconds for which a change may be unknown here."""
        return now - self.known_at

    def record_read(self, sent_at: float) -> None:
        """Record that a call to the feed sent at a time was answered.

        Its changes must have been applied.
        """
        self.known_at = max(self.known_at, sent_at)

    def record_answer(
        self, asked_at: float, version: Version, age: float
    ) -> None:
        """Record the answer of a VM to a question sent at a time."""
        known_at = asked_at - age
        if self._own.includes(version):
            self.record_read(known_at)
        elif self._pending is None or known_at > self._pending.known_at:
            self._pending = _Confirmation(version, known_at)

    def apply_version(self, own: Version) -> None:
        """Record the version in force here, which answers may have named."""
        self._own = own
        pending = self._pending
        if pending is not None and own.includes(pending.version):
            self._pending = None
            self.record_read(pending.known_at)


class _Voucher(typing.NamedTuple):
    """What a reader's latest answer is worth."""

    asked_at: float
    alive_until: float


class Reader(typing.NamedTuple):
    """A VM that is said to read the feed."""

    vm_id: str
    domain: str


class Vouchers:
    """The readers that vouch for one VM that it learns of changes in time."""

    def __init__(self, domain: str, generator: random.Random) -> None:
        self._domain = domain
        self._generator = generator
        self._vouchers_by_id: dict[str, _Voucher] = {}
        # Readers that have not vouched when they were asked last.
        self._silent_ids: set[str] = set()
        # A version that this VM lacks, and since when.
        self._missing: Version | None = None
        self._missing_since = math.inf

    def record_answer(
        self, vm_id: str, asked_at: float, answer: Answer
    ) -> None:
        """Record the answer of a reader to a question sent at a time."""
        previous = self._vouchers_by_id.get(vm_id)
        if previous is not None and previous.asked_at > asked_at:
            return
        if answer.alive <= 0.0:
            self.record_silence((vm_id,))
            return
        self._silent_ids.discard(vm_id)
        self._vouchers_by_id[vm_id] = _Voucher(
            asked_at, asked_at + answer.alive
        )

    def record_silence(self, vm_ids: typing.Iterable[str]) -> None:
        """Record that some readers have not vouched when they were asked."""
        for vm_id in vm_ids:
            self._vouchers_by_id.pop(vm_id, None)
            self._silent_ids.add(vm_id)

    def record_version(self, named: Version, own: Version, now: float) -> None:
        """Record a version that another VM has, and the one in force here."""
        self.apply_version(own)
        if self._missing is None and own < named:
            self._missing = named
            self._missing_since = now

    def apply_version(self, own: Version) -> None:
        """Record the version in force here."""
        if self._missing is not None and own >= self._missing:
            self._missing = None
            self._missing_since = math.inf

    def ends_at(self) -> float:
        """Return until when some reader vouches; in the past if none does."""
        ends = max(
            (
                min(each.alive_until, each.asked_at + _longest_silence())
                for each in self._vouchers_by_id.values()
            ),
            default=-math.inf,
        )
        return min(ends, self._missing_since + BEHIND_TIME)

    def ask_at(self) -> float:
        """Return when to ask next, in the past if at once."""
        return max(
            (
                min(each.alive_until, each.asked_at + QUESTION_INTERVAL)
                for each in self._vouchers_by_id.values()
            ),
            default=-math.inf,
        )

    def asked_at(self) -> float:
        """Return when the latest question was sent that was answered."""
        return max(
            (each.asked_at for each in self._vouchers_by_id.values()),
            default=-math.inf,
        )

    def clear(self) -> None:
        """Forget all answers, so that new ones are asked for."""
        self._vouchers_by_id.clear()

    def choose(
        self, readers: typing.Iterable[Reader]
    ) -> tuple[list[str], list[str]]:
        """Return the VM to ask first, and those to ask if it does not vouch.

        One of the own failure domain is first, if there is one; of the
        others, one is in another domain. The reader that has vouched last is
        asked again, except sometimes, so that VMs spread over the readers.
        """
        own, elsewhere = [], []
        for reader in readers:
            group = own if reader.domain == self._domain else elsewhere
            group.append(reader.vm_id)
        self._silent_ids &= {*own, *elsewhere}
        for group in (own, elsewhere):
            self._generator.shuffle(group)
            group.sort(key=self._rank)
        others = [each for each in own[1:] if each not in self._silent_ids]
        if others and self._generator.random() < CHANGE_CHANCE:
            other = self._generator.choice(others)
            own.remove(other)
            own.insert(0, other)
        if not own:
            return elsewhere[:1], elsewhere[1 : 1 + OTHERS_ASKED]
        return own[:1], own[1:OTHERS_ASKED] + elsewhere[:1]

    def _rank(self, vm_id: str) -> tuple[bool, float]:
        """Return a key by which readers are sorted, the best one first."""
        voucher = self._vouchers_by_id.get(vm_id)
        asked_at = -math.inf if voucher is None else voucher.asked_at
        return vm_id in self._silent_ids, -asked_at


def _longest_silence() -> float:
    """Return the seconds after a question until another one has failed."""
    return QUESTION_INTERVAL + ANSWER_TIMEOUT + SECOND_TIMEOUT


def read_delay(vm_count: int, generator: random.Random) -> float:
    """Return the seconds until a VM without a voucher reads the feed itself.

    ``vm_count`` is the number of VMs that may have to do so at once.
    """
    spread = min(MAX_SPREAD, max(MIN_SPREAD, vm_count / READ_RATE))
    return generator.uniform(0.0, spread)
