"""Decides for how long a VM may rely on the customers' keys that it knows.

A key may be withdrawn at any time, and a VM that is cut off does not learn of
it. So a VM serves a key only while it knows the configuration as of a recent
time. That time is never later than the truth: a VM that reads the feed knows
the configuration as of the time at which it sent the call that was answered,
and a VM that asks another one takes the time at which it sent the question,
less the age that the answer states. Clocks of VMs are never compared. The
module does no I/O; times are in seconds by a clock that counts suspended time.
"""

import math
import random
import typing

from primrosemill.decisions import feed_age

# What ages leave out: a check before the clock is read again, rounding, and
# clocks that run at different speeds.
MARGIN = 0.1  # seconds
# Parts of the time after which no withdrawn key is served: readers renew
# their watches, and other VMs ask readers, so often that a VM that loses all
# paths to the feed may serve for three fifths of that time.
INTERVAL_SHARE = 0.1
MIN_INTERVAL = 0.1  # seconds
MAX_INTERVAL = 0.5  # seconds
# Questions that the VMs of a failure domain ask its readers per second; more
# VMs ask less often. At 76 bytes, each of two readers gets and sends 9 KB/s.
MAX_QUESTION_RATE = 240.0
# Another reader is asked if one has not answered within this time.
ANSWER_TIMEOUT = 0.15  # seconds
MAX_READERS_ASKED = 3  # of which one is in another domain if two fail
# Between two reads of the feed by a VM that no reader helps.
READ_INTERVAL = 1.0  # seconds
MAX_READ_INTERVAL = 4.0  # seconds, while the feed does not answer


class Timing(typing.NamedTuple):
    """How old what a VM knows may be, and how often it learns more.

    Keys are served up to an age of ``served``, and unknown keys refused for
    good up to ``refused``. ``watch`` is the longest time of one watch,
    ``interval`` that between two questions.
    """

    served: float
    refused: float
    watch: float
    interval: float


def timing(withdrawal: float, usual_watch: float) -> Timing:
    """Return the times for a withdrawal of keys that takes this long.

    ``withdrawal`` of 0 sets no bound; ``usual_watch`` is the time of a watch
    without one. A reader knows the configuration as of the start of its
    previous watch, which may be two watches ago.
    """
    if withdrawal <= 0.0:
        refused = 2.0 * usual_watch + 2.0 * MAX_INTERVAL
        return Timing(math.inf, refused, usual_watch, MAX_INTERVAL)
    share = INTERVAL_SHARE * withdrawal
    interval = max(MIN_INTERVAL, min(MAX_INTERVAL, share))
    served = max(0.0, withdrawal - MARGIN)
    return Timing(served, min(served, 4.0 * interval), interval, interval)


def question_interval(interval: float, vm_count: int) -> float:
    """Return the seconds between the questions of one of a domain's VMs."""
    return max(interval, vm_count / MAX_QUESTION_RATE)


class Answer(typing.NamedTuple):
    """The version in force at another VM, and the age of what it knows."""

    version: feed_age.Version
    age: float


class Knowledge:
    """As of when a VM knows the configuration that it has in force.

    Nothing is known while another VM is known to have a newer version: a feed
    that was restored from an older copy does not offer that one any more.
    """

    def __init__(self) -> None:
        self._own = feed_age.Version()
        # The highest number of a version that another VM has named.
        self._highest_number = 0
        self._feed = feed_age.Knowledge()

    def age(self, now: float) -> float:
        """Return the seconds for which a change may be unknown here."""
        if self._own.number < self._highest_number:
            return math.inf
        return self._feed.age(now)

    def record_version(self, named: feed_age.Version) -> None:
        """Record the version that is in force at another VM."""
        self._highest_number = max(self._highest_number, named.number)

    def record_read(self, known_at: float) -> None:
        """Record that all changes of the feed up to a time are applied."""
        self._feed.record_read(known_at)

    def record_answer(self, asked_at: float, answer: Answer) -> None:
        """Record the answer of a VM to a question sent at a time."""
        self.record_version(answer.version)
        self._feed.record_answer(asked_at, answer.version, answer.age)

    def apply_version(self, own: feed_age.Version) -> None:
        """Record the version in force here, which answers may have named."""
        self._own = own
        self._feed.apply_version(own)


def choose_readers(
    readers: typing.Iterable[feed_age.Reader],
    own_domain: str,
    generator: random.Random,
) -> list[str]:
    """Return the VMs to ask, in order; those of the own domain first."""
    order = sorted(
        readers,
        key=lambda reader: (reader.domain != own_domain, generator.random()),
    )
    return [reader.vm_id for reader in order[:MAX_READERS_ASKED]]


class ReadBackoff:
    """Spaces the reads of the feed by a VM that is no reader."""

    def __init__(self, generator: random.Random) -> None:
        self._generator = generator
        self._interval = READ_INTERVAL
        self._next_at = -math.inf

    def may_read(self, now: float) -> bool:
        """Return whether the VM may read the feed now."""
        return now >= self._next_at

    def record(self, now: float, succeeded: bool) -> None:
        """Record how a read has ended."""
        if succeeded:
            self._interval = READ_INTERVAL
        self._next_at = now + self._interval * self._generator.uniform(0.5, 1)
        if not succeeded:
            self._interval = min(MAX_READ_INTERVAL, 2.0 * self._interval)
