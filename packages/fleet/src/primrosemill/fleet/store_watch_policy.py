"""Decides which VMs watch the store, so that its load grows slowly.

A few VMs hold a working watch and say so in their gossip entries; the other
VMs learn of changes from them. While too few VMs watch, every VM attempts a
watch with a probability that makes the expected number of attempts per second
equal to the number of missing watchers. No election is needed, and a store
that only a few VMs can reach is found by one of them.
"""

import math
import random

ATTEMPT_INTERVAL = 1.0  # seconds
FAILURE_BACKOFF = 5.0  # seconds after a failed watch
STALE_BACKOFF = 30.0  # seconds after the store returned an older version
READ_RATE_LIMIT = 1_500.0  # reads a second by the fleet, of 2,000 allowed
READ_BURST = 100.0  # reads
SPARE_WATCHERS = 2
VM_LIST_INTERVAL = 5.0  # seconds between reads of the VM list in a fleet of 1


def target_watcher_count(fleet_size: int) -> int:
    """Return the number of VMs that should watch the store."""
    target = SPARE_WATCHERS + math.ceil(math.log2(fleet_size + 1))
    return min(fleet_size, target)


def vm_list_interval(fleet_size: int) -> float:
    """Return the seconds between one VM's reads of the VM list."""
    return VM_LIST_INTERVAL * max(1.0, math.sqrt(fleet_size))


class StoreWatchPolicy:
    """Decides when one VM starts and ends its watch on the store.

    Also limits the rate of its reads.
    """

    def __init__(self, generator: random.Random, now: float) -> None:
        self._generator = generator
        self._next_attempt_at = now
        self._unconfigured_intervals = 0
        self._tokens = READ_BURST
        self._refilled_at = now

    def should_start(
        self,
        now: float,
        watcher_count: int,
        fleet_size: int,
        unconfigured: bool,
    ) -> bool:
        """Return whether to attempt a watch now, at most once per interval.

        A VM without any configuration doubles its probability in each
        interval, because the watchers that it knows of may all be gone.
        """
        if now < self._next_attempt_at:
            return False
        self._next_attempt_at = now + ATTEMPT_INTERVAL
        missing = target_watcher_count(fleet_size) - watcher_count
        if unconfigured:
            self._unconfigured_intervals += 1
            missing = max(1, missing) * 2 ** min(
                self._unconfigured_intervals, 16
            )
        others = max(1, fleet_size - watcher_count)
        return self._generator.random() * others < missing

    def should_stop(self, watcher_count: int, fleet_size: int) -> bool:
        """Return whether this VM may end its watch, as too many VMs watch.

        The VMs that end theirs are chosen at random, so that about the target
        number goes on.
        """
        target = target_watcher_count(fleet_size)
        if watcher_count <= 2 * target:
            return False
        surplus = watcher_count - target
        return self._generator.random() * watcher_count < surplus

    def record_failure(self, now: float) -> None:
        """Back off for a random time after a failed watch."""
        self._back_off(now, FAILURE_BACKOFF)

    def record_stale(self, now: float) -> None:
        """Back off from a store that returned an older version."""
        self._back_off(now, STALE_BACKOFF)

    def _back_off(self, now: float, duration: float) -> None:
        self._next_attempt_at = now + duration * self._generator.uniform(
            0.5, 1.5
        )

    def reserve_read(self, now: float, fleet_size: int) -> float:
        """Take one token for a read and return the seconds to wait for it."""
        rate = READ_RATE_LIMIT / target_watcher_count(fleet_size)
        earned = (now - self._refilled_at) * rate
        self._tokens = min(READ_BURST, self._tokens + earned) - 1.0
        self._refilled_at = now
        return max(0.0, -self._tokens / rate)
