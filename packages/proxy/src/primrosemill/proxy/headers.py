"""Names the headers of the caller interface and forwards all others."""

import math
import typing

import expression

from primrosemill.proxy import asgi

CALLER = b"x-caller-id"
TIMEOUT = b"x-request-timeout"
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
IDLE_TIME = b"timeout="
EMPTY = (CONTENT_LENGTH, b"0")
CHUNKED = (TRANSFER_ENCODING, b"chunked")
OUTCOME_ANSWERED = (OUTCOME, b"answered")
OUTCOME_NOT_RUN = (OUTCOME, b"not-run")
OUTCOME_UNKNOWN = (OUTCOME, b"unknown")

# A longer pause than this counts as this long: no instance is trusted to
# take itself out for the rest of a VM's life.
LONGEST_PAUSE = 300.0  # seconds
LONGEST_SHOWN = 40  # bytes of a damaged value that a fault shows


class BadPause(typing.NamedTuple):
    """An instance asked for a pause in a form that can't be used.

    ``seconds`` is what is done in its place; 0 stands for no pause.
    """

    value: str
    detail: str
    seconds: float = 0.0


HOP_NAMES = frozenset(
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
# The proxy answers "expect" itself and writes its own time left.
REQUEST_NAMES_DROPPED = HOP_NAMES | {b"expect", TIMEOUT}
# An instance must not speak for the proxy about the outcome.
ANSWER_NAMES_DROPPED = HOP_NAMES | {OUTCOME, REASON, SHED}


def forward(
    headers: asgi.Headers, dropped_names: frozenset[bytes]
) -> asgi.Headers:
    """Return the headers that go on to the next hop.

    A length beside a transfer encoding is dropped: two readers that
    disagree on which counts could be made to see different requests.
    """
    kept = []
    more_dropped: frozenset[bytes] = frozenset()
    for header in headers:
        name = header[0].lower()
        if name == CONNECTION:
            more_dropped |= _tokens(header[1]) - HOP_NAMES
        elif name == TRANSFER_ENCODING:
            more_dropped |= {CONTENT_LENGTH}
        if name not in dropped_names:
            kept.append(header)
    if not more_dropped:
        return kept
    return [each for each in kept if each[0].lower() not in more_dropped]


def _tokens(value: bytes) -> frozenset[bytes]:
    return frozenset(
        token.strip().lower() for token in value.split(b",") if token.strip()
    ) - {b"close"}


def find(headers: asgi.Headers, name: bytes) -> bytes | None:
    """Return the first value of a header given in lower case, or None."""
    for each_name, value in headers:
        if each_name.lower() == name:
            return value
    return None


def parse_timeout(
    value: bytes | None, ceiling: float, parts: float = 1.0
) -> float:
    """Return the caller's time left in seconds, at most the ceiling.

    The value counts ``parts`` of a second. One that is no number, negative
    or infinite counts as absent.
    """
    if value is None:
        return ceiling
    try:
        seconds = float(value) / parts
    except ValueError:
        return ceiling
    if not math.isfinite(seconds) or seconds < 0:
        return ceiling
    return min(seconds, ceiling)


def parse_pause(value: bytes) -> expression.Result[float, BadPause]:
    """Return the seconds after which a peer wants the next request."""
    shown = value[:LONGEST_SHOWN].decode("latin-1")
    try:
        seconds = float(value)
    except ValueError:
        return expression.Error(BadPause(shown, "no number of seconds"))
    if not math.isfinite(seconds) or seconds < 0:
        return expression.Error(BadPause(shown, "no span of time"))
    if seconds > LONGEST_PAUSE:
        return expression.Error(BadPause(shown, "too long", LONGEST_PAUSE))
    return expression.Ok(seconds)


def format_timeout(seconds: float) -> bytes:
    """Return the time left as a header value."""
    return f"{max(seconds, 0.0):.3f}".encode()


def parse_idle_time(headers: asgi.Headers) -> float | None:
    """Return how long a peer keeps an idle connection, in seconds."""
    value = find(headers, KEEP_ALIVE)
    if value is None:
        return None
    for part in value.lower().split(b","):
        seconds = part.strip().removeprefix(IDLE_TIME)
        if seconds.isdigit():
            return float(seconds)
    return None


def is_encoded(headers: asgi.Headers) -> bool:
    """Tell whether a body is in another encoding than its own bytes."""
    value = find(headers, CONTENT_ENCODING)
    return value is not None and value.strip().lower() not in (b"", IDENTITY)
