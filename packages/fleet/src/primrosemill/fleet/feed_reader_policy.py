"""Decides which VMs read the feed, so that the number of calls stays low.

A few VMs of each failure domain hold a working watch and say so in their
gossip entries; the other VMs learn of changes from them. While too few VMs
watch, every VM of the domain attempts a read with a probability that makes
the expected number of attempts equal to the number of missing readers, so no
election is needed. A VM for which no reader vouches does not count readers: it
reads after a short random time (see ``feed_age.read_delay``). The module does
no I/O; times are in seconds.
"""

import math
import random

from primrosemill.decisions import feed_age

# Readers in a failure domain; with two, changes still arrive if one fails.
TARGET_READER_COUNT = 2
# VMs of a failure domain for each reader beyond these. All VMs ask readers
# all the time, and a reader's part of that must stay small.
VMS_PER_READER = 24
ATTEMPT_INTERVAL = 0.25  # seconds between checks for missing readers
INITIAL_BACKOFF = 0.5  # seconds after the first failure
MAX_BACKOFF = 4.0  # seconds between attempts while the feed does not answer
# Seconds between the start and the first attempt. Within this time a VM gets
# the routes from its first peers if they answer. It is short, because after
# the loss of all VMs no peer has the routes, and without routes a VM refuses
# all callers.
START_DELAY = 0.1


def target_reader_count(vm_count: int) -> int:
    """Return how many VMs of a failure domain should read the feed."""
    return max(TARGET_READER_COUNT, math.ceil(vm_count / VMS_PER_READER))


class FeedReaderPolicy:
    """Decides when one VM starts and ends its watch on the feed."""

    def __init__(self, generator: random.Random, now: float) -> None:
        self._generator = generator
        self._next_attempt_at = now
        self._backoff_until = now + START_DELAY
        self._failure_count = 0
        # When to read because no reader vouches for this VM.
        self._alone_at = math.inf

    def record_loss(self, now: float, vm_count: int) -> None:
        """Record that no reader vouches for this VM, out of ``vm_count``."""
        if math.isinf(self._alone_at):
            delay = feed_age.read_delay(vm_count, self._generator)
            self._alone_at = now + delay

    def end_loss(self) -> None:
        """Record that some reader vouches for this VM."""
        self._alone_at = math.inf

    def time_to_start(self, now: float) -> float:
        """Return the seconds until this VM may have to read on its own."""
        return max(0.0, max(self._alone_at, self._backoff_until) - now)

    def should_start_alone(self, now: float) -> bool:
        """Return whether to read now, as no reader vouches for this VM."""
        return self.time_to_start(now) <= 0.0

    def should_start(
        self, now: float, reader_count: int, peer_count: int
    ) -> bool:
        """Return whether to attempt a read now.

        ``peer_count`` is the number of other VMs in the failure domain, and
        ``reader_count`` the number of those that watch.
        """
        if now < max(self._next_attempt_at, self._backoff_until):
            return False
        self._next_attempt_at = now + ATTEMPT_INTERVAL
        missing = target_reader_count(peer_count + 1) - reader_count
        if missing <= 0:
            return False
        return (
            self._generator.random() * (peer_count - reader_count + 1)
            < missing
        )

    def should_stop(self, reader_count: int, peer_count: int = 0) -> bool:
        """Return whether this VM may end its watch, as too many others watch.

        The counts are those of :meth:`should_start`.

        A surplus reader costs little, but with too few readers changes arrive
        late, so surplus readers stop with a low probability.
        """
        surplus = reader_count + 1 - target_reader_count(peer_count + 1)
        if surplus <= 0:
            return False
        return self._generator.random() * (reader_count + 1) < surplus / 2

    def record_success(self) -> None:
        """Reset the backoff after an answer of the feed."""
        self._failure_count = 0

    def record_failure(self, now: float) -> None:
        """Back off before the next attempt, longer after each failure."""
        backoff = min(MAX_BACKOFF, INITIAL_BACKOFF * 2**self._failure_count)
        self._failure_count = min(self._failure_count + 1, 8)
        self._backoff_until = now + backoff * self._generator.uniform(0.5, 1.0)
