"""Types for the outcomes of attempts and requests.

An attempt sends a request to one instance. It was *not run* only if no byte
of it was written or if the instance reported that it shed the request. Once
a byte was written, an attempt without a complete answer is *unknown*.
"""

import enum
import typing

FIRST_SERVER_ERROR = 500  # lowest HTTP status that counts as a failure


class NotRunReason(enum.StrEnum):
    """Why an attempt was certainly not run by the instance."""

    CONNECT_REFUSED = "connect_refused"
    CONNECT_TIMEOUT = "connect_timeout"
    CONNECT_FAILED = "connect_failed"
    CLOSED_UNSENT = "closed_unsent"
    SHED = "shed"
    OTHER_INSTANCE = "other_instance"
    CANCELLED_UNSENT = "cancelled_unsent"
    INSTANCE_LEFT = "instance_left"
    HELPER_REFUSED = "helper_refused"
    KEY_REFUSED = "key_refused"


class UnknownReason(enum.StrEnum):
    """Why it is unknown whether the instance ran an attempt."""

    CLOSED = "closed"
    TIMEOUT = "timeout"
    TRUNCATED = "truncated"
    CANCELLED = "cancelled"
    PROTOCOL = "protocol"
    OVERLONG = "overlong"
    FOREIGN_ANSWER = "foreign_answer"
    ERROR_ANSWER = "error_answer"
    BODY_TOO_LARGE = "body_too_large"


class RefusalReason(enum.StrEnum):
    """Why a request was refused or given up without an answer."""

    NO_ROUTE = "no_route"
    BAD_PATH = "bad_path"
    NO_CONFIGURATION = "no_configuration"
    CALLER_LIMIT = "caller_limit"
    QUEUE_FULL = "queue_full"
    NO_INSTANCE = "no_instance"
    INSTANCES_PAUSED = "instances_paused"
    INSTANCES_LIMITED = "instances_limited"
    QUARANTINED = "quarantined"
    STOPPING = "stopping"
    DEADLINE = "deadline"
    RETRIES_SPENT = "retries_spent"
    BODY_SENT = "body_sent"
    BODY_TOO_LARGE = "body_too_large"
    HEAD_TOO_LARGE = "head_too_large"
    NO_PATH = "no_path"
    BAD_TICKET = "bad_ticket"
    UNSUPPORTED_ROUTE = "unsupported_route"
    UNKNOWN_KEY = "unknown_key"
    KEY_WITHDRAWN = "key_withdrawn"
    CONFIGURATION_STALE = "configuration_stale"
    CUSTOMER_CAP = "customer_cap"
    CAP_UNAVAILABLE = "cap_unavailable"
    MEMORY = "memory"


class NotRun(typing.NamedTuple):
    """The instance did not run the attempt."""

    reason: NotRunReason


class Unknown(typing.NamedTuple):
    """The instance may or may not have run the attempt."""

    reason: UnknownReason


class Answered(typing.NamedTuple):
    """The instance answered; ``elapsed`` is in seconds."""

    status: int
    elapsed: float


Outcome = NotRun | Unknown | Answered
