"""Reads all keys of the platform's store, and watches them for changes.

Each answer contains the store's epoch, which rises when the store is restored
from an older copy. An answer without an epoch comes from a store that has no
epochs; it is a fault if earlier answers contained one.
"""

import binascii
import typing
import urllib.parse

import expression
import msgspec

from primrosemill.fleet import feed
from primrosemill.fleet import interfaces
from primrosemill.platform import names
from primrosemill.platform import store_values
from primrosemill.proxy import headers
from primrosemill.published import bounded_client

READ_TIMEOUT = 1.0  # seconds for one page
WATCH_MARGIN = 1.0  # seconds allowed beyond the wait of a watch
MAX_ANSWER_SIZE = 8_000_000  # bytes; a page holds 1 MB before encoding
MAX_PAGES = 1_000  # stops a read from a store that always has more
# A read starts again when the epoch changes between two pages.
MAX_READ_ATTEMPTS = 3
MAX_EPOCH_DIGITS = 15  # more than any number of restore drills needs
# Each restore raises the epoch by one. A larger step than restore drills
# between two answers can explain is a corrupt value; accepting it would make
# every later correct answer look outdated.
MAX_EPOCH_STEP = 1_000
STATUS_OK = 200
STATUS_HISTORY_GONE = 410


_Payload = typing.TypeVar("_Payload")


class _Item(typing.TypedDict):
    key: str
    revision: int
    # In base64; absent if the event is a removal.
    value: typing.NotRequired[str]
    deleted: typing.NotRequired[bool]


class _Page(typing.TypedDict):
    items: list[_Item]
    has_more: bool
    store_revision: int


class _EventPage(typing.TypedDict):
    events: list[_Item]
    store_revision: int


class _DecodedAnswer(typing.NamedTuple, typing.Generic[_Payload]):
    """A decoded answer and the store's epoch that it belongs to."""

    payload: _Payload
    epoch: int


_page_decoder = msgspec.json.Decoder(_Page)
_events_decoder = msgspec.json.Decoder(_EventPage)
_AnswerResult = expression.Result[_DecodedAnswer[_Payload], feed.FeedFault]


class Store:
    """The feed of an entry VM; each page and each watch is one request."""

    def __init__(self, address: str) -> None:
        self._client = bounded_client.Client(address, MAX_ANSWER_SIZE)
        self._epoch = 0  # Of the latest accepted answer.

    async def aclose(self) -> None:
        """Close the connections."""
        await self._client.aclose()

    async def read(self) -> feed.ReadResult:
        """Return all items of the store.

        Pages are not a consistent snapshot. The result therefore has the
        revision of the first page, and a watch after that revision returns
        what changed in the meantime. Pages of different epochs cannot be
        combined, so the read starts again.
        """
        for _ in range(MAX_READ_ATTEMPTS):
            result = await self._read_pages()
            if result is not None:
                return result
        return expression.Error(
            interfaces.BadAnswer(names.READ_PATH, "the epoch keeps changing")
        )

    async def _read_pages(self) -> feed.ReadResult | None:
        """Return all items, or None if the epoch changed between pages."""
        items: list[_Item] = []
        position: feed.Position | None = None
        after = ""
        for _ in range(MAX_PAGES):
            result = await self._read_page(after)
            if result.is_error():
                return expression.Error(result.error)
            page, epoch = result.ok
            if position is None:
                position = feed.Position(epoch, page["store_revision"])
            if epoch != position.epoch:
                return None
            items += page["items"]
            if not page["has_more"] or not page["items"]:
                return expression.Ok(
                    _build_read(0, position, items, whole=True)
                )
            after = page["items"][-1]["key"]
        return expression.Error(
            interfaces.BadAnswer(names.READ_PATH, "too many pages")
        )

    async def watch(
        self, after: feed.Position, wait: float
    ) -> feed.ReadResult:
        """Wait up to ``wait`` seconds for changes after a position."""
        query = {
            "prefix": names.ALL_KEYS_PREFIX,
            "after": after.revision,
            "wait_ms": int(wait * names.MILLISECONDS_PER_SECOND),
        }
        result = await self._get(
            names.WATCH_PATH, query, wait + WATCH_MARGIN, _events_decoder
        )
        if result.is_error():
            fault = result.error
            if isinstance(fault, interfaces.Refused) and (
                fault.status == STATUS_HISTORY_GONE
            ):
                return expression.Error(feed.HistoryGone(after))
            return expression.Error(fault)
        page, epoch = result.ok
        if epoch > after.epoch:
            # The restored store has assigned these revisions a second time,
            # to other changes.
            return expression.Error(feed.HistoryGone(after))
        if epoch < after.epoch:
            return expression.Error(
                feed.OldEpoch(names.WATCH_PATH, epoch, after.epoch)
            )
        position = feed.Position(epoch, page["store_revision"])
        return expression.Ok(
            _build_read(after.revision, position, page["events"])
        )

    async def _read_page(self, after: str) -> _AnswerResult[_Page]:
        query = {"prefix": names.ALL_KEYS_PREFIX}
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
        decoder: msgspec.json.Decoder[_Payload],
    ) -> _AnswerResult[_Payload]:
        target = f"{path}?{urllib.parse.urlencode(query)}"
        result = await self._client.get(target, timeout)
        if result.is_error():
            return expression.Error(result.error)
        answer = result.ok
        epoch = self._update_epoch(path, answer.headers)
        if epoch.is_error():
            return expression.Error(epoch.error)
        if answer.status != STATUS_OK:
            return expression.Error(interfaces.Refused(path, answer.status))
        try:
            payload = decoder.decode(answer.content)
            return expression.Ok(_DecodedAnswer(payload, epoch.ok))
        except (
            msgspec.DecodeError,
            UnicodeDecodeError,
            RecursionError,
        ) as error:
            return expression.Error(interfaces.BadAnswer(path, str(error)))

    def _update_epoch(
        self, path: str, answer_headers: bounded_client.Headers
    ) -> expression.Result[int, feed.FeedFault]:
        """Return and remember the epoch of an answer, if it is plausible."""
        text = headers.find(answer_headers, names.EPOCH)
        if text is None and self._epoch == 0:
            return expression.Ok(0)
        if text is None or not text.isdigit() or len(text) > MAX_EPOCH_DIGITS:
            return expression.Error(
                interfaces.BadAnswer(path, f"invalid epoch {text!r}")
            )
        epoch = int(text)
        if epoch < self._epoch:
            return expression.Error(feed.OldEpoch(path, epoch, self._epoch))
        if self._epoch and epoch > self._epoch + MAX_EPOCH_STEP:
            return expression.Error(
                interfaces.BadAnswer(
                    path, f"epoch {epoch} is implausibly high"
                )
            )
        self._epoch = epoch
        return expression.Ok(epoch)


def _build_read(
    after: int,
    position: feed.Position,
    listed: list[_Item],
    whole: bool = False,
) -> feed.Read:
    """Decode items; an invalid one is reported and treated as removed."""
    items: list[feed.Item] = []
    bad_items: list[feed.BadItem] = []
    for each in listed:
        result = _decode_item(each)
        if result.is_ok():
            items.append(result.ok)
            continue
        bad_items.append(result.error)
        items.append(feed.Item(each["key"], each["revision"]))
    epoch, revision = position
    batch = feed.Batch(after, revision, tuple(items), whole, epoch)
    return feed.Read(batch, tuple(bad_items))


def _decode_item(item: _Item) -> store_values.DecodeResult:
    key, revision = item["key"], item["revision"]
    if item.get("deleted") or "value" not in item:
        return expression.Ok(feed.Item(key, revision))
    try:
        value = binascii.a2b_base64(item["value"], strict_mode=True)
    except (binascii.Error, ValueError) as error:
        return expression.Error(feed.BadItem(key, revision, str(error)))
    return store_values.decode(key, revision, value)
