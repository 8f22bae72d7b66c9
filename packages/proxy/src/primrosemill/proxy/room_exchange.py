"""Tells other VMs what this VM holds of a service, and applies what they tell.

Nothing is sent or changed while no VM lacks free slots in its own domain.
"""

import typing

import trio

from primrosemill.fleet import messages
from primrosemill.proxy import balancers as service_balancers
from primrosemill.proxy import entry_view
from primrosemill.telemetry import events

from primrosemill.decisions.room import service_room

MAX_SERVICES = 8  # in one message
MAX_DOMAINS = 16  # of which a service's requests in flight are sent
# Bytes that a VM sends in an interval between reports: 8 KB/s, a half of what
# all control messages may use.
MAX_BYTES = 5_600
ENVELOPE_SIZE = 80  # bytes of a message with its envelope, about
SERVICE_SIZE = 45  # bytes of a service in a message, about

Send = typing.Callable[
    [messages.Message, typing.Iterable[str]], typing.Awaitable[None]
]


class RoomExchange:
    """Exchanges the load of services with the entry points of the fleet."""

    def __init__(
        self,
        balancers: service_balancers.Balancers,
        view: entry_view.EntryView,
        enabled: bool = True,
    ) -> None:
        self._balancers = balancers
        self._view = view
        self._enabled = enabled
        self._first_recipient = 0
        self._short_services: frozenset[str] = frozenset()

    def update_view(self) -> None:
        """Apply the current number of entry points."""
        peer_count = max(0, len(self._view.all_entry_point_ids()) - 1)
        for each in self._balancers.allocations_by_service().values():
            each.room.peer_count = peer_count

    def apply(self, vm_id: str, message: messages.Room) -> None:
        """Apply what another VM holds of services."""
        now = trio.current_time()
        allocations_by_service = self._balancers.allocations_by_service()
        for each in message.services:
            allocation = allocations_by_service.get(each.service)
            if allocation is None:
                continue
            report = service_room.Report(
                each.domain, each.short, each.waiting, dict(each.in_flight)
            )
            allocation.room.record_peer(vm_id, report, now, now)

    async def run(self, send: Send) -> None:
        """Report and decide which domains to use, until cancelled."""
        while self._enabled:
            await trio.sleep(service_room.CHECK_INTERVAL)
            now = trio.current_time()
            reports = self._take_reports(now)
            for first in range(0, len(reports), MAX_SERVICES):
                part = tuple(reports[first : first + MAX_SERVICES])
                message = messages.Room(part)
                await send(message, self._next_recipients(len(part)))

    def _take_reports(self, now: float) -> list[messages.ServiceRoom]:
        reports = []
        short_services = set()
        for service, each in self._balancers.allocations_by_service().items():
            each.update_room(now)
            if each.room.is_short(now):
                short_services.add(service)
            if not each.room.is_report_due(now):
                continue
            report = each.room_report(now)
            in_flight = tuple(
                messages.InFlight(domain, count)
                for domain, count in report.in_flight_by_domain.items()
            )
            reports.append(
                messages.ServiceRoom(
                    service,
                    report.domain,
                    report.short,
                    report.waiting,
                    in_flight[:MAX_DOMAINS],
                )
            )
        self._log_changes(frozenset(short_services))
        return reports

    def _next_recipients(self, service_count: int) -> tuple[str, ...]:
        """Return entry points; all of a large fleet get their turn."""
        size = ENVELOPE_SIZE + SERVICE_SIZE * service_count
        count = MAX_BYTES // size
        ids = self._view.all_entry_point_ids()
        if len(ids) <= count:
            return ids
        first = self._first_recipient % len(ids)
        self._first_recipient = first + count
        return (ids + ids)[first : first + count]

    def _log_changes(self, short_services: frozenset[str]) -> None:
        for service in short_services ^ self._short_services:
            events.emit(
                events.SERVICE_SHORT,
                service=service,
                short=service in short_services,
            )
        self._short_services = short_services
