"""Tunes the garbage collector for a process that answers requests.

A full collection looks at every object that lives, most of which are
modules and the configuration, and stops all requests meanwhile.
"""

import gc

YOUNG_THRESHOLD = 20_000  # allocations
MIDDLE_THRESHOLD = 20  # young collections
OLD_THRESHOLD = 100  # middle collections
MIDDLE_GENERATION = 1


def settle() -> None:
    """Set the thresholds and leave all that lives out of collections.

    Call it once the process is up; it stops everything for tens of
    milliseconds.
    """
    gc.set_threshold(YOUNG_THRESHOLD, MIDDLE_THRESHOLD, OLD_THRESHOLD)
    gc.collect()
    gc.freeze()


def spare_new() -> None:
    """Leave out what came lately, for instance a new configuration.

    Only the young generations are collected first, which is quick. What a
    change replaced holds no cycles and is freed without the collector.
    """
    gc.collect(MIDDLE_GENERATION)
    gc.freeze()
