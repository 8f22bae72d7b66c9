"""Stands in for the configuration service and the VM list.

It speaks the protocol of docs/platform.md and counts every call, a waiting
watch as one.
"""

import urllib.parse

import msgspec
import trio

from primrosemill.configuration import values
from primrosemill.standins import asgi

VALUES_PATH = "/v1/values/"
VMS_PATH = "/v1/vms"


class PlatformStandin:
    """Holds the published values and the VM list in memory."""

    def __init__(self) -> None:
        self.values_by_key: dict[str, bytes] = {}
        self.vms: list[dict[str, str]] = []
        self.calls = 0
        self.reachable = True
        self._changed = trio.Event()

    def publish(self, values_by_key: dict[str, bytes]) -> None:
        """Put values, and wake the watches."""
        self.values_by_key.update(values_by_key)
        self._changed.set()
        self._changed = trio.Event()

    async def __call__(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Answer one call."""
        self.calls += 1
        path = scope["path"]
        if not self.reachable:
            await asgi.respond(send, 503, b"")
        elif path == VMS_PATH:
            body = msgspec.json.encode({"vms": self.vms})
            await asgi.respond(send, 200, body)
        elif path.startswith(VALUES_PATH):
            key = path.removeprefix(VALUES_PATH)
            await self._answer_value(key, scope, send)
        else:
            await asgi.respond(send, 404, b"")

    async def _answer_value(
        self, key: str, scope: asgi.Scope, send: asgi.Send
    ) -> None:
        query = dict(urllib.parse.parse_qsl(scope["query_string"].decode()))
        if "known" in query:
            with trio.move_on_after(float(query.get("wait", 0))):
                await self._wait_for_change(key, query["known"])
        value = self.values_by_key.get(key)
        if value is None:
            await asgi.respond(send, 404, b"")
        elif values.digest(value) == query.get("known"):
            await asgi.respond(send, 304, b"")
        else:
            await asgi.respond(send, 200, value)

    async def _wait_for_change(self, key: str, known: str) -> None:
        while True:
            value = self.values_by_key.get(key)
            if value is not None and values.digest(value) != known:
                return
            await self._changed.wait()
