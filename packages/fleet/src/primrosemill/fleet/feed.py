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
    """

    after: int
    revision: int
    items: tuple[Item, ...]
    whole: bool = False


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
    """Changes since the revision are not to be had any more."""

    after: int


FeedFault = interfaces.PlatformFault | HistoryGone
ReadResult = expression.Result[Read, FeedFault]


class Feed(typing.Protocol):
    """Reads what is published; each call counts against a budget."""

    async def read(self) -> ReadResult:
        """Return all there is."""
        ...

    async def watch(self, after: int, wait: float) -> ReadResult:
        """Wait up to ``wait`` seconds for changes after a revision."""
        ...
