"""Keeps instances in buckets from which a random one is picked cheaply."""

import random
import typing


class _Bucket:
    """A set of ids that one can be drawn from at random in constant time."""

    __slots__ = ("_ids", "_place_by_id")

    def __init__(self) -> None:
        self._ids: list[str] = []
        self._place_by_id: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._ids)

    def add(self, instance_id: str) -> None:
        """Add an id that is not there yet."""
        self._place_by_id[instance_id] = len(self._ids)
        self._ids.append(instance_id)

    def remove(self, instance_id: str) -> None:
        """Remove an id; the last one takes its place."""
        place = self._place_by_id.pop(instance_id)
        last = self._ids.pop()
        if last == instance_id:
            return
        self._ids[place] = last
        self._place_by_id[last] = place

    def pick(
        self, excluded: typing.Container[str], generator: random.Random
    ) -> str | None:
        """Return an id that is not excluded; costs one step for each."""
        count = len(self._ids)
        start = int(generator.random() * count)
        for step in range(count):
            candidate = self._ids[(start + step) % count]
            if candidate not in excluded:
                return candidate
        return None


class Levels:
    """Holds ids by level and picks one of the lowest level.

    A bit mask of the levels in use finds the lowest without a scan.
    """

    def __init__(self) -> None:
        self._buckets_by_level: dict[int, _Bucket] = {}
        self._mask = 0

    def __bool__(self) -> bool:
        return self._mask != 0

    def add(self, instance_id: str, level: int) -> None:
        """Add an id at a level from 0."""
        bucket = self._buckets_by_level.get(level)
        if bucket is None:
            bucket = self._buckets_by_level[level] = _Bucket()
        bucket.add(instance_id)
        self._mask |= 1 << level

    def remove(self, instance_id: str, level: int) -> None:
        """Remove an id from the level it was added at."""
        bucket = self._buckets_by_level[level]
        bucket.remove(instance_id)
        if not bucket:
            self._mask &= ~(1 << level)

    def pick(
        self, excluded: typing.Container[str], generator: random.Random
    ) -> str | None:
        """Return a random id of the lowest level that has one to offer."""
        mask = self._mask
        while mask:
            lowest = mask & -mask
            bucket = self._buckets_by_level[lowest.bit_length() - 1]
            picked = bucket.pick(excluded, generator)
            if picked is not None:
                return picked
            mask ^= lowest
        return None
