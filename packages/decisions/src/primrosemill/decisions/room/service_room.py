"""What the entry points of the fleet hold of one service, by failure domain.

A VM knows its own requests at each instance, but not those of others. While
some VM is short of free slots in its own domain, the entry points tell each
other how many requests they have in flight in each domain. Their sum is the
load of the domain; the slots are known from the feed. See
docs/design/room.md. Times are in seconds.
"""

import math
import typing

REPORT_INTERVAL = 0.7  # seconds between two reports of a VM
CHECK_INTERVAL = 0.1  # seconds between checks for something to report
# A report is valid for two intervals, and for what a busy VM is late.
REPORT_LIFETIME = 1.5  # seconds
# A VM is short if this share of its latest requests found no free slot at
# home, and stays so for some time without requests. A single request that
# finds none is common: it says nothing of the domain.
MIN_SHORT_SHARE = 0.5
SHORT_SHARE_WEIGHT = 0.25  # of the latest request
SHORT_TIME = 1.0  # seconds
# Share of the other entry points that must have reported for a sum to be
# used. With fewer, it would take a domain for idle that is not.
MIN_HEARD_SHARE = 0.8
MAX_REPORTERS = 1_000  # VMs whose reports are kept


class Report(typing.NamedTuple):
    """What one VM reports of its requests for a service.

    ``short`` is set if it lacks free slots in its own failure domain
    ``domain``. ``in_flight_by_domain`` counts its requests at the instances
    of each domain.
    """

    domain: str
    short: bool
    waiting: int
    in_flight_by_domain: typing.Mapping[str, int]


class Totals(typing.NamedTuple):
    """Sums over the reports of all VMs.

    ``busy_by_domain`` are the requests at the instances of each domain,
    ``waiting_by_domain`` those that wait at its VMs.
    """

    busy_by_domain: dict[str, int]
    waiting_by_domain: dict[str, int]


class _PeerReport(typing.NamedTuple):
    report: Report
    measured_at: float


class ServiceRoom:
    """The reports of one service that a VM has received, and its own state.

    ``peer_count`` is the number of the other entry points of the fleet.
    """

    def __init__(self) -> None:
        self.peer_count = 0
        self._short_share = 0.0
        self._short_until = -math.inf
        self._reported_at = -math.inf
        self._peer_reports_by_id: dict[str, _PeerReport] = {}

    def record_arrival(self, has_room: bool, now: float) -> None:
        """Record whether a request found a free slot in the own domain."""
        latest = 0.0 if has_room else 1.0
        self._short_share += SHORT_SHARE_WEIGHT * (latest - self._short_share)
        if self._short_share >= MIN_SHORT_SHARE:
            self._short_until = now + SHORT_TIME

    def is_short(self, now: float) -> bool:
        """Return whether this VM lacks free slots in its own domain."""
        return now < self._short_until

    def record_peer(
        self, vm_id: str, report: Report, measured_at: float, now: float
    ) -> None:
        """Record the report of another VM unless a newer one is known."""
        known = self._peer_reports_by_id.get(vm_id)
        if known is not None and known.measured_at >= measured_at:
            return
        if known is None and len(self._peer_reports_by_id) >= MAX_REPORTERS:
            self._drop_expired(now)
            if len(self._peer_reports_by_id) >= MAX_REPORTERS:
                return
        self._peer_reports_by_id[vm_id] = _PeerReport(report, measured_at)

    def is_relevant(self, now: float) -> bool:
        """Return whether this VM or one that reports is short."""
        if self.is_short(now):
            return True
        self._drop_expired(now)
        return any(
            each.report.short for each in self._peer_reports_by_id.values()
        )

    def is_report_due(self, now: float) -> bool:
        """Return whether to report now, and count it as reported if so."""
        if now - self._reported_at < REPORT_INTERVAL:
            return False
        if not self.is_relevant(now):
            return False
        self._reported_at = now
        return True

    def totals(self, own: Report, now: float) -> Totals | None:
        """Return the sums over all VMs, or None if too few have reported."""
        self._drop_expired(now)
        reports = [each.report for each in self._peer_reports_by_id.values()]
        if len(reports) < MIN_HEARD_SHARE * self.peer_count:
            return None
        if not own.short and not any(each.short for each in reports):
            return None
        totals = Totals({}, {})
        for report in (own, *reports):
            _add(totals, report)
        return totals

    @property
    def reporter_count(self) -> int:
        """Return the number of other VMs whose reports are known."""
        return len(self._peer_reports_by_id)

    def _drop_expired(self, now: float) -> None:
        for vm_id, each in list(self._peer_reports_by_id.items()):
            if now - each.measured_at >= REPORT_LIFETIME:
                del self._peer_reports_by_id[vm_id]


def _add(totals: Totals, report: Report) -> None:
    for domain, count in report.in_flight_by_domain.items():
        busy = totals.busy_by_domain.get(domain, 0)
        totals.busy_by_domain[domain] = busy + count
    waiting = totals.waiting_by_domain.get(report.domain, 0)
    totals.waiting_by_domain[report.domain] = waiting + report.waiting
