"""Catalogues the numbered events that a VM logs.

The numbers of one area share their first digit: 1 the VM, 2 the
configuration, 3 requests, 4 instances, 5 the fleet. A number is never given
to another event. docs/events.md is made from this catalogue.
"""

import enum
import typing

import eliot


class Level(enum.StrEnum):
    """How soon somebody should look."""

    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class Event(typing.NamedTuple):
    """One kind of event; ``fields`` are logged beside the number."""

    number: str
    name: str
    level: Level
    meaning: str
    fields: tuple[str, ...] = ()


VM_STARTED = Event(
    "PM1001",
    "vm_started",
    Level.INFO,
    "The VM listens to callers.",
    ("vm_id", "caller_port", "admin_port"),
)
VM_LEAVING = Event(
    "PM1002",
    "vm_leaving",
    Level.INFO,
    "The VM was asked to stop. It goes on serving callers that hold its "
    "address, and takes no new connections after that.",
    ("vm_id", "signal", "serve_seconds"),
)
VM_STOPPED = Event(
    "PM1003",
    "vm_stopped",
    Level.INFO,
    "The VM stops; no request was in flight.",
    ("vm_id",),
)
VM_STOP_CUT_SHORT = Event(
    "PM1004",
    "vm_stop_cut_short",
    Level.WARNING,
    "The VM stops with requests in flight: a second signal came or the time "
    "for a graceful stop was over.",
    ("vm_id", "requests_in_flight", "cause"),
)
CONFIGURATION_IN_FORCE = Event(
    "PM2001",
    "configuration_in_force",
    Level.INFO,
    "A new version of the configuration is in force on this VM.",
    ("version", "digest", "services"),
)
CONFIGURATION_REFUSED = Event(
    "PM2002",
    "configuration_refused",
    Level.ERROR,
    "A published version is invalid, older or in conflict with the one in "
    "force, which stays.",
    ("version", "faults"),
)
STORE_UNREACHABLE = Event(
    "PM2003",
    "store_unreachable",
    Level.WARNING,
    "The store does not answer; the configuration in force stays.",
    ("fault",),
)
STORE_REACHABLE = Event(
    "PM2004",
    "store_reachable",
    Level.INFO,
    "The store answers again.",
)
FEED_HISTORY_LOST = Event(
    "PM2005",
    "feed_history_lost",
    Level.INFO,
    "The feed has no changes since this point, as it dropped them or came "
    "back from an older copy; all is read again.",
    ("epoch", "revision"),
)
FEED_EPOCH_BEGAN = Event(
    "PM2011",
    "feed_epoch_began",
    Level.WARNING,
    "The feed came back from an older copy, and all that it holds was taken "
    "beside what is known; `source` is the VM that read it.",
    ("epoch", "revision", "source", "items"),
)
VALUE_REFUSED = Event(
    "PM2006",
    "value_refused",
    Level.WARNING,
    "A published value can't be used and counts as absent.",
    ("key", "revision", "detail"),
)
ROUTING_IN_FORCE = Event(
    "PM2007",
    "routing_in_force",
    Level.INFO,
    "A new version of the operator's routes is in force on this VM; "
    "`source` is the VM that read it.",
    ("version", "revision", "routes", "services", "source"),
)
ROUTING_OLDER = Event(
    "PM2008",
    "routing_older",
    Level.WARNING,
    "An older version of the routes was offered; the one in force stays.",
    ("version", "offered", "source"),
)
SETTINGS_RELOADED = Event(
    "PM2009",
    "settings_reloaded",
    Level.INFO,
    "The settings file was read again; `cause` is the signal or `changed`.",
    ("cause", "first_peers"),
)
SETTINGS_REFUSED = Event(
    "PM2010",
    "settings_refused",
    Level.ERROR,
    "The settings file has faults; those read before stay.",
    ("cause", "faults"),
)
REQUEST_REFUSED = Event(
    "PM3001",
    "request_refused",
    Level.WARNING,
    "Requests were refused for this reason; logged at its first occurrence "
    "and then at most once in ten seconds, with the number left out.",
    ("reason", "left_out"),
)
REQUEST_UNKNOWN = Event(
    "PM3002",
    "request_unknown",
    Level.WARNING,
    "Nobody can tell whether requests were run; logged as PM3001 is.",
    ("reason", "left_out"),
)
ANSWER_ABORTED = Event(
    "PM3003",
    "answer_aborted",
    Level.WARNING,
    "Answers broke after their start went on, and the callers' connections "
    "were reset; logged as PM3001 is.",
    ("reason", "left_out"),
)
REQUEST_FAILED = Event(
    "PM3004",
    "request_failed",
    Level.ERROR,
    "A fault of the proxy itself ended a request; its caller's connection "
    "was reset.",
    ("error",),
)
REQUEST_WAITS = Event(
    "PM3005",
    "request_waits",
    Level.INFO,
    "No instance has a slot to spare, so the request waits in line.",
    (
        *("request_id", "service", "route", "waiting", "busy"),
        *("estimated_wait", "seconds_left"),
    ),
)
REQUEST_SENT = Event(
    "PM3006",
    "request_sent",
    Level.INFO,
    "An instance was chosen and the attempt begins. `busy` are this VM's "
    "requests at the instance, `chance` is the believed probability of "
    "success, `waited` is the time since the arrival.",
    (
        *("request_id", "service", "route", "instance_id", "boot"),
        *("busy", "chance", "waited"),
    ),
)
ATTEMPT_ENDED = Event(
    "PM3007",
    "attempt_ended",
    Level.INFO,
    "An attempt is over; `load` is what the instance told of itself.",
    ("request_id", "instance_id", "outcome", "elapsed", "load"),
)
REQUEST_RETRIED = Event(
    "PM3008",
    "request_retried",
    Level.INFO,
    "An attempt brought no answer, and another one follows.",
    ("request_id", "reason"),
)
REQUEST_ENDED = Event(
    "PM3009",
    "request_ended",
    Level.INFO,
    "The request has its final answer, or its caller has left.",
    ("request_id", "ending", "detail", "elapsed"),
)
HEAD_REFUSED = Event(
    "PM3010",
    "head_refused",
    Level.WARNING,
    "A caller's bytes can't be read as a request, or its headers came too "
    "slowly or were too large; the connection closes.",
    ("status",),
)
DIRECTIONS_REFUSED = Event(
    "PM3011",
    "directions_refused",
    Level.WARNING,
    "A caller that asked where to connect was told nothing: this VM knows no "
    "entry point yet, or the path is another one.",
    ("path", "status", "members"),
)
REQUEST_HEDGED = Event(
    "PM3012",
    "request_hedged",
    Level.INFO,
    "The answer takes `after` seconds already, so the request is sent to a "
    "second instance, too.",
    ("request_id", "instance_id", "after"),
)
STANDING_CHANGED = Event(
    "PM4001",
    "standing_changed",
    Level.WARNING,
    "This VM uses an instance in another way; the state and the reason tell "
    "how and why.",
    ("service", "instance_id", "state", "score", "reason"),
)
INSTANCE_SEEN = Event(
    "PM4002",
    "instance_seen",
    Level.INFO,
    "The feed tells of an instance that is new or has changed.",
    (
        *("service", "instance_id", "boot", "address", "domain"),
        *("leaving", "cold_seconds", "revision", "source"),
    ),
)
INSTANCE_GONE = Event(
    "PM4003",
    "instance_gone",
    Level.INFO,
    "The feed has an instance no more. It stays in use for `retain_seconds`, "
    "as the feed was away and it may register again.",
    ("key", "revision", "retain_seconds", "source"),
)
TRUST_CHANGED = Event(
    "PM4004",
    "trust_changed",
    Level.INFO,
    "An instance failed a request of this VM, or its chance of success moved "
    "between the levels of trust. `before` and `chance` are the probabilities "
    "that a request succeeds; the request, if any, is the one whose outcome "
    "decided.",
    (
        *("service", "instance_id", "trust", "before", "chance"),
        *("cause", "request_id"),
    ),
)
INSTANCE_LEAVING = Event(
    "PM4005",
    "instance_leaving",
    Level.INFO,
    "An instance said that it is leaving, in an answer to this VM or to a "
    "peer; nothing new is sent to this start of it.",
    ("service", "instance_id", "boot", "source", "request_id"),
)
INSTANCE_PAUSED = Event(
    "PM4006",
    "instance_paused",
    Level.INFO,
    "An instance wants no request for some seconds; `fault` tells why its "
    "wish is not taken as it stands.",
    (
        *("service", "instance_id", "boot", "seconds", "request_id"),
        "fault",
    ),
)
MEMBER_CHANGED = Event(
    "PM5002",
    "member_changed",
    Level.INFO,
    "Another VM has a new state in this VM's view. `before` is empty for a VM "
    "that is new; another incarnation is another process.",
    ("vm_id", "domain", "incarnation", "before", "state"),
)
WATCH_CHANGED = Event(
    "PM5003",
    "watch_changed",
    Level.INFO,
    "This VM begins or ends to watch the feed for its failure domain, where "
    "`others` more do.",
    ("watching", "others"),
)
NEWS_DROPPED = Event(
    "PM5004",
    "news_dropped",
    Level.WARNING,
    "Too many messages on instances wait to be sent, so other VMs are not "
    "told of this one and find out for themselves.",
    ("message",),
)

CATALOGUE = (
    VM_STARTED,
    VM_LEAVING,
    VM_STOPPED,
    VM_STOP_CUT_SHORT,
    CONFIGURATION_IN_FORCE,
    CONFIGURATION_REFUSED,
    STORE_UNREACHABLE,
    STORE_REACHABLE,
    FEED_HISTORY_LOST,
    FEED_EPOCH_BEGAN,
    VALUE_REFUSED,
    ROUTING_IN_FORCE,
    ROUTING_OLDER,
    SETTINGS_RELOADED,
    SETTINGS_REFUSED,
    REQUEST_REFUSED,
    REQUEST_UNKNOWN,
    ANSWER_ABORTED,
    REQUEST_FAILED,
    REQUEST_WAITS,
    REQUEST_SENT,
    ATTEMPT_ENDED,
    REQUEST_RETRIED,
    REQUEST_ENDED,
    HEAD_REFUSED,
    DIRECTIONS_REFUSED,
    REQUEST_HEDGED,
    STANDING_CHANGED,
    INSTANCE_SEEN,
    INSTANCE_GONE,
    TRUST_CHANGED,
    INSTANCE_LEAVING,
    INSTANCE_PAUSED,
    NEWS_DROPPED,
    MEMBER_CHANGED,
    WATCH_CHANGED,
)


class WrongFieldsError(Exception):
    """An event was emitted with other fields than its catalogue entry."""

    def __init__(self, event: Event, given: frozenset[str]) -> None:
        super().__init__(event.number, sorted(given))


def emit(event: Event, **fields: typing.Any) -> None:
    """Log one event; raises WrongFieldsError."""
    if fields.keys() != frozenset(event.fields):
        raise WrongFieldsError(event, frozenset(fields))
    eliot.log_message(
        message_type=event.number,
        event=event.name,
        level=event.level.value,
        **fields,
    )
