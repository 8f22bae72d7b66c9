"""Declares what an adapter to a platform gives to an entry VM."""

import typing

from primrosemill.fleet import feed
from primrosemill.proxy import asgi
from primrosemill.proxy import dialects


class Question(typing.NamedTuple):
    """A caller asks which VMs to use for a host; empty where not told."""

    host: str
    domain: str


class Directions(typing.NamedTuple):
    """The addresses for a caller, and for how many seconds to keep them."""

    addresses: tuple[str, ...]
    lifetime: float


class Reply(typing.NamedTuple):
    """A whole answer of an endpoint."""

    status: int
    lines: asgi.Headers
    body: bytes


Direct = typing.Callable[[Question], Directions | None]
IsReady = typing.Callable[[], bool]


class Adapter(typing.NamedTuple):
    """One platform: its feed, its headers and its endpoints.

    The endpoints take a path and a query string. ``answer_directions`` gets
    what this VM directs callers to, None while it can't tell.
    """

    source: feed.Feed
    dialect: dialects.Dialect
    answer_directions: typing.Callable[[str, bytes, Direct], Reply]
    answer_readiness: typing.Callable[[str, IsReady], Reply]
