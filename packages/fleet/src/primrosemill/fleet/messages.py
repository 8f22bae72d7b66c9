"""Types of the messages between VMs; docs/design/wire.md describes them.

They travel as msgpack arrays. Every length is bounded here, so that a decoded
message is never larger than its type allows.
"""

import enum
import typing

import msgspec

from primrosemill.decisions import evidence
from primrosemill.fleet import feed

PROTOCOL_VERSION = 1
LARGEST_INTEGER = 2**63 - 1

Name = typing.Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
Key = typing.Annotated[str, msgspec.Meta(min_length=1, max_length=160)]
Ip = typing.Annotated[str, msgspec.Meta(min_length=2, max_length=45)]
Port = typing.Annotated[int, msgspec.Meta(ge=1, le=65_535)]
Count = typing.Annotated[int, msgspec.Meta(ge=0, le=LARGEST_INTEGER)]
Digest = typing.Annotated[bytes, msgspec.Meta(max_length=32)]
Chunk = typing.Annotated[bytes, msgspec.Meta(max_length=65_536)]


class Kind(enum.IntEnum):
    """Number of each message form in the envelope."""

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


class Liveness(enum.IntEnum):
    """What the fleet believes of a VM's process."""

    LIVE = 0
    SUSPECT = 1
    GONE = 2


class Entry(typing.NamedTuple):
    """One VM as gossip describes it.

    ``incarnation`` is new with every process; ``counter`` rises when the VM
    itself changes its entry or refutes a suspicion. ``watching`` tells that
    it holds a working watch on the store. ``carries`` is how many requests a
    second the VM can serve at most; 0 where it does not tell.
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
    carries: Count = 0


Entries = typing.Annotated[tuple[Entry, ...], msgspec.Meta(max_length=24)]


class VersionInForce(typing.NamedTuple):
    """The configuration version of a VM and the digest of its index.

    With a feed it is the revision, in an epoch of the feed.
    """

    number: Count
    digest: Digest
    epoch: Count = 0


class Ping(typing.NamedTuple):
    """Asks a VM for an answer and passes on what is new.

    ``believed_incarnation`` is the target's as the sender knows it.
    """

    nonce: Count
    target_id: str
    believed_incarnation: Count
    sender: Entry
    version: VersionInForce
    entries: Entries


class Ack(typing.NamedTuple):
    """Answers a ping with the same nonce."""

    nonce: Count
    sender: Entry
    version: VersionInForce
    entries: Entries


class ProbeRequest(typing.NamedTuple):
    """Asks a third VM to ping a target that gave no answer."""

    nonce: Count
    target: Entry
    sender: Entry


class ProbeResult(typing.NamedTuple):
    """Reports that the target of a probe request answered."""

    nonce: Count
    target_id: Name
    incarnation: Count


class StampedReport(typing.NamedTuple):
    """A report and when its evidence ended, in ms of the sender's clock."""

    stamp: Count
    report: evidence.Report


class EvidenceBatch(typing.NamedTuple):
    """Reports of one VM; the stamp tells when it was sent, in ms."""

    stamp: Count
    reports: typing.Annotated[
        tuple[StampedReport, ...], msgspec.Meta(max_length=64)
    ]


class Want(typing.NamedTuple):
    """Asks for the bytes of a value from an offset on."""

    key: Key
    offset: Count


class Pull(typing.NamedTuple):
    """Asks a VM for published values that it holds."""

    nonce: Count
    wants: typing.Annotated[tuple[Want, ...], msgspec.Meta(max_length=256)]


class Piece(typing.NamedTuple):
    """Some bytes of a value; a size of zero tells that it is not held."""

    key: Key
    offset: Count
    size: Count
    chunk: Chunk


class PullAnswer(typing.NamedTuple):
    """Answers the first wants of a pull, as many as one message holds."""

    nonce: Count
    version: VersionInForce
    pieces: typing.Annotated[tuple[Piece, ...], msgspec.Meta(max_length=256)]


class Changes(typing.NamedTuple):
    """Passes on what the sender has just read from the feed."""

    batch: feed.Batch


class Seen(enum.IntEnum):
    """How an instance answered a request."""

    GOOD = 0
    FAILED = 1


class Sighting(typing.NamedTuple):
    """Tells how an instance answered a request of the sender.

    ``age`` is in ms when the message is sent: since the failure, or since
    the start of the request that was answered well.
    """

    service: Name
    instance_id: Name
    boot: Count
    seen: Seen
    age: Count


class Sightings(typing.NamedTuple):
    """Tells what the sender has just seen of some instances."""

    sightings: typing.Annotated[
        tuple[Sighting, ...], msgspec.Meta(max_length=16)
    ]


class Departure(typing.NamedTuple):
    """Tells that an instance said to the sender that it is leaving."""

    service: Name
    instance_id: Name
    boot: Count


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
}
