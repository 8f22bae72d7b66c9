"""Keeps a VM's view of instances' limits in step with the other VMs.

It sets the view of the fleet from which this VM's parts of limits follow, logs
limits and parts, and tells other VMs of limits.
"""

import typing

import trio

from primrosemill.configuration import document as documents
from primrosemill.decisions import instance_limits
from primrosemill.decisions import limit_shares
from primrosemill.fleet import members
from primrosemill.proxy import counters
from primrosemill.proxy import entry_view
from primrosemill.proxy import instance_observations
from primrosemill.proxy import limit_tracker
from primrosemill.proxy import notifier as notifiers
from primrosemill.proxy import peers as fleet_peers
from primrosemill.telemetry import events


class _Process(typing.NamedTuple):
    """One run of the process of another VM."""

    vm_id: str
    incarnation: int


class LimitExchange:
    """Exchanges limits with the other VMs of the fleet."""

    def __init__(
        self,
        shares: limit_shares.LimitShares,
        tracker: limit_tracker.LimitTracker,
        notifier: notifiers.Notifier,
        counts: counters.Counters,
    ) -> None:
        self._shares = shares
        self._tracker = tracker
        self._notifier = notifier
        self._counts = counts
        self._known_processes: frozenset[_Process] = frozenset()

    def set_view(
        self,
        view: entry_view.EntryView,
        peers: fleet_peers.Peers,
        services: typing.Iterable[documents.Service],
    ) -> None:
        """Set the view of the fleet that decides this VM's parts.

        First peers that were never met may be behind a cut.
        """
        domains = {
            instance.domain
            for service in services
            for instance in service.instances
        }
        limit_view = limit_shares.View(
            {domain: view.entry_points_of(domain) for domain in domains},
            1 + len(peers.present_members()),
            max(peers.lost_count(), peers.unmet_count()),
        )
        self._shares.set_view(limit_view, trio.current_time())

    def inform_newcomers(
        self, accepting_callers: typing.Iterable[members.Member]
    ) -> None:
        """Tell processes that accept callers since now of limits.

        They would exceed a limit until their first answer that names it.
        """
        processes = frozenset(
            _Process(member.entry.vm_id, member.entry.incarnation)
            for member in accepting_callers
        )
        newcomers = processes - self._known_processes
        self._known_processes = processes
        if not newcomers:
            return
        now = trio.current_time()
        self._notifier.add_newcomers(
            sorted(each.vm_id for each in newcomers),
            self._tracker.updates_to_repeat(now),
            now,
        )

    def on_update(self, update: instance_observations.LimitUpdate) -> None:
        """Log a change of a limit; tell peers what an answer to this VM said.

        A limit that a peer reported is not forwarded.
        """
        now = trio.current_time()
        self._counts.announcements.count(_kind_of(update))
        from_answer = update.source == instance_observations.SOURCE_ANSWER
        if from_answer and update.fault is None:
            self._notifier.add_limit(update, now)
        change = update.change or instance_limits.Change(None, None)
        age = 0.0
        if update.statement is not None:
            age = now - update.statement.received_at
        events.emit(
            events.INSTANCE_LIMIT,
            service=update.service,
            instance_id=update.instance.id,
            boot=update.instance.boot,
            limit=change.current,
            previous=change.previous,
            age=round(age, 3),
            source=update.source,
            request_id=update.request_id,
            fault=repr(update.fault) if update.fault is not None else "",
        )

    def log_share_changes(self) -> None:
        """Log the parts of limits that changed since the last call."""
        view = self._shares.view
        for change in self._tracker.take_share_changes(trio.current_time()):
            own_rate = change.own_rate
            events.emit(
                events.LIMIT_SHARE,
                service=change.service,
                instance_id=change.instance.id,
                boot=change.instance.boot,
                limit=change.limit,
                own_rate=None if own_rate is None else round(own_rate, 3),
                present=view.present_count,
                lost=view.lost_count,
            )


def _kind_of(
    update: instance_observations.LimitUpdate,
) -> counters.Announcement:
    if update.fault is not None:
        return counters.Announcement.DAMAGED_LIMIT
    if update.source == instance_observations.SOURCE_PEER:
        return counters.Announcement.LIMIT_TOLD_BY_PEER
    return counters.Announcement.LIMIT
