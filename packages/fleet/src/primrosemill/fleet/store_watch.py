"""Decides which VMs watch the store, so that its load grows slowly.

A few VMs hold a working watch and say so in their gossip entry; the others
learn of changes from them. Where too few watch, each VM tries with a chance
that makes the expected number of tries a second the number that is missing,
so no election is needed and a store that few VMs reach is found by those.
"""

import math
import random

ATTEMPT_INTERVAL = 1.0  # seconds
FAILURE_PAUSE = 5.0  # seconds after a watch failed
STALE_PAUSE = 30.0  # seconds after the store gave an older version
READ_BUDGET = 1_500.0  # reads a second over the fleet, of 2,000 allowed
READ_BURST = 100.0  # reads
SPARE_WATCHERS = 2
LIST_INTERVAL = 5.0  # seconds between readings of the VM list at one VM


def wanted_watchers(fleet_size: int) -> int:
    """Return how many VMs should watch the store."""
    wanted = SPARE_WATCHERS + math.ceil(math.log2(fleet_size + 1))
    return min(fleet_size, wanted)


def list_interval(fleet_size: int) -> float:
    """Return the seconds between one VM's readings of the VM list."""
    return LIST_INTERVAL * max(1.0, math.sqrt(fleet_size))


class StoreWatch:
    """Decides when one VM starts and ends its watch."""

    def __init__(self, generator: random.Random, now: float) -> None:
        self._generator = generator
        self._next_attempt = now
        self._empty_intervals = 0
        self._tokens = READ_BURST
        self._tokens_at = now

    def should_start(
        self, now: float, watchers: int, fleet_size: int, empty: bool
    ) -> bool:
        """Tell whether to try a watch now; one answer in each interval.

        While ``empty``, a VM without any configuration doubles its chance
        in each interval: those it counts on may all be gone.
        """
        if now < self._next_attempt:
            return False
        self._next_attempt = now + ATTEMPT_INTERVAL
        missing = wanted_watchers(fleet_size) - watchers
        if empty:
            self._empty_intervals += 1
            missing = max(1, missing) * 2 ** min(self._empty_intervals, 16)
        others = max(1, fleet_size - watchers)
        return self._generator.random() * others < missing

    def should_stop(self, watchers: int, fleet_size: int) -> bool:
        """Tell whether so many watch that this VM may end its watch."""
        wanted = wanted_watchers(fleet_size)
        if watchers <= 2 * wanted:
            return False
        surplus = watchers - wanted
        return self._generator.random() * watchers < surplus

    def note_failure(self, now: float) -> None:
        """Leave the store to others for a while, at a random length."""
        self._pause(now, FAILURE_PAUSE)

    def note_stale(self, now: float) -> None:
        """Leave a store alone that gave an older or refused version."""
        self._pause(now, STALE_PAUSE)

    def _pause(self, now: float, length: float) -> None:
        self._next_attempt = now + length * self._generator.uniform(0.5, 1.5)

    def reserve_read(self, now: float, fleet_size: int) -> float:
        """Take one read from the budget; returns the seconds to wait."""
        rate = READ_BUDGET / wanted_watchers(fleet_size)
        earned = (now - self._tokens_at) * rate
        self._tokens = min(READ_BURST, self._tokens + earned) - 1.0
        self._tokens_at = now
        return max(0.0, -self._tokens / rate)
