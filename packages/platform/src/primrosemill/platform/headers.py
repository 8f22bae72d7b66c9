"""Reads and writes the platform's headers as the proxy's dialect."""

from primrosemill.decisions import instance_usage
from primrosemill.decisions import outcomes
from primrosemill.platform import names
from primrosemill.proxy import asgi
from primrosemill.proxy import dialects
from primrosemill.proxy import headers

STATUS_OTHER_INSTANCE = 421
# Uploads of the users have 60 KB on average and 360 KB at most; few are in
# flight at one VM, so whole ones can be kept.
REPLAY_SIZE = 524_288  # bytes
# The users' answers have some kilobytes.
LONGEST_ANSWER = 4_194_304  # bytes
# The longest that a caller of the users waits for a whole answer.
LONGEST_RELAY = 10.0  # seconds
LEAST_TIME_LEFT = 1  # milliseconds; zero could be read as no limit
# A refusal is a promise that the request has not run, and only some statuses
# make it: a deadline that passed in the queue is told by one of them.
STATUS_BY_REFUSAL = dialects.STATUS_BY_REFUSAL | {
    outcomes.RefusalReason.DEADLINE: dialects.STATUS_UNAVAILABLE,
}


def parse_time_left(value: bytes | None, ceiling: float) -> float:
    """Return the caller's time left in seconds, at most the ceiling."""
    return headers.parse_timeout(value, ceiling, names.MILLISECONDS)


def format_time_left(seconds: float) -> bytes:
    """Return the time left as a header value."""
    milliseconds = max(LEAST_TIME_LEFT, int(seconds * names.MILLISECONDS))
    return str(milliseconds).encode()


def read_not_run(
    status: int, lines: asgi.Headers
) -> outcomes.NotRunReason | None:
    """Return why an instance did not run a request, or None if it may have."""
    if status == STATUS_OTHER_INSTANCE:
        return outcomes.NotRunReason.OTHER_INSTANCE
    if headers.find(lines, names.NOT_RUN) is not None:
        return outcomes.NotRunReason.SHED
    return None


def read_load(lines: asgi.Headers) -> instance_usage.Load | None:
    """Return the load that an instance told; None if none or damaged."""
    value = headers.find(lines, names.LOAD)
    if value is None:
        return None
    parts = value.split(b",")
    if len(parts) != 3 or not all(part.strip().isdigit() for part in parts):
        return None
    return instance_usage.Load(*(int(part) for part in parts))


def tells_leaving(lines: asgi.Headers) -> bool:
    """Tell whether an answer says that its instance is leaving."""
    return headers.find(lines, names.LEAVING_SIGN) == names.LEAVING_VALUE


DIALECT = dialects.Dialect(
    timeout=names.TIME_LEFT,
    parse_timeout=parse_time_left,
    format_timeout=format_time_left,
    read_not_run=read_not_run,
    read_load=read_load,
    is_leaving=tells_leaving,
    request_id=names.REQUEST_ID,
    expected_instance=names.EXPECTED_INSTANCE,
    status_by_refusal=STATUS_BY_REFUSAL,
    integer_retry_after=False,
    identity_encoding_only=True,
    retry_server_errors=True,
    buffer_unsized=True,
    replay_buffer_size=REPLAY_SIZE,
    max_answer_size=LONGEST_ANSWER,
    max_relay_time=LONGEST_RELAY,
)
