"""Defines the proxy's dialect for the platform: its headers and limits."""

from primrosemill.decisions import instance_usage
from primrosemill.decisions import outcomes
from primrosemill.platform import names
from primrosemill.proxy import asgi
from primrosemill.proxy import dialects
from primrosemill.proxy import headers

STATUS_OTHER_INSTANCE = 421
# The users' uploads have 60 KB on average and 360 KB at most. Few are in
# flight at one VM, so each can be buffered whole for retries.
REPLAY_BUFFER_SIZE = 524_288  # bytes
# The users' answers are a few kilobytes long.
MAX_ANSWER_SIZE = 4_194_304  # bytes
# The users' callers wait no longer for a whole answer.
MAX_RELAY_TIME = 10.0  # seconds
# An instance aborts an answer that is not read for some seconds.
MAX_WRITE_STALL = 3.0  # seconds
MIN_TIME_LEFT = 1  # milliseconds; 0 could be taken as no limit
# A refusal guarantees that the request has not run. On this platform only some
# statuses do so: a deadline that passed in the queue is reported with 503.
STATUS_BY_REFUSAL = dialects.STATUS_BY_REFUSAL | {
    outcomes.RefusalReason.DEADLINE: dialects.STATUS_UNAVAILABLE,
}


def parse_time_left(value: bytes | None, ceiling: float) -> float:
    """Return the seconds that the caller still waits, at most ``ceiling``."""
    return headers.parse_timeout(value, ceiling, names.MILLISECONDS_PER_SECOND)


def format_time_left(seconds: float) -> bytes:
    """Return the remaining seconds as a header value in milliseconds."""
    milliseconds = max(
        MIN_TIME_LEFT, int(seconds * names.MILLISECONDS_PER_SECOND)
    )
    return str(milliseconds).encode()


def read_not_run(
    status: int, answer_headers: asgi.Headers
) -> outcomes.NotRunReason | None:
    """Return why an instance did not run a request, or None if it may have."""
    if status == STATUS_OTHER_INSTANCE:
        return outcomes.NotRunReason.OTHER_INSTANCE
    if headers.find(answer_headers, names.NOT_RUN) is not None:
        return outcomes.NotRunReason.SHED
    return None


def read_load(answer_headers: asgi.Headers) -> instance_usage.Load | None:
    """Return the load that an instance reports; None if absent or invalid."""
    value = headers.find(answer_headers, names.LOAD)
    if value is None:
        return None
    parts = value.split(b",")
    if len(parts) != 3 or not all(part.strip().isdigit() for part in parts):
        return None
    return instance_usage.Load(*(int(part) for part in parts))


def read_limit(answer_headers: asgi.Headers) -> dialects.Limit | None:
    """Return the requests per second that an instance accepts, or None."""
    values = headers.find_all(answer_headers, names.LIMIT)
    return headers.parse_limit(values) if values else None


def is_leaving(answer_headers: asgi.Headers) -> bool:
    """Tell whether an answer announces that its instance is leaving."""
    return (
        headers.find(answer_headers, names.LEAVING_HEADER)
        == names.LEAVING_VALUE
    )


DIALECT = dialects.Dialect(
    timeout=names.TIME_LEFT,
    parse_timeout=parse_time_left,
    format_timeout=format_time_left,
    read_not_run=read_not_run,
    read_load=read_load,
    is_leaving=is_leaving,
    read_limit=read_limit,
    request_id=names.REQUEST_ID,
    expected_instance=names.EXPECTED_INSTANCE,
    customer_name=names.CUSTOMER_NAME,
    key_scheme=names.KEY_SCHEME,
    status_by_refusal=STATUS_BY_REFUSAL,
    integer_retry_after=False,
    identity_encoding_only=True,
    retry_server_errors=True,
    buffer_unsized=True,
    buffer_uploads=True,
    replay_buffer_size=REPLAY_BUFFER_SIZE,
    max_answer_size=MAX_ANSWER_SIZE,
    max_relay_time=MAX_RELAY_TIME,
    max_write_stall=MAX_WRITE_STALL,
)
