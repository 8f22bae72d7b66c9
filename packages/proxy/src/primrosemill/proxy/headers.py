"""Defines, parses and filters the headers of callers and instances."""

import math
import re
import typing

import expression

from primrosemill.proxy import asgi

CALLER_ID = b"x-caller-id"
HOST = b"host"
AUTHORIZATION = b"authorization"
TIMEOUT = b"x-request-timeout"
FORWARDING_TICKET = b"x-primrosemill-ticket"
OUTCOME = b"x-outcome"
REASON = b"x-outcome-reason"
RETRY_AFTER = b"retry-after"
SHED = b"x-shed"
INSTANCE_STATE = b"x-instance-state"
DRAINING = b"draining"
CONTENT_LENGTH = b"content-length"
TRANSFER_ENCODING = b"transfer-encoding"
CONNECTION = b"connection"
CLOSE = (CONNECTION, b"close")
CONTENT_ENCODING = b"content-encoding"
KEEP_ALIVE = b"keep-alive"
IDENTITY = b"identity"
TIMEOUT_PARAMETER = b"timeout="
EMPTY_BODY = (CONTENT_LENGTH, b"0")
CHUNKED = (TRANSFER_ENCODING, b"chunked")
OUTCOME_ANSWERED = (OUTCOME, b"answered")
OUTCOME_NOT_RUN = (OUTCOME, b"not-run")
OUTCOME_UNKNOWN = (OUTCOME, b"unknown")

# Longer pauses are reduced to this, so that an instance can't exclude itself
# for as long as the VM runs.
MAX_PAUSE = 300.0  # seconds
MAX_SHOWN_VALUE = 40  # bytes of an invalid value in the log
LIMIT_STEPS = 1_000  # per request per second
# A decimal number without sign or exponent, of a length that a float holds.
_DECIMAL = re.compile(rb"[0-9]{1,12}(\.[0-9]{0,12})?|\.[0-9]{1,12}")

_SIGN = re.compile(rb"[^0-9a-z]")


class InvalidPause(typing.NamedTuple):
    """An invalid pause requested by an instance.

    ``seconds`` is the pause to apply instead; 0 means no pause.
    """

    value: str
    detail: str
    seconds: float = 0.0


class InvalidLimit(typing.NamedTuple):
    """An invalid limit of requests per second named by an instance."""

    value: str
    detail: str


HOP_BY_HOP_NAMES = frozenset(
    {
        CONNECTION,
        TRANSFER_ENCODING,
        KEEP_ALIVE,
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"upgrade",
    }
)
# The proxy handles "expect" itself and sends its own remaining time.
REQUEST_NAMES_DROPPED = HOP_BY_HOP_NAMES | {
    b"expect",
    TIMEOUT,
    FORWARDING_TICKET,
}
# Only the proxy reports the outcome to callers, so an instance must not.
ANSWER_NAMES_DROPPED = HOP_BY_HOP_NAMES | {OUTCOME, REASON, SHED}


def forward(
    headers: asgi.Headers, dropped_names: frozenset[bytes]
) -> asgi.Headers:
    """Return the headers that are forwarded to the next hop.

    A content length next to a transfer encoding is dropped: readers that
    disagree on which one counts could be made to see different requests
    (request smuggling).
    """
    forwarded = []
    also_dropped: frozenset[bytes] = frozenset()
    for header in headers:
        name = header[0].lower()
        if name == CONNECTION:
            also_dropped |= _tokens(header[1]) - HOP_BY_HOP_NAMES
        elif name == TRANSFER_ENCODING:
            also_dropped |= {CONTENT_LENGTH}
        if name not in dropped_names:
            forwarded.append(header)
    if not also_dropped:
        return forwarded
    return [each for each in forwarded if each[0].lower() not in also_dropped]


def canonical_name(name: bytes) -> bytes:
    """Return a header's name in lower case, with hyphens for other signs.

    Instances that turn headers into variables take names for the same that
    differ only in such signs.
    """
    return _SIGN.sub(b"-", name.lower())


def _tokens(value: bytes) -> frozenset[bytes]:
    return frozenset(
        token.strip().lower() for token in value.split(b",") if token.strip()
    ) - {b"close"}


def find(headers: asgi.Headers, name: bytes) -> bytes | None:
    """Return the first value of a header, or None if it is absent.

    The name must be in lower case.
    """
    for each_name, value in headers:
        if each_name.lower() == name:
            return value
    return None


def find_all(headers: asgi.Headers, name: bytes) -> list[bytes]:
    """Return the values of a header, split at commas.

    The name must be in lower case.
    """
    return [
        part.strip()
        for each_name, value in headers
        if each_name.lower() == name
        for part in value.split(b",")
    ]


def parse_timeout(
    value: bytes | None, ceiling: float, units_per_second: float = 1.0
) -> float:
    """Return the caller's remaining time in seconds, at most the ceiling.

    The value is in units of which ``units_per_second`` make a second. One
    that is not a number, negative or infinite counts as absent.
    """
    if value is None:
        return ceiling
    try:
        seconds = float(value) / units_per_second
    except ValueError:
        return ceiling
    if not math.isfinite(seconds) or seconds < 0:
        return ceiling
    return min(seconds, ceiling)


def parse_pause(value: bytes) -> expression.Result[float, InvalidPause]:
    """Return the pause in seconds that an instance asks for."""
    shown_value = value[:MAX_SHOWN_VALUE].decode("latin-1")
    try:
        seconds = float(value)
    except ValueError:
        return expression.Error(
            InvalidPause(shown_value, "no number of seconds")
        )
    if not math.isfinite(seconds) or seconds < 0:
        return expression.Error(InvalidPause(shown_value, "no span of time"))
    if seconds > MAX_PAUSE:
        return expression.Error(
            InvalidPause(shown_value, "too long", MAX_PAUSE)
        )
    return expression.Ok(seconds)


def parse_limit(
    values: list[bytes],
) -> expression.Result[float, InvalidLimit]:
    """Return the lowest limit, in requests per second, of some values.

    It is rounded down to thousandths, as VMs tell it to each other.
    """
    for value in values:
        if _DECIMAL.fullmatch(value) is None:
            return expression.Error(
                InvalidLimit(
                    value[:MAX_SHOWN_VALUE].decode("latin-1"),
                    "no decimal number",
                )
            )
    lowest = min(float(value) for value in values)
    return expression.Ok(math.floor(lowest * LIMIT_STEPS) / LIMIT_STEPS)


def format_timeout(seconds: float) -> bytes:
    """Return the remaining time as a header value."""
    return f"{max(seconds, 0.0):.3f}".encode()


def parse_idle_time(headers: asgi.Headers) -> float | None:
    """Return the keep-alive timeout of an instance in seconds, or None."""
    value = find(headers, KEEP_ALIVE)
    if value is None:
        return None
    for parameter in value.lower().split(b","):
        seconds = parameter.strip().removeprefix(TIMEOUT_PARAMETER)
        if seconds.isdigit():
            return float(seconds)
    return None


def is_encoded(headers: asgi.Headers) -> bool:
    """Return whether a body has a content encoding other than identity."""
    value = find(headers, CONTENT_ENCODING)
    return value is not None and value.strip().lower() not in (b"", IDENTITY)


def identify_caller(lines: asgi.Headers) -> tuple[bytes, ...]:
    """Return what identifies the caller of a request and the host it names.

    The caller's address doesn't: it may change from one try to the next.
    """
    return tuple(
        find(lines, name) or b"" for name in (HOST, CALLER_ID, AUTHORIZATION)
    )
