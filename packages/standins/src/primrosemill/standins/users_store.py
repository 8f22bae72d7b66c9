"""Stands in for the store of the users' platform.

It speaks the store's reading calls as the users' pages tell them: items in
pages, changes since a revision, a history that may be forgotten. It can
refuse, keep silent, be slow or cut watches while it runs, and come back from
a copy of itself.
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
MILLISECONDS = 1_000.0
EPOCH_HEADER = b"store-era"
JSON = ((b"content-type", b"application/json"),)


class Faults(typing.NamedTuple):
    """How the store misbehaves; the delay is in seconds."""

    status: int | None = None
    silent: bool = False
    delay: float = 0.0
    garbled: bool = False


WELL = Faults()


class Copy(typing.NamedTuple):
    """What the store held at some moment."""

    revision: int
    items_by_key: dict[str, dict[str, typing.Any]]


class StoreStandin:
    """Holds items by key; every change has the next revision."""

    def __init__(self, epoch: int | None = None) -> None:
        self.epoch = epoch
        self.faults = WELL
        self.calls = 0
        self.revision = FIRST_REVISION
        self._items_by_key: dict[str, dict[str, typing.Any]] = {}
        self._events: list[dict[str, typing.Any]] = []
        self._compacted = 0
        self._changed = trio.Event()

    def put(self, key: str, value: bytes) -> int:
        """Write an item; returns its revision."""
        self.revision += 1
        before = self._items_by_key.get(key)
        created = before["create_revision"] if before else self.revision
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "create_revision": created,
            "lease": 0,
        }
        self._items_by_key[key] = item
        self._tell(item)
        return self.revision

    def put_json(self, key: str, value: typing.Any) -> int:
        """Write an item as JSON; returns its revision."""
        return self.put(key, msgspec.json.encode(value))

    def delete(self, key: str) -> int:
        """Remove an item; returns the revision of that."""
        self.revision += 1
        del self._items_by_key[key]
        event = {"key": key, "revision": self.revision, "deleted": True}
        self._tell(event)
        return self.revision

    def copy(self) -> Copy:
        """Return a copy to come back from."""
        return Copy(self.revision, dict(self._items_by_key))

    def restore(self, copy: Copy) -> None:
        """Come back from a copy, without a history, in the next epoch.

        A watch that waits is answered by what is written from then on, as
        if nothing had happened.
        """
        self.epoch = (self.epoch or 0) + 1
        self.revision = copy.revision
        self._items_by_key = dict(copy.items_by_key)
        self._events.clear()
        self._compacted = 0

    def compact(self) -> None:
        """Forget the history; watches that need it get 410."""
        self._events.clear()
        self._compacted = self.revision
        self._wake()

    def _tell(self, event: dict[str, typing.Any]) -> None:
        self._events.append(event)
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    async def __call__(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Answer one call."""
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
            return JSON
        return (*JSON, (EPOCH_HEADER, str(self.epoch).encode()))

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
        with trio.move_on_after(int(query["wait_ms"]) / MILLISECONDS):
            while not self._since(prefix, after):
                if after < self._compacted:
                    break
                await self._changed.wait()
        if after < self._compacted or after > self.revision:
            return 410, b"{}"
        found = self._since(prefix, after)
        answer = {"events": found, "store_revision": self.revision}
        return 200, msgspec.json.encode(answer)

    def _since(self, prefix: str, after: int) -> list[dict[str, typing.Any]]:
        return [
            event
            for event in self._events
            if event["revision"] > after and event["key"].startswith(prefix)
        ]
