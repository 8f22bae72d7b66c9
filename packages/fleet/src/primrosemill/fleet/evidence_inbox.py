"""Decides which reports of the other home VMs have weight.

Pure. A report counts only while its sender is in the fleet under the same
incarnation and its evidence is young by this VM's own clock.
"""

import enum
import typing

from primrosemill.decisions import evidence
from primrosemill.fleet import members
from primrosemill.fleet import messages

EVIDENCE_AGE = 3.0  # seconds for which a report has weight


class RejectionReason(enum.StrEnum):
    """Why a report has no weight."""

    PEER_NOT_LIVE = "peer_not_live"
    OTHER_INCARNATION = "other_incarnation"
    OLD_EVIDENCE = "old_evidence"
    OVERTAKEN = "overtaken"
    WRONG_REPORTER = "wrong_reporter"


class HeldReport(typing.NamedTuple):
    """A report with when its evidence ended, by this VM's clock."""

    report: evidence.Report
    incarnation: int
    measured: float


class Taken(typing.NamedTuple):
    """What became of a batch."""

    held: tuple[HeldReport, ...]
    rejected: tuple[RejectionReason, ...]


class _Source(typing.NamedTuple):
    vm_id: str
    service: str


class _SenderClock(typing.NamedTuple):
    incarnation: int
    offset: float  # The least seen of receive time minus send time, seconds.


class Inbox:
    """Holds the latest report of each other home VM on each service."""

    def __init__(self) -> None:
        self._clocks_by_vm: dict[str, _SenderClock] = {}
        self._held_by_source: dict[_Source, HeldReport] = {}

    def take(
        self,
        sender: messages.Entry,
        state: members.State,
        incarnation: int,
        batch: messages.EvidenceBatch,
        now: float,
    ) -> Taken:
        """Take a batch; ``incarnation`` is the one that sealed it.

        ``sender`` is the sender's entry in this VM's table.
        """
        if state is members.State.GONE:
            return Taken((), (RejectionReason.PEER_NOT_LIVE,))
        if incarnation != sender.incarnation:
            return Taken((), (RejectionReason.OTHER_INCARNATION,))
        offset = self._offset(sender, batch.stamp, now)
        held = []
        rejected = []
        for stamped in batch.reports:
            measured = min(now, stamped.stamp / 1_000 + offset)
            report = HeldReport(stamped.report, incarnation, measured)
            reason = self._judge(sender, report, now)
            if reason is not None:
                rejected.append(reason)
                continue
            source = _Source(sender.vm_id, stamped.report.service)
            self._held_by_source[source] = report
            held.append(report)
        return Taken(tuple(held), tuple(rejected))

    def _offset(self, sender: messages.Entry, stamp: int, now: float) -> float:
        """Return the receive minus the send time of the fastest message.

        Neither clock need be right: what a message was late by is seen
        against the fastest message of the same process.
        """
        offset = now - stamp / 1_000
        known = self._clocks_by_vm.get(sender.vm_id)
        if known is not None and known.incarnation == sender.incarnation:
            offset = min(offset, known.offset)
        self._clocks_by_vm[sender.vm_id] = _SenderClock(
            sender.incarnation, offset
        )
        return offset

    def _judge(
        self, sender: messages.Entry, held: HeldReport, now: float
    ) -> RejectionReason | None:
        report = held.report
        if (report.vm_id, report.domain) != (sender.vm_id, sender.domain):
            return RejectionReason.WRONG_REPORTER
        if now - held.measured >= EVIDENCE_AGE:
            return RejectionReason.OLD_EVIDENCE
        before = self._held_by_source.get(
            _Source(sender.vm_id, report.service)
        )
        if before is None or before.incarnation != held.incarnation:
            return None
        if held.measured < before.measured:
            return RejectionReason.OVERTAKEN
        return None

    def forget(self, vm_id: str) -> None:
        """Drop all that a VM said which has gone."""
        self._clocks_by_vm.pop(vm_id, None)
        for source in list(self._held_by_source):
            if source.vm_id == vm_id:
                del self._held_by_source[source]

    def reports(
        self,
        service: str,
        state_of: typing.Callable[[str], members.State],
        now: float,
    ) -> list[evidence.Report]:
        """Return the reports on a service that have weight now."""
        found = []
        for source, held in sorted(self._held_by_source.items()):
            if source.service != service:
                continue
            if now - held.measured >= EVIDENCE_AGE:
                continue
            if state_of(source.vm_id) is members.State.GONE:
                continue
            found.append(held.report)
        return found
