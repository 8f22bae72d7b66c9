"""Keeps what is known of instances when the feed comes back from a copy.

A feed that was restored lacks the last seconds of what it had published, and
gives their revisions out again. What was true then stays true of each start
of an instance: one that was leaving is still leaving, and one that was gone
is not back because an old entry names it. Pure; times are in seconds.
"""

import typing

from primrosemill.configuration import document as documents
from primrosemill.fleet import feed

# An instance that is alive writes its entry again within this time; the
# platform's pages promise that others are back by then.
REWRITE_TIME = 2.0  # seconds
# An entry that nobody renews is dropped by the feed within three heartbeats,
# of 1.5 s each on the platform's sheets, with some room.
LAPSE_TIME = 6.0  # seconds
# A copy is some seconds old, so that what ended long before is not in it.
OLDEST_COPY = 60.0  # seconds


class _Ended(typing.NamedTuple):
    boot: int
    at: float


class Ended:
    """Remembers the starts of instances that ended lately."""

    def __init__(self) -> None:
        self._ended_by_key: dict[str, _Ended] = {}
        self._held_until_by_key: dict[str, float] = {}

    def note(self, key: str, boot: int, now: float) -> None:
        """Note that the entry of a start was removed."""
        self._forget_old(now)
        self._ended_by_key[key] = _Ended(boot, now)

    def hold(self, items: typing.Iterable[feed.Item], now: float) -> None:
        """Hold back the instances of a copy that had ended.

        If one of them is alive after all, its entry outlasts the time in
        which the feed drops the others.
        """
        self._forget_old(now)
        self._held_until_by_key.clear()
        for item in items:
            ended = self._ended_by_key.get(item.key)
            if ended is None or item.discovered is None:
                continue
            if item.discovered.instance.boot == ended.boot:
                self._held_until_by_key[item.key] = now + LAPSE_TIME

    def release(self, key: str) -> None:
        """Use an instance again whose entry was written in this epoch."""
        self._ended_by_key.pop(key, None)
        self._held_until_by_key.pop(key, None)

    def is_held(self, key: str, now: float) -> bool:
        """Tell whether an entry is not to be used yet."""
        return now < self._held_until_by_key.get(key, now)

    def next_release(self, now: float) -> float | None:
        """Return when the next entry may be used; forgets those that may."""
        for key, until in list(self._held_until_by_key.items()):
            if until <= now:
                del self._held_until_by_key[key]
        return min(self._held_until_by_key.values(), default=None)

    def _forget_old(self, now: float) -> None:
        for key, ended in list(self._ended_by_key.items()):
            if now - ended.at > OLDEST_COPY:
                del self._ended_by_key[key]


def still_leaving(
    known: feed.Discovered | None, found: feed.Discovered
) -> feed.Discovered:
    """Return what an entry says, but keep a start leaving that was."""
    if known is None or not known.instance.leaving:
        return found
    instance = found.instance
    if not instance.boot or instance.boot != known.instance.boot:
        return found
    return found._replace(instance=instance._replace(state=documents.LEAVING))
