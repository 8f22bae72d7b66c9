"""Reads the platform over plain HTTP and JSON; see docs/platform.md."""

import contextlib
import ipaddress
import typing
import urllib.parse

import expression
import httpcore
import msgspec
import trio

from primrosemill.platform import interfaces

READ_TIMEOUT = 2.0  # seconds for a whole answer
WATCH_MARGIN = 2.0  # seconds that a watch may answer late
ANSWER_SIZE_LIMIT = 1_100_000  # bytes; values have up to a megabyte
MOST_CONNECTIONS = 4
LIVE = "live"
LEAVING = "leaving"


class _VmLine(typing.TypedDict):
    id: str
    ip: str
    domain: str
    state: str


class _VmAnswer(typing.TypedDict):
    vms: list[_VmLine]


class Answer(typing.NamedTuple):
    """A whole answer, its size within the limit."""

    status: int
    content: bytes


AnswerResult = expression.Result[Answer, interfaces.PlatformFault]


class _Client:
    def __init__(self, address: str) -> None:
        self._base = f"http://{address}"
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=MOST_CONNECTIONS
        )

    async def aclose(self) -> None:
        await self._pool.aclose()

    async def get(self, path: str, timeout: float) -> AnswerResult:
        """Return a whole answer within a time in seconds, or a fault."""
        # The timeout is one for the whole answer: a limit for each read
        # would let a store that trickles bytes hold its reader forever.
        with trio.move_on_after(timeout):
            return await self._get(path)
        return expression.Error(interfaces.TimedOut(path, timeout))

    async def _get(self, path: str) -> AnswerResult:
        # A store closes idle connections as it likes, and a reader learns
        # of it by its next request, which is then sent once more.
        may_be_stale = any(
            connection.is_idle() for connection in self._pool.connections
        )
        result = await self._attempt(path)
        if may_be_stale and _is_unreachable(result):
            return await self._attempt(path)
        return result

    async def _attempt(self, path: str) -> AnswerResult:
        try:
            async with self._pool.stream("GET", self._base + path) as response:
                return await _read_bounded(path, response)
        except (httpcore.NetworkError, httpcore.ProtocolError) as error:
            return expression.Error(
                interfaces.Unreachable(path, f"{type(error).__name__}")
            )


def _is_unreachable(result: AnswerResult) -> bool:
    return result.is_error() and isinstance(
        result.error, interfaces.Unreachable
    )


async def _read_bounded(
    path: str, response: httpcore.Response
) -> AnswerResult:
    too_large = expression.Error(interfaces.TooLarge(path, ANSWER_SIZE_LIMIT))
    announced = dict(response.headers).get(b"content-length", b"0")
    if int(announced) > ANSWER_SIZE_LIMIT:
        return too_large
    content = bytearray()
    async with contextlib.aclosing(response.aiter_stream()) as chunks:
        async for chunk in chunks:
            content += chunk
            if len(content) > ANSWER_SIZE_LIMIT:
                return too_large
    return expression.Ok(Answer(response.status, bytes(content)))


class HttpStore:
    """Reads and watches keys of the configuration service."""

    def __init__(self, address: str) -> None:
        self._client = _Client(address)

    async def aclose(self) -> None:
        """Close the connections."""
        await self._client.aclose()

    async def read(
        self, key: str
    ) -> expression.Result[bytes, interfaces.PlatformFault]:
        """Return the value of a key."""
        result = await self._client.get(_value_path(key), READ_TIMEOUT)
        return result.bind(lambda answer: _value_of(key, answer))

    async def watch(
        self, key: str, known: str, wait: float
    ) -> expression.Result[bytes | None, interfaces.PlatformFault]:
        """Wait for another value; None means that nothing changed."""
        query = urllib.parse.urlencode({"known": known, "wait": wait})
        result = await self._client.get(
            f"{_value_path(key)}?{query}", wait + WATCH_MARGIN
        )
        if result.is_ok() and result.ok.status == 304:
            return expression.Ok(None)
        return result.bind(lambda answer: _value_of(key, answer))


class HttpVmList:
    """Reads the VM list."""

    def __init__(self, address: str) -> None:
        self._client = _Client(address)

    async def aclose(self) -> None:
        """Close the connections."""
        await self._client.aclose()

    async def read(
        self,
    ) -> expression.Result[
        tuple[interfaces.ListedVm, ...], interfaces.PlatformFault
    ]:
        """Return the VMs listed now, live and leaving."""
        result = await self._client.get("/v1/vms", READ_TIMEOUT)
        return result.bind(_vms_of)


def _value_path(key: str) -> str:
    return f"/v1/values/{urllib.parse.quote(key)}"


def _value_of(
    key: str, answer: Answer
) -> expression.Result[bytes, interfaces.PlatformFault]:
    if answer.status == 404:
        return expression.Error(interfaces.AbsentKey(key))
    if answer.status != 200:
        return expression.Error(interfaces.Refused(key, answer.status))
    return expression.Ok(answer.content)


def _vms_of(
    answer: Answer,
) -> expression.Result[
    tuple[interfaces.ListedVm, ...], interfaces.PlatformFault
]:
    target = "vms"
    if answer.status != 200:
        return expression.Error(interfaces.Refused(target, answer.status))
    vms = []
    try:
        lines = msgspec.json.decode(answer.content, type=_VmAnswer)["vms"]
        for line in lines:
            # A state that this program does not know is not a live VM.
            if line["state"] not in (LIVE, LEAVING):
                continue
            vms.append(_listed_vm(line))
    except (msgspec.DecodeError, RecursionError, ValueError) as error:
        return expression.Error(interfaces.BadAnswer(target, str(error)))
    return expression.Ok(tuple(vms))


def _listed_vm(line: _VmLine) -> interfaces.ListedVm:
    ip = str(ipaddress.ip_address(line["ip"]))
    leaving = line["state"] == LEAVING
    return interfaces.ListedVm(line["id"], ip, line["domain"], leaving)
