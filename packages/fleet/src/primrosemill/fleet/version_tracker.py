"""Decides which configuration version is in force, and which one to pull.

The module does no I/O: offered versions, the versions of peers and the time
in seconds go in. The version in force only rises during the life of the
process. A starting process holds back a version from the store until a peer
has answered or a bounded wait is over, so that a stale store does not take
precedence over a peer with a newer version.
"""

import enum
import random
import typing

import expression

from primrosemill.configuration import assembly
from primrosemill.configuration import document as documents
from primrosemill.configuration import faults
from primrosemill.configuration import versions
from primrosemill.fleet import messages

PEER_VERSION_TIMEOUT = 2.0  # seconds to wait at start for a peer's version
CATCH_UP_TIMEOUT = 10.0  # seconds to wait at start for a successful pull
PULL_RETRY_DELAY = 1.0  # seconds before another pull from a peer that failed
MAX_PEER_VERSIONS = 4_096  # peers whose version is remembered


class Source(enum.StrEnum):
    """Where an offered version came from."""

    STORE = "store"
    PEER = "peer"


class Refusal(typing.NamedTuple):
    """An offered version that was refused, with every reason."""

    source: Source
    faults: tuple[faults.Fault, ...]


class PullTarget(typing.NamedTuple):
    """A version to pull, and a peer that has it in force."""

    vm_id: str
    version: messages.VersionInForce


class _PeerVersion(typing.NamedTuple):
    version: messages.VersionInForce
    failed_at: float  # time of the latest failed pull


def version_of(document: documents.Document) -> messages.VersionInForce:
    """Return a document's version in the form that messages carry."""
    return messages.VersionInForce(
        document.version, bytes.fromhex(document.digest)
    )


class VersionTracker:
    """The configuration version of one VM and those of its peers."""

    def __init__(
        self, fleet: str, generator: random.Random, now: float
    ) -> None:
        self.assembled: assembly.AssembledVersion | None = None
        self.conflict_count = 0
        self.peers_expected = True
        self._fleet = fleet
        self._generator = generator
        self._started_at = now
        self._is_ready = False
        self._peer_versions_by_id: dict[str, _PeerVersion] = {}

    @property
    def document(self) -> documents.Document:
        """Return the newest accepted document, or one of version 0."""
        if self.assembled is None:
            return documents.empty_document(self._fleet)
        return self.assembled.document

    @property
    def version(self) -> messages.VersionInForce:
        """Return the version that this VM's heartbeats carry."""
        return version_of(self.document)

    def offer(
        self,
        index_value: bytes,
        values_by_key: dict[str, bytes],
        source: Source,
    ) -> expression.Result[bool, Refusal]:
        """Check and accept a version; return whether it is a new one."""
        index = assembly.decode_index(index_value)
        if index.is_ok() and index.ok["version"] < self.document.version:
            fault = faults.OlderVersion(
                self.document.version, index.ok["version"]
            )
            return expression.Error(Refusal(source, (fault,)))
        result = assembly.assemble(index_value, values_by_key, self.assembled)
        return self.accept(result, source)

    def accept(
        self, result: assembly.AssemblyResult, source: Source
    ) -> expression.Result[bool, Refusal]:
        """Accept a checked version; return whether it is a new one."""
        if result.is_error():
            return expression.Error(Refusal(source, result.error))
        accepted = versions.accept(self.document, result.ok.document)
        if accepted.is_error():
            if isinstance(accepted.error, faults.ConflictingVersion):
                self.conflict_count += 1
            return expression.Error(Refusal(source, (accepted.error,)))
        if accepted.ok is self.document:
            return expression.Ok(False)
        if accepted.ok.version == self.document.version:
            return expression.Ok(False)
        self.assembled = result.ok
        return expression.Ok(True)

    def record_peer_version(
        self, vm_id: str, version: messages.VersionInForce
    ) -> faults.ConflictingVersion | None:
        """Record the version that a peer has in force.

        Return a fault the first time that a peer reports other content under
        the version number in force on this VM.
        """
        if version.number == 0:
            return None
        previous = self._peer_versions_by_id.get(vm_id)
        if previous is not None and previous.version == version:
            return None
        if (
            len(self._peer_versions_by_id) >= MAX_PEER_VERSIONS
            and previous is None
        ):
            self._peer_versions_by_id.pop(
                next(iter(self._peer_versions_by_id))
            )
        self._peer_versions_by_id[vm_id] = _PeerVersion(version, float("-inf"))
        own = self.version
        if version.number != own.number or version.digest == own.digest:
            return None
        self.conflict_count += 1
        return faults.ConflictingVersion(
            own.number, own.digest.hex(), version.digest.hex()
        )

    def peer_version_number(self, vm_id: str) -> int:
        """Return the version that a peer reported; 0 if none is known."""
        peer_version = self._peer_versions_by_id.get(vm_id)
        return 0 if peer_version is None else peer_version.version.number

    def forget(self, vm_id: str) -> None:
        """Drop the version of a VM that is gone."""
        self._peer_versions_by_id.pop(vm_id, None)

    def next_pull(self, now: float) -> PullTarget | None:
        """Return the highest newer version and a random peer that has it."""
        newer = [
            PullTarget(vm_id, peer_version.version)
            for vm_id, peer_version in self._peer_versions_by_id.items()
            if versions.is_newer(
                self.document.version, peer_version.version.number
            )
            and now - peer_version.failed_at >= PULL_RETRY_DELAY
        ]
        if not newer:
            return None
        highest = max(target.version.number for target in newer)
        holders = [
            target for target in newer if target.version.number == highest
        ]
        return self._generator.choice(holders)

    def record_failed_pull(self, vm_id: str, now: float) -> None:
        """Exclude a peer from pulls for PULL_RETRY_DELAY."""
        peer_version = self._peer_versions_by_id.get(vm_id)
        if peer_version is not None:
            self._peer_versions_by_id[vm_id] = peer_version._replace(
                failed_at=now
            )

    def is_ready(self, now: float) -> bool:
        """Return whether the document may be put in force.

        Once true, this stays true: a running VM never stops serving because
        it cannot reach its peers or the store.
        """
        if self._is_ready:
            return True
        if self.assembled is None:
            return False
        waited = now - self._started_at
        highest = max(
            (
                each.version.number
                for each in self._peer_versions_by_id.values()
            ),
            default=0,
        )
        if highest > self.document.version:
            self._is_ready = waited >= CATCH_UP_TIMEOUT
        elif not self.peers_expected:
            self._is_ready = True
        else:
            self._is_ready = highest > 0 or waited >= PEER_VERSION_TIMEOUT
        return self._is_ready
