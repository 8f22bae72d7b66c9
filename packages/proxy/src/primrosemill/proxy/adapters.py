"""Declares the interface between an entry VM and its platform."""

import typing

from primrosemill.fleet import feed
from primrosemill.proxy import asgi
from primrosemill.proxy import dialects


class DirectionsQuery(typing.NamedTuple):
    """A caller's query for the VMs to use; unknown fields are empty."""

    host: str
    domain: str


class Directions(typing.NamedTuple):
    """The addresses of entry points for a caller; ``lifetime`` in seconds."""

    addresses: tuple[str, ...]
    lifetime: float


class Reply(typing.NamedTuple):
    """A complete response of an endpoint."""

    status: int
    headers: asgi.Headers
    body: bytes


FindDirections = typing.Callable[[DirectionsQuery], Directions | None]
IsReady = typing.Callable[[], bool]


class Adapter(typing.NamedTuple):
    """The feed, headers and endpoints of a platform.

    ``answer_directions`` takes a path, a query string and the function that
    finds the directions, which returns None while they are unknown.
    ``answer_readiness`` takes a path and the function that tells whether this
    VM is ready.
    """

    source: feed.Feed
    dialect: dialects.Dialect
    answer_directions: typing.Callable[[str, bytes, FindDirections], Reply]
    answer_readiness: typing.Callable[[str, IsReady], Reply]
