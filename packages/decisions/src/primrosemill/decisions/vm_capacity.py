"""Estimates a VM's capacity from its processor and network link."""

import math

# Processor time that the platform's trials account for a request;
# docs/measurements/platform.md.
REQUEST_PROCESSOR_TIME = 0.004  # seconds
# Bytes that a request and its answer put on a VM's link, in both directions
# together, as an average over the users' kinds of request.
REQUEST_BYTES = 20_000
BYTES_PER_MEGABIT = 125_000


def requests_per_second(processor: float, link: float) -> int:
    """Return the maximum number of requests per second of a VM.

    ``processor`` is the share of a core that one process gets, ``link`` the
    bandwidth in megabits per second.
    """
    processor_limit = processor / REQUEST_PROCESSOR_TIME
    link_limit = link * BYTES_PER_MEGABIT / REQUEST_BYTES
    return int(min(processor_limit, link_limit))


def capacity_level(capacity_rps: int) -> int:
    """Return the binary logarithm of a capacity, rounded down.

    VMs of similar capacity have the same level, so that they rank equally.
    ``capacity_rps`` is in requests per second; 0 stands for unknown.
    """
    return int(math.log2(capacity_rps)) if capacity_rps > 0 else 0
