"""Reads the store and the VM list over HTTP; see docs/published.md."""

import ipaddress
import typing
import urllib.parse

import expression
import msgspec

from primrosemill.fleet import interfaces
from primrosemill.published import bounded_client

READ_TIMEOUT = 2.0  # seconds for a complete answer
WATCH_MARGIN = 2.0  # seconds allowed beyond the wait of a watch
ANSWER_SIZE_LIMIT = 1_100_000  # bytes; a value has at most 1 MB
LIVE_STATE = "live"
LEAVING_STATE = "leaving"


class _VmEntry(typing.TypedDict):
    id: str
    ip: str
    domain: str
    state: str


class _VmListBody(typing.TypedDict):
    vms: list[_VmEntry]


class HttpStore:
    """Reads and watches keys of the configuration service."""

    def __init__(self, address: str) -> None:
        self._client = bounded_client.Client(address, ANSWER_SIZE_LIMIT)

    async def aclose(self) -> None:
        """Close the connections."""
        await self._client.aclose()

    async def read(
        self, key: str
    ) -> expression.Result[bytes, interfaces.PlatformFault]:
        """Return the value of a key."""
        result = await self._client.get(_value_path(key), READ_TIMEOUT)
        return result.bind(lambda answer: _decode_value(key, answer))

    async def watch(
        self, key: str, known: str, wait: float
    ) -> expression.Result[bytes | None, interfaces.PlatformFault]:
        """Wait up to ``wait`` seconds for a value other than the known one.

        ``known`` is the digest of the known value. Returns None if the value
        has not changed.
        """
        query = urllib.parse.urlencode({"known": known, "wait": wait})
        result = await self._client.get(
            f"{_value_path(key)}?{query}", wait + WATCH_MARGIN
        )
        if result.is_ok() and result.ok.status == 304:
            return expression.Ok(None)
        return result.bind(lambda answer: _decode_value(key, answer))


class HttpVmList:
    """Reads the VM list."""

    def __init__(self, address: str) -> None:
        self._client = bounded_client.Client(address, ANSWER_SIZE_LIMIT)

    async def aclose(self) -> None:
        """Close the connections."""
        await self._client.aclose()

    async def read(
        self,
    ) -> expression.Result[
        tuple[interfaces.ListedVm, ...], interfaces.PlatformFault
    ]:
        """Return all listed VMs that are live or leaving."""
        result = await self._client.get("/v1/vms", READ_TIMEOUT)
        return result.bind(_decode_vms)


def _value_path(key: str) -> str:
    return f"/v1/values/{urllib.parse.quote(key)}"


def _decode_value(
    key: str, answer: bounded_client.Answer
) -> expression.Result[bytes, interfaces.PlatformFault]:
    if answer.status == 404:
        return expression.Error(interfaces.AbsentKey(key))
    if answer.status != 200:
        return expression.Error(interfaces.Refused(key, answer.status))
    return expression.Ok(answer.content)


def _decode_vms(
    answer: bounded_client.Answer,
) -> expression.Result[
    tuple[interfaces.ListedVm, ...], interfaces.PlatformFault
]:
    target = "vms"
    if answer.status != 200:
        return expression.Error(interfaces.Refused(target, answer.status))
    vms = []
    try:
        entries = msgspec.json.decode(answer.content, type=_VmListBody)["vms"]
        for entry in entries:
            # VMs in a state unknown to this version are not live.
            if entry["state"] not in (LIVE_STATE, LEAVING_STATE):
                continue
            vms.append(_build_listed_vm(entry))
    except (msgspec.DecodeError, RecursionError, ValueError) as error:
        return expression.Error(interfaces.BadAnswer(target, str(error)))
    return expression.Ok(tuple(vms))


def _build_listed_vm(entry: _VmEntry) -> interfaces.ListedVm:
    ip = str(ipaddress.ip_address(entry["ip"]))
    leaving = entry["state"] == LEAVING_STATE
    return interfaces.ListedVm(entry["id"], ip, entry["domain"], leaving)
