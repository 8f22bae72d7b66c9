"""Draws the instances of a load pattern, their spells and their trouble.

Times are in seconds.
"""

import random

from primrosemill.configuration import document as documents
from primrosemill.measure import load_patterns

Spans = tuple[tuple[float, float], ...]


class Instance:
    """An instance with slots, a queue, and spans of trouble.

    The queue holds requests, and when each was sent.
    """

    def __init__(self, record: documents.Instance, spells: Spans) -> None:
        self.record = record
        self.spells = spells
        self.lost: Spans = ()
        self.silent: Spans = ()
        self.slow: Spans = ()
        self.running = 0
        self.queue: list[tuple] = []


def covers(spans: Spans, now: float) -> bool:
    """Tell whether a time is within any of the spans."""
    return any(start <= now < end for start, end in spans)


def draw(
    pattern: load_patterns.Pattern, generator: random.Random
) -> dict[str, Instance]:
    """Return the instances of a pattern by id."""
    instances_by_id = {}
    for number, size in enumerate(pattern.domains):
        for place in range(size):
            record = documents.Instance(
                f"d{number}-{place}",
                "10.0.0.1",
                1 + len(instances_by_id),
                f"d{number}",
                slots=pattern.slots,
            )
            spells = _draw_spells(pattern, generator)
            instances_by_id[record.id] = Instance(record, spells)
    _strike(pattern, list(instances_by_id.values()), generator)
    return instances_by_id


def _draw_spells(
    pattern: load_patterns.Pattern, generator: random.Random
) -> Spans:
    spells = pattern.spells
    spans = []
    at = 0.0
    while at < pattern.seconds:
        at += generator.expovariate(spells.onset)
        length = generator.expovariate(1.0 / spells.lasts)
        spans.append((at, at + length))
        at += length
    return tuple(spans)


def _strike(
    pattern: load_patterns.Pattern,
    instances: list[Instance],
    generator: random.Random,
) -> None:
    """Give the instances their part of the trouble."""
    span = ((pattern.strikes, pattern.strikes + pattern.lasts),)
    generator.shuffle(instances)
    count = len(instances)
    for each in instances[: round(pattern.lost * count)]:
        each.lost = span
    for each in instances[: round(pattern.silent * count)]:
        each.silent = span
    if pattern.slow > 1.0:
        for each in instances[: round(pattern.slow_share * count)]:
            each.slow = span
    for each in instances:
        if pattern.lost_domain and each.record.domain == "d0":
            each.lost = span
