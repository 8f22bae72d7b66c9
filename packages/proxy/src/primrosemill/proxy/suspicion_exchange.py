"""Keeps a VM's suspicions of requests in step with the other VMs.

What a VM has just learned is sent within milliseconds. The first crash under a
request, and its end, go to the entry points, at a limited rate, as an instance
that crashes ends many sound requests, too. More than one crash go to all VMs,
as each of them could send the request next.
"""

import typing

import trio

from primrosemill.decisions import fingerprints
from primrosemill.decisions import quarantine as quarantines
from primrosemill.fleet import members
from primrosemill.fleet import messages
from primrosemill.fleet import observations
from primrosemill.proxy import entry_view
from primrosemill.proxy import peers as fleet_peers
from primrosemill.proxy import request_guard
from primrosemill.proxy import suspicion_reports
from primrosemill.telemetry import events

# Time in which the requests that one crash ended are collected.
COLLECT_TIME = 0.005  # seconds
# Requests of which the entry points are told: at 48 recipients and 80 bytes
# each, this rate is two thirds of what control messages may use.
NEWS_RATE = 3.0  # per second
NEWS_BURST = 60.0
# Requests of which news wait to be sent; the oldest are dropped.
MAX_QUEUED = 256
# Requests of which a VM that starts is told.
MAX_FOR_NEWCOMER = 256

STATES_TO_TELL = (members.State.LIVE.value, members.State.LEAVING.value)

Send = typing.Callable[
    [messages.Message, typing.Iterable[str]], typing.Awaitable[None]
]


class SuspicionExchange:
    """Exchanges suspicions with the other VMs of the fleet."""

    def __init__(
        self,
        guard: request_guard.RequestGuard,
        view: entry_view.EntryView,
        peers: fleet_peers.Peers,
        started_at: float,
    ) -> None:
        self._guard = guard
        self._view = view
        self._peers = peers
        self._started_at = started_at
        # Whether all VMs have to be told of a request.
        self._queued: dict[fingerprints.Fingerprint, bool] = {}
        self._queued_event = trio.Event()
        self._newcomer_ids: dict[str, None] = {}
        self._allowance = NEWS_BURST
        self._allowed_at = started_at
        guard.on_news = self._queue
        peers.on_member_changed = self._on_member_changed

    def update_view(self) -> None:
        """Update the view of the fleet.

        First peers that were never met may be behind a cut.
        """
        lost = max(self._peers.lost_count(), self._peers.unmet_count())
        present_count = 1 + len(self._peers.present_members())
        self._guard.quarantine.view = quarantines.View(
            self._view.all_entry_point_ids(),
            present_count / (present_count + lost),
            self._started_at,
        )

    def _on_member_changed(self, change: observations.MemberChanged) -> None:
        """Tell a VM that has started, or is back from behind a cut.

        It is told when it joins the fleet, before it accepts callers.
        """
        if change.state not in STATES_TO_TELL or (
            change.before == members.State.SUSPECT.value
            and change.state == members.State.LIVE.value
        ):
            return
        if len(self._guard.quarantine):
            self._newcomer_ids[change.vm_id] = None
            self._queued_event.set()

    def apply(self, message: messages.Suspicions) -> None:
        """Apply what a peer knows."""
        now = trio.current_time()
        for suspicion in message.suspicions:
            self._guard.merge(suspicion_reports.to_report(suspicion, now))

    async def send_news(self, send: Send) -> None:
        """Send what this VM learns, until cancelled."""
        while True:
            await self._queued_event.wait()
            self._queued_event = trio.Event()
            await trio.sleep(COLLECT_TIME)
            await self._inform_newcomers(send)
            await self._send_queued(send)

    async def repeat(self, send: Send) -> None:
        """Repeat what peers may have missed, until cancelled."""
        while True:
            await trio.sleep(quarantines.REPEAT_INTERVAL)
            self._guard.forget_old()
            now = trio.current_time()
            reports = self._guard.quarantine.reports_to_repeat(now)
            recipient_ids = self._view.recipients_for(self._view.domain)
            for message in suspicion_reports.build_messages(reports, now):
                await send(message, recipient_ids)
            if self._queued:
                self._queued_event.set()

    def _queue(
        self, fingerprint: fingerprints.Fingerprint, to_all: bool
    ) -> None:
        """Queue what is known of a request."""
        if len(self._queued) >= MAX_QUEUED:
            del self._queued[next(iter(self._queued))]
            events.emit(events.NEWS_DROPPED, message="suspicions")
        to_all |= self._queued.get(fingerprint, False)
        self._queued[fingerprint] = to_all
        self._queued_event.set()

    async def _inform_newcomers(self, send: Send) -> None:
        newcomer_ids, self._newcomer_ids = self._newcomer_ids, {}
        now = trio.current_time()
        for vm_id in newcomer_ids:
            reports = self._guard.quarantine.reports_for_newcomer(vm_id)
            reports.sort(key=lambda each: len(each.crashes), reverse=True)
            for message in suspicion_reports.build_messages(
                reports[:MAX_FOR_NEWCOMER], now
            ):
                await send(message, (vm_id,))

    async def _send_queued(self, send: Send) -> None:
        now = trio.current_time()
        for_points: list[quarantines.Report] = []
        for_all: list[quarantines.Report] = []
        self._refill(now)
        for fingerprint, to_all in list(self._queued.items()):
            if not to_all and self._allowance < 1.0:
                continue
            del self._queued[fingerprint]
            report = self._guard.quarantine.report(fingerprint)
            if report is None:
                continue
            if to_all:
                for_all.append(report)
                continue
            self._allowance -= 1.0
            for_points.append(report)
        member_ids = [
            each.entry.vm_id for each in self._peers.present_members()
        ]
        for message in suspicion_reports.build_messages(for_all, now):
            await send(message, member_ids)
        recipient_ids = self._view.recipients_for(self._view.domain)
        for message in suspicion_reports.build_messages(for_points, now):
            await send(message, recipient_ids)

    def _refill(self, now: float) -> None:
        """Add what may be sent to the entry points since the last call."""
        earned = NEWS_RATE * (now - self._allowed_at)
        self._allowance = min(NEWS_BURST, self._allowance + earned)
        self._allowed_at = now
