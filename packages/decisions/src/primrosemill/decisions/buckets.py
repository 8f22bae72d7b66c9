"""Sets of instance ids by level, with random choice in constant time."""

import random
import typing


class _Bucket:
    """A set of ids that allows a random choice in constant time."""

    __slots__ = ("_ids", "_index_by_id")

    def __init__(self) -> None:
        self._ids: list[str] = []
        self._index_by_id: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._ids)

    def add(self, instance_id: str) -> None:
        """Add an id that isn't in the set yet."""
        self._index_by_id[instance_id] = len(self._ids)
        self._ids.append(instance_id)

    def remove(self, instance_id: str) -> None:
        """Remove an id by moving the last one to its index."""
        index = self._index_by_id.pop(instance_id)
        last = self._ids.pop()
        if last == instance_id:
            return
        self._ids[index] = last
        self._index_by_id[last] = index

    def pick(
        self, excluded_ids: typing.Container[str], generator: random.Random
    ) -> str | None:
        """Return a random id that isn't excluded, or None.

        The time is proportional to the number of excluded ids.
        """
        count = len(self._ids)
        start = int(generator.random() * count)
        for step in range(count):
            candidate = self._ids[(start + step) % count]
            if candidate not in excluded_ids:
                return candidate
        return None


class Levels:
    """Ids by level, picked from the lowest level first.

    A bit mask of the levels in use gives the lowest one without a scan.
    """

    def __init__(self) -> None:
        self._buckets_by_level: dict[int, _Bucket] = {}
        self._mask = 0

    def __bool__(self) -> bool:
        return self._mask != 0

    def add(self, instance_id: str, level: int) -> None:
        """Add an id at a level of 0 or more."""
        bucket = self._buckets_by_level.get(level)
        if bucket is None:
            bucket = self._buckets_by_level[level] = _Bucket()
        bucket.add(instance_id)
        self._mask |= 1 << level

    def remove(self, instance_id: str, level: int) -> None:
        """Remove an id from the level at which it was added."""
        bucket = self._buckets_by_level[level]
        bucket.remove(instance_id)
        if not bucket:
            self._mask &= ~(1 << level)

    def pick(
        self, excluded_ids: typing.Container[str], generator: random.Random
    ) -> str | None:
        """Return a random id of the lowest level with one not excluded."""
        mask = self._mask
        while mask:
            lowest = mask & -mask
            bucket = self._buckets_by_level[lowest.bit_length() - 1]
            picked = bucket.pick(excluded_ids, generator)
            if picked is not None:
                return picked
            mask ^= lowest
        return None
