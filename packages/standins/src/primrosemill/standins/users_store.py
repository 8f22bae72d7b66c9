"""Simulates the key-value store of the users' platform.

It implements the read calls that are documented for this store: paged reads,
watches for changes since a revision, and a history that may be compacted.
While it runs it can be made to reject calls, leave them unanswered, delay
them, send malformed bodies or invalidate watches, and it can be restored from
an older snapshot.
"""

import base64
import typing
import urllib.parse

import msgspec
import trio

from primrosemill.standins import asgi

RANGE_PATH = "/-/kv-range"
WATCH_PATH = "/-/kv-watch"
PAGE_SIZE = 50  # items
FIRST_REVISION = 1
MILLISECONDS_PER_SECOND = 1_000.0
EPOCH_HEADER = b"store-era"
JSON_HEADERS = ((b"content-type", b"application/json"),)


class Faults(typing.NamedTuple):
    """Faults that the store injects; the delay is in seconds."""

    status: int | None = None
    silent: bool = False
    delay: float = 0.0
    garbled: bool = False


NO_FAULTS = Faults()


class Snapshot(typing.NamedTuple):
    """Contents of the store at a revision."""

    revision: int
    items_by_key: dict[str, dict[str, typing.Any]]


class StoreStandin:
    """Key-value store in which each change increments the revision."""

    def __init__(self, epoch: int | None = None) -> None:
        self.epoch = epoch
        self.faults = NO_FAULTS
        self.calls = 0
        self.revision = FIRST_REVISION
        self._items_by_key: dict[str, dict[str, typing.Any]] = {}
        self._events: list[dict[str, typing.Any]] = []
        self._compacted_revision = 0
        self._change_event = trio.Event()

    def put(self, key: str, value: bytes) -> int:
        """Write an item and return its revision."""
        self.revision += 1
        previous = self._items_by_key.get(key)
        create_revision = (
            previous["create_revision"] if previous else self.revision
        )
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "create_revision": create_revision,
            "lease": 0,
        }
        self._items_by_key[key] = item
        self._append_event(item)
        return self.revision

    def put_json(self, key: str, value: typing.Any) -> int:
        """Write an item as JSON and return its revision."""
        return self.put(key, msgspec.json.encode(value))

    def delete(self, key: str) -> int:
        """Delete an item and return the revision of the deletion."""
        self.revision += 1
        del self._items_by_key[key]
        event = {"key": key, "revision": self.revision, "deleted": True}
        self._append_event(event)
        return self.revision

    def copy(self) -> Snapshot:
        """Return a snapshot of the contents for :meth:`restore`."""
        return Snapshot(self.revision, dict(self._items_by_key))

    def restore(self, snapshot: Snapshot) -> None:
        """Restore a snapshot in the next epoch, without a history.

        Waiting watches are not ended: they return later changes as if
        nothing had happened.
        """
        self.epoch = (self.epoch or 0) + 1
        self.revision = snapshot.revision
        self._items_by_key = dict(snapshot.items_by_key)
        self._events.clear()
        self._compacted_revision = 0

    def compact(self) -> None:
        """Drop the history; watches that need it get status 410."""
        self._events.clear()
        self._compacted_revision = self.revision
        self._wake_watches()

    def _append_event(self, event: dict[str, typing.Any]) -> None:
        self._events.append(event)
        self._wake_watches()

    def _wake_watches(self) -> None:
        self._change_event.set()
        self._change_event = trio.Event()

    async def __call__(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Handle one call."""
        self.calls += 1
        faults = self.faults
        if faults.silent:
            await trio.sleep_forever()
        await trio.sleep(faults.delay)
        if faults.status is not None:
            await asgi.respond(send, faults.status, b"", self._headers())
            return
        if faults.garbled:
            await asgi.respond(send, 200, b'{"items":', self._headers())
            return
        query = dict(urllib.parse.parse_qsl(scope["query_string"].decode()))
        if scope["path"] == RANGE_PATH:
            await asgi.respond(send, 200, self._range(query), self._headers())
        elif scope["path"] == WATCH_PATH:
            status, body = await self._watch(query)
            await asgi.respond(send, status, body, self._headers())
        else:
            await asgi.respond(send, 404, b"", self._headers())

    def _headers(self) -> tuple[tuple[bytes, bytes], ...]:
        if self.epoch is None:
            return JSON_HEADERS
        return (*JSON_HEADERS, (EPOCH_HEADER, str(self.epoch).encode()))

    def _range(self, query: dict[str, str]) -> bytes:
        prefix, after = query.get("prefix", ""), query.get("after", "")
        keys = sorted(
            key
            for key in self._items_by_key
            if key.startswith(prefix) and key > after
        )
        return msgspec.json.encode(
            {
                "items": [self._items_by_key[key] for key in keys[:PAGE_SIZE]],
                "has_more": len(keys) > PAGE_SIZE,
                "store_revision": self.revision,
            }
        )

    async def _watch(self, query: dict[str, str]) -> tuple[int, bytes]:
        prefix, after = query.get("prefix", ""), int(query["after"])
        with trio.move_on_after(
            int(query["wait_ms"]) / MILLISECONDS_PER_SECOND
        ):
            while not self._find_events(prefix, after):
                if after < self._compacted_revision:
                    break
                await self._change_event.wait()
        if after < self._compacted_revision or after > self.revision:
            return 410, b"{}"
        events = self._find_events(prefix, after)
        body = {"events": events, "store_revision": self.revision}
        return 200, msgspec.json.encode(body)

    def _find_events(
        self, prefix: str, after: int
    ) -> list[dict[str, typing.Any]]:
        return [
            event
            for event in self._events
            if event["revision"] > after and event["key"].startswith(prefix)
        ]
