"""Types of how the platform's stand-in may behave towards its readers."""

import typing


class Working(typing.NamedTuple):
    """Answers as docs/published.md says."""


class Down(typing.NamedTuple):
    """Answers every call with an error status."""

    status: int = 503


class Hanging(typing.NamedTuple):
    """Takes every call and does not answer."""


class Slow(typing.NamedTuple):
    """Answers after a delay in seconds."""

    delay: float


class Stale(typing.NamedTuple):
    """Answers from an older view, whatever was published since."""

    values_by_key: dict[str, bytes]
    vms: tuple[dict[str, str], ...] = ()


class Garbled(typing.NamedTuple):
    """Answers every call with the same content."""

    content: bytes
    status: int = 200


Mode = Working | Down | Hanging | Slow | Stale | Garbled
