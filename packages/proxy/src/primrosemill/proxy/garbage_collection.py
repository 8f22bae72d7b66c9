"""Tunes the garbage collector for a process that serves requests.

A full collection traverses every live object, most of which belong to modules
and the configuration, and pauses all requests meanwhile.
"""

import gc

YOUNG_THRESHOLD = 20_000  # allocations
MIDDLE_THRESHOLD = 20  # young collections
OLD_THRESHOLD = 100  # middle collections
MIDDLE_GENERATION = 1


def configure() -> None:
    """Set the thresholds and exclude all live objects from collections.

    Call it once the process has started: it pauses the process for tens of
    milliseconds.
    """
    gc.set_threshold(YOUNG_THRESHOLD, MIDDLE_THRESHOLD, OLD_THRESHOLD)
    gc.collect()
    gc.freeze()


def freeze_recent() -> None:
    """Exclude recent objects, such as a new configuration, from collections.

    Only the young generations are collected before, which is quick. Objects
    that were replaced hold no cycles and are freed without the collector.
    """
    gc.collect(MIDDLE_GENERATION)
    gc.freeze()
