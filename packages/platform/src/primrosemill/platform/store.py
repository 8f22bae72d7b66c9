"""Reads the platform's store: all keys, and changes since a revision.

Each answer tells the store's epoch, which rises when the store comes back
from an older copy. An answer without one is of a store that has no epochs,
and a fault where it had one before.
"""

import binascii
import typing
import urllib.parse

import expression
import msgspec

from primrosemill.fleet import feed
from primrosemill.fleet import interfaces
from primrosemill.platform import entries
from primrosemill.platform import names
from primrosemill.proxy import headers
from primrosemill.published import bounded

READ_TIMEOUT = 1.0  # seconds for one page
WATCH_MARGIN = 1.0  # seconds that a watch may answer late
ANSWER_SIZE_LIMIT = 8_000_000  # bytes; a page has a megabyte before encoding
MOST_PAGES = 1_000  # a store that never ends is a fault
# Times that a read begins again because the epoch changed under it.
MOST_STARTS = 3
MOST_DIGITS = 15  # of an epoch; more than any number of drills
# An epoch rises by one; a jump further than drills between two answers can
# explain is damage, and taking it would make all true answers look old.
LARGEST_EPOCH_STEP = 1_000
STATUS_OK = 200
STATUS_HISTORY_GONE = 410


_Form = typing.TypeVar("_Form")


class _Item(typing.TypedDict):
    key: str
    revision: int
    # Base64 of the bytes; absent in the event of a removal.
    value: typing.NotRequired[str]
    deleted: typing.NotRequired[bool]


class _Page(typing.TypedDict):
    items: list[_Item]
    has_more: bool
    store_revision: int


class _Events(typing.TypedDict):
    events: list[_Item]
    store_revision: int


class _Told(typing.NamedTuple, typing.Generic[_Form]):
    """A decoded answer and the epoch that it is of."""

    form: _Form
    epoch: int


_page_decoder = msgspec.json.Decoder(_Page)
_events_decoder = msgspec.json.Decoder(_Events)
_ToldResult = expression.Result[_Told[_Form], feed.FeedFault]


class Store:
    """The feed of an entry VM; each page and each watch is one call."""

    def __init__(self, address: str) -> None:
        self._client = bounded.Client(address, ANSWER_SIZE_LIMIT)
        self._epoch = 0  # The latest that an answer told.

    async def aclose(self) -> None:
        """Close the connections."""
        await self._client.aclose()

    async def read(self) -> feed.ReadResult:
        """Return all there is.

        Pages are no snapshot, so it holds as of the first page's revision:
        what changed since then is in the changes after that revision. Pages
        of different epochs do not fit together, and all begins again.
        """
        for _ in range(MOST_STARTS):
            result = await self._read_pages()
            if result is not None:
                return result
        return expression.Error(
            interfaces.BadAnswer(names.READ_PATH, "the epoch keeps changing")
        )

    async def _read_pages(self) -> feed.ReadResult | None:
        """Return all there is, or None if the epoch changed meanwhile."""
        items: list[_Item] = []
        first: feed.Position | None = None
        after = ""
        for _ in range(MOST_PAGES):
            result = await self._read_page(after)
            if result.is_error():
                return expression.Error(result.error)
            page, epoch = result.ok
            if first is None:
                first = feed.Position(epoch, page["store_revision"])
            if epoch != first.epoch:
                return None
            items += page["items"]
            if not page["has_more"] or not page["items"]:
                return expression.Ok(_to_read(0, first, items, whole=True))
            after = page["items"][-1]["key"]
        return expression.Error(
            interfaces.BadAnswer(names.READ_PATH, "too many pages")
        )

    async def watch(
        self, after: feed.Position, wait: float
    ) -> feed.ReadResult:
        """Wait up to ``wait`` seconds for changes after a point."""
        query = {
            "prefix": names.EVERYTHING,
            "after": after.revision,
            "wait_ms": int(wait * names.MILLISECONDS),
        }
        result = await self._get(
            names.WATCH_PATH, query, wait + WATCH_MARGIN, _events_decoder
        )
        if result.is_error():
            refused = result.error
            if isinstance(refused, interfaces.Refused) and (
                refused.status == STATUS_HISTORY_GONE
            ):
                return expression.Error(feed.HistoryGone(after))
            return expression.Error(refused)
        found, epoch = result.ok
        if epoch > after.epoch:
            # Its revisions were given out again: the changes are others.
            return expression.Error(feed.HistoryGone(after))
        if epoch < after.epoch:
            return expression.Error(
                feed.OldEpoch(names.WATCH_PATH, epoch, after.epoch)
            )
        position = feed.Position(epoch, found["store_revision"])
        return expression.Ok(
            _to_read(after.revision, position, found["events"])
        )

    async def _read_page(self, after: str) -> _ToldResult[_Page]:
        query = {"prefix": names.EVERYTHING}
        if after:
            query["after"] = after
        return await self._get(
            names.READ_PATH, query, READ_TIMEOUT, _page_decoder
        )

    async def _get(
        self,
        path: str,
        query: dict[str, typing.Any],
        timeout: float,
        decoder: msgspec.json.Decoder[_Form],
    ) -> _ToldResult[_Form]:
        target = f"{path}?{urllib.parse.urlencode(query)}"
        result = await self._client.get(target, timeout)
        if result.is_error():
            return expression.Error(result.error)
        answer = result.ok
        epoch = self._take_epoch(path, answer.headers)
        if epoch.is_error():
            return expression.Error(epoch.error)
        if answer.status != STATUS_OK:
            return expression.Error(interfaces.Refused(path, answer.status))
        try:
            form = decoder.decode(answer.content)
            return expression.Ok(_Told(form, epoch.ok))
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            return expression.Error(interfaces.BadAnswer(path, str(error)))

    def _take_epoch(
        self, path: str, lines: bounded.Headers
    ) -> expression.Result[int, feed.FeedFault]:
        """Return the epoch that an answer tells, if it can be true."""
        told = headers.find(lines, names.EPOCH)
        if told is None and self._epoch == 0:
            return expression.Ok(0)
        if told is None or not told.isdigit() or len(told) > MOST_DIGITS:
            return expression.Error(
                interfaces.BadAnswer(path, f"no epoch in {told!r}")
            )
        epoch = int(told)
        if epoch < self._epoch:
            return expression.Error(feed.OldEpoch(path, epoch, self._epoch))
        if self._epoch and epoch > self._epoch + LARGEST_EPOCH_STEP:
            return expression.Error(
                interfaces.BadAnswer(path, f"epoch {epoch} is too far on")
            )
        self._epoch = epoch
        return expression.Ok(epoch)


def _to_read(
    after: int,
    position: feed.Position,
    found: list[_Item],
    whole: bool = False,
) -> feed.Read:
    """Decode items; a bad one counts as removed and is reported."""
    items: list[feed.Item] = []
    bad_items: list[feed.BadItem] = []
    for each in found:
        result = _decode(each)
        if result.is_ok():
            items.append(result.ok)
            continue
        bad_items.append(result.error)
        items.append(feed.Item(each["key"], each["revision"]))
    epoch, revision = position
    batch = feed.Batch(after, revision, tuple(items), whole, epoch)
    return feed.Read(batch, tuple(bad_items))


def _decode(item: _Item) -> entries.Decoded:
    key, revision = item["key"], item["revision"]
    if item.get("deleted") or "value" not in item:
        return expression.Ok(feed.Item(key, revision))
    try:
        value = binascii.a2b_base64(item["value"], strict_mode=True)
    except (binascii.Error, ValueError) as error:
        return expression.Error(feed.BadItem(key, revision, str(error)))
    return entries.decode(key, revision, value)
