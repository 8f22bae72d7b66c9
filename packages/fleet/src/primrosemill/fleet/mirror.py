"""Holds one VM's copy of what the feed publishes.

Each key has the revision of its last change, and of two items under one key
the higher revision wins. So batches from the feed and from peers merge in
any order, and two VMs that have seen the same changes hold the same. When the
feed comes back from an older copy its revisions begin a new epoch, which only
a whole batch can open here. Pure; times are in seconds.
"""

import typing

from primrosemill.configuration import document as documents
from primrosemill.fleet import epochs
from primrosemill.fleet import feed

TOMBSTONES = 2_000  # removed keys that are remembered


class Applied(typing.NamedTuple):
    """What a batch changed here."""

    instances: tuple[feed.Item, ...] = ()
    routing: documents.Routing | None = None
    older_routing: int | None = None
    new_epoch: bool = False


class Mirror:
    """Merges batches and says what is in force."""

    def __init__(self) -> None:
        # All changes up to this revision are in; later ones may be, too.
        self.revision = 0
        self.epoch = 0
        self.routing: documents.Routing | None = None
        self._items_by_key: dict[str, feed.Item] = {}
        self._retained_until_by_key: dict[str, float] = {}
        self._last_by_key: dict[str, feed.Discovered] = {}
        # Removals up to this revision may have been forgotten.
        self._forgotten = 0
        self._ended = epochs.Ended()

    @property
    def position(self) -> feed.Position:
        """Return the point up to which all changes are in."""
        return feed.Position(self.epoch, self.revision)

    def apply(
        self, batch: feed.Batch, now: float, retain: float = 0.0
    ) -> Applied:
        """Merge a batch.

        ``retain`` keeps instances that the batch removes in use for so many
        seconds, unless they were leaving. A batch of an epoch that has ended
        changes nothing, nor do changes of one that has not begun here.
        """
        if batch.epoch != self.epoch:
            if batch.epoch < self.epoch or not batch.whole:
                return Applied()
            return self._begin_epoch(batch, now, retain)
        return self._merge(batch, now, retain)

    def _begin_epoch(
        self, batch: feed.Batch, now: float, retain: float
    ) -> Applied:
        """Take all that a restored feed holds, beside what is known."""
        is_first = not self._items_by_key
        self.epoch = batch.epoch
        self.revision = 0
        self._forgotten = 0
        for key, item in list(self._items_by_key.items()):
            if item.removed:
                del self._items_by_key[key]
                continue
            # Whatever the new epoch says of the key is newer.
            self._items_by_key[key] = item._replace(revision=0)
        self._ended.hold(batch.items, now)
        if not is_first:
            retain = max(retain, epochs.REWRITE_TIME)
        applied = self._merge(batch, now, retain, opening=True)
        return applied._replace(new_epoch=not is_first)

    def _merge(
        self,
        batch: feed.Batch,
        now: float,
        retain: float,
        opening: bool = False,
    ) -> Applied:
        """Merge a batch of the epoch that is in force."""
        changed: list[feed.Item] = []
        routing, older = None, None
        for item in self._complete(batch):
            known = self._items_by_key.get(item.key)
            if known is not None and item.revision <= known.revision:
                continue
            if item.removed and retain > item.retain:
                item = item._replace(retain=retain)
            if not opening and not item.removed:
                self._ended.release(item.key)
            if item.routing is not None:
                if self._take_routing(item.routing):
                    routing = item.routing
                elif item.routing.version < self.routing.version:
                    older = item.routing.version
            if self._keep(item, now):
                changed.append(item)
        if batch.whole or batch.after <= self.revision:
            self.revision = max(self.revision, batch.revision)
        self._forget_tombstones()
        return Applied(tuple(changed), routing, older)

    def discovered(self, now: float) -> list[feed.Discovered]:
        """Return the instances in use, those retained included."""
        found = [
            item.discovered
            for item in self._items_by_key.values()
            if item.discovered is not None
            and not self._ended.is_held(item.key, now)
        ]
        for key, until in list(self._retained_until_by_key.items()):
            if now < until:
                found.append(self._last_by_key[key])
            else:
                self._drop_retained(key)
        return found

    def next_expiry(self, now: float) -> float | None:
        """Return when the instances in use change without a batch.

        A retained one is taken as gone then, or one that was held back may
        be used.
        """
        times = list(self._retained_until_by_key.values())
        release = self._ended.next_release(now)
        if release is not None:
            times.append(release)
        return min(times, default=None)

    def since(self, after: feed.Position, now: float) -> feed.Batch:
        """Return what a peer needs that holds all up to a point."""
        revision = after.revision if after.epoch == self.epoch else 0
        whole = revision < self._forgotten or revision == 0
        items = []
        for item in self._items_by_key.values():
            if not whole and item.revision <= revision:
                continue
            until = self._retained_until_by_key.get(item.key, now)
            if item.routing is not None:
                # The feed may have come back with an older version.
                item = item._replace(routing=self.routing)
            items.append(item._replace(retain=max(0.0, until - now)))
        return feed.Batch(
            revision, self.revision, tuple(items), whole, self.epoch
        )

    def _complete(self, batch: feed.Batch) -> list[feed.Item]:
        """Return the items of a batch, with removals that it implies."""
        if not batch.whole:
            return list(batch.items)
        named = {item.key for item in batch.items}
        items = list(batch.items)
        for key, item in self._items_by_key.items():
            if key in named or item.removed:
                continue
            if item.revision <= batch.revision:
                items.append(feed.Item(key, batch.revision))
        return items

    def _take_routing(self, routing: documents.Routing) -> bool:
        """Put a higher version in force; a lower one never is."""
        held = self.routing
        if held is not None and routing.version <= held.version:
            return False
        self.routing = routing
        return True

    def _keep(self, item: feed.Item, now: float) -> bool:
        """Store an item; tell whether it concerns an instance."""
        known = self._items_by_key.get(item.key)
        before = known.discovered if known is not None else None
        if item.discovered is not None:
            discovered = epochs.still_leaving(before, item.discovered)
            item = item._replace(discovered=discovered)
        self._items_by_key[item.key] = item
        self._drop_retained(item.key)
        if item.discovered is not None:
            return item.discovered != before
        if before is None:
            return False
        self._ended.note(item.key, before.instance.boot, now)
        if item.retain > 0 and not before.instance.leaving:
            self._last_by_key[item.key] = before
            self._retained_until_by_key[item.key] = now + item.retain
        return True

    def _drop_retained(self, key: str) -> None:
        self._retained_until_by_key.pop(key, None)
        self._last_by_key.pop(key, None)

    def _forget_tombstones(self) -> None:
        removed = [
            item for item in self._items_by_key.values() if item.removed
        ]
        if len(removed) <= TOMBSTONES:
            return
        removed.sort(key=lambda item: item.revision)
        for item in removed[: len(removed) - TOMBSTONES // 2]:
            del self._items_by_key[item.key]
            self._forgotten = max(self._forgotten, item.revision)
