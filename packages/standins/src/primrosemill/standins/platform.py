"""Simulates the configuration service and the VM list.

It implements the protocol of docs/published.md and counts the calls; a watch
counts as one call however long it waits. Each reader may have its own view,
so that a fault affects only some of the readers.
"""

import collections
import functools
import typing
import urllib.parse

import msgspec
import trio

from primrosemill.configuration import values
from primrosemill.standins import asgi
from primrosemill.standins import platform_modes as modes

VALUES_PATH = "/v1/values/"
VMS_PATH = "/v1/vms"


class Response(typing.NamedTuple):
    """Response to a call."""

    status: int
    content: bytes = b""


class Call(typing.NamedTuple):
    """A call; ``known`` is None unless it is a watch.

    ``known`` is the digest of the value that the reader has, ``wait`` the
    longest time in seconds that the watch waits for another one.
    """

    path: str
    known: str | None
    wait: float


class Source(typing.Protocol):
    """Values and VM list that calls read."""

    values_by_key: dict[str, bytes]
    vms: typing.Sequence[dict[str, str]]


class Contents:
    """Published values and VM list; wakes waiting calls on changes."""

    def __init__(self) -> None:
        self.values_by_key: dict[str, bytes] = {}
        self.vms: list[dict[str, str]] = []
        self._changed = trio.Event()

    async def wait_for_change(self) -> None:
        """Wait for the next change of the contents or of a mode."""
        await self._changed.wait()

    def wake(self) -> None:
        """Wake every waiting call."""
        self._changed.set()
        self._changed = trio.Event()


class CallCounter:
    """Counts calls in total, by path and by second of trio time."""

    def __init__(self) -> None:
        self.calls = 0
        self.calls_by_path: collections.Counter[str] = collections.Counter()
        self.calls_by_second: collections.Counter[int] = collections.Counter()

    def count(self, path: str) -> None:
        """Count one call."""
        self.calls += 1
        self.calls_by_path[path] += 1
        self.calls_by_second[int(trio.current_time())] += 1

    @property
    def max_calls_per_second(self) -> int:
        """Return the highest number of calls in one second."""
        return max(self.calls_by_second.values(), default=0)


class PlatformStandin:
    """ASGI application over contents that several views may share.

    ``waiting`` is the number of calls without a response so far.
    """

    def __init__(
        self,
        contents: Contents | None = None,
        call_counter: CallCounter | None = None,
    ) -> None:
        self.contents = contents or Contents()
        self.call_counter = call_counter or CallCounter()
        self.waiting = 0
        self._mode: modes.Mode = modes.Working()

    def view(self) -> "PlatformStandin":
        """Return a view of the same contents with its own mode."""
        return PlatformStandin(self.contents, self.call_counter)

    @property
    def mode(self) -> modes.Mode:
        """Return the mode in which this view handles calls."""
        return self._mode

    @mode.setter
    def mode(self, mode: modes.Mode) -> None:
        """Change the mode of this view, also for waiting calls."""
        self._mode = mode
        self.contents.wake()

    @property
    def values_by_key(self) -> dict[str, bytes]:
        """Return the published values."""
        return self.contents.values_by_key

    @property
    def vms(self) -> list[dict[str, str]]:
        """Return the entries of the VM list, which may be changed in place."""
        return self.contents.vms

    @property
    def calls(self) -> int:
        """Return the number of calls to all views."""
        return self.call_counter.calls

    def publish(self, values_by_key: dict[str, bytes]) -> None:
        """Publish values and wake the watches."""
        self.contents.values_by_key.update(values_by_key)
        self.contents.wake()

    def snapshot(self) -> modes.Stale:
        """Return a mode that keeps serving the present contents."""
        return modes.Stale(self.values_by_key.copy(), tuple(self.vms))

    async def __call__(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Handle one call."""
        self.call_counter.count(scope["path"])
        query = dict(urllib.parse.parse_qsl(scope["query_string"].decode()))
        call = Call(
            scope["path"], query.get("known"), float(query.get("wait", 0))
        )
        self.waiting += 1
        try:
            response = await self._respond_in_mode(call)
        finally:
            self.waiting -= 1
        await asgi.respond(send, response.status, response.content)

    async def _respond_in_mode(self, call: Call) -> Response:
        while True:
            mode = self._mode
            response = await _respond(mode, self, call)
            if mode is self._mode and response is not None:
                return response


def look_up(source: Source, call: Call) -> Response:
    """Return the response to a call from a source, without waiting."""
    if call.path == VMS_PATH:
        return Response(200, msgspec.json.encode({"vms": source.vms}))
    if not call.path.startswith(VALUES_PATH):
        return Response(404)
    key = urllib.parse.unquote(call.path.removeprefix(VALUES_PATH))
    value = source.values_by_key.get(key)
    if value is None:
        return Response(404)
    if values.digest(value) == call.known:
        return Response(304)
    return Response(200, value)


async def _watch(
    mode: modes.Mode, standin: PlatformStandin, call: Call, source: Source
) -> Response:
    """Respond to a call; a watch waits for a change of contents or mode."""
    response = look_up(source, call)
    if call.known is None:
        return response
    with trio.move_on_after(call.wait):
        while response.status != 200 and standin.mode is mode:
            await standin.contents.wait_for_change()
            response = look_up(source, call)
    return response


@functools.singledispatch
async def _respond(
    mode: modes.Mode, standin: PlatformStandin, call: Call
) -> Response | None:
    """Respond to a call in a mode; return None if the mode has changed."""
    raise NotImplementedError(type(mode))


@_respond.register
async def _respond_working(
    mode: modes.Working, standin: PlatformStandin, call: Call
) -> Response | None:
    return await _watch(mode, standin, call, standin.contents)


@_respond.register
async def _respond_down(
    mode: modes.Down, standin: PlatformStandin, call: Call
) -> Response | None:
    return Response(mode.status)


@_respond.register
async def _respond_hanging(
    mode: modes.Hanging, standin: PlatformStandin, call: Call
) -> Response | None:
    while standin.mode is mode:
        await standin.contents.wait_for_change()


@_respond.register
async def _respond_slow(
    mode: modes.Slow, standin: PlatformStandin, call: Call
) -> Response | None:
    await trio.sleep(mode.delay)
    return await _watch(mode, standin, call, standin.contents)


@_respond.register
async def _respond_stale(
    mode: modes.Stale, standin: PlatformStandin, call: Call
) -> Response | None:
    return await _watch(mode, standin, call, mode)


@_respond.register
async def _respond_garbled(
    mode: modes.FixedResponse, standin: PlatformStandin, call: Call
) -> Response | None:
    return Response(mode.status, mode.content)
