"""Decides how many large answers pass a VM's link at the same time.

Answers share the link. With n large ones under way, a small answer gets about
1 / (n + 1) of it, so with hundreds it would be as late as they are. Only as
many are under way as keep the link busy for a short time; the others wait in
order of their arrival, before they take an instance's slot.
"""

import math

BITS_PER_MEGABIT = 1_000_000
BITS_PER_BYTE = 8
# How long the answers under way keep the link busy. Longer than a round trip
# and an instance's service time, so that the link does not run dry.
FILL_TIME = 0.4  # seconds
# A caller that reads slowly leaves the link to others, so its answer no
# longer counts after this time.
PLACE_TIME = 2.0 * FILL_TIME  # seconds
MIN_UNDER_WAY = 2  # answers
# The size that large answers are taken to have before any was seen.
EXPECTED_SIZE = 90_000.0  # bytes
UNCOUNTED = 0  # the number of each answer on a link without bound
SMOOTHING = 0.05  # weight of the last size in the mean


class LinkShare:
    """The large answers under way; times in seconds.

    ``link`` is the bandwidth in megabits a second; 0 sets no bound.
    """

    def __init__(self, link: float) -> None:
        self._bytes_per_second = link * BITS_PER_MEGABIT / BITS_PER_BYTE
        self._mean_size = EXPECTED_SIZE
        self._started_by_number: dict[int, float] = {}
        self._next_number = 0

    @property
    def max_under_way(self) -> float:
        """Return how many answers may be under way."""
        if not self._bytes_per_second:
            return math.inf
        filling = self._bytes_per_second * FILL_TIME / self._mean_size
        return max(MIN_UNDER_WAY, math.ceil(filling))

    def start(self, now: float) -> int | None:
        """Return a number for an answer that may start, or None."""
        if not self._bytes_per_second:
            return UNCOUNTED
        if self._count(now) >= self.max_under_way:
            return None
        self._next_number += 1
        self._started_by_number[self._next_number] = now
        return self._next_number

    def end(self, number: int, size: int) -> None:
        """Record that an answer of ``size`` bytes ended; 0: none came."""
        self._started_by_number.pop(number, None)
        if size:
            self._mean_size += SMOOTHING * (size - self._mean_size)

    def next_place_at(self, now: float) -> float:
        """Return when a place is free at the latest."""
        starts = self._started_by_number.values()
        return min(starts, default=now - PLACE_TIME) + PLACE_TIME

    def _count(self, now: float) -> int:
        """Return the answers that count, and forget the others."""
        expired = [
            number
            for number, started in self._started_by_number.items()
            if now - started >= PLACE_TIME
        ]
        for number in expired:
            del self._started_by_number[number]
        return len(self._started_by_number)
