"""Announcements that instances make in their answers.

An instance that announces that it is leaving is treated as leaving for as
long as its process runs, regardless of its entry in the feed: an entry that
expires and reappears while the feed is unreachable still refers to that
process. An instance that asks for a pause gets no requests until the pause
ends. Both apply to one incarnation (one run of the process), so that the next
one starts without them. No I/O; times are in seconds.
"""

import typing

from primrosemill.configuration import document as documents

# Boot number of an instance that doesn't report one. Its announcement is
# dropped when its entry is removed.
UNKNOWN_BOOT = 0
# Incarnations whose announced departure is remembered, also after the removal
# of their entries. The oldest one is dropped first. The platform's target is
# 10,000 instances.
MAX_REMEMBERED = 10_000


class Incarnation(typing.NamedTuple):
    """One run of an instance's process."""

    instance_id: str
    boot: int


def incarnation_of(instance: documents.Instance) -> Incarnation:
    """Return the incarnation that an entry of the feed describes."""
    return Incarnation(instance.id, instance.boot)


class Announcements:
    """The announcements of the instances of one service."""

    def __init__(self) -> None:
        self._leaving: dict[Incarnation, None] = {}
        self._pause_end_by_incarnation: dict[Incarnation, float] = {}

    def record_leaving(self, instance: documents.Instance) -> bool:
        """Record that an instance is leaving; return whether that is new."""
        incarnation = incarnation_of(instance)
        if incarnation in self._leaving:
            return False
        if len(self._leaving) >= MAX_REMEMBERED:
            del self._leaving[next(iter(self._leaving))]
        self._leaving[incarnation] = None
        return True

    def record_pause(
        self, instance: documents.Instance, seconds: float, now: float
    ) -> None:
        """Record that an instance asked for a pause.

        A shorter pause doesn't end an earlier one.
        """
        incarnation = incarnation_of(instance)
        previous_end = self._pause_end_by_incarnation.get(incarnation, now)
        self._pause_end_by_incarnation[incarnation] = max(
            previous_end, now + seconds
        )

    def is_leaving(self, instance: documents.Instance) -> bool:
        """Return whether the instance or its entry says it is leaving."""
        return instance.leaving or incarnation_of(instance) in self._leaving

    def pause_end(self, instance: documents.Instance) -> float:
        """Return when the pause of an instance ends, or 0 without one."""
        return self._pause_end_by_incarnation.get(
            incarnation_of(instance), 0.0
        )

    def prune(
        self, instances: typing.Iterable[documents.Instance], now: float
    ) -> None:
        """Drop ended pauses and outdated announcements of a departure.

        An announcement without a boot number is outdated when its instance is
        no longer listed.
        """
        listed = {incarnation_of(instance) for instance in instances}
        for incarnation in list(self._leaving):
            if incarnation.boot == UNKNOWN_BOOT and incarnation not in listed:
                del self._leaving[incarnation]
        for incarnation, end in list(self._pause_end_by_incarnation.items()):
            if end <= now:
                del self._pause_end_by_incarnation[incarnation]
