"""Reads a clock that also counts the time for which the VM is suspended."""

import time


def now() -> float:
    """Return the seconds since some fixed time, such as the VM's start.

    Where the system has no such clock, this is its steady clock, which may
    stand still during a suspension.
    """
    clock_id = getattr(time, "CLOCK_BOOTTIME", None)
    if clock_id is None:
        return time.monotonic()
    return time.clock_gettime(clock_id)
