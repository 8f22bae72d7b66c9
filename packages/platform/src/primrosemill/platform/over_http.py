"""Reads the platform over plain HTTP and JSON; see docs/platform.md."""

import typing

import expression
import httpcore
import msgspec

from primrosemill.platform import interfaces

READ_TIMEOUT = 2.0  # seconds
WATCH_MARGIN = 2.0  # seconds that a watch may answer late


class _VmLine(typing.TypedDict):
    id: str
    ip: str
    domain: str
    state: str


class _VmAnswer(typing.TypedDict):
    vms: list[_VmLine]


class _Client:
    def __init__(self, address: str) -> None:
        self._base = f"http://{address}"
        self._pool = httpcore.AsyncConnectionPool(max_connections=4)

    async def get(
        self, path: str, timeout: float
    ) -> expression.Result[httpcore.Response, interfaces.PlatformFault]:
        limits = dict.fromkeys(("connect", "read", "write", "pool"), timeout)
        try:
            response = await self._pool.request(
                "GET", self._base + path, extensions={"timeout": limits}
            )
        except (
            httpcore.NetworkError,
            httpcore.TimeoutException,
            httpcore.ProtocolError,
        ) as error:
            return expression.Error(
                interfaces.Unreachable(path, type(error).__name__)
            )
        return expression.Ok(response)


class HttpStore:
    """Reads and watches keys of the configuration service."""

    def __init__(self, address: str) -> None:
        self._client = _Client(address)

    async def read(
        self, key: str
    ) -> expression.Result[bytes, interfaces.PlatformFault]:
        """Return the value of a key."""
        result = await self._client.get(f"/v1/values/{key}", READ_TIMEOUT)
        if result.is_error():
            return expression.Error(result.error)
        return _value_of(key, result.ok)

    async def watch(
        self, key: str, known: str, wait: float
    ) -> expression.Result[bytes | None, interfaces.PlatformFault]:
        """Wait for another value; None means that nothing changed."""
        path = f"/v1/values/{key}?known={known}&wait={wait}"
        result = await self._client.get(path, wait + WATCH_MARGIN)
        if result.is_error():
            return expression.Error(result.error)
        if result.ok.status == 304:
            return expression.Ok(None)
        return _value_of(key, result.ok)


class HttpVmList:
    """Reads the VM list."""

    def __init__(self, address: str) -> None:
        self._client = _Client(address)

    async def read(
        self,
    ) -> expression.Result[
        tuple[interfaces.ListedVm, ...], interfaces.PlatformFault
    ]:
        """Return the VMs listed now."""
        result = await self._client.get("/v1/vms", READ_TIMEOUT)
        if result.is_error():
            return expression.Error(result.error)
        try:
            answer = msgspec.json.decode(result.ok.content, type=_VmAnswer)
        except msgspec.DecodeError as error:
            return expression.Error(interfaces.BadAnswer("vms", str(error)))
        return expression.Ok(
            tuple(
                interfaces.ListedVm(
                    line["id"],
                    line["ip"],
                    line["domain"],
                    line["state"] == "leaving",
                )
                for line in answer["vms"]
            )
        )


def _value_of(
    key: str, response: httpcore.Response
) -> expression.Result[bytes, interfaces.PlatformFault]:
    if response.status == 404:
        return expression.Error(interfaces.AbsentKey(key))
    if response.status != 200:
        return expression.Error(interfaces.Refused(key, response.status))
    return expression.Ok(response.content)
