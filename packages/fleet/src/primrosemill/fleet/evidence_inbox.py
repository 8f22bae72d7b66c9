"""Decides which reports of the other home VMs are valid as evidence.

A report is valid only while its sender is a member of the fleet under the
same incarnation and its evidence is recent by the clock of this VM. The
module does no I/O; times are in seconds.
"""

import enum
import typing

from primrosemill.decisions import evidence
from primrosemill.fleet import members
from primrosemill.fleet import messages

MAX_EVIDENCE_AGE = 3.0  # seconds for which a report is valid


class RejectionReason(enum.StrEnum):
    """Why a report was rejected."""

    PEER_NOT_LIVE = "peer_not_live"
    OTHER_INCARNATION = "other_incarnation"
    OLD_EVIDENCE = "old_evidence"
    OVERTAKEN = "overtaken"
    WRONG_REPORTER = "wrong_reporter"


class AcceptedReport(typing.NamedTuple):
    """An accepted report.

    ``measured_at`` is the time of its latest evidence, by the clock of this
    VM.
    """

    report: evidence.Report
    incarnation: int
    measured_at: float


class BatchOutcome(typing.NamedTuple):
    """The accepted reports of a batch, and the reasons for the others."""

    accepted: tuple[AcceptedReport, ...]
    rejected: tuple[RejectionReason, ...]


class _Source(typing.NamedTuple):
    vm_id: str
    service: str


class _SenderClock(typing.NamedTuple):
    incarnation: int
    # The smallest difference between receive and send times, in seconds.
    offset: float


class Inbox:
    """Holds the latest valid report of each home VM on each service."""

    def __init__(self) -> None:
        self._clocks_by_vm: dict[str, _SenderClock] = {}
        self._latest_by_source: dict[_Source, AcceptedReport] = {}

    def take(
        self,
        sender: messages.Entry,
        state: members.State,
        incarnation: int,
        batch: messages.EvidenceBatch,
        now: float,
    ) -> BatchOutcome:
        """Check a batch and store its valid reports.

        ``sender`` is the sender's entry in this VM's member table, and
        ``incarnation`` is that of the process which sealed the batch.
        """
        if state is members.State.GONE:
            return BatchOutcome((), (RejectionReason.PEER_NOT_LIVE,))
        if incarnation != sender.incarnation:
            return BatchOutcome((), (RejectionReason.OTHER_INCARNATION,))
        offset = self._update_clock_offset(sender, batch.sent_at_ms, now)
        accepted = []
        rejected = []
        for timed_report in batch.reports:
            measured_at = min(
                now, timed_report.measured_at_ms / 1_000 + offset
            )
            candidate = AcceptedReport(
                timed_report.report, incarnation, measured_at
            )
            reason = self._find_rejection_reason(sender, candidate, now)
            if reason is not None:
                rejected.append(reason)
                continue
            source = _Source(sender.vm_id, timed_report.report.service)
            self._latest_by_source[source] = candidate
            accepted.append(candidate)
        return BatchOutcome(tuple(accepted), tuple(rejected))

    def _update_clock_offset(
        self, sender: messages.Entry, sent_at_ms: int, now: float
    ) -> float:
        """Return the receive minus the send time of the fastest message.

        The clocks of the VMs need not agree: the delay of a message is
        estimated against the fastest message of the same process.
        """
        offset = now - sent_at_ms / 1_000
        known = self._clocks_by_vm.get(sender.vm_id)
        if known is not None and known.incarnation == sender.incarnation:
            offset = min(offset, known.offset)
        self._clocks_by_vm[sender.vm_id] = _SenderClock(
            sender.incarnation, offset
        )
        return offset

    def _find_rejection_reason(
        self, sender: messages.Entry, candidate: AcceptedReport, now: float
    ) -> RejectionReason | None:
        report = candidate.report
        if (report.vm_id, report.domain) != (sender.vm_id, sender.domain):
            return RejectionReason.WRONG_REPORTER
        if now - candidate.measured_at >= MAX_EVIDENCE_AGE:
            return RejectionReason.OLD_EVIDENCE
        latest = self._latest_by_source.get(
            _Source(sender.vm_id, report.service)
        )
        if latest is None or latest.incarnation != candidate.incarnation:
            return None
        if candidate.measured_at < latest.measured_at:
            return RejectionReason.OVERTAKEN
        return None

    def forget(self, vm_id: str) -> None:
        """Drop the state kept for a VM that is gone."""
        self._clocks_by_vm.pop(vm_id, None)
        for source in list(self._latest_by_source):
            if source.vm_id == vm_id:
                del self._latest_by_source[source]

    def reports(
        self,
        service: str,
        state_of: typing.Callable[[str], members.State],
        now: float,
    ) -> list[evidence.Report]:
        """Return the reports on a service that are valid now."""
        valid = []
        for source, accepted in sorted(self._latest_by_source.items()):
            if source.service != service:
                continue
            if now - accepted.measured_at >= MAX_EVIDENCE_AGE:
                continue
            if state_of(source.vm_id) is members.State.GONE:
                continue
            valid.append(accepted.report)
        return valid
