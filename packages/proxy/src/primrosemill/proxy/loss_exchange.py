"""Tells other VMs how many requests this VM loses, and applies what they tell.

A VM that serves all its requests would otherwise keep to the few instances
that it knows best, while others stand idle and the fleet serves too little.
"""

import typing

import trio

from primrosemill.decisions import service_losses
from primrosemill.fleet import messages
from primrosemill.proxy import balancers as service_balancers
from primrosemill.proxy import entry_view
from primrosemill.telemetry import events

MILLI = 1_000  # thousandths of a request per second are sent
MAX_SERVICES = 8  # in one message
MAX_RECIPIENTS = 48  # entry points that are told at once


class _State(typing.NamedTuple):
    """Whether a service may be failing, and whether it is degraded."""

    suspected: bool
    degraded: bool


_CALM = _State(False, False)
Send = typing.Callable[
    [messages.Message, typing.Iterable[str]], typing.Awaitable[None]
]


class LossExchange:
    """Exchanges the losses of requests with the entry points of the fleet."""

    def __init__(
        self,
        balancers: service_balancers.Balancers,
        view: entry_view.EntryView,
    ) -> None:
        self._balancers = balancers
        self._view = view
        self._first_recipient = 0
        self._states_by_service: dict[str, _State] = {}

    def update_view(self) -> None:
        """Apply the current number of entry points."""
        vm_count = max(1, len(self._view.all_entry_point_ids()))
        for losses in self._balancers.losses_by_service().values():
            losses.vm_count = vm_count

    def apply(self, vm_id: str, message: messages.Losses) -> None:
        """Apply what another VM loses."""
        now = trio.current_time()
        losses_by_service = self._balancers.losses_by_service()
        for each in message.losses:
            losses = losses_by_service.get(each.service)
            if losses is None:
                continue
            report = service_losses.Report(
                each.lost_milli_rate / MILLI, each.total_milli_rate / MILLI
            )
            losses.record_peer(vm_id, report, now)

    async def send_reports(self, send: Send) -> None:
        """Report what this VM loses, until cancelled."""
        while True:
            await trio.sleep(service_losses.CHECK_INTERVAL)
            now = trio.current_time()
            self._balancers.record_overdue()
            self._log_changes(now)
            reports = self._take_reports(now)
            for first in range(0, len(reports), MAX_SERVICES):
                part = tuple(reports[first : first + MAX_SERVICES])
                await send(messages.Losses(part), self._next_recipients())

    def _take_reports(self, now: float) -> list[messages.ServiceLoss]:
        reports = []
        for service, losses in self._balancers.losses_by_service().items():
            report = losses.take_report(now)
            if report is None:
                continue
            reports.append(
                messages.ServiceLoss(
                    service,
                    round(report.lost_rate * MILLI),
                    round(report.total_rate * MILLI),
                )
            )
        return reports

    def _next_recipients(self) -> tuple[str, ...]:
        """Return entry points; all of a large fleet get their turn."""
        ids = self._view.all_entry_point_ids()
        if len(ids) <= MAX_RECIPIENTS:
            return ids
        first = self._first_recipient % len(ids)
        self._first_recipient = first + MAX_RECIPIENTS
        return (ids + ids)[first : first + MAX_RECIPIENTS]

    def _log_changes(self, now: float) -> None:
        previous_by_service = self._states_by_service
        self._states_by_service = {}
        for service, losses in self._balancers.losses_by_service().items():
            suspected = losses.may_be_failing(now)
            state = _State(suspected, suspected and losses.is_failing(now))
            self._states_by_service[service] = state
            if state == previous_by_service.get(service, _CALM):
                continue
            own = losses.own_rates()
            fleet = losses.fleet_rates(now)
            events.emit(
                events.SERVICE_DEGRADED,
                service=service,
                degraded=state.degraded,
                suspected=state.suspected,
                lost_rate=round(own.lost_rate, 2),
                total_rate=round(own.total_rate, 2),
                fleet_lost_rate=round(fleet.lost_rate, 2),
                fleet_total_rate=round(fleet.total_rate, 2),
                reporters=losses.reporter_count,
            )
