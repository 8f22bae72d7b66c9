"""Stands in for the configuration service and the VM list.

It speaks the protocol of docs/published.md and counts every call, a waiting
watch as one. Readers may each have a view of their own, so that a fault
meets some of them and not the others.
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


class Answer(typing.NamedTuple):
    """What a call is answered with."""

    status: int
    content: bytes = b""


class Call(typing.NamedTuple):
    """A call as it came in; ``known`` is None unless it is a watch."""

    path: str
    known: str | None
    wait: float


class Source(typing.Protocol):
    """Has values and a VM list to answer from."""

    values_by_key: dict[str, bytes]
    vms: typing.Sequence[dict[str, str]]


class Contents:
    """Holds what the platform knows, and wakes the calls that wait."""

    def __init__(self) -> None:
        self.values_by_key: dict[str, bytes] = {}
        self.vms: list[dict[str, str]] = []
        self._changed = trio.Event()

    async def wait_for_change(self) -> None:
        """Return at the next change of anything."""
        await self._changed.wait()

    def wake(self) -> None:
        """Let every waiting call look again."""
        self._changed.set()
        self._changed = trio.Event()


class Budget:
    """Counts calls, in all and for each second of the clock."""

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
    def busiest_second(self) -> int:
        """Return the most calls that came within one second."""
        return max(self.calls_by_second.values(), default=0)


class PlatformStandin:
    """Answers calls from contents that several views may share."""

    def __init__(
        self, contents: Contents | None = None, budget: Budget | None = None
    ) -> None:
        self.contents = contents or Contents()
        self.budget = budget or Budget()
        self.waiting = 0
        self._mode: modes.Mode = modes.Working()

    def view(self) -> "PlatformStandin":
        """Return another view, which has a mode of its own."""
        return PlatformStandin(self.contents, self.budget)

    @property
    def mode(self) -> modes.Mode:
        """Return how this view behaves."""
        return self._mode

    @mode.setter
    def mode(self, mode: modes.Mode) -> None:
        """Change how this view behaves, for calls that wait as well."""
        self._mode = mode
        self.contents.wake()

    @property
    def values_by_key(self) -> dict[str, bytes]:
        """Return the published values."""
        return self.contents.values_by_key

    @property
    def vms(self) -> list[dict[str, str]]:
        """Return the lines of the VM list, to be changed in place."""
        return self.contents.vms

    @property
    def calls(self) -> int:
        """Return the number of calls to all views."""
        return self.budget.calls

    def publish(self, values_by_key: dict[str, bytes]) -> None:
        """Put values, and wake the watches."""
        self.contents.values_by_key.update(values_by_key)
        self.contents.wake()

    def snapshot(self) -> modes.Stale:
        """Return the mode that goes on to answer what is known now."""
        return modes.Stale(self.values_by_key.copy(), tuple(self.vms))

    async def __call__(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Answer one call."""
        self.budget.count(scope["path"])
        query = dict(urllib.parse.parse_qsl(scope["query_string"].decode()))
        call = Call(
            scope["path"], query.get("known"), float(query.get("wait", 0))
        )
        self.waiting += 1
        try:
            answer = await self._answer_in_mode(call)
        finally:
            self.waiting -= 1
        await asgi.respond(send, answer.status, answer.content)

    async def _answer_in_mode(self, call: Call) -> Answer:
        while True:
            mode = self._mode
            answer = await _answer(mode, self, call)
            if mode is self._mode and answer is not None:
                return answer


def look_up(source: Source, call: Call) -> Answer:
    """Answer a call from some contents, without waiting."""
    if call.path == VMS_PATH:
        return Answer(200, msgspec.json.encode({"vms": source.vms}))
    if not call.path.startswith(VALUES_PATH):
        return Answer(404)
    key = urllib.parse.unquote(call.path.removeprefix(VALUES_PATH))
    value = source.values_by_key.get(key)
    if value is None:
        return Answer(404)
    if values.digest(value) == call.known:
        return Answer(304)
    return Answer(200, value)


async def _watch(
    mode: modes.Mode, standin: PlatformStandin, call: Call, source: Source
) -> Answer:
    """Answer a call; a watch waits for other contents or another mode."""
    answer = look_up(source, call)
    if call.known is None:
        return answer
    with trio.move_on_after(call.wait):
        while answer.status != 200 and standin.mode is mode:
            await standin.contents.wait_for_change()
            answer = look_up(source, call)
    return answer


@functools.singledispatch
async def _answer(
    mode: modes.Mode, standin: PlatformStandin, call: Call
) -> Answer | None:
    """Answer a call in a mode; None means that the mode has changed."""
    raise NotImplementedError(type(mode))


@_answer.register
async def _answer_working(
    mode: modes.Working, standin: PlatformStandin, call: Call
) -> Answer | None:
    return await _watch(mode, standin, call, standin.contents)


@_answer.register
async def _answer_down(
    mode: modes.Down, standin: PlatformStandin, call: Call
) -> Answer | None:
    return Answer(mode.status)


@_answer.register
async def _answer_hanging(
    mode: modes.Hanging, standin: PlatformStandin, call: Call
) -> Answer | None:
    while standin.mode is mode:
        await standin.contents.wait_for_change()


@_answer.register
async def _answer_slow(
    mode: modes.Slow, standin: PlatformStandin, call: Call
) -> Answer | None:
    await trio.sleep(mode.delay)
    return await _watch(mode, standin, call, standin.contents)


@_answer.register
async def _answer_stale(
    mode: modes.Stale, standin: PlatformStandin, call: Call
) -> Answer | None:
    return await _watch(mode, standin, call, mode)


@_answer.register
async def _answer_garbled(
    mode: modes.Garbled, standin: PlatformStandin, call: Call
) -> Answer | None:
    return Answer(mode.status, mode.content)
