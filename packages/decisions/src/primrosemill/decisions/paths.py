"""Validation of request paths.

The path that selects the route must be the path that the instance sees. If a
backend server could read another path from the same bytes (dot segments,
encoded slashes, empty segments), a request could be handled by the rules of
the wrong route, for example a booking as if it were idempotent. Such paths
are refused, not normalized.
"""

import re
import typing
import urllib.parse

import expression

MAX_PATH_BYTES = 8_192  # bytes
_INVALID_ESCAPE = re.compile(rb"%(?![0-9A-Fa-f]{2})")
_UNSAFE_BYTES = re.compile(rb"[\x00-\x20\x7f-\xff\\?#]")
# An encoded slash, backslash, percent sign or control character.
_UNSAFE_ESCAPE = re.compile(rb"%(?:2[fF5]|5[cC]|[01][0-9A-Fa-f]|7[fF])")

# Some servers strip parameters from a segment before they resolve it.
_DOT_SEGMENT = re.compile(r"/\.\.?(?:;[^/]*)?(?:/|\Z)")


class NotAbsolute(typing.NamedTuple):
    """The path doesn't start with a slash."""


class TooLong(typing.NamedTuple):
    """The path exceeds the maximum length; sizes in bytes."""

    size: int
    limit: int


class BadEscape(typing.NamedTuple):
    """The path contains an invalid escape sequence or invalid UTF-8."""


class UnsafeByte(typing.NamedTuple):
    r"""The path contains a raw byte that isn't allowed.

    These are control characters, spaces, non-ASCII bytes, ``\``, ``?`` and
    ``#``.
    """


class UnsafeEscape(typing.NamedTuple):
    """An escape encodes a slash, backslash, percent sign or control."""


class DotSegment(typing.NamedTuple):
    """A segment is ``.`` or ``..``, possibly only after decoding."""


class EmptySegment(typing.NamedTuple):
    """The path contains consecutive slashes, which some servers merge."""


PathFault = (
    NotAbsolute
    | TooLong
    | BadEscape
    | UnsafeByte
    | UnsafeEscape
    | DotSegment
    | EmptySegment
)


def check_path(raw: bytes) -> expression.Result[str, PathFault]:
    """Return the decoded path of a request target, without its query.

    The decoded path has exactly the segments of the raw one.
    """
    fault = _find_byte_fault(raw)
    if fault is not None:
        return expression.Error(fault)
    try:
        path = urllib.parse.unquote(raw.decode("ascii"), errors="strict")
    except UnicodeDecodeError:
        return expression.Error(BadEscape())
    if _DOT_SEGMENT.search(path):
        return expression.Error(DotSegment())
    if "//" in path:
        return expression.Error(EmptySegment())
    return expression.Ok(path)


def _find_byte_fault(raw: bytes) -> PathFault | None:
    """Return the fault of the undecoded bytes, or None."""
    if len(raw) > MAX_PATH_BYTES:
        return TooLong(len(raw), MAX_PATH_BYTES)
    if not raw.startswith(b"/"):
        return NotAbsolute()
    if _UNSAFE_BYTES.search(raw):
        return UnsafeByte()
    if b"%" not in raw:
        return None
    if _INVALID_ESCAPE.search(raw):
        return BadEscape()
    if _UNSAFE_ESCAPE.search(raw):
        return UnsafeEscape()
    return None
