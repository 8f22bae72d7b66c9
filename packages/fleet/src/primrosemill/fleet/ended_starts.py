"""Preserves knowledge of instances when the feed is restored from a copy.

A restored feed lacks the changes of its last seconds and assigns their
revisions a second time. What those changes said of a start of an instance (one
run of its process, identified by ``boot``) remains true: an instance that was
leaving is still leaving, and an instance that was gone has not returned just
because the copy contains its entry. The module does no I/O; times are in
seconds.
"""

import typing

from primrosemill.configuration import document as documents
from primrosemill.fleet import feed

# Seconds after a restore within which a live instance writes its entry again,
# as the platform documents.
REREGISTRATION_PERIOD = 2.0
# Seconds after which the feed has dropped an entry that is not renewed. It
# does so within three heartbeats, documented as 1.5 s each, and this adds a
# margin.
ENTRY_EXPIRY_TIME = 6.0
# Seconds for which ended starts are remembered. A copy is a few seconds old,
# so it contains no start that ended long before.
MAX_COPY_AGE = 60.0


class _EndedStart(typing.NamedTuple):
    boot: int
    ended_at: float


class EndedStarts:
    """Remembers the starts of instances that ended recently."""

    def __init__(self) -> None:
        self._ended_by_key: dict[str, _EndedStart] = {}
        self._held_until_by_key: dict[str, float] = {}

    def record(self, key: str, boot: int, now: float) -> None:
        """Record that the entry of a start was removed."""
        self._forget_expired(now)
        self._ended_by_key[key] = _EndedStart(boot, now)

    def hold_back(self, items: typing.Iterable[feed.Item], now: float) -> None:
        """Hold back the instances in a copy whose start had ended.

        They are released after ENTRY_EXPIRY_TIME: by then the feed has dropped
        the entries that are not renewed, so those left are alive.
        """
        self._forget_expired(now)
        self._held_until_by_key.clear()
        for item in items:
            ended = self._ended_by_key.get(item.key)
            if ended is None or item.discovered is None:
                continue
            if item.discovered.instance.boot == ended.boot:
                self._held_until_by_key[item.key] = now + ENTRY_EXPIRY_TIME

    def release(self, key: str) -> None:
        """Release an instance whose entry was written in the new epoch."""
        self._ended_by_key.pop(key, None)
        self._held_until_by_key.pop(key, None)

    def is_held_back(self, key: str, now: float) -> bool:
        """Return whether an entry must not be used yet."""
        return now < self._held_until_by_key.get(key, now)

    def next_release(self, now: float) -> float | None:
        """Return when the next entry may be used; drop those that may now."""
        for key, until in list(self._held_until_by_key.items()):
            if until <= now:
                del self._held_until_by_key[key]
        return min(self._held_until_by_key.values(), default=None)

    def _forget_expired(self, now: float) -> None:
        for key, ended in list(self._ended_by_key.items()):
            if now - ended.ended_at > MAX_COPY_AGE:
                del self._ended_by_key[key]


def preserve_leaving(
    known: feed.Discovered | None, published: feed.Discovered
) -> feed.Discovered:
    """Return an entry, marked as leaving if the same start was leaving."""
    if known is None or not known.instance.leaving:
        return published
    instance = published.instance
    if not instance.boot or instance.boot != known.instance.boot:
        return published
    return published._replace(
        instance=instance._replace(state=documents.LEAVING)
    )
