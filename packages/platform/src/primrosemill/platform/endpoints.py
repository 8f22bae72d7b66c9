"""Answers the platform's questions: is a VM ready, and where to connect."""

import typing
import urllib.parse

import msgspec

from primrosemill.platform import names
from primrosemill.proxy import adapters

JSON = [(b"content-type", b"application/json")]
STATUS_OK = 200
STATUS_NOT_FOUND = 404
STATUS_NOT_READY = 503


class _Directions(typing.TypedDict):
    # At most 64 addresses of VMs that take callers; callers pick at random.
    addresses: list[str]
    # Seconds, not a counter of hops.
    ttl_s: float


class _Fault(typing.TypedDict):
    error: str


MOST_ADDRESSES = 64
_NOT_FOUND = adapters.Reply(
    STATUS_NOT_FOUND, JSON, msgspec.json.encode(_Fault(error="no such path"))
)
_NOT_READY = adapters.Reply(
    STATUS_NOT_READY, JSON, msgspec.json.encode(_Fault(error="not ready"))
)


def answer_readiness(path: str, is_ready: adapters.IsReady) -> adapters.Reply:
    """Tell whether this VM takes callers."""
    if path != names.READINESS_PATH:
        return _NOT_FOUND
    if not is_ready():
        return _NOT_READY
    return adapters.Reply(STATUS_OK, JSON, b"{}")


def answer_directions(
    path: str, query: bytes, direct: adapters.FindDirections
) -> adapters.Reply:
    """Tell a caller which VMs to use."""
    if path != names.DIRECTORY_PATH:
        return _NOT_FOUND
    directions = direct(_parse(query))
    if directions is None:
        return _NOT_READY
    body = msgspec.json.encode(
        _Directions(
            addresses=list(directions.addresses[:MOST_ADDRESSES]),
            ttl_s=directions.lifetime,
        )
    )
    return adapters.Reply(STATUS_OK, JSON, body)


def _parse(query: bytes) -> adapters.Question:
    found = dict(urllib.parse.parse_qsl(query.decode("latin-1")))
    return adapters.Question(found.get("name", ""), found.get("zone", ""))
