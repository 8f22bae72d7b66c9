"""Decides which configuration version is in force and where to get a newer.

Pure: offers, heard versions and the time in seconds go in. The version in
force only ever rises while the process lives. A process that starts holds
back what the store gave it until a peer has answered or a bounded wait is
over, so that a stale store does not win over a peer that knows better.
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

PEER_WAIT = 2.0  # seconds that a start waits for a peer's version
CATCH_UP_WAIT = 10.0  # seconds that a start waits for a pull to succeed
PULL_PAUSE = 1.0  # seconds before a peer that failed is asked again
HEARD_LIMIT = 4_096  # VMs


class Source(enum.StrEnum):
    """Where an offered version came from."""

    STORE = "store"
    PEER = "peer"


class Refusal(typing.NamedTuple):
    """An offered version that was not taken, and every reason."""

    source: Source
    faults: tuple[faults.Fault, ...]


class PullOrder(typing.NamedTuple):
    """Asks for the pull of a version from a peer that has it in force."""

    vm_id: str
    version: messages.VersionInForce


class _Heard(typing.NamedTuple):
    version: messages.VersionInForce
    failed: float  # time of the latest failed pull


def version_of(document: documents.Document) -> messages.VersionInForce:
    """Return a document's version in the form that messages carry."""
    return messages.VersionInForce(
        document.version, bytes.fromhex(document.digest)
    )


class Spread:
    """The configuration of one VM and what it heard of its peers'."""

    def __init__(
        self, fleet: str, generator: random.Random, now: float
    ) -> None:
        self.assembled: assembly.Assembled | None = None
        self.conflicts = 0
        self.peers_expected = True
        self._fleet = fleet
        self._generator = generator
        self._started = now
        self._settled = False
        self._heard_by_id: dict[str, _Heard] = {}

    @property
    def document(self) -> documents.Document:
        """Return the newest accepted document; version 0 before one."""
        if self.assembled is None:
            return documents.empty_document(self._fleet)
        return self.assembled.document

    @property
    def version(self) -> messages.VersionInForce:
        """Return the version that heartbeats carry."""
        return version_of(self.document)

    def offer(
        self,
        index_value: bytes,
        values_by_key: dict[str, bytes],
        source: Source,
    ) -> expression.Result[bool, Refusal]:
        """Check a version whole; tells whether it is a new one."""
        index = assembly.decode_index(index_value)
        if index.is_ok() and index.ok["version"] < self.document.version:
            fault = faults.OlderVersion(
                self.document.version, index.ok["version"]
            )
            return expression.Error(Refusal(source, (fault,)))
        result = assembly.assemble(index_value, values_by_key, self.assembled)
        return self.accept(result, source)

    def accept(
        self, result: assembly.Outcome, source: Source
    ) -> expression.Result[bool, Refusal]:
        """Take a version that was checked; tells whether it is a new one."""
        if result.is_error():
            return expression.Error(Refusal(source, result.error))
        accepted = versions.accept(self.document, result.ok.document)
        if accepted.is_error():
            if isinstance(accepted.error, faults.ConflictingVersion):
                self.conflicts += 1
            return expression.Error(Refusal(source, (accepted.error,)))
        if accepted.ok is self.document:
            return expression.Ok(False)
        if accepted.ok.version == self.document.version:
            return expression.Ok(False)
        self.assembled = result.ok
        return expression.Ok(True)

    def hear(
        self, vm_id: str, version: messages.VersionInForce
    ) -> faults.ConflictingVersion | None:
        """Note the version that a peer has in force.

        Returns a fault the first time that a peer is heard to hold other
        content under the version in force here.
        """
        if version.number == 0:
            return None
        known = self._heard_by_id.get(vm_id)
        if known is not None and known.version == version:
            return None
        if len(self._heard_by_id) >= HEARD_LIMIT and known is None:
            self._heard_by_id.pop(next(iter(self._heard_by_id)))
        self._heard_by_id[vm_id] = _Heard(version, float("-inf"))
        own = self.version
        if version.number != own.number or version.digest == own.digest:
            return None
        self.conflicts += 1
        return faults.ConflictingVersion(
            own.number, own.digest.hex(), version.digest.hex()
        )

    def version_heard(self, vm_id: str) -> int:
        """Return the version that a peer reports; 0 where none is known."""
        heard = self._heard_by_id.get(vm_id)
        return 0 if heard is None else heard.version.number

    def forget(self, vm_id: str) -> None:
        """Drop what a VM said that is gone."""
        self._heard_by_id.pop(vm_id, None)

    def next_pull(self, now: float) -> PullOrder | None:
        """Return the pull to make now: the highest version, any holder."""
        ahead = [
            PullOrder(vm_id, heard.version)
            for vm_id, heard in self._heard_by_id.items()
            if versions.is_news(self.document.version, heard.version.number)
            and now - heard.failed >= PULL_PAUSE
        ]
        if not ahead:
            return None
        highest = max(order.version.number for order in ahead)
        holders = [order for order in ahead if order.version.number == highest]
        return self._generator.choice(holders)

    def note_failed_pull(self, vm_id: str, now: float) -> None:
        """Leave a peer alone for a while."""
        heard = self._heard_by_id.get(vm_id)
        if heard is not None:
            self._heard_by_id[vm_id] = heard._replace(failed=now)

    def ready(self, now: float) -> bool:
        """Tell whether the document may be put in force.

        Once true it stays true: a running VM never stops serving because
        it cannot reach its peers or the store.
        """
        if self._settled:
            return True
        if self.assembled is None:
            return False
        waited = now - self._started
        highest = max(
            (each.version.number for each in self._heard_by_id.values()),
            default=0,
        )
        if highest > self.document.version:
            self._settled = waited >= CATCH_UP_WAIT
        elif not self.peers_expected:
            self._settled = True
        else:
            self._settled = highest > 0 or waited >= PEER_WAIT
        return self._settled
