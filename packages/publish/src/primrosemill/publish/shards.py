"""Distributes the callers' limits over values that the store accepts.

A caller's shard depends only on its name, so a changed limit changes one
value. The number of shards never decreases. It is doubled when a shard would
exceed its size limit.
"""

import msgspec
import xxhash

from primrosemill.configuration import values

MIN_SHARDS = 64
SHARD_SIZE_LIMIT = values.VALUE_SIZE_LIMIT // 4  # bytes, room for growth
LimitsByCaller = dict[str, values.LimitValue]


def shard_name(caller: str, count: int) -> str:
    """Return the name of a caller's shard among ``count`` shards."""
    return f"{count}-{xxhash.xxh64_intdigest(caller.encode()) % count}"


def count_of(shard: str) -> int:
    """Return the number of shards from a shard's name, or 0 if invalid."""
    count = shard.partition("-")[0]
    return int(count) if count.isdecimal() else 0


def split(
    limits_by_caller: LimitsByCaller, fewest: int
) -> dict[str, LimitsByCaller]:
    """Distribute the limits over at least ``fewest`` shards."""
    count = fewest
    while True:
        limits_by_shard: dict[str, LimitsByCaller] = {}
        for caller in sorted(limits_by_caller):
            shard = limits_by_shard.setdefault(shard_name(caller, count), {})
            shard[caller] = limits_by_caller[caller]
        sizes = [
            len(msgspec.json.encode(limits))
            for limits in limits_by_shard.values()
        ]
        if count >= len(limits_by_caller) or not any(
            size > SHARD_SIZE_LIMIT for size in sizes
        ):
            return limits_by_shard
        count *= 2
