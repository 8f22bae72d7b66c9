"""Remembers what instances said of themselves in their answers.

An instance that says it is leaving is believed for as long as its process
runs, whatever the feed says later: an entry that lapses and comes back while
the feed is away is still that process. One that asks for a pause gets no
request before it is over. Both belong to one start of the instance, so that
the next one begins without them. Pure; times are in seconds.
"""

import typing

from primrosemill.configuration import document as documents

# A start that is not told; such a sign ends when the entry has gone.
UNKNOWN_BOOT = 0
# Instances whose signs are kept after their entries went; the oldest sign is
# dropped first. The platform's target is 10,000 instances.
REMEMBERED = 10_000


class _Start(typing.NamedTuple):
    """One process of an instance."""

    instance_id: str
    boot: int


def _start_of(instance: documents.Instance) -> _Start:
    return _Start(instance.id, instance.boot)


class Announcements:
    """Holds the signs and pauses of the instances of one service."""

    def __init__(self) -> None:
        self._leaving: dict[_Start, None] = {}
        self._pause_ends_by_start: dict[_Start, float] = {}

    def note_leaving(self, instance: documents.Instance) -> bool:
        """Note that an instance is leaving; tell whether that is news."""
        start = _start_of(instance)
        if start in self._leaving:
            return False
        if len(self._leaving) >= REMEMBERED:
            del self._leaving[next(iter(self._leaving))]
        self._leaving[start] = None
        return True

    def note_pause(
        self, instance: documents.Instance, seconds: float, now: float
    ) -> None:
        """Note that an instance wants no request for so long."""
        start = _start_of(instance)
        before = self._pause_ends_by_start.get(start, now)
        self._pause_ends_by_start[start] = max(before, now + seconds)

    def is_leaving(self, instance: documents.Instance) -> bool:
        """Tell whether the instance, or its entry, says it is leaving."""
        return instance.leaving or _start_of(instance) in self._leaving

    def pause_end(self, instance: documents.Instance) -> float:
        """Return when the pause of an instance ends; 0 where it has none."""
        return self._pause_ends_by_start.get(_start_of(instance), 0.0)

    def keep(
        self, instances: typing.Iterable[documents.Instance], now: float
    ) -> None:
        """Forget pauses that are over and signs that no start bounds."""
        starts = {_start_of(instance) for instance in instances}
        for start in list(self._leaving):
            if start.boot == UNKNOWN_BOOT and start not in starts:
                del self._leaving[start]
        for start, end in list(self._pause_ends_by_start.items()):
            if end <= now:
                del self._pause_ends_by_start[start]
