"""Types of the header forms that callers and instances may speak.

The requests are the same in each; what differs is how a time limit, an
identity or "not run" is written. An adapter gives the form of a platform.
"""

import typing

import expression

from primrosemill.decisions import holdings
from primrosemill.decisions import outcomes
from primrosemill.proxy import asgi
from primrosemill.proxy import headers
from primrosemill.proxy import replay

STATUS_BAD_REQUEST = 400
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
    outcomes.RefusalReason.DEADLINE: STATUS_GATEWAY_TIMEOUT,
    outcomes.RefusalReason.BODY_TOO_LARGE: STATUS_TOO_LARGE,
    outcomes.RefusalReason.HEAD_TOO_LARGE: STATUS_HEAD_TOO_LARGE,
}

# Above any file that an instance should hand out in one answer.
LONGEST_ANSWER = 2**40  # bytes
LONGEST_RELAY = 3_600.0  # seconds
ReadLoad = typing.Callable[[asgi.Headers], holdings.Load | None]
Pause = expression.Result[float, headers.BadPause]
ReadPause = typing.Callable[[int, asgi.Headers], Pause | None]
TellsLeaving = typing.Callable[[asgi.Headers], bool]
ReadNotRun = typing.Callable[[int, asgi.Headers], outcomes.NotRunReason | None]


def _no_load(lines: asgi.Headers) -> holdings.Load | None:
    return None


def tells_leaving(lines: asgi.Headers) -> bool:
    """Tell whether an answer says that its instance is leaving."""
    return headers.find(lines, headers.INSTANCE_STATE) == headers.DRAINING


def read_pause(status: int, lines: asgi.Headers) -> Pause | None:
    """Return the pause that an instance asks for; None where it does not."""
    if status != STATUS_UNAVAILABLE:
        return None
    value = headers.find(lines, headers.RETRY_AFTER)
    return None if value is None else headers.parse_pause(value)


def _shed_by_header(
    status: int, lines: asgi.Headers
) -> outcomes.NotRunReason | None:
    if status != STATUS_UNAVAILABLE:
        return None
    if headers.find(lines, headers.SHED) is None:
        return None
    return outcomes.NotRunReason.SHED


class Dialect(typing.NamedTuple):
    """One form of the headers; names are in lower case.

    ``request_id`` names the header that an answer must repeat, and
    ``expected_instance`` the one that names the instance a request is meant
    for; None where there is no such header. ``whole_seconds`` tells that
    callers read no fraction of a second before they return. With
    ``plain_answers`` an answer in another content encoding is not the
    instance's. With ``repeat_errors`` a request that may be repeated is
    sent on after an instance's own error. With ``hold_unsized`` answers of
    unknown length are read whole, too, before they go on. ``replay_size``
    are the bytes of a request's body that are kept for another attempt.
    ``longest_answer`` are the bytes that an answer's body may have, its
    framing included, and ``longest_relay`` the seconds for which it may go
    on to the caller; one without end is cut off there.
    """

    timeout: bytes = headers.TIMEOUT
    parse_timeout: typing.Callable[[bytes | None, float], float] = (
        headers.parse_timeout
    )
    format_timeout: typing.Callable[[float], bytes] = headers.format_timeout
    read_not_run: ReadNotRun = _shed_by_header
    read_load: ReadLoad = _no_load
    tells_leaving: TellsLeaving = tells_leaving
    read_pause: ReadPause = read_pause
    request_id: bytes | None = None
    expected_instance: bytes | None = None
    status_by_refusal: dict[outcomes.RefusalReason, int] = STATUS_BY_REFUSAL
    whole_seconds: bool = True
    plain_answers: bool = False
    repeat_errors: bool = False
    hold_unsized: bool = False
    replay_size: int = replay.BUFFER_SIZE
    longest_answer: int = LONGEST_ANSWER
    longest_relay: float = LONGEST_RELAY

    def find_request_id(self, lines: asgi.Headers) -> bytes | None:
        """Return the caller's id of a request, or None where it has none."""
        if self.request_id is None:
            return None
        return headers.find(lines, self.request_id)


OWN = Dialect()
