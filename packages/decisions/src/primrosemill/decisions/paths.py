"""Checks the path of a request before anything is decided by it.

The path that chooses the route must be the path that the instance sees.
Where a backend server could read another path out of the same bytes (dot
segments, encoded slashes, empty segments), a request could run under the
rules of a wrong route, a booking as if it were idempotent. Such paths are
refused, not repaired.
"""

import re
import typing
import urllib.parse

import expression

LONGEST_PATH = 8_192  # bytes
_BAD_ESCAPE = re.compile(rb"%(?![0-9A-Fa-f]{2})")
_BAD_BYTES = re.compile(rb"[\x00-\x20\x7f-\xff\\?#]")
# An encoded slash, backslash, percent sign or control character.
_UNSAFE_ESCAPE = re.compile(rb"%(?:2[fF5]|5[cC]|[01][0-9A-Fa-f]|7[fF])")

# Some servers cut a parameter off a segment before they resolve it.
_DOT_SEGMENT = re.compile(r"/\.\.?(?:;[^/]*)?(?:/|\Z)")


class NotAbsolute(typing.NamedTuple):
    """The path does not begin with a slash."""


class TooLong(typing.NamedTuple):
    """The path is longer than any is allowed to be; sizes in bytes."""

    size: int
    limit: int


class BadEscape(typing.NamedTuple):
    """The path holds a percent sign that begins no escape, or no UTF-8."""


class UnsafeByte(typing.NamedTuple):
    """The path holds a raw control character, backslash or non-ASCII byte."""


class UnsafeEscape(typing.NamedTuple):
    """The path hides a slash, backslash, percent sign or control."""


class DotSegment(typing.NamedTuple):
    """A segment means this or the parent folder, perhaps when decoded."""


class EmptySegment(typing.NamedTuple):
    """Two slashes follow each other, which some servers merge."""


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
    """Return what is wrong with the bytes themselves."""
    if len(raw) > LONGEST_PATH:
        return TooLong(len(raw), LONGEST_PATH)
    if not raw.startswith(b"/"):
        return NotAbsolute()
    if _BAD_BYTES.search(raw):
        return UnsafeByte()
    if b"%" not in raw:
        return None
    if _BAD_ESCAPE.search(raw):
        return BadEscape()
    if _UNSAFE_ESCAPE.search(raw):
        return UnsafeEscape()
    return None
