"""Decides what evidence to tell the other home VMs, and what to believe.

Pure. What changed or still matters is sent, within a byte budget; signs that
an instance drains go first and at once. A report counts only while its
sender is live under the same incarnation and its evidence is young by this
VM's own clock.
"""

import enum
import typing

import msgspec

from primrosemill.decisions import evidence
from primrosemill.decisions import standings
from primrosemill.fleet import members
from primrosemill.fleet import messages

SEND_INTERVAL = 0.5  # seconds between batches to one peer
REFRESH_INTERVAL = 2.0  # seconds after which an abnormal score is repeated
EVIDENCE_AGE = 5.0  # seconds for which a report has weight
OUT_OF_ROTATION = frozenset({standings.State.AVOIDED, standings.State.EJECTED})
SCORE_STEP = 0.5  # change of a score that is worth a message
BYTE_RATE = 6_000.0  # bytes a second that this VM may send
BYTE_BURST = 6_000.0  # bytes
BATCH_SIZE = 1_000  # bytes of reports in one batch


class RejectionReason(enum.StrEnum):
    """Why a report has no weight."""

    PEER_NOT_LIVE = "peer_not_live"
    OTHER_INCARNATION = "other_incarnation"
    OLD_EVIDENCE = "old_evidence"
    WRONG_REPORTER = "wrong_reporter"


class Batch(typing.NamedTuple):
    """A batch and the VM that it goes to."""

    vm_id: str
    message: messages.EvidenceBatch


class HeldReport(typing.NamedTuple):
    """A report that has weight until it expires, by this VM's clock."""

    report: evidence.Report
    incarnation: int
    expires: float


class _Sent(typing.NamedTuple):
    evidence: evidence.InstanceEvidence
    time: float


class _InstanceKey(typing.NamedTuple):
    vm_id: str
    service: str
    instance_id: str


def is_worth_sending(
    new: evidence.InstanceEvidence,
    sent: evidence.InstanceEvidence | None,
    sent_age: float,
) -> bool:
    """Tell whether a peer should hear this of an instance."""
    abnormal = new.draining or new.state is not standings.State.IN_ROTATION
    if sent is None:
        return abnormal or new.well or abs(new.score) >= SCORE_STEP
    if new.state != sent.state or new.draining != sent.draining:
        return True
    if new.well != sent.well:
        return True
    if abs(new.score - sent.score) >= SCORE_STEP:
        return True
    abnormal = abnormal or abs(new.score) >= SCORE_STEP
    return abnormal and sent_age >= REFRESH_INTERVAL


def _is_urgent(each: evidence.InstanceEvidence) -> bool:
    """Tell whether peers should stop sending work to an instance."""
    return each.draining or each.state in OUT_OF_ROTATION


class Outbox:
    """Chooses what this VM tells each other home VM."""

    def __init__(self, now: float) -> None:
        self._reports_by_service: dict[str, messages.StampedReport] = {}
        self._sent_by_key: dict[_InstanceKey, _Sent] = {}
        self._sent_at_by_vm: dict[str, float] = {}
        self._urgent_ids: set[str] = set()
        self._bytes = BYTE_BURST
        self._bytes_at = now

    def put(self, report: evidence.Report, stamp: int) -> None:
        """Take this VM's newest report on a service; stamp in ms."""
        before = self._reports_by_service.get(report.service)
        told = set()
        if before is not None:
            told = {
                each.instance_id
                for each in before.report.instances
                if _is_urgent(each)
            }
        for each in report.instances:
            if _is_urgent(each) and each.instance_id not in told:
                self._urgent_ids.add(report.service)
        self._reports_by_service[report.service] = messages.StampedReport(
            stamp, report
        )

    def take(
        self,
        homes_by_service: typing.Mapping[str, typing.Iterable[str]],
        now: float,
        stamp: int,
    ) -> list[Batch]:
        """Return the batches to send now.

        ``homes_by_service`` names the other home VMs of each service.
        """
        earned = (now - self._bytes_at) * BYTE_RATE
        self._bytes = min(BYTE_BURST, self._bytes + earned)
        self._bytes_at = now
        services_by_vm: dict[str, list[str]] = {}
        for service, vm_ids in homes_by_service.items():
            if service not in self._reports_by_service:
                continue
            for vm_id in vm_ids:
                services_by_vm.setdefault(vm_id, []).append(service)
        batches = []
        for vm_id, services in sorted(services_by_vm.items()):
            batch = self._batch_for(vm_id, services, now, stamp)
            if batch is not None:
                batches.append(batch)
        self._urgent_ids.clear()
        self._forget_strangers(services_by_vm)
        return batches

    def _batch_for(
        self, vm_id: str, services: list[str], now: float, stamp: int
    ) -> Batch | None:
        urgent = [each for each in services if each in self._urgent_ids]
        due = now - self._sent_at_by_vm.get(vm_id, -SEND_INTERVAL)
        if due < SEND_INTERVAL and not urgent:
            return None
        room = BATCH_SIZE
        reports = []
        for service in sorted(services, key=lambda each: each not in urgent):
            stamped, size = self._select(vm_id, service, now, room)
            if stamped is None:
                continue
            reports.append(stamped)
            room -= size
        if not reports:
            return None
        self._sent_at_by_vm[vm_id] = now
        return Batch(vm_id, messages.EvidenceBatch(stamp, tuple(reports)))

    def _select(
        self, vm_id: str, service: str, now: float, room: int
    ) -> tuple[messages.StampedReport | None, int]:
        """Choose the instances to report, drain signs and worst first."""
        stamped = self._reports_by_service[service]
        ordered = sorted(
            stamped.report.instances,
            key=lambda each: (not each.draining, -abs(each.score)),
        )
        chosen = []
        used = 0
        for each in ordered:
            key = _InstanceKey(vm_id, service, each.instance_id)
            sent = self._sent_by_key.get(key)
            age = now - sent.time if sent is not None else 0.0
            last = sent.evidence if sent is not None else None
            if not is_worth_sending(each, last, age):
                continue
            size = len(msgspec.msgpack.encode(each))
            if used + size > room or size > self._bytes:
                break
            used += size
            self._bytes -= size
            self._sent_by_key[key] = _Sent(each, now)
            chosen.append(each)
        if not chosen:
            return None, 0
        report = stamped.report._replace(instances=tuple(chosen))
        return stamped._replace(report=report), used

    def _forget_strangers(self, services_by_vm: dict[str, list[str]]) -> None:
        for key in list(self._sent_by_key):
            if key.service not in services_by_vm.get(key.vm_id, ()):
                del self._sent_by_key[key]
        for vm_id in list(self._sent_at_by_vm):
            if vm_id not in services_by_vm:
                del self._sent_at_by_vm[vm_id]


def _is_newer(
    held: HeldReport | None, incarnation: int, expires: float
) -> bool:
    """Tell whether a held report is newer than an arriving one."""
    if held is None or held.incarnation != incarnation:
        return False
    return held.expires > expires


class _SenderClock(typing.NamedTuple):
    incarnation: int
    offset: float  # The least seen of receive time minus send time, seconds.


class Inbox:
    """Holds the reports of other home VMs that have weight now."""

    def __init__(self) -> None:
        self._clocks_by_vm: dict[str, _SenderClock] = {}
        self._held_by_key: dict[_InstanceKey, HeldReport] = {}

    def take(
        self,
        sender: messages.Entry,
        state: members.State,
        incarnation: int,
        batch: messages.EvidenceBatch,
        now: float,
    ) -> list[RejectionReason]:
        """Take a batch; returns why reports of it were rejected.

        ``sender`` is the sender's entry in this VM's table and
        ``incarnation`` the one that sealed the message.
        """
        if state is members.State.GONE:
            return [RejectionReason.PEER_NOT_LIVE]
        if incarnation != sender.incarnation:
            return [RejectionReason.OTHER_INCARNATION]
        offset = self._offset(sender, batch.stamp, now)
        rejected = []
        for stamped in batch.reports:
            reason = self._take_report(sender, stamped, offset, now)
            if reason is not None:
                rejected.append(reason)
        return rejected

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

    def _take_report(
        self,
        sender: messages.Entry,
        stamped: messages.StampedReport,
        offset: float,
        now: float,
    ) -> RejectionReason | None:
        report = stamped.report
        if (report.vm_id, report.domain) != (sender.vm_id, sender.domain):
            return RejectionReason.WRONG_REPORTER
        expires = stamped.stamp / 1_000 + offset + EVIDENCE_AGE
        if expires <= now:
            return RejectionReason.OLD_EVIDENCE
        expires = min(expires, now + EVIDENCE_AGE)
        for each in report.instances:
            key = _InstanceKey(sender.vm_id, report.service, each.instance_id)
            held = self._held_by_key.get(key)
            if _is_newer(held, sender.incarnation, expires):
                continue
            self._held_by_key[key] = HeldReport(
                report._replace(instances=(each,)),
                sender.incarnation,
                expires,
            )
        return None

    def reports(
        self,
        service: str,
        states_by_id: typing.Callable[[str], members.State],
        now: float,
    ) -> list[evidence.Report]:
        """Return the reports on a service that have weight now."""
        instances_by_vm: dict[str, list[evidence.InstanceEvidence]] = {}
        domains_by_vm: dict[str, str] = {}
        for key, held in list(self._held_by_key.items()):
            if held.expires <= now:
                del self._held_by_key[key]
                continue
            if key.service != service:
                continue
            if states_by_id(key.vm_id) is members.State.GONE:
                continue
            instances_by_vm.setdefault(key.vm_id, []).extend(
                held.report.instances
            )
            domains_by_vm[key.vm_id] = held.report.domain
        return [
            evidence.Report(
                vm_id, domains_by_vm[vm_id], service, tuple(instances)
            )
            for vm_id, instances in sorted(instances_by_vm.items())
        ]
