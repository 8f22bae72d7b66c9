"""Spreads the callers' limits over values that the store can hold.

A caller's shard follows from its name alone, so a changed limit changes
one value. The number of shards only rises, by doubling, when one would
outgrow its share of the store's value size.
"""

import msgspec
import xxhash

from primrosemill.configuration import values

MIN_SHARDS = 64
SHARD_SIZE_LIMIT = values.VALUE_SIZE_LIMIT // 4  # bytes, room for growth
LimitsByCaller = dict[str, values.LimitValue]


def shard_name(caller: str, count: int) -> str:
    """Return the shard of a caller among ``count`` of them."""
    return f"{count}-{xxhash.xxh64_intdigest(caller.encode()) % count}"


def count_of(shard: str) -> int:
    """Return the number of shards that a shard's name tells, or 0."""
    count = shard.partition("-")[0]
    return int(count) if count.isdecimal() else 0


def split(
    limits_by_caller: LimitsByCaller, fewest: int
) -> dict[str, LimitsByCaller]:
    """Return the limits by shard, over at least ``fewest`` shards."""
    count = fewest
    while True:
        limits_by_shard: dict[str, LimitsByCaller] = {}
        for caller in sorted(limits_by_caller):
            shard = limits_by_shard.setdefault(shard_name(caller, count), {})
            shard[caller] = limits_by_caller[caller]
        sizes = [len(msgspec.json.encode(v)) for v in limits_by_shard.values()]
        if count >= len(limits_by_caller) or not any(
            size > SHARD_SIZE_LIMIT for size in sizes
        ):
            return limits_by_shard
        count *= 2
