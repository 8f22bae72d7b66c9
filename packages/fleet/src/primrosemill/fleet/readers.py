"""Decides which VMs read the feed, so that its calls stay few.

A few VMs of each failure domain hold a working watch and say so in their
gossip entry. The others hear of changes from them. Where too few watch, each
VM of the domain tries with a chance that makes the expected number of tries
the number that is missing, so no election is needed. Pure; times in seconds.
"""

import random

WANTED = 2  # readers in a failure domain, so that one may fail unnoticed
ATTEMPT_INTERVAL = 0.25  # seconds between looks whether readers are missing
FIRST_PAUSE = 0.5  # seconds after a failure
LONGEST_PAUSE = 4.0  # seconds between tries while the feed gives no answer
# A VM whose first peers answer has the routes by then. After the loss of all
# VMs nobody has them, and each moment without routes refuses all callers.
FIRST_DELAY = 0.1  # seconds after the start


class Readers:
    """Decides when one VM starts and ends its watch."""

    def __init__(self, generator: random.Random, now: float) -> None:
        self._generator = generator
        self._next_attempt = now + FIRST_DELAY
        self._failures = 0

    def should_start(self, now: float, readers: int, vms: int) -> bool:
        """Tell whether to try now; ``readers`` of ``vms`` others watch."""
        if now < self._next_attempt:
            return False
        self._next_attempt = now + ATTEMPT_INTERVAL
        missing = WANTED - readers
        if missing <= 0:
            return False
        return self._generator.random() * (vms - readers + 1) < missing

    def should_stop(self, readers: int) -> bool:
        """Tell whether so many others watch that this VM may end.

        A reader too many costs little, and one too few costs freshness, so
        one of them leaves only now and then.
        """
        surplus = readers + 1 - WANTED
        if surplus <= 0:
            return False
        return self._generator.random() * (readers + 1) < surplus / 2

    def note_success(self) -> None:
        """Note that the feed answered."""
        self._failures = 0

    def note_failure(self, now: float) -> None:
        """Wait before the next try, longer after each failure."""
        pause = min(LONGEST_PAUSE, FIRST_PAUSE * 2**self._failures)
        self._failures = min(self._failures + 1, 8)
        self._next_attempt = now + pause * self._generator.uniform(0.5, 1.0)
