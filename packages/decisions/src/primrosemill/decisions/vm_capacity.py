"""Tells how much work a VM can carry, from its processor and its link."""

import math

# Processor time that a request takes, as the platform's trials charge it;
# docs/measurements/platform.md.
REQUEST_TIME = 0.004  # seconds
# Bytes that a request and its answer put on a VM's link, in and out, over
# the users' kinds of request.
REQUEST_SIZE = 20_000
BYTES_PER_MEGABIT = 125_000


def requests_a_second(processor: float, link: float) -> int:
    """Return how many requests a second a VM can carry at most.

    ``processor`` is the share of a core that one process gets, ``link`` is
    in megabits a second.
    """
    by_processor = processor / REQUEST_TIME
    by_link = link * BYTES_PER_MEGABIT / REQUEST_SIZE
    return int(min(by_processor, by_link))


def level(carries: int) -> int:
    """Return a rank; VMs that carry alike, within a factor of two, share it.

    ``carries`` is in requests a second; 0 stands for unknown.
    """
    return int(math.log2(carries)) if carries > 0 else 0
