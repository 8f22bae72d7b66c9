"""Builds items, batches and feeds for tests of the mirror."""

import expression
import trio

from primrosemill.configuration import document as documents
from primrosemill.fleet import feed
from primrosemill.fleet import interfaces

SERVICE = "reservations"
BOUNDS = documents.CallerBounds()


def instance(number: int = 0, **changes) -> documents.Instance:
    made = documents.Instance(
        f"i-{number}", "10.0.0.1", 8_000 + number, "ain-sebaa", slots=3
    )
    return made._replace(**changes)


def seen(revision: int, number: int = 0, **changes) -> feed.Item:
    found = feed.Discovered(SERVICE, instance(number, **changes))
    return feed.Item(f"servers/i-{number}", revision, found)


def removed(revision: int, number: int = 0, retain: float = 0.0) -> feed.Item:
    return feed.Item(f"servers/i-{number}", revision, retain=retain)


def routing(revision: int, version: int) -> feed.Item:
    made = documents.Routing(version, (), (), BOUNDS)
    return feed.Item("op/config", revision, routing=made)


def batch(after: int, *items: feed.Item, **changes) -> feed.Batch:
    revision = max([after, *(item.revision for item in items)])
    return feed.Batch(after, revision, items)._replace(**changes)


def whole(*items: feed.Item, **changes) -> feed.Batch:
    return batch(0, *items, whole=True, **changes)


class FeedFake:
    """Answers from a list of batches; then waits, or fails on demand."""

    def __init__(self, first: feed.Batch) -> None:
        self.whole = first
        self.fault: feed.FeedFault | None = None
        self.forgotten = False
        self.calls = 0
        self.changes: list[feed.Batch] = []

    async def read(self) -> feed.ReadResult:
        self.calls += 1
        if self.fault is not None:
            return expression.Error(self.fault)
        return expression.Ok(feed.Read(self.whole))

    async def watch(
        self, after: feed.Position, wait: float
    ) -> feed.ReadResult:
        self.calls += 1
        with trio.move_on_after(wait):
            while self.fault is None:
                if self.forgotten:
                    self.forgotten = False
                    return expression.Error(feed.HistoryGone(after))
                for change in self.changes:
                    if change.epoch == after.epoch and (
                        change.position > after
                    ):
                        return expression.Ok(feed.Read(change))
                await trio.sleep(0.01)
        if self.fault is not None:
            return expression.Error(self.fault)
        nothing = feed.Batch(after.revision, after.revision, ())
        return expression.Ok(feed.Read(nothing._replace(epoch=after.epoch)))


UNREACHABLE = interfaces.Unreachable("store", "ConnectError")
