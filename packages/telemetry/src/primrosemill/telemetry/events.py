"""Defines the catalogue of numbered events that a VM logs.

The first digit of a number denotes its area: 1 the VM, 2 the configuration,
3 requests, 4 instances, 5 the fleet. A number is never reused for another
event. docs/events.md is generated from this catalogue.
"""

import enum
import typing

import eliot


class Level(enum.StrEnum):
    """How urgently an event needs attention."""

    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class Event(typing.NamedTuple):
    """A type of event; ``fields`` are logged with its number."""

    number: str
    name: str
    level: Level
    meaning: str
    fields: tuple[str, ...] = ()


VM_STARTED = Event(
    "PM1001",
    "vm_started",
    Level.INFO,
    "The VM accepts callers' connections.",
    ("vm_id", "caller_port", "admin_port"),
)
VM_LEAVING = Event(
    "PM1002",
    "vm_leaving",
    Level.INFO,
    "The VM was asked to stop. For `serve_seconds` it still serves callers "
    "that have its address; then it accepts no new connections.",
    ("vm_id", "signal", "serve_seconds"),
)
VM_STOPPED = Event(
    "PM1003",
    "vm_stopped",
    Level.INFO,
    "The VM stops with no requests in flight.",
    ("vm_id",),
)
VM_DETACHED = Event(
    "PM1005",
    "vm_detached",
    Level.WARNING,
    "The VM reaches no instance while others do, so callers are sent to "
    "others; or, with `detached` false, it takes callers again.",
    ("vm_id", "detached"),
)
VM_STOP_CUT_SHORT = Event(
    "PM1004",
    "vm_stop_cut_short",
    Level.WARNING,
    "The VM stops with requests in flight, after a second signal or at "
    "the end of the time for a graceful stop.",
    ("vm_id", "requests_in_flight", "cause"),
)
REQUEST_CUT_OFF = Event(
    "PM1007",
    "request_cut_off",
    Level.WARNING,
    "The VM stops and ends a request without its final answer. `phase` is how "
    "far it had come: `admission`, `waiting` for a turn, its body or an "
    "instance, `passed_on` to an instance or a VM, or `answering`; `age` and "
    "`seconds_left` of its time limit in seconds.",
    ("request_id", "phase", "age", "seconds_left"),
)
CONNECTIONS_GIVEN_UP = Event(
    "PM1006",
    "connections_given_up",
    Level.WARNING,
    "Connections were closed or refused to stay within the VM's memory and "
    "descriptors. Logged at most once a second, with the last `cause` and the "
    "`count` since the last time; sizes in bytes.",
    ("cause", "count", "connections", "held", "limit", "resident"),
)
VM_PAUSED = Event(
    "PM1008",
    "vm_paused",
    Level.WARNING,
    "The process stood still for `seconds`, or was too busy to read what had "
    "arrived. Callers, other VMs and the store are not judged by that time.",
    ("seconds",),
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
    "A published version is invalid, older than the one in force, or in "
    "conflict with it. The one in force stays.",
    ("version", "faults"),
)
STORE_UNREACHABLE = Event(
    "PM2003",
    "store_unreachable",
    Level.WARNING,
    "The store cannot be read; the configuration in force stays.",
    ("fault",),
)
STORE_REACHABLE = Event(
    "PM2004",
    "store_reachable",
    Level.INFO,
    "The store can be read again.",
)
FEED_HISTORY_LOST = Event(
    "PM2005",
    "feed_history_lost",
    Level.INFO,
    "The feed cannot list the changes after this position, as it has dropped "
    "them or was restored from an older copy; it is read again in full.",
    ("epoch", "revision"),
)
FEED_EPOCH_BEGAN = Event(
    "PM2011",
    "feed_epoch_began",
    Level.WARNING,
    "The feed was restored from an older copy. Its items were merged with "
    "those already known; `source` is the VM that read it.",
    ("epoch", "revision", "source", "items"),
)
VALUE_REFUSED = Event(
    "PM2006",
    "value_refused",
    Level.WARNING,
    "A published value is invalid and treated as absent.",
    ("key", "revision", "detail"),
)
ROUTING_IN_FORCE = Event(
    "PM2007",
    "routing_in_force",
    Level.INFO,
    "A new version of the operator's routes is in force on this VM; "
    "`source` is the VM that read it. Before that, this VM knew what was "
    "published as of `age` seconds ago; null if it knew nothing.",
    ("version", "revision", "routes", "services", "source", "age"),
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
    "The settings file has faults; the previous settings stay in force.",
    ("cause", "faults"),
)
REQUEST_REFUSED = Event(
    "PM3001",
    "request_refused",
    Level.WARNING,
    "Requests were refused for this reason. Logged at the first occurrence "
    "and then at most once every ten seconds; `left_out` is the number of "
    "occurrences that were not logged.",
    ("reason", "left_out"),
)
REQUEST_UNKNOWN = Event(
    "PM3002",
    "request_unknown",
    Level.WARNING,
    "It is unknown whether requests were run. Logged as often as PM3001.",
    ("reason", "left_out"),
)
ANSWER_ABORTED = Event(
    "PM3003",
    "answer_aborted",
    Level.WARNING,
    "Answers failed after their start had been relayed, and the callers' "
    "connections were reset. Logged as often as PM3001.",
    ("reason", "left_out"),
)
REQUEST_FAILED = Event(
    "PM3004",
    "request_failed",
    Level.ERROR,
    "An internal error of the proxy ended a request, and the caller's "
    "connection was reset.",
    ("error",),
)
REQUEST_WAITS = Event(
    "PM3005",
    "request_waits",
    Level.INFO,
    "No instance has a free slot, so the request waits in the queue.",
    (
        *("request_id", "service", "route", "waiting", "busy"),
        *("estimated_wait", "seconds_left"),
    ),
)
REQUEST_SENT = Event(
    "PM3006",
    "request_sent",
    Level.INFO,
    "An instance was chosen and the attempt begins. `busy` is the number of "
    "this VM's requests in flight at the instance, `chance` the estimated "
    "probability of success, and `waited` the time since the arrival.",
    (
        *("request_id", "service", "route", "instance_id", "boot"),
        *("busy", "chance", "waited"),
    ),
)
ATTEMPT_ENDED = Event(
    "PM3007",
    "attempt_ended",
    Level.INFO,
    "An attempt has ended; `load` is the load that the instance reported.",
    ("request_id", "instance_id", "outcome", "elapsed", "load"),
)
REQUEST_RETRIED = Event(
    "PM3008",
    "request_retried",
    Level.INFO,
    "An attempt failed, and another one follows.",
    ("request_id", "reason"),
)
REQUEST_ENDED = Event(
    "PM3009",
    "request_ended",
    Level.INFO,
    "The request has its final answer, or its caller has disconnected.",
    ("request_id", "ending", "detail", "elapsed"),
)
HEAD_REFUSED = Event(
    "PM3010",
    "head_refused",
    Level.WARNING,
    "A caller's bytes are not a valid request, or its headers were too slow "
    "or too large; the connection is closed. `head` tells whether it was "
    "complete or partial as the answer was written.",
    ("status", "head"),
)
DIRECTIONS_REFUSED = Event(
    "PM3011",
    "directions_refused",
    Level.WARNING,
    "A caller asked which VMs to connect to and got no addresses: this VM "
    "knows no entry points yet, or the path is unknown.",
    ("path", "status", "members"),
)
REQUEST_HEDGED = Event(
    "PM3012",
    "request_hedged",
    Level.INFO,
    "There was no answer after `after` seconds, so the request was also sent "
    "to a second instance.",
    ("request_id", "instance_id", "after"),
)
ATTEMPT_UNANSWERED = Event(
    "PM3013",
    "attempt_unanswered",
    Level.INFO,
    "An attempt ended without an answer, in a way in which the crash of its "
    "instance may be the cause. `fingerprint` is the same whenever a caller "
    "sends the request again, empty if too little of it was read. `sign` "
    "tells what the instance did then.",
    (
        *("request_id", "fingerprint", "service", "instance_id", "boot"),
        "sign",
    ),
)
CRASH_ATTRIBUTED = Event(
    "PM3014",
    "crash_attributed",
    Level.WARNING,
    "An instance crashed while it ran a request, as this VM saw or a peer "
    "reported, `age` seconds ago. `crashes` counts those of the request, and "
    "`probability` is that it is their cause.",
    ("fingerprint", "crashes", "probability", "source", "age", "request_id"),
)
SUSPICION_ENDED = Event(
    "PM3015",
    "suspicion_ended",
    Level.INFO,
    "The crashes under a request count no longer: it ran to its end at this "
    "VM or a peer, an operator released it, or it did not come again.",
    ("fingerprint", "source", "request_id"),
)
REQUEST_HELD = Event(
    "PM3016",
    "request_held",
    Level.WARNING,
    "A request is sent to no instance, as it probably crashes each one that "
    "runs it. `seen_fraction` is the part of the fleet that this VM sees.",
    (
        *("request_id", "fingerprint", "crashes", "probability"),
        *("retry_after", "seen_fraction"),
    ),
)
SUSPECT_ADMITTED = Event(
    "PM3017",
    "suspect_admitted",
    Level.INFO,
    "A request under suspicion may be sent, without hedges and repeats; "
    "`trials` counts those of a held one.",
    ("request_id", "fingerprint", "crashes", "probability", "trials"),
)
REQUEST_FORWARDED = Event(
    "PM3018",
    "request_forwarded",
    Level.INFO,
    "This VM reaches no instance and passes the request on to the VM `vm_id`. "
    "`attempted` instances may have run it before.",
    ("request_id", "service", "vm_id", "domain", "attempted"),
)
FORWARDING_ENDED = Event(
    "PM3019",
    "forwarding_ended",
    Level.INFO,
    "What became of a request that was passed on to the VM `vm_id`.",
    ("request_id", "vm_id", "outcome", "elapsed"),
)
FORWARDING_ACCEPTED = Event(
    "PM3020",
    "forwarding_accepted",
    Level.INFO,
    "This VM serves a request for the VM `vm_id`, which reaches no instance.",
    ("request_id", "vm_id", "service", "attempted"),
)
TICKET_REFUSED = Event(
    "PM3021",
    "ticket_refused",
    Level.WARNING,
    "A request claims to be passed on by another VM, and that is not so, or "
    "not allowed. It is refused.",
    ("request_id", "fault"),
)
ANSWER_CUT_OFF = Event(
    "PM3024",
    "answer_cut_off",
    Level.INFO,
    "The time of a request was over within its answer, so its caller's "
    "connection was reset. `stage` tells what the caller waited for: "
    "`answer`, the instance's next bytes, or `reading`, its own reading of "
    "what this VM held. `late` is the time past the request's time limit, in "
    "seconds.",
    ("request_id", "stage", "relayed", "elapsed", "late"),
)
STANDING_CHANGED = Event(
    "PM4001",
    "standing_changed",
    Level.WARNING,
    "This VM now uses an instance differently; `state` tells how, and "
    "`reason` why.",
    ("service", "instance_id", "state", "score", "reason"),
)
INSTANCE_SEEN = Event(
    "PM4002",
    "instance_seen",
    Level.INFO,
    "The feed contains an instance that is new or has changed.",
    (
        *("service", "instance_id", "boot", "address", "domain"),
        *("leaving", "cold_seconds", "revision", "source"),
    ),
)
INSTANCE_GONE = Event(
    "PM4003",
    "instance_gone",
    Level.INFO,
    "The feed no longer contains an instance. It stays in use for "
    "`retain_seconds`, as the feed was away and it may register again.",
    ("key", "revision", "retain_seconds", "source"),
)
TRUST_CHANGED = Event(
    "PM4004",
    "trust_changed",
    Level.INFO,
    "An instance failed a request of this VM, or its estimated probability "
    "of success crossed a threshold between two levels of trust. `before` and "
    "`chance` are the previous and the new probability, and `request_id` is "
    "the request, if any, whose outcome caused the change.",
    (
        *("service", "instance_id", "trust", "before", "chance"),
        *("cause", "request_id"),
    ),
)
INSTANCE_LEAVING = Event(
    "PM4005",
    "instance_leaving",
    Level.INFO,
    "An instance announced that it is leaving, in an answer to this VM or to "
    "a peer. It gets no new requests until it has been restarted.",
    ("service", "instance_id", "boot", "source", "request_id"),
)
INSTANCE_PAUSED = Event(
    "PM4006",
    "instance_paused",
    Level.INFO,
    "An instance asked for a pause without requests; `fault` tells why the "
    "pause that it asked for was not applied as given.",
    (
        *("service", "instance_id", "boot", "seconds", "request_id"),
        "fault",
    ),
)
INSTANCE_LIMIT = Event(
    "PM4007",
    "instance_limit",
    Level.INFO,
    "An instance named, changed or dropped the limit of its requests per "
    "second, in an answer to this VM or to a peer, `age` seconds ago. `limit` "
    "and `previous` are null for no limit; `fault` tells why a named limit "
    "was ignored.",
    (
        *("service", "instance_id", "boot", "limit", "previous", "age"),
        *("source", "request_id", "fault"),
    ),
)
LIMIT_SHARE = Event(
    "PM4008",
    "limit_share",
    Level.INFO,
    "This VM may now send an instance `own_rate` requests per second of the "
    "`limit` that it named; null for any number. `present` and `lost` count "
    "the VMs that are there and those that vanished.",
    (
        *("service", "instance_id", "boot", "limit", "own_rate"),
        *("present", "lost"),
    ),
)
REFUSAL_WITHHELD = Event(
    "PM3023",
    "refusal_withheld",
    Level.ERROR,
    "A request was to be refused for `reason`, but it may have run, so its "
    "outcome is reported as unknown. This is a fault of the proxy; `state` is "
    "that of the request's permit.",
    ("request_id", "reason", "state"),
)
CAP_REFUSED = Event(
    "PM3022",
    "cap_refused",
    Level.INFO,
    "A request of a customer is refused, as the customer has used its cap of "
    "`rate` requests per second (`customer_cap`) or the VM that holds the cap "
    "does not answer (`cap_unavailable`). Logged for a customer at most every "
    "10 s.",
    ("customer", "reason", "rate", "retry_after", "holder"),
)
CAP_VIEW_CHANGED = Event(
    "PM5005",
    "cap_view_changed",
    Level.INFO,
    "This VM's view of who keeps to customers' caps has changed. `holders` "
    "VMs may hold caps, `capable` of the `fleet` keep to them, and `fraction` "
    "is the part of a cap that they grant.",
    ("holders", "capable", "fleet", "fraction"),
)
CAP_RESTARTED = Event(
    "PM5006",
    "cap_restarted",
    Level.WARNING,
    "This process stood still for over a second. It drops the caps that it "
    "held, as others may hold them now.",
    (),
)
CAP_FLEET_STARTED = Event(
    "PM5007",
    "cap_fleet_started",
    Level.INFO,
    "All `fleet` VMs that this one knows have started lately, so it grants "
    "the caps that it holds at once.",
    ("fleet",),
)
MEMBER_CHANGED = Event(
    "PM5002",
    "member_changed",
    Level.INFO,
    "This VM's view of another VM has changed. `before` is empty for a new "
    "VM; a restarted process has another incarnation.",
    ("vm_id", "domain", "incarnation", "before", "state"),
)
WATCH_CHANGED = Event(
    "PM5003",
    "watch_changed",
    Level.INFO,
    "This VM starts or stops watching the feed for its failure domain, where "
    "`others` other VMs watch it, too.",
    ("watching", "others"),
)
PATHS_CHANGED = Event(
    "PM4010",
    "paths_changed",
    Level.WARNING,
    "What this VM reaches of the instances of a service: all is `open`, new "
    "connections fail (`no_new_connections`), or none answers (`cut`).",
    ("service", "state", "previous"),
)
SERVICE_DEGRADED = Event(
    "PM4009",
    "service_degraded",
    Level.INFO,
    "Whether more requests for a service are lost than by sporadic errors has "
    "changed. While they are, instances that stand idle get requests; while "
    "that is only `suspected`, they get requests that may be repeated. "
    "`lost_rate` and `total_rate` are this VM's requests per second, those of "
    "the fleet are estimated from its reports and those of `reporters` other "
    "VMs.",
    (
        "service",
        "degraded",
        "suspected",
        "lost_rate",
        "total_rate",
        "fleet_lost_rate",
        "fleet_total_rate",
        "reporters",
    ),
)
SERVICE_SHORT = Event(
    "PM4011",
    "service_short",
    Level.INFO,
    "Whether most requests of this VM for a service find no free slot in its "
    "own failure domain has changed. While one VM is short, the entry points "
    "tell each other what they hold, and cross only to domains with room.",
    ("service", "short"),
)
NEWS_DROPPED = Event(
    "PM5004",
    "news_dropped",
    Level.WARNING,
    "Too many messages about instances are waiting to be sent, so this one "
    "is dropped, and other VMs must observe the change themselves.",
    ("message",),
)
FEED_VOUCHER_CHANGED = Event(
    "PM2013",
    "feed_voucher_changed",
    Level.INFO,
    "With `found` false, no VM that reads the feed vouches any more that "
    "this VM learns of changes in time, so it reads the feed itself soon; "
    "else one does, or the feed was read here. Changes of the last `age` "
    "seconds may be unknown here; null if nothing is known.",
    ("found", "age"),
)
KEYS_STALE = Event(
    "PM2012",
    "keys_stale",
    Level.WARNING,
    "Requests with keys are refused because this VM cannot tell whether keys "
    "have been withdrawn for `age` seconds, null since its start; or, with "
    "`stale` false, they are served again.",
    ("stale", "age"),
)

CATALOGUE = (
    VM_STARTED,
    VM_LEAVING,
    VM_STOPPED,
    VM_STOP_CUT_SHORT,
    REQUEST_CUT_OFF,
    CONNECTIONS_GIVEN_UP,
    VM_PAUSED,
    VM_DETACHED,
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
    ATTEMPT_UNANSWERED,
    CRASH_ATTRIBUTED,
    SUSPICION_ENDED,
    REQUEST_HELD,
    SUSPECT_ADMITTED,
    REQUEST_FORWARDED,
    FORWARDING_ENDED,
    FORWARDING_ACCEPTED,
    TICKET_REFUSED,
    CAP_REFUSED,
    REFUSAL_WITHHELD,
    ANSWER_CUT_OFF,
    STANDING_CHANGED,
    INSTANCE_SEEN,
    INSTANCE_GONE,
    TRUST_CHANGED,
    INSTANCE_LEAVING,
    INSTANCE_PAUSED,
    INSTANCE_LIMIT,
    LIMIT_SHARE,
    SERVICE_DEGRADED,
    PATHS_CHANGED,
    SERVICE_SHORT,
    NEWS_DROPPED,
    MEMBER_CHANGED,
    WATCH_CHANGED,
    KEYS_STALE,
    FEED_VOUCHER_CHANGED,
    CAP_VIEW_CHANGED,
    CAP_RESTARTED,
    CAP_FLEET_STARTED,
)


class WrongFieldsError(Exception):
    """An event was emitted with fields other than those of its entry."""

    def __init__(self, event: Event, fields: frozenset[str]) -> None:
        super().__init__(event.number, sorted(fields))


def emit(event: Event, **fields: typing.Any) -> None:
    """Log an event; raises WrongFieldsError."""
    if fields.keys() != frozenset(event.fields):
        raise WrongFieldsError(event, frozenset(fields))
    eliot.log_message(
        message_type=event.number,
        event=event.name,
        level=event.level.value,
        **fields,
    )
