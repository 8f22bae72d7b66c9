"""Simulated instances of a load pattern, with their faults drawn at random.

Times are in seconds.
"""

import random

from primrosemill.configuration import document as documents
from primrosemill.measure import load_patterns

Intervals = tuple[tuple[float, float], ...]


class Instance:
    """A simulated instance, its queue, and the times at which it is faulty.

    ``running`` is the number of requests in its slots. Each item of
    ``queue`` is a waiting request and the time at which it was sent.
    """

    def __init__(self, record: documents.Instance, spells: Intervals) -> None:
        self.record = record
        self.spells = spells
        self.lost: Intervals = ()
        self.silent: Intervals = ()
        self.slow: Intervals = ()
        self.limited: Intervals = ()
        self.shedding: Intervals = ()
        # Times of the requests that were sent to it.
        self.arrivals: list[float] = []
        # Times at which it failed a request by itself.
        self.failed_at: list[float] = []
        self.running = 0
        self.queue: list[tuple] = []


def covers(intervals: Intervals, now: float) -> bool:
    """Return whether a time is within any of the intervals."""
    return any(start <= now < end for start, end in intervals)


def draw(
    pattern: load_patterns.Pattern, generator: random.Random
) -> dict[str, Instance]:
    """Return the instances of a pattern by id, with their faults."""
    instances_by_id = {}
    for domain_number, count in enumerate(pattern.instance_counts):
        for number in range(count):
            record = documents.Instance(
                f"d{domain_number}-{number}",
                "10.0.0.1",
                1 + len(instances_by_id),
                f"d{domain_number}",
                slots=pattern.slots,
            )
            spells = _draw_spells(pattern, generator)
            instances_by_id[record.id] = Instance(record, spells)
    _apply_incident(pattern, list(instances_by_id.values()), generator)
    return instances_by_id


def _draw_spells(
    pattern: load_patterns.Pattern, generator: random.Random
) -> Intervals:
    spells = pattern.spells
    intervals = []
    time = 0.0
    while time < pattern.seconds:
        time += generator.expovariate(spells.onset_rate)
        duration = generator.expovariate(1.0 / spells.mean_duration)
        intervals.append((time, time + duration))
        time += duration
    return tuple(intervals)


def _apply_incident(
    pattern: load_patterns.Pattern,
    instances: list[Instance],
    generator: random.Random,
) -> None:
    """Set the faults that the incident causes at randomly chosen instances."""
    intervals = (
        (
            pattern.incident_start,
            pattern.incident_start + pattern.incident_duration,
        ),
    )
    generator.shuffle(instances)
    count = len(instances)
    for instance in instances[: round(pattern.lost_share * count)]:
        instance.lost = intervals
    for instance in instances[: round(pattern.silent_share * count)]:
        instance.silent = intervals
    if pattern.slow_factor > 1.0:
        for instance in instances[: round(pattern.slow_share * count)]:
            instance.slow = intervals
    for instance in instances[: round(pattern.limited_share * count)]:
        instance.limited = intervals
    if pattern.shed_share:
        for instance in instances[: round(pattern.shedding_share * count)]:
            instance.shedding = intervals
    for instance in instances:
        if pattern.lost_domain and instance.record.domain == "d0":
            instance.lost = intervals
