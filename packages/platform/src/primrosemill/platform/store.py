"""Reads the platform's store: all keys, and changes since a revision."""

import binascii
import typing
import urllib.parse

import expression
import msgspec

from primrosemill.fleet import feed
from primrosemill.fleet import interfaces
from primrosemill.platform import entries
from primrosemill.platform import names
from primrosemill.published import bounded

READ_TIMEOUT = 1.0  # seconds for one page
WATCH_MARGIN = 1.0  # seconds that a watch may answer late
ANSWER_SIZE_LIMIT = 8_000_000  # bytes; a page has a megabyte before encoding
MOST_PAGES = 1_000  # a store that never ends is a fault
STATUS_OK = 200
STATUS_HISTORY_GONE = 410


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


_page_decoder = msgspec.json.Decoder(_Page)
_events_decoder = msgspec.json.Decoder(_Events)
_Form = typing.TypeVar("_Form")
_FormResult = expression.Result[_Form, feed.FeedFault]


class Store:
    """The feed of an entry VM; each page and each watch is one call."""

    def __init__(self, address: str) -> None:
        self._client = bounded.Client(address, ANSWER_SIZE_LIMIT)

    async def aclose(self) -> None:
        """Close the connections."""
        await self._client.aclose()

    async def read(self) -> feed.ReadResult:
        """Return all there is.

        Pages are no snapshot, so it holds as of the first page's revision:
        what changed since then is in the changes after that revision.
        """
        items: list[_Item] = []
        revision: int | None = None
        after = ""
        for _ in range(MOST_PAGES):
            result = await self._read_page(after)
            if result.is_error():
                return expression.Error(result.error)
            page = result.ok
            items += page["items"]
            if revision is None:
                revision = page["store_revision"]
            if not page["has_more"] or not page["items"]:
                return expression.Ok(_to_read(0, revision, items, whole=True))
            after = page["items"][-1]["key"]
        return expression.Error(
            interfaces.BadAnswer(names.READ_PATH, "too many pages")
        )

    async def watch(self, after: int, wait: float) -> feed.ReadResult:
        """Wait up to ``wait`` seconds for changes after a revision."""
        query = {
            "prefix": names.EVERYTHING,
            "after": after,
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
        found = result.ok
        return expression.Ok(
            _to_read(after, found["store_revision"], found["events"])
        )

    async def _read_page(self, after: str) -> _FormResult[_Page]:
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
    ) -> _FormResult[_Form]:
        target = f"{path}?{urllib.parse.urlencode(query)}"
        result = await self._client.get(target, timeout)
        if result.is_error():
            return expression.Error(result.error)
        answer = result.ok
        if answer.status != STATUS_OK:
            return expression.Error(interfaces.Refused(path, answer.status))
        try:
            return expression.Ok(decoder.decode(answer.content))
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            return expression.Error(interfaces.BadAnswer(path, str(error)))


def _to_read(
    after: int, revision: int, found: list[_Item], whole: bool = False
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
    batch = feed.Batch(after, revision, tuple(items), whole)
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
