"""Types of the observations that a fleet node reports to its daemon.

The daemon counts and logs them.
"""

import typing

from primrosemill.configuration import faults
from primrosemill.decisions import feed_age
from primrosemill.fleet import evidence_inbox
from primrosemill.fleet import feed
from primrosemill.fleet import messages
from primrosemill.fleet import version_tracker
from primrosemill.fleet import wire


class MessageRefused(typing.NamedTuple):
    """A message from the network was dropped."""

    reason: wire.RefusalReason


class Transferred(typing.NamedTuple):
    """A datagram was sent to a VM, or an answer was pulled from it.

    ``crosses_domains`` is set if the VM is in another failure domain or
    in an unknown one. ``size`` is in bytes.
    """

    kind: messages.Kind
    size: int
    crosses_domains: bool


class EvidenceRejected(typing.NamedTuple):
    """A report of a peer was rejected as evidence."""

    vm_id: str
    reason: evidence_inbox.RejectionReason


class VersionAccepted(typing.NamedTuple):
    """A newer version was checked and accepted."""

    version: int
    source: version_tracker.Source


class VersionRefused(typing.NamedTuple):
    """An offered version was refused; the one in force stays."""

    source: version_tracker.Source
    faults: tuple[faults.Fault, ...]


class VersionConflict(typing.NamedTuple):
    """A peer has other content under the version number in force here."""

    vm_id: str
    fault: faults.ConflictingVersion


class StoreFailed(typing.NamedTuple):
    """The store, the feed or the VM list gave no usable answer."""

    fault: feed.FeedFault


class StoreAnswered(typing.NamedTuple):
    """The store or the feed answered, with or without a change."""


class PullFailed(typing.NamedTuple):
    """A peer did not return the version that it has announced."""

    vm_id: str
    version: int


class HistoryLost(typing.NamedTuple):
    """The feed lacks the changes since a point; everything is read again."""

    after: feed.Position


class EpochBegan(typing.NamedTuple):
    """The feed was restored from an older copy and read completely.

    ``source`` is the id of the VM that read it, and ``items`` the number of
    items read.
    """

    epoch: int
    revision: int
    source: str
    items: int


class BadItemRead(typing.NamedTuple):
    """A published value cannot be used; the other values are used."""

    item: feed.BadItem


class MemberChanged(typing.NamedTuple):
    """The state of a VM has changed; ``before`` is empty for a new VM."""

    vm_id: str
    domain: str
    incarnation: int
    before: str
    state: str


class WatchChanged(typing.NamedTuple):
    """The watch of this VM on the feed has begun or ended.

    ``others`` is the number of other VMs of the domain that watch and have
    at least this VM's capacity.
    """

    watching: bool
    others: int


class FeedRoundEnded(typing.NamedTuple):
    """Readers of the feed were asked whether they still read it."""

    ended: feed_age.Round


class FeedVoucherChanged(typing.NamedTuple):
    """A reader of the feed vouches for this VM again, or none does.

    ``age`` is the time in seconds for which changes may be unknown here; None
    if nothing is known.
    """

    found: bool
    age: float | None


Observation = (
    MessageRefused
    | Transferred
    | EvidenceRejected
    | VersionAccepted
    | VersionRefused
    | VersionConflict
    | StoreFailed
    | StoreAnswered
    | PullFailed
    | HistoryLost
    | EpochBegan
    | BadItemRead
    | MemberChanged
    | WatchChanged
    | FeedRoundEnded
    | FeedVoucherChanged
)
Observer = typing.Callable[[Observation], None]


def ignore(observation: Observation) -> None:
    """Ignore an observation; the default observer."""
