"""Declares how discovered instances and the operator's routing are read.

An adapter reads them from wherever they are published and decodes them; the
fleet mirrors what it gets.
"""

import typing

import expression

from primrosemill.configuration import document as documents
from primrosemill.fleet import interfaces


class Discovered(typing.NamedTuple):
    """An instance, and the service that it says it serves."""

    service: str
    instance: documents.Instance


class Position(typing.NamedTuple):
    """A point in all that was ever published; the later one is larger.

    Revisions rise within an epoch. A new epoch begins when the source comes
    back from an older copy and gives revisions out again; a source that
    never does has epoch 0.
    """

    epoch: int = 0
    revision: int = 0


class Item(typing.NamedTuple):
    """What is published under one key as of a revision.

    With neither part there is nothing to use under the key any more.
    ``retain`` is for how many seconds a removed instance may still be used.
    """

    key: str
    revision: int
    discovered: Discovered | None = None
    routing: documents.Routing | None = None
    retain: float = 0.0

    @property
    def removed(self) -> bool:
        """Tell whether nothing is published under the key."""
        return self.discovered is None and self.routing is None


class Batch(typing.NamedTuple):
    """Items that, on top of revision ``after``, lead to ``revision``.

    A whole batch holds all there is: what it does not name is not there.
    All revisions are of one epoch.
    """

    after: int
    revision: int
    items: tuple[Item, ...]
    whole: bool = False
    epoch: int = 0

    @property
    def position(self) -> Position:
        """Return the point that the batch leads to."""
        return Position(self.epoch, self.revision)


class BadItem(typing.NamedTuple):
    """A published value that can't be used, and why."""

    key: str
    revision: int
    detail: str


class Read(typing.NamedTuple):
    """An answer of the feed, and the values that it had to leave out."""

    batch: Batch
    bad_items: tuple[BadItem, ...] = ()


class HistoryGone(typing.NamedTuple):
    """Changes since a point are not to be had: all must be read again.

    The source has dropped them, or is in another epoch.
    """

    after: Position


class OldEpoch(typing.NamedTuple):
    """An answer is of an epoch that has ended, so it is not used."""

    target: str
    epoch: int
    known: int


FeedFault = interfaces.PlatformFault | HistoryGone | OldEpoch
ReadResult = expression.Result[Read, FeedFault]


class Feed(typing.Protocol):
    """Reads what is published; each call counts against a budget."""

    async def read(self) -> ReadResult:
        """Return all there is."""
        ...

    async def watch(self, after: Position, wait: float) -> ReadResult:
        """Wait up to ``wait`` seconds for changes after a point."""
        ...
