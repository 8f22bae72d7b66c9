"""Decides what evidence to tell the other home VMs, and what to believe.

Pure. Each message holds the whole report on a service, so a lost one costs
a moment only. A report is sent when it has changed and now and then besides,
within a byte budget; that an instance drains or is out goes at once. A report
counts only while its sender is in the fleet under the same incarnation and
its evidence is young by this VM's own clock.
"""

import enum
import typing

import msgspec

from primrosemill.decisions import evidence
from primrosemill.decisions import standings
from primrosemill.fleet import members
from primrosemill.fleet import messages

SEND_INTERVAL = 0.25  # seconds between reports on a service to one VM
# Seconds after which an unchanged report is repeated: one that names an
# instance, so that a lost message costs no weight, and one that names none.
REFRESH_INTERVAL = 1.0
QUIET_INTERVAL = 2.0
EVIDENCE_AGE = 3.0  # seconds for which a report has weight
OUT_OF_ROTATION = frozenset({standings.State.AVOIDED, standings.State.EJECTED})
SCORE_STEP = 0.5  # change of a score that is worth a message
BYTE_RATE = 4_000.0  # bytes of messages a second that this VM may send
BYTE_BURST = 4_000.0  # bytes
BATCH_SIZE = 1_000  # bytes of reports in one batch
BATCH_OVERHEAD = 110  # bytes of a message besides its reports
REPORT_OVERHEAD = 12  # bytes of a report besides its names and instances


class RejectionReason(enum.StrEnum):
    """Why a report has no weight."""

    PEER_NOT_LIVE = "peer_not_live"
    OTHER_INCARNATION = "other_incarnation"
    OLD_EVIDENCE = "old_evidence"
    OVERTAKEN = "overtaken"
    WRONG_REPORTER = "wrong_reporter"


class Batch(typing.NamedTuple):
    """A batch and the VM that it goes to."""

    vm_id: str
    message: messages.EvidenceBatch


class HeldReport(typing.NamedTuple):
    """A report with when its evidence ended, by this VM's clock."""

    report: evidence.Report
    incarnation: int
    measured: float


class Taken(typing.NamedTuple):
    """What became of a batch."""

    held: tuple[HeldReport, ...]
    rejected: tuple[RejectionReason, ...]


class _Target(typing.NamedTuple):
    vm_id: str
    service: str


class _Sent(typing.NamedTuple):
    instances: tuple[evidence.InstanceEvidence, ...]
    time: float


def has_changed(
    new: tuple[evidence.InstanceEvidence, ...],
    old: tuple[evidence.InstanceEvidence, ...],
) -> bool:
    """Tell whether a peer should hear of a report before the refresh."""
    old_by_id = {each.instance_id: each for each in old}
    if old_by_id.keys() != {each.instance_id for each in new}:
        return True
    for each in new:
        before = old_by_id[each.instance_id]
        if abs(each.score - before.score) >= SCORE_STEP:
            return True
        same = before._replace(score=each.score, requests=each.requests)
        if each != same:
            return True
    return False


def _is_urgent(each: evidence.InstanceEvidence) -> bool:
    """Tell whether peers should stop sending work to an instance."""
    return each.draining or each.state in OUT_OF_ROTATION


def has_urgent_news(
    new: tuple[evidence.InstanceEvidence, ...],
    old: tuple[evidence.InstanceEvidence, ...],
) -> bool:
    """Tell whether peers should hear of an instance at once."""
    told = {each.instance_id for each in old if _is_urgent(each)}
    return any(
        _is_urgent(each) and each.instance_id not in told for each in new
    )


class Outbox:
    """Chooses what this VM tells each other home VM."""

    def __init__(self, now: float) -> None:
        self._reports_by_service: dict[str, messages.StampedReport] = {}
        self._sent_by_target: dict[_Target, _Sent] = {}
        self._bytes = BYTE_BURST
        self._bytes_at = now

    def put(self, report: evidence.Report, stamp: int) -> None:
        """Take this VM's newest report on a service; stamp in ms."""
        self._reports_by_service[report.service] = messages.StampedReport(
            stamp, _bounded(report)
        )

    def take(
        self,
        homes_by_service: typing.Mapping[str, typing.Iterable[str]],
        now: float,
        stamp: int,
    ) -> list[Batch]:
        """Return the batches to send now.

        ``homes_by_service`` names the other home VMs of each service that
        this VM is home to.
        """
        self._earn(now)
        due_by_vm: dict[str, list[str]] = {}
        targets = set()
        for service, vm_ids in homes_by_service.items():
            if service not in self._reports_by_service:
                continue
            for vm_id in vm_ids:
                targets.add(_Target(vm_id, service))
                if self._is_due(_Target(vm_id, service), now):
                    due_by_vm.setdefault(vm_id, []).append(service)
        for target in self._sent_by_target.keys() - targets:
            del self._sent_by_target[target]
        batches = []
        for vm_id, services in sorted(due_by_vm.items(), key=self._urgency):
            batch = self._fill(vm_id, services, now, stamp)
            if batch is not None:
                batches.append(batch)
        return batches

    def _earn(self, now: float) -> None:
        earned = (now - self._bytes_at) * BYTE_RATE
        self._bytes = min(BYTE_BURST, self._bytes + earned)
        self._bytes_at = now

    def _is_due(self, target: _Target, now: float) -> bool:
        sent = self._sent_by_target.get(target)
        if sent is None:
            return True
        report = self._reports_by_service[target.service].report
        if has_urgent_news(report.instances, sent.instances):
            return True
        waited = now - sent.time
        refresh = REFRESH_INTERVAL if report.instances else QUIET_INTERVAL
        if waited >= refresh:
            return True
        if waited < SEND_INTERVAL:
            return False
        return has_changed(report.instances, sent.instances)

    def _urgency(self, due: tuple[str, list[str]]) -> tuple[bool, float]:
        """Put urgent news first, then who has waited longest."""
        vm_id, services = due
        urgent = False
        oldest = float("inf")
        for service in services:
            sent = self._sent_by_target.get(_Target(vm_id, service))
            before = () if sent is None else sent.instances
            report = self._reports_by_service[service].report
            urgent = urgent or has_urgent_news(report.instances, before)
            oldest = min(oldest, 0.0 if sent is None else sent.time)
        return not urgent, oldest

    def _fill(
        self, vm_id: str, services: list[str], now: float, stamp: int
    ) -> Batch | None:
        size = BATCH_OVERHEAD
        reports = []
        for service in services:
            stamped = self._reports_by_service[service]
            added = len(msgspec.msgpack.encode(stamped))
            full = size + added > BATCH_SIZE + BATCH_OVERHEAD
            if full or size + added > self._bytes:
                continue
            size += added
            reports.append(stamped)
            self._sent_by_target[_Target(vm_id, service)] = _Sent(
                stamped.report.instances, now
            )
        if not reports:
            return None
        self._bytes -= size
        return Batch(vm_id, messages.EvidenceBatch(stamp, tuple(reports)))


def _bounded(report: evidence.Report) -> evidence.Report:
    """Keep what fits one batch: draining instances, then the worst."""
    names = report.vm_id + report.domain + report.service
    room = BATCH_SIZE - REPORT_OVERHEAD - len(names.encode())
    kept = []
    for each in sorted(
        report.instances, key=lambda each: (not each.draining, -each.score)
    ):
        room -= len(msgspec.msgpack.encode(each))
        if room < 0:
            break
        kept.append(each)
    kept.sort(key=lambda each: each.instance_id)
    return report._replace(instances=tuple(kept))


class _SenderClock(typing.NamedTuple):
    incarnation: int
    offset: float  # The least seen of receive time minus send time, seconds.


class Inbox:
    """Holds the latest report of each other home VM on each service."""

    def __init__(self) -> None:
        self._clocks_by_vm: dict[str, _SenderClock] = {}
        self._held_by_target: dict[_Target, HeldReport] = {}

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
            target = _Target(sender.vm_id, stamped.report.service)
            self._held_by_target[target] = report
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
        before = self._held_by_target.get(
            _Target(sender.vm_id, report.service)
        )
        if before is None or before.incarnation != held.incarnation:
            return None
        if held.measured < before.measured:
            return RejectionReason.OVERTAKEN
        return None

    def forget(self, vm_id: str) -> None:
        """Drop all that a VM said which has gone."""
        self._clocks_by_vm.pop(vm_id, None)
        for target in list(self._held_by_target):
            if target.vm_id == vm_id:
                del self._held_by_target[target]

    def reports(
        self,
        service: str,
        state_of: typing.Callable[[str], members.State],
        now: float,
    ) -> list[evidence.Report]:
        """Return the reports on a service that have weight now."""
        found = []
        for target, held in sorted(self._held_by_target.items()):
            if target.service != service:
                continue
            if now - held.measured >= EVIDENCE_AGE:
                continue
            if state_of(target.vm_id) is members.State.GONE:
                continue
            found.append(held.report)
        return found
