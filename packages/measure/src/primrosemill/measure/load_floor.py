"""Measures how many of the sound instances are in use while requests fail.

Operators ask that a service that serves too little uses what it has: while
more than a tenth of its requests, but less than half, are not served, a
minimum share of its sound instances gets requests in every window of 2 s.
Times are in seconds.
"""

import bisect
import typing

from primrosemill.decisions import coverage
from primrosemill.measure import load_instances
from primrosemill.measure import load_simulation

WINDOW = 2.0  # seconds
STEP = 0.25  # seconds between the starts of two windows
# An instance is sound this long after a disturbance, and after a failure of
# its own.
SOUND_AFTER_DISTURBANCE = 6.0  # seconds
SOUND_AFTER_FAILURE = 2.0  # seconds
MIN_UNSERVED = 0.1
MAX_UNSERVED = 0.5


class Violation(typing.NamedTuple):
    """A window in which too few of the sound instances were in use."""

    start: float
    unserved: float
    used: float


def find_violations(
    simulation: load_simulation.Simulation,
) -> list[Violation]:
    """Return the windows of a finished run with too few instances in use."""
    by_arrival = sorted(simulation.outcomes, key=lambda each: each.arrived_at)
    arrival_times = [each.arrived_at for each in by_arrival]
    violations = []
    start = 0.0
    while start + WINDOW <= simulation.pattern.seconds:
        end = start + WINDOW
        first = bisect.bisect_left(arrival_times, start)
        last = bisect.bisect_left(arrival_times, end)
        outcomes = by_arrival[first:last]
        unserved = _unserved_share(outcomes)
        if MIN_UNSERVED < unserved < MAX_UNSERVED:
            used = _used_share(simulation, start, end)
            if 0.0 < used < coverage.FLOOR_SHARE:
                violations.append(Violation(start, unserved, used))
        start += STEP
    return violations


def _unserved_share(
    outcomes: typing.Sequence[load_simulation.Outcome],
) -> float:
    if not outcomes:
        return 0.0
    return sum(not each.served for each in outcomes) / len(outcomes)


def _used_share(
    simulation: load_simulation.Simulation, start: float, end: float
) -> float:
    """Return the share of the sound instances that got a request."""
    sound = [
        each
        for each in simulation.instances_by_id.values()
        if _is_sound(each, start, end)
    ]
    if not sound:
        return 0.0
    return sum(_has_any(each.arrivals, start, end) for each in sound) / len(
        sound
    )


def _is_sound(
    instance: load_instances.Instance, start: float, end: float
) -> bool:
    if _has_any(instance.failed_at, start - SOUND_AFTER_FAILURE, end):
        return False
    for intervals in (
        instance.lost,
        instance.silent,
        instance.slow,
        instance.limited,
    ):
        for begins, ends in intervals:
            if begins < end and start < ends + SOUND_AFTER_DISTURBANCE:
                return False
    return True


def _has_any(times: list[float], start: float, end: float) -> bool:
    """Return whether any of the ascending times is in the interval."""
    index = bisect.bisect_left(times, start)
    return index < len(times) and times[index] < end
