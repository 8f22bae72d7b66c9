"""Modes in which the stand-in of the platform handles calls."""

import typing


class Working(typing.NamedTuple):
    """Responds as docs/published.md specifies."""


class Down(typing.NamedTuple):
    """Responds to every call with an error status."""

    status: int = 503


class Hanging(typing.NamedTuple):
    """Accepts every call and never responds."""


class Slow(typing.NamedTuple):
    """Responds after a delay in seconds."""

    delay: float


class Stale(typing.NamedTuple):
    """Serves older contents, whatever was published since."""

    values_by_key: dict[str, bytes]
    vms: tuple[dict[str, str], ...] = ()


class FixedResponse(typing.NamedTuple):
    """Responds to every call with the same, usually malformed, content."""

    content: bytes
    status: int = 200


Mode = Working | Down | Hanging | Slow | Stale | FixedResponse
