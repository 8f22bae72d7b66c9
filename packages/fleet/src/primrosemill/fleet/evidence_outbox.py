"""Decides when to send evidence to the other home VMs of a service.

The home VMs of a service handle its requests, and each reports to the others
how the instances perform. A message holds the whole report on a service, so a
lost message only delays it until the next one. A report is sent when it has
changed, and is refreshed at intervals, within a byte budget. If an instance
drains or leaves the rotation, the report is sent without delay. The module
does no I/O; times are in seconds.
"""

import typing

import msgspec

from primrosemill.decisions import evidence
from primrosemill.decisions import standings
from primrosemill.fleet import messages

SEND_INTERVAL = 0.25  # seconds between reports on a service to one VM
# Seconds after which an unchanged report is repeated. Short enough that a
# report with instances does not expire on peers when one message is lost.
REFRESH_INTERVAL = 1.0
EMPTY_REFRESH_INTERVAL = 2.0  # the same for a report without instances
OUT_OF_ROTATION = frozenset({standings.State.AVOIDED, standings.State.EJECTED})
MIN_SCORE_CHANGE = 0.5  # change of a score that causes a message
BYTE_RATE = 4_000.0  # bytes of evidence that this VM may send per second
BYTE_BURST = 4_000.0  # bytes
BATCH_SIZE_LIMIT = 1_000  # bytes of reports in one batch
BATCH_OVERHEAD = 110  # bytes of a message without its reports
REPORT_OVERHEAD = 12  # bytes of a report without its names and instances


class Batch(typing.NamedTuple):
    """A batch of reports and its destination VM."""

    vm_id: str
    message: messages.EvidenceBatch


class _Target(typing.NamedTuple):
    vm_id: str
    service: str


class _SentReport(typing.NamedTuple):
    instances: tuple[evidence.InstanceEvidence, ...]
    sent_at: float


def has_changed(
    new: tuple[evidence.InstanceEvidence, ...],
    old: tuple[evidence.InstanceEvidence, ...],
) -> bool:
    """Return whether to send a report before its refresh is due."""
    old_by_id = {each.instance_id: each for each in old}
    if old_by_id.keys() != {each.instance_id for each in new}:
        return True
    for each in new:
        previous = old_by_id[each.instance_id]
        if abs(each.score - previous.score) >= MIN_SCORE_CHANGE:
            return True
        same = previous._replace(score=each.score, requests=each.requests)
        if each != same:
            return True
    return False


def _is_urgent(each: evidence.InstanceEvidence) -> bool:
    """Return whether peers should stop sending work to an instance."""
    return each.draining or each.state in OUT_OF_ROTATION


def has_urgent_change(
    new: tuple[evidence.InstanceEvidence, ...],
    old: tuple[evidence.InstanceEvidence, ...],
) -> bool:
    """Return whether an instance has become one that peers should avoid."""
    sent_ids = {each.instance_id for each in old if _is_urgent(each)}
    return any(
        _is_urgent(each) and each.instance_id not in sent_ids for each in new
    )


class Outbox:
    """Holds this VM's reports and chooses those due to each home VM."""

    def __init__(self, now: float) -> None:
        self._reports_by_service: dict[str, messages.TimedReport] = {}
        self._sent_by_target: dict[_Target, _SentReport] = {}
        self._byte_budget = BYTE_BURST
        self._budget_refilled_at = now

    def put(self, report: evidence.Report, measured_at_ms: int) -> None:
        """Set this VM's newest report on a service."""
        self._reports_by_service[report.service] = messages.TimedReport(
            measured_at_ms, _truncate(report)
        )

    def take(
        self,
        homes_by_service: typing.Mapping[str, typing.Iterable[str]],
        now: float,
        now_ms: int,
    ) -> list[Batch]:
        """Return the batches to send now and count them as sent.

        ``homes_by_service`` names the other home VMs of each service that
        this VM is a home VM of.
        """
        self._refill_budget(now)
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
        for vm_id, services in sorted(
            due_by_vm.items(), key=self._send_priority
        ):
            batch = self._build_batch(vm_id, services, now, now_ms)
            if batch is not None:
                batches.append(batch)
        return batches

    def _refill_budget(self, now: float) -> None:
        earned = (now - self._budget_refilled_at) * BYTE_RATE
        self._byte_budget = min(BYTE_BURST, self._byte_budget + earned)
        self._budget_refilled_at = now

    def _is_due(self, target: _Target, now: float) -> bool:
        sent = self._sent_by_target.get(target)
        if sent is None:
            return True
        report = self._reports_by_service[target.service].report
        if has_urgent_change(report.instances, sent.instances):
            return True
        waited = now - sent.sent_at
        refresh = (
            REFRESH_INTERVAL if report.instances else EMPTY_REFRESH_INTERVAL
        )
        if waited >= refresh:
            return True
        if waited < SEND_INTERVAL:
            return False
        return has_changed(report.instances, sent.instances)

    def _send_priority(self, due: tuple[str, list[str]]) -> tuple[bool, float]:
        """Return a sort key: urgent changes first, then the longest wait."""
        vm_id, services = due
        urgent = False
        oldest = float("inf")
        for service in services:
            sent = self._sent_by_target.get(_Target(vm_id, service))
            previous = () if sent is None else sent.instances
            report = self._reports_by_service[service].report
            urgent = urgent or has_urgent_change(report.instances, previous)
            oldest = min(oldest, 0.0 if sent is None else sent.sent_at)
        return not urgent, oldest

    def _build_batch(
        self, vm_id: str, services: list[str], now: float, now_ms: int
    ) -> Batch | None:
        """Return a batch of the reports that fit, or None without any."""
        size = BATCH_OVERHEAD
        reports = []
        for service in services:
            timed_report = self._reports_by_service[service]
            added = len(msgspec.msgpack.encode(timed_report))
            full = size + added > BATCH_SIZE_LIMIT + BATCH_OVERHEAD
            if full or size + added > self._byte_budget:
                continue
            size += added
            reports.append(timed_report)
            self._sent_by_target[_Target(vm_id, service)] = _SentReport(
                timed_report.report.instances, now
            )
        if not reports:
            return None
        self._byte_budget -= size
        return Batch(vm_id, messages.EvidenceBatch(now_ms, tuple(reports)))


def _truncate(report: evidence.Report) -> evidence.Report:
    """Return a report that fits into one batch.

    Draining instances are kept first, then those with the highest scores.
    """
    names = report.vm_id + report.domain + report.service
    size_left = BATCH_SIZE_LIMIT - REPORT_OVERHEAD - len(names.encode())
    kept = []
    for each in sorted(
        report.instances, key=lambda each: (not each.draining, -each.score)
    ):
        size_left -= len(msgspec.msgpack.encode(each))
        if size_left < 0:
            break
        kept.append(each)
    kept.sort(key=lambda each: each.instance_id)
    return report._replace(instances=tuple(kept))
