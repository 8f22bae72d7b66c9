"""Types of what a fleet node reports for counters, logs and operators."""

import typing

from primrosemill.configuration import faults
from primrosemill.fleet import evidence_inbox
from primrosemill.fleet import feed
from primrosemill.fleet import messages
from primrosemill.fleet import spread
from primrosemill.fleet import wire


class MessageRefused(typing.NamedTuple):
    """A message from the network was dropped."""

    reason: wire.RefusalReason


class Transferred(typing.NamedTuple):
    """A datagram went to a VM, or a value was pulled from it.

    It ``crosses`` if the VM is in another failure domain or an unknown one;
    the size is in bytes.
    """

    kind: messages.Kind
    size: int
    crosses: bool


class EvidenceRejected(typing.NamedTuple):
    """A report of a peer was given no weight."""

    vm_id: str
    reason: evidence_inbox.RejectionReason


class VersionAccepted(typing.NamedTuple):
    """A newer version was checked and taken."""

    version: int
    source: spread.Source


class VersionRefused(typing.NamedTuple):
    """An offered version was not taken; the one in force stays."""

    source: spread.Source
    faults: tuple[faults.Fault, ...]


class VersionConflict(typing.NamedTuple):
    """A peer holds other content under the version in force here."""

    vm_id: str
    fault: faults.ConflictingVersion


class StoreFailed(typing.NamedTuple):
    """The store, the feed or the VM list gave no usable answer."""

    fault: feed.FeedFault


class StoreAnswered(typing.NamedTuple):
    """The store gave a value, or told that it did not change."""


class PullFailed(typing.NamedTuple):
    """A peer did not hand over the version that it is said to hold."""

    vm_id: str
    version: int


class HistoryLost(typing.NamedTuple):
    """The feed has no changes since a point; all is read again."""

    after: feed.Position


class EpochBegan(typing.NamedTuple):
    """The feed came back from an older copy, and was read anew.

    ``source`` is the VM that has read it.
    """

    epoch: int
    revision: int
    source: str
    items: int


class BadItemRead(typing.NamedTuple):
    """A published value can't be used; the others are."""

    bad: feed.BadItem


class MemberChanged(typing.NamedTuple):
    """A VM has another state in this VM's view; ``before`` is empty if new."""

    vm_id: str
    domain: str
    incarnation: int
    before: str
    state: str


class WatchChanged(typing.NamedTuple):
    """A watch of the feed began or ended here; ``others`` go on."""

    watching: bool
    others: int


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
)
Observer = typing.Callable[[Observation], None]


def ignore(observation: Observation) -> None:
    """Observe nothing."""
