"""Declares the feed: discovered instances and the operator's routing.

An adapter reads and decodes what is published and offers it as a ``Feed``;
every VM of the fleet mirrors it.
"""

import typing

import expression

from primrosemill.configuration import document as documents
from primrosemill.fleet import interfaces


class Discovered(typing.NamedTuple):
    """An instance, with the service that it registered for."""

    service: str
    instance: documents.Instance


class Position(typing.NamedTuple):
    """A point in the history of the feed; later points compare larger.

    Revisions rise within an epoch. A new epoch begins when the source is
    restored from an older copy and assigns revisions a second time. A source
    that is never restored stays in epoch 0.
    """

    epoch: int = 0
    revision: int = 0


class Item(typing.NamedTuple):
    """The value published under a key as of a revision.

    An item with neither an instance nor a routing is a removal. ``retain`` is
    the time in seconds for which a removed instance may still be used.
    """

    key: str
    revision: int
    discovered: Discovered | None = None
    routing: documents.Routing | None = None
    retain: float = 0.0

    @property
    def removed(self) -> bool:
        """Return whether nothing usable is published under the key."""
        return self.discovered is None and self.routing is None


class Batch(typing.NamedTuple):
    """The items that changed after revision ``after``, up to ``revision``.

    A whole batch is a snapshot: keys that it does not contain are not
    published. All revisions belong to one epoch.
    """

    after: int
    revision: int
    items: tuple[Item, ...]
    whole: bool = False
    epoch: int = 0

    @property
    def position(self) -> Position:
        """Return the point that is reached by applying the batch."""
        return Position(self.epoch, self.revision)


class BadItem(typing.NamedTuple):
    """A published value that cannot be used, and the reason."""

    key: str
    revision: int
    detail: str


class Read(typing.NamedTuple):
    """An answer of the feed, and the unusable values that were left out."""

    batch: Batch
    bad_items: tuple[BadItem, ...] = ()


class HistoryGone(typing.NamedTuple):
    """The changes since a point are not available; a full read is needed.

    The source has dropped them, or it is in another epoch.
    """

    after: Position


class OldEpoch(typing.NamedTuple):
    """An answer belongs to an epoch that has ended, so it is not used."""

    target: str
    epoch: int
    known: int


FeedFault = interfaces.PlatformFault | HistoryGone | OldEpoch
ReadResult = expression.Result[Read, FeedFault]


class Feed(typing.Protocol):
    """Reads what is published; each call counts against the call budget."""

    async def read(self) -> ReadResult:
        """Return a whole batch of everything published."""
        ...

    async def watch(self, after: Position, wait: float) -> ReadResult:
        """Wait up to ``wait`` seconds for changes after a point."""
        ...
