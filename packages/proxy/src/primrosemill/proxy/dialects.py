"""Defines dialects: the header formats of callers and instances.

Requests are the same in each dialect; the formats of time limits, identities
and "not run" differ. An adapter provides the dialect of a platform.
"""

import typing

import expression

from primrosemill.decisions import instance_usage
from primrosemill.decisions import outcomes
from primrosemill.proxy import asgi
from primrosemill.proxy import headers
from primrosemill.proxy import replay_body

STATUS_BAD_REQUEST = 400
STATUS_UNAUTHORIZED = 401
STATUS_NO_ROUTE = 404
STATUS_TOO_LARGE = 413
STATUS_TOO_MANY_REQUESTS = 429
STATUS_HEAD_TOO_LARGE = 431
STATUS_UNAVAILABLE = 503
STATUS_GATEWAY_TIMEOUT = 504
STATUS_BY_REFUSAL = {
    outcomes.RefusalReason.BAD_PATH: STATUS_BAD_REQUEST,
    outcomes.RefusalReason.NO_ROUTE: STATUS_NO_ROUTE,
    outcomes.RefusalReason.CALLER_LIMIT: STATUS_TOO_MANY_REQUESTS,
    outcomes.RefusalReason.CUSTOMER_CAP: STATUS_TOO_MANY_REQUESTS,
    outcomes.RefusalReason.UNKNOWN_KEY: STATUS_UNAUTHORIZED,
    outcomes.RefusalReason.DEADLINE: STATUS_GATEWAY_TIMEOUT,
    outcomes.RefusalReason.BODY_TOO_LARGE: STATUS_TOO_LARGE,
    outcomes.RefusalReason.HEAD_TOO_LARGE: STATUS_HEAD_TOO_LARGE,
}

# Above any file that an instance should send in one answer.
MAX_ANSWER_SIZE = 2**40  # bytes
MAX_RELAY_TIME = 3_600.0  # seconds
MAX_WRITE_STALL = 60.0  # seconds
ReadLoad = typing.Callable[[asgi.Headers], instance_usage.Load | None]
Pause = expression.Result[float, headers.InvalidPause]
ReadPause = typing.Callable[[int, asgi.Headers], Pause | None]
Limit = expression.Result[float, headers.InvalidLimit]
ReadLimit = typing.Callable[[asgi.Headers], Limit | None]
IsLeaving = typing.Callable[[asgi.Headers], bool]
ReadNotRun = typing.Callable[[int, asgi.Headers], outcomes.NotRunReason | None]


def _no_load(lines: asgi.Headers) -> instance_usage.Load | None:
    return None


def _no_limit(lines: asgi.Headers) -> Limit | None:
    return None


def is_leaving(lines: asgi.Headers) -> bool:
    """Return whether an answer announces that its instance is leaving."""
    return headers.find(lines, headers.INSTANCE_STATE) == headers.DRAINING


def read_pause(status: int, lines: asgi.Headers) -> Pause | None:
    """Return the pause that an instance asks for, or None."""
    if status != STATUS_UNAVAILABLE:
        return None
    value = headers.find(lines, headers.RETRY_AFTER)
    return None if value is None else headers.parse_pause(value)


def _read_shed_header(
    status: int, lines: asgi.Headers
) -> outcomes.NotRunReason | None:
    if status != STATUS_UNAVAILABLE:
        return None
    if headers.find(lines, headers.SHED) is None:
        return None
    return outcomes.NotRunReason.SHED


class Dialect(typing.NamedTuple):
    """The header format of a platform; header names are in lower case.

    ``request_id`` names the header that an answer must repeat, and
    ``expected_instance`` the one that names the instance a request is meant
    for; None if there is no such header. ``customer_name`` names the header
    that tells an instance the customer of a request; None if customers have
    no keys. ``key_scheme`` is the authorization scheme of keys, in lower
    case. ``integer_retry_after`` means that callers only understand a
    retry-after in whole seconds. With
    ``identity_encoding_only`` an answer in another content encoding is taken
    as not sent by the instance. With ``retry_server_errors`` an idempotent
    request is retried after an instance's own error answer. With
    ``buffer_unsized`` answers of unknown length are also buffered before
    they are relayed. ``replay_buffer_size`` is the number of bytes of a
    request body that are kept for retries. ``max_answer_size`` limits an
    answer's body in bytes, framing included, and ``max_relay_time`` the
    seconds from its start until the caller has read it, which may be past the
    request's time limit. An answer is also cut off if a part of it is not
    read for ``max_write_stall`` seconds, so that its instance is free before
    it gives up. With ``buffer_uploads``
    the part of a body that is kept for retries is read before a slot is
    taken, so that a caller that sends slowly holds none.
    """

    timeout: bytes = headers.TIMEOUT
    parse_timeout: typing.Callable[[bytes | None, float], float] = (
        headers.parse_timeout
    )
    format_timeout: typing.Callable[[float], bytes] = headers.format_timeout
    read_not_run: ReadNotRun = _read_shed_header
    read_load: ReadLoad = _no_load
    is_leaving: IsLeaving = is_leaving
    read_pause: ReadPause = read_pause
    read_limit: ReadLimit = _no_limit
    request_id: bytes | None = None
    expected_instance: bytes | None = None
    customer_name: bytes | None = None
    key_scheme: bytes = b"bearer"
    status_by_refusal: dict[outcomes.RefusalReason, int] = STATUS_BY_REFUSAL
    integer_retry_after: bool = True
    identity_encoding_only: bool = False
    retry_server_errors: bool = False
    buffer_unsized: bool = False
    replay_buffer_size: int = replay_body.BUFFER_SIZE
    max_answer_size: int = MAX_ANSWER_SIZE
    max_relay_time: float = MAX_RELAY_TIME
    max_write_stall: float = MAX_WRITE_STALL
    buffer_uploads: bool = False

    def find_request_id(self, lines: asgi.Headers) -> bytes | None:
        """Return the caller's id of a request, or None if it has none."""
        if self.request_id is None:
            return None
        return headers.find(lines, self.request_id)


DEFAULT = Dialect()
