"""Joins a VM to its fleet: settings in, documents and members out."""

import random
import time
import typing

import trio

from primrosemill.configuration import checks
from primrosemill.configuration import document as documents
from primrosemill.decisions import evidence
from primrosemill.fleet import feed
from primrosemill.fleet import feed_follower
from primrosemill.fleet import members
from primrosemill.fleet import membership
from primrosemill.fleet import node
from primrosemill.fleet import observations
from primrosemill.proxy import peer_counters
from primrosemill.proxy import settings as proxy_settings
from primrosemill.proxy import status
from primrosemill.telemetry import events

NANOSECONDS_PER_MS = 1_000_000
OnDocument = typing.Callable[[documents.Document], None]


class FeedHooks(typing.NamedTuple):
    """What is told of changes in the feed and of what peers met."""

    on_change: feed_follower.ChangeHandler
    on_sightings: node.SightingsHandler
    on_departure: node.DepartureHandler


class Peers:
    """Follows the configuration and the members of the fleet."""

    def __init__(
        self,
        settings: proxy_settings.Settings,
        platform: node.Platform,
        on_document: OnDocument,
        counters: peer_counters.PeerCounters,
        generator: random.Random,
        homes_by_service: node.HomesByService = dict,
        feed_hooks: FeedHooks | None = None,
    ) -> None:
        self.first = trio.Event()
        self.document = documents.empty_document(settings.fleet)
        self._on_document = on_document
        self._counters = counters
        self._store_reachable = True
        identity = node.Identity(
            settings.fleet,
            settings.vm_id,
            settings.ip,
            settings.peer_port,
            settings.domain,
            time.time_ns() // NANOSECONDS_PER_MS,
            settings.peer_key,
            settings.carries,
        )
        hooks = node.Hooks(self._set_document, homes_by_service, self._observe)
        if feed_hooks is not None:
            hooks = hooks._replace(**feed_hooks._asdict())
        self.node = node.Node(
            identity,
            first_peers(settings.first_peers),
            platform._replace(list_port=settings.peer_port),
            hooks,
            generator,
        )

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Take part in the fleet; reports the port for peers."""
        await self.node.run(task_status=task_status)

    def put_report(self, report: evidence.Report) -> None:
        """Take this VM's newest evidence on a service."""
        self.node.put_report(report)

    def reports(self, service: str) -> list[evidence.Report]:
        """Return what the other home VMs report on a service."""
        return self.node.reports(service)

    def is_live(self, vm_id: str) -> bool:
        """Tell whether a VM was heard lately."""
        if self.node.membership is None:
            return False
        member = self.node.membership.table.members_by_id.get(vm_id)
        return member is not None and member.state is members.State.LIVE

    @property
    def changes(self) -> int:
        """Return a number that rises with each change of the members."""
        if self.node.membership is None:
            return 0
        return self.node.membership.table.changes

    def address_of(self, vm_id: str) -> str | None:
        """Return the IP number of another VM; None for one that is gone."""
        if self.node.membership is None:
            return None
        entry = self.node.membership.table.present_by_id.get(vm_id)
        return None if entry is None else entry.ip

    def present(self) -> list[members.Member]:
        """Return the other VMs that are not gone."""
        if self.node.membership is None:
            return []
        table = self.node.membership.table
        return [table.members_by_id[vm_id] for vm_id in table.present_by_id]

    def members(self) -> list[status.MemberStatus]:
        """Return the other VMs of the fleet as this one sees them."""
        if self.node.membership is None:
            return []
        table = self.node.membership.table
        return [
            status.MemberStatus(
                id=vm_id,
                ip=member.entry.ip,
                domain=member.entry.domain,
                state=member.state.value,
                version=self.node.spread.version_heard(vm_id),
            )
            for vm_id, member in sorted(table.members_by_id.items())
        ]

    def _set_document(self, document: documents.Document) -> None:
        self.document = document
        self._on_document(document)
        events.emit(
            events.CONFIGURATION_IN_FORCE,
            version=document.version,
            digest=document.digest,
            services=len(document.services_by_name),
        )
        self.first.set()

    def _observe(self, observation: observations.Observation) -> None:
        peer_counters.count(observation, self._counters)
        if isinstance(observation, observations.StoreFailed):
            self._note_unreachable(observation.fault)
        elif isinstance(observation, observations.StoreAnswered):
            self._note_reachable()
        elif isinstance(observation, observations.VersionRefused):
            self._log_refusal(observation.faults)
        elif isinstance(observation, observations.VersionConflict):
            self._log_refusal((observation.fault,))
        elif isinstance(observation, observations.HistoryLost):
            events.emit(
                events.FEED_HISTORY_LOST, **observation.after._asdict()
            )
        elif isinstance(observation, observations.EpochBegan):
            events.emit(events.FEED_EPOCH_BEGAN, **observation._asdict())
        elif isinstance(observation, observations.BadItemRead):
            events.emit(events.VALUE_REFUSED, **observation.bad._asdict())
        elif isinstance(observation, observations.MemberChanged):
            events.emit(events.MEMBER_CHANGED, **observation._asdict())
        elif isinstance(observation, observations.WatchChanged):
            events.emit(events.WATCH_CHANGED, **observation._asdict())

    def _log_refusal(self, faults: tuple[typing.Any, ...]) -> None:
        events.emit(
            events.CONFIGURATION_REFUSED,
            version=self.document.version,
            faults=[repr(fault) for fault in faults],
        )

    def _note_unreachable(self, fault: feed.FeedFault) -> None:
        if self._store_reachable:
            self._store_reachable = False
            events.emit(events.STORE_UNREACHABLE, fault=repr(fault))

    def _note_reachable(self) -> None:
        if not self._store_reachable:
            self._store_reachable = True
            events.emit(events.STORE_REACHABLE)


def first_peers(addresses: tuple[str, ...]) -> tuple[membership.Peer, ...]:
    """Return the peers that the settings name as ``ip:port``."""
    found = []
    for address in addresses:
        split = checks.split_address(address)
        if split is not None:
            found.append(membership.Peer(*split))
    return tuple(found)
