"""Types of the messages between VMs; docs/design/wire.md describes them.

Messages are encoded as msgpack arrays. Every length is bounded, so that the
size of a decoded message is limited by its type.
"""

import enum
import math
import typing

import msgspec

from primrosemill.decisions import evidence
from primrosemill.fleet import feed

from primrosemill.decisions.customers import cap_messages

PROTOCOL_VERSION = 1
MAX_INTEGER = 2**63 - 1
MILLISECONDS_PER_SECOND = 1_000

Name = typing.Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
Key = typing.Annotated[str, msgspec.Meta(min_length=1, max_length=160)]
Ip = typing.Annotated[str, msgspec.Meta(min_length=2, max_length=45)]
Port = typing.Annotated[int, msgspec.Meta(ge=1, le=65_535)]
Count = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
Digest = typing.Annotated[bytes, msgspec.Meta(max_length=32)]
Fingerprint = typing.Annotated[
    bytes, msgspec.Meta(min_length=16, max_length=16)
]
CrashId = typing.Annotated[bytes, msgspec.Meta(min_length=8, max_length=8)]
Chunk = typing.Annotated[bytes, msgspec.Meta(max_length=65_536)]


def encode_age(age: float) -> int:
    """Return an age in seconds as ms, rounded up; the largest if infinite."""
    if math.isinf(age):
        return MAX_INTEGER
    return math.ceil(max(0.0, age) * MILLISECONDS_PER_SECOND)


class Kind(enum.IntEnum):
    """The number of each message type in the envelope."""

    PING = 1
    ACK = 2
    PROBE_REQUEST = 3
    PROBE_RESULT = 4
    EVIDENCE = 5
    PULL = 6
    PULL_ANSWER = 7
    CHANGES = 8
    DEPARTURE = 10
    SIGHTINGS = 11
    LIMITS = 12
    SUSPICIONS = 13
    LOSSES = 14
    FRESHNESS_QUERY = 15
    FRESHNESS_ANSWER = 16
    CAP_REQUEST = 17
    CAP_GRANT = 18
    ROOM = 19
    STARTS = 20
    FEED_QUERY = 21
    FEED_ANSWER = 22


class Liveness(enum.IntEnum):
    """What the fleet believes of a VM's process."""

    LIVE = 0
    SUSPECT = 1
    GONE = 2


class Entry(typing.NamedTuple):
    """One VM as described by gossip.

    ``incarnation`` rises with every process of the VM; ``counter`` rises when
    the VM itself changes its entry or refutes a suspicion. ``watching`` is set
    while the VM holds a working watch on the store or the feed.
    ``capacity_rps`` is the number of requests per second that the VM can
    serve; 0 if unknown.
    """

    vm_id: Name
    ip: Ip
    port: Port
    domain: Name
    incarnation: Count
    counter: Count
    liveness: Liveness = Liveness.LIVE
    leaving: bool = False
    watching: bool = False
    capacity_rps: Count = 0


Entries = typing.Annotated[tuple[Entry, ...], msgspec.Meta(max_length=24)]


class VersionInForce(typing.NamedTuple):
    """The configuration version of a VM and the digest of its index.

    With a feed, ``number`` is a revision in an epoch of the feed, and there is
    no digest.
    """

    number: Count
    digest: Digest
    epoch: Count = 0


class Ping(typing.NamedTuple):
    """Asks a VM for an ack and carries membership updates.

    ``believed_incarnation`` is that of the target as known to the sender.
    """

    nonce: Count
    target_id: str
    believed_incarnation: Count
    sender: Entry
    version: VersionInForce
    entries: Entries


class Ack(typing.NamedTuple):
    """Answers the ping with the same nonce and carries updates."""

    nonce: Count
    sender: Entry
    version: VersionInForce
    entries: Entries


class ProbeRequest(typing.NamedTuple):
    """Asks another VM to ping a target that did not answer the sender."""

    nonce: Count
    target: Entry
    sender: Entry


class ProbeResult(typing.NamedTuple):
    """Reports that the target of a probe request answered."""

    nonce: Count
    target_id: Name
    incarnation: Count


class TimedReport(typing.NamedTuple):
    """A report and the time of its latest evidence, by the sender's clock."""

    measured_at_ms: Count
    report: evidence.Report


class EvidenceBatch(typing.NamedTuple):
    """Reports of one VM and the send time, by the sender's clock."""

    sent_at_ms: Count
    reports: typing.Annotated[
        tuple[TimedReport, ...], msgspec.Meta(max_length=64)
    ]


class Want(typing.NamedTuple):
    """A request for the bytes of a value from an offset on."""

    key: Key
    offset: Count


class Pull(typing.NamedTuple):
    """Asks a VM for published values that it holds."""

    nonce: Count
    wants: typing.Annotated[tuple[Want, ...], msgspec.Meta(max_length=256)]


class Piece(typing.NamedTuple):
    """Part of a value of ``size`` bytes; size 0 if the value is not held."""

    key: Key
    offset: Count
    size: Count
    chunk: Chunk


class PullAnswer(typing.NamedTuple):
    """Answers the first wants of a pull, as many as fit into one message."""

    nonce: Count
    version: VersionInForce
    pieces: typing.Annotated[tuple[Piece, ...], msgspec.Meta(max_length=256)]


class Changes(typing.NamedTuple):
    """Carries changes that the sender has just read from the feed."""

    batch: feed.Batch


class SightingOutcome(enum.IntEnum):
    """How an instance answered a request."""

    GOOD = 0
    FAILED = 1


class Sighting(typing.NamedTuple):
    """The outcome of a request of the sender to an instance.

    ``boot`` identifies the run of the instance's process. ``age_ms`` is the
    time in ms at sending since the failure, or since the start of the request
    that succeeded.
    """

    service: Name
    instance_id: Name
    boot: Count
    outcome: SightingOutcome
    age_ms: Count


class Sightings(typing.NamedTuple):
    """Carries outcomes of recent requests of the sender to instances."""

    sightings: typing.Annotated[
        tuple[Sighting, ...], msgspec.Meta(max_length=16)
    ]


class Departure(typing.NamedTuple):
    """Reports that an instance announced to the sender that it is leaving."""

    service: Name
    instance_id: Name
    boot: Count


class InstanceLimit(typing.NamedTuple):
    """What the sender knows of the limit of an instance.

    ``milli_rate`` is in thousandths of a request per second; None if the
    instance has dropped its limit. ``sent_age_ms`` and ``received_age_ms`` are
    the ages in ms, at sending, of the request and of the answer from which
    that is known.
    """

    service: Name
    instance_id: Name
    boot: Count
    milli_rate: Count | None
    sent_age_ms: Count
    received_age_ms: Count


class Limits(typing.NamedTuple):
    """Carries the limits that instances have named or dropped."""

    limits: typing.Annotated[
        tuple[InstanceLimit, ...], msgspec.Meta(max_length=16)
    ]


class SuspectedCrash(typing.NamedTuple):
    """A crash under a suspected request; the age is in ms at sending."""

    crash_id: CrashId
    age_ms: Count


class Suspicion(typing.NamedTuple):
    """What the sender knows of a request that may crash instances.

    ``head`` and ``body`` are the digests of its fingerprint. Ages are in ms at
    sending. Crashes older than ``cleared_age_ms`` don't count; None stands for
    never.
    """

    head: Fingerprint
    body: Digest
    crashes: typing.Annotated[
        tuple[SuspectedCrash, ...], msgspec.Meta(max_length=8)
    ]
    cleared_age_ms: Count | None
    arrived_age_ms: Count


class Suspicions(typing.NamedTuple):
    """Carries what is known of requests that may crash instances."""

    suspicions: typing.Annotated[
        tuple[Suspicion, ...], msgspec.Meta(max_length=8)
    ]


class ServiceLoss(typing.NamedTuple):
    """The requests that the sender gets for a service, and those it loses.

    Both are in thousandths of a request per second.
    """

    service: Name
    lost_milli_rate: Count
    total_milli_rate: Count


class Losses(typing.NamedTuple):
    """Carries what the sender loses of some services."""

    losses: typing.Annotated[
        tuple[ServiceLoss, ...], msgspec.Meta(max_length=8)
    ]


class FreshnessQuery(typing.NamedTuple):
    """Asks a VM for the age of what it knows of the configuration.

    ``epoch`` and ``routing_version`` are those in force at the sender.
    """

    nonce: Count
    epoch: Count
    routing_version: Count


class FreshnessAnswer(typing.NamedTuple):
    """Answers the query with the same nonce.

    ``age_ms`` is the time in ms at sending, rounded up, since which a newer
    configuration than ``routing_version`` may be unknown to the sender.
    """

    nonce: Count
    epoch: Count
    routing_version: Count
    age_ms: Count


class CapRequest(typing.NamedTuple):
    """Asks for tokens of customers' caps, and to vouch for slots.

    The fields are those of
    :class:`primrosemill.decisions.customers.cap_messages.Request`.
    """

    nonce: Count
    asks: typing.Annotated[
        tuple[cap_messages.Ask, ...],
        msgspec.Meta(max_length=cap_messages.MAX_ASKS),
    ]
    slots: typing.Annotated[
        tuple[Count, ...], msgspec.Meta(max_length=cap_messages.MAX_ASKS)
    ]


class CapGrant(typing.NamedTuple):
    """Answers a request for tokens of customers' caps.

    The fields are those of
    :class:`primrosemill.decisions.customers.cap_messages.Answer`.
    """

    nonce: Count
    grants: typing.Annotated[
        tuple[cap_messages.Grant, ...],
        msgspec.Meta(max_length=cap_messages.MAX_ASKS),
    ]
    vouches: typing.Annotated[
        tuple[cap_messages.Vouch, ...],
        msgspec.Meta(max_length=cap_messages.MAX_ASKS),
    ]


class InFlight(typing.NamedTuple):
    """The sender's requests at the instances of a failure domain."""

    domain: Name
    count: Count


class ServiceRoom(typing.NamedTuple):
    """What the sender holds of a service.

    ``short`` is set if it lacks free slots in its own failure domain
    ``domain``. ``waiting`` are the requests that wait at it.
    """

    service: Name
    domain: Name
    short: bool
    waiting: Count
    in_flight: typing.Annotated[
        tuple[InFlight, ...], msgspec.Meta(max_length=16)
    ]


class Room(typing.NamedTuple):
    """Carries what the sender holds of services of which some VM is short."""

    services: typing.Annotated[
        tuple[ServiceRoom, ...], msgspec.Meta(max_length=8)
    ]


class Start(typing.NamedTuple):
    """A request that the sender sent to an instance ``age_ms`` ms ago."""

    service: Name
    instance_id: Name
    boot: Count
    age_ms: Count


class Starts(typing.NamedTuple):
    """Carries requests to instances of services that serve too little."""

    starts: typing.Annotated[tuple[Start, ...], msgspec.Meta(max_length=16)]


class FeedQuery(typing.NamedTuple):
    """Asks a VM as of when it knows the feed.

    ``epoch`` and ``revision`` are those that the sender has reached.
    """

    nonce: Count
    epoch: Count
    revision: Count


class FeedAnswer(typing.NamedTuple):
    """Answers the query with the same nonce, or with 0 announces a reader.

    ``age_ms`` is the time in ms at sending, rounded up, since which changes
    after ``revision`` may be unknown to the sender. Its open call to the feed
    counts as alive for ``alive_ms`` ms more, rounded down; 0 if it has none.
    """

    nonce: Count
    epoch: Count
    revision: Count
    age_ms: Count
    alive_ms: Count


Message = (
    Ping
    | Ack
    | ProbeRequest
    | ProbeResult
    | EvidenceBatch
    | Pull
    | PullAnswer
    | Changes
    | Departure
    | Sightings
    | Limits
    | Suspicions
    | Losses
    | FreshnessQuery
    | FreshnessAnswer
    | CapRequest
    | CapGrant
    | Room
    | Starts
    | FeedQuery
    | FeedAnswer
)

KINDS_BY_TYPE: dict[type, Kind] = {
    Ping: Kind.PING,
    Ack: Kind.ACK,
    ProbeRequest: Kind.PROBE_REQUEST,
    ProbeResult: Kind.PROBE_RESULT,
    EvidenceBatch: Kind.EVIDENCE,
    Pull: Kind.PULL,
    PullAnswer: Kind.PULL_ANSWER,
    Changes: Kind.CHANGES,
    Departure: Kind.DEPARTURE,
    Sightings: Kind.SIGHTINGS,
    Limits: Kind.LIMITS,
    Suspicions: Kind.SUSPICIONS,
    Losses: Kind.LOSSES,
    FreshnessQuery: Kind.FRESHNESS_QUERY,
    FreshnessAnswer: Kind.FRESHNESS_ANSWER,
    CapRequest: Kind.CAP_REQUEST,
    CapGrant: Kind.CAP_GRANT,
    Room: Kind.ROOM,
    Starts: Kind.STARTS,
    FeedQuery: Kind.FEED_QUERY,
    FeedAnswer: Kind.FEED_ANSWER,
}
