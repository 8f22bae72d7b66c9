"""Answers requests for a VM's readiness and for addresses to connect to."""

import typing
import urllib.parse

import msgspec

from primrosemill.platform import names
from primrosemill.proxy import adapters

JSON_HEADERS = [(b"content-type", b"application/json")]
STATUS_OK = 200
STATUS_NOT_FOUND = 404
STATUS_NOT_READY = 503


class _DirectionsBody(typing.TypedDict):
    # At most 64 addresses of VMs that accept callers; callers pick one at
    # random.
    addresses: list[str]
    # Lifetime in seconds, not a hop count.
    ttl_s: float


class _ErrorBody(typing.TypedDict):
    error: str


MAX_ADDRESSES = 64
_NOT_FOUND = adapters.Reply(
    STATUS_NOT_FOUND,
    JSON_HEADERS,
    msgspec.json.encode(_ErrorBody(error="no such path")),
)
_NOT_READY = adapters.Reply(
    STATUS_NOT_READY,
    JSON_HEADERS,
    msgspec.json.encode(_ErrorBody(error="not ready")),
)


def answer_readiness(path: str, is_ready: adapters.IsReady) -> adapters.Reply:
    """Answer whether this VM accepts callers."""
    if path != names.READINESS_PATH:
        return _NOT_FOUND
    if not is_ready():
        return _NOT_READY
    return adapters.Reply(STATUS_OK, JSON_HEADERS, b"{}")


def answer_directions(
    path: str, query: bytes, find_directions: adapters.FindDirections
) -> adapters.Reply:
    """Answer which VMs a caller should connect to."""
    if path != names.DIRECTORY_PATH:
        return _NOT_FOUND
    directions = find_directions(_parse_question(query))
    if directions is None:
        return _NOT_READY
    body = msgspec.json.encode(
        _DirectionsBody(
            addresses=list(directions.addresses[:MAX_ADDRESSES]),
            ttl_s=directions.lifetime,
        )
    )
    return adapters.Reply(STATUS_OK, JSON_HEADERS, body)


def _parse_question(query: bytes) -> adapters.DirectionsQuery:
    parameters = dict(urllib.parse.parse_qsl(query.decode("latin-1")))
    return adapters.DirectionsQuery(
        parameters.get("name", ""), parameters.get("zone", "")
    )
