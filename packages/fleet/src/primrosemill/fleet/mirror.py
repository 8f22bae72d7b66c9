"""Holds one VM's copy of what the feed publishes.

Each key has the revision of its last change, and of two items under one key
the higher revision wins. Batches from the feed and from peers can therefore
be merged in any order, and two VMs that have received the same changes hold
the same items. When the feed is restored from an older copy, its revisions
belong to a new epoch, and only a whole batch starts that epoch here. The
module does no I/O; times are in seconds.
"""

import typing

from primrosemill.configuration import document as documents
from primrosemill.fleet import ended_starts
from primrosemill.fleet import feed

MAX_TOMBSTONES = 2_000  # removed keys that the mirror remembers


class AppliedChanges(typing.NamedTuple):
    """The effect of a batch on the mirror.

    ``ignored_routing_version`` is the version of a published routing that was
    ignored, because a newer one is in force.
    """

    instances: tuple[feed.Item, ...] = ()
    routing: documents.Routing | None = None
    ignored_routing_version: int | None = None
    new_epoch: bool = False


class Mirror:
    """Merges batches and holds the instances and the routing in force."""

    def __init__(self) -> None:
        # All changes up to this revision are merged; later ones may be too.
        self.revision = 0
        self.epoch = 0
        self.routing: documents.Routing | None = None
        self._items_by_key: dict[str, feed.Item] = {}
        self._retained_until_by_key: dict[str, float] = {}
        self._retained_by_key: dict[str, feed.Discovered] = {}
        # Tombstones up to this revision may have been pruned.
        self._pruned_revision = 0
        self._ended_starts = ended_starts.EndedStarts()

    @property
    def position(self) -> feed.Position:
        """Return the point up to which all changes are merged."""
        return feed.Position(self.epoch, self.revision)

    def apply(
        self, batch: feed.Batch, now: float, retain: float = 0.0
    ) -> AppliedChanges:
        """Merge a batch.

        Instances that the batch removes stay in use for ``retain`` seconds,
        unless they were leaving. A batch of an earlier epoch changes nothing;
        neither does a partial batch of a later epoch.
        """
        if batch.epoch != self.epoch:
            if batch.epoch < self.epoch or not batch.whole:
                return AppliedChanges()
            return self._begin_epoch(batch, now, retain)
        return self._merge(batch, now, retain)

    def _begin_epoch(
        self, batch: feed.Batch, now: float, retain: float
    ) -> AppliedChanges:
        """Merge the first whole batch of an epoch into the known items."""
        is_first = not self._items_by_key
        self.epoch = batch.epoch
        self.revision = 0
        self._pruned_revision = 0
        for key, item in list(self._items_by_key.items()):
            if item.removed:
                del self._items_by_key[key]
                continue
            # Any revision of the new epoch takes precedence.
            self._items_by_key[key] = item._replace(revision=0)
        self._ended_starts.hold_back(batch.items, now)
        if not is_first:
            retain = max(retain, ended_starts.REREGISTRATION_PERIOD)
        applied = self._merge(batch, now, retain, begins_epoch=True)
        return applied._replace(new_epoch=not is_first)

    def _merge(
        self,
        batch: feed.Batch,
        now: float,
        retain: float,
        begins_epoch: bool = False,
    ) -> AppliedChanges:
        """Merge a batch of the current epoch."""
        changed: list[feed.Item] = []
        routing, ignored_routing_version = None, None
        for item in self._with_implied_removals(batch):
            known = self._items_by_key.get(item.key)
            # Also of an old item: a peer may have seen a version before the
            # feed lost it in a restore.
            if self._update_routing(item.routing):
                routing = item.routing
            if known is not None and item.revision <= known.revision:
                continue
            if item.removed and retain > item.retain:
                item = item._replace(retain=retain)
            if not begins_epoch and not item.removed:
                self._ended_starts.release(item.key)
            if self._is_older(item.routing):
                ignored_routing_version = item.routing.version
            if self._store(item, now):
                changed.append(item)
        if batch.whole or batch.after <= self.revision:
            self.revision = max(self.revision, batch.revision)
        self._prune_tombstones()
        return AppliedChanges(tuple(changed), routing, ignored_routing_version)

    def discovered(self, now: float) -> list[feed.Discovered]:
        """Return the instances in use, including retained ones."""
        instances = [
            item.discovered
            for item in self._items_by_key.values()
            if item.discovered is not None
            and not self._ended_starts.is_held_back(item.key, now)
        ]
        for key, until in list(self._retained_until_by_key.items()):
            if now < until:
                instances.append(self._retained_by_key[key])
            else:
                self._drop_retained(key)
        return instances

    def next_expiry(self, now: float) -> float | None:
        """Return when the instances in use next change without a batch.

        At that time the retention of a removed instance ends, or an instance
        that was held back may be used.
        """
        times = list(self._retained_until_by_key.values())
        release = self._ended_starts.next_release(now)
        if release is not None:
            times.append(release)
        return min(times, default=None)

    def changes_since(self, after: feed.Position, now: float) -> feed.Batch:
        """Return the changes for a peer that has merged all up to a point.

        The batch is whole if the peer is in another epoch or needs removals
        that were pruned here.
        """
        revision = after.revision if after.epoch == self.epoch else 0
        whole = revision < self._pruned_revision or revision == 0
        items = []
        for item in self._items_by_key.values():
            if not whole and item.revision <= revision:
                continue
            until = self._retained_until_by_key.get(item.key, now)
            if item.routing is not None:
                # A restored feed may have published an older version.
                item = item._replace(routing=self.routing)
            items.append(item._replace(retain=max(0.0, until - now)))
        return feed.Batch(
            revision, self.revision, tuple(items), whole, self.epoch
        )

    def _with_implied_removals(self, batch: feed.Batch) -> list[feed.Item]:
        """Return the items of a batch and the removals a whole one implies."""
        if not batch.whole:
            return list(batch.items)
        published_keys = {item.key for item in batch.items}
        items = list(batch.items)
        for key, item in self._items_by_key.items():
            if key in published_keys or item.removed:
                continue
            if item.revision <= batch.revision:
                items.append(feed.Item(key, batch.revision))
        return items

    def _is_older(self, routing: documents.Routing | None) -> bool:
        return routing is not None and routing.version < self.routing.version

    def _update_routing(self, routing: documents.Routing | None) -> bool:
        """Put a routing in force and return True if its version is higher."""
        current = self.routing
        if routing is None:
            return False
        if current is not None and routing.version <= current.version:
            return False
        self.routing = routing
        return True

    def _store(self, item: feed.Item, now: float) -> bool:
        """Store an item; return whether an instance has changed."""
        known = self._items_by_key.get(item.key)
        previous = known.discovered if known is not None else None
        if item.discovered is not None:
            discovered = ended_starts.preserve_leaving(
                previous, item.discovered
            )
            item = item._replace(discovered=discovered)
        self._items_by_key[item.key] = item
        self._drop_retained(item.key)
        if item.discovered is not None:
            return item.discovered != previous
        if previous is None:
            return False
        self._ended_starts.record(item.key, previous.instance.boot, now)
        if item.retain > 0 and not previous.instance.leaving:
            self._retained_by_key[item.key] = previous
            self._retained_until_by_key[item.key] = now + item.retain
        return True

    def _drop_retained(self, key: str) -> None:
        self._retained_until_by_key.pop(key, None)
        self._retained_by_key.pop(key, None)

    def _prune_tombstones(self) -> None:
        removed = [
            item for item in self._items_by_key.values() if item.removed
        ]
        if len(removed) <= MAX_TOMBSTONES:
            return
        removed.sort(key=lambda item: item.revision)
        for item in removed[: len(removed) - MAX_TOMBSTONES // 2]:
            del self._items_by_key[item.key]
            self._pruned_revision = max(self._pruned_revision, item.revision)
