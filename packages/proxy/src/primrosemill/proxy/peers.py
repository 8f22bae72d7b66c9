"""Connects a VM to its platform and to the other VMs of its fleet."""

import math
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
from primrosemill.fleet import messages
from primrosemill.fleet import node
from primrosemill.fleet import observations
from primrosemill.proxy import peer_counters
from primrosemill.proxy import settings as proxy_settings
from primrosemill.proxy import status
from primrosemill.telemetry import events

NANOSECONDS_PER_MS = 1_000_000
# Events with the fields of an observation, of which nothing else follows.
EVENTS_BY_TYPE = {
    observations.FeedVoucherChanged: events.FEED_VOUCHER_CHANGED,
    observations.WatchChanged: events.WATCH_CHANGED,
}
OnDocument = typing.Callable[[documents.Document], None]
OnMember = typing.Callable[[observations.MemberChanged], None]
OnEpoch = typing.Callable[[], None]


def _ignore_member(change: observations.MemberChanged) -> None:
    pass


def _ignore_epoch() -> None:
    pass


class FeedHooks(typing.NamedTuple):
    """Callbacks for changes of the feed and observations of peers; a clock.

    The fields are named as in :class:`primrosemill.fleet.node.Hooks`.
    """

    on_change: feed_follower.ChangeHandler
    on_sightings: node.SightingsHandler
    on_departure: node.DepartureHandler
    on_limits: node.LimitsHandler
    on_suspicions: node.SuspicionsHandler
    on_losses: node.LossesHandler
    on_freshness: node.FreshnessHandler
    on_read: feed_follower.ReadHandler
    clock: feed_follower.Clock
    on_cap_request: node.CapRequestHandler
    on_cap_grant: node.CapGrantHandler
    on_room: node.RoomHandler
    on_starts: node.StartsHandler


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
        self.document_ready = trio.Event()
        self.document = documents.empty_document(settings.fleet)
        self.on_member_changed: OnMember = _ignore_member
        self.on_epoch_began: OnEpoch = _ignore_epoch
        self._on_document = on_document
        self._first_peer_count = len(settings.first_peers)
        self._counters = counters
        self._store_reachable = True
        counters.read_feed_age = self._read_feed_age
        identity = node.Identity(
            settings.fleet,
            settings.vm_id,
            settings.ip,
            settings.peer_port,
            settings.domain,
            time.time_ns() // NANOSECONDS_PER_MS,
            settings.peer_key,
            settings.capacity_rps,
        )
        hooks = node.Hooks(
            self._set_document, homes_by_service, self._on_observation
        )
        if feed_hooks is not None:
            hooks = hooks._replace(**feed_hooks._asdict())
        self.node = node.Node(
            identity,
            parse_first_peers(settings.first_peers),
            platform._replace(listed_peer_port=settings.peer_port),
            hooks,
            generator,
        )

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Take part in the fleet; report the port for peers once bound."""
        await self.node.run(task_status=task_status)

    def read_news(self) -> None:
        """Read and apply the news that has arrived from other VMs."""
        self.node.read_news()

    def put_report(self, report: evidence.Report) -> None:
        """Set this VM's newest report on a service."""
        self.node.put_report(report)

    def reports(self, service: str) -> list[evidence.Report]:
        """Return what the other home VMs report on a service."""
        return self.node.reports(service)

    def is_present(self, vm_id: str) -> bool:
        """Return whether another VM is in the fleet and not gone."""
        if self.node.membership is None:
            return False
        return vm_id in self.node.membership.table.present_by_id

    def is_live(self, vm_id: str) -> bool:
        """Return whether a VM is live in the membership."""
        if self.node.membership is None:
            return False
        member = self.node.membership.table.members_by_id.get(vm_id)
        return member is not None and member.state is members.State.LIVE

    @property
    def is_reader(self) -> bool:
        """Return whether this VM reads the feed for its failure domain."""
        membership_view = self.node.membership
        return membership_view is not None and membership_view.own.watching

    def feed_age(self) -> float | None:
        """Return the seconds for which changes of the feed may be unknown.

        None if nothing is known of it.
        """
        follower = self.node.follower
        if not isinstance(follower, feed_follower.FeedFollower):
            return None
        age = follower.age.age()
        return None if math.isinf(age) else round(age, 3)

    def _read_feed_age(self) -> float:
        age = self.feed_age()
        return math.nan if age is None else age

    def readers(self) -> list[messages.Entry]:
        """Return the other VMs that read the feed and may know customers."""
        if self.node.membership is None:
            return []
        present = self.node.membership.table.present_by_id.values()
        return [
            entry
            for entry in present
            if entry.watching and not self.node.follower.is_older(entry)
        ]

    def knows_customers(self, vm_id: str) -> bool:
        """Return whether another VM is known to be of a build with them."""
        follower = self.node.follower
        return follower is not None and follower.knows_customers(vm_id)

    def count_in_domain(self, domain: str) -> int:
        """Return the number of other VMs in a failure domain."""
        if self.node.membership is None:
            return 0
        present = self.node.membership.table.present_by_id.values()
        return sum(entry.domain == domain for entry in present)

    @property
    def change_count(self) -> int:
        """Return the number of changes of the members so far."""
        if self.node.membership is None:
            return 0
        return self.node.membership.table.change_count

    def ip_of(self, vm_id: str) -> str | None:
        """Return the IP address of another VM, or None if it is gone."""
        if self.node.membership is None:
            return None
        entry = self.node.membership.table.present_by_id.get(vm_id)
        return None if entry is None else entry.ip

    def incarnation_of(self, vm_id: str) -> int | None:
        """Return the incarnation of another VM, or None if it is gone."""
        if self.node.membership is None:
            return None
        entry = self.node.membership.table.present_by_id.get(vm_id)
        return None if entry is None else entry.incarnation

    def present_members(self) -> list[members.Member]:
        """Return the other VMs that are not gone."""
        if self.node.membership is None:
            return []
        table = self.node.membership.table
        return [table.members_by_id[vm_id] for vm_id in table.present_by_id]

    def unmet_count(self) -> int:
        """Return the number of first peers that must be unknown so far.

        This VM may be one of the first peers.
        """
        if self.node.membership is None:
            return self._first_peer_count
        known_count = 1 + len(self.node.membership.table.members_by_id)
        return max(0, self._first_peer_count - known_count)

    def knows_fleet(self) -> bool:
        """Return whether this process can know how many VMs there are."""
        if self.node.membership is None:
            return self._first_peer_count == 0
        return self.node.membership.knows_fleet

    def lost_count(self) -> int:
        """Return the number of VMs that vanished without leaving."""
        return len(self.lost_ids())

    def lost_ids(self) -> list[str]:
        """Return the ids of the VMs that vanished without leaving."""
        if self.node.membership is None:
            return []
        members_by_id = self.node.membership.table.members_by_id
        return [
            vm_id
            for vm_id, member in members_by_id.items()
            if member.state is members.State.GONE and not member.entry.leaving
        ]

    def member_statuses(self) -> list[status.MemberStatus]:
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
                version=self.node.version_tracker.peer_version_number(vm_id),
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
        self.document_ready.set()

    def _on_observation(self, observation: observations.Observation) -> None:
        peer_counters.count(observation, self._counters)
        event = EVENTS_BY_TYPE.get(type(observation))
        if event is not None:
            events.emit(event, **observation._asdict())
        elif isinstance(observation, observations.StoreFailed):
            self._on_store_unreachable(observation.fault)
        elif isinstance(observation, observations.StoreAnswered):
            self._on_store_reachable()
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
            self.on_epoch_began()
        elif isinstance(observation, observations.BadItemRead):
            events.emit(events.VALUE_REFUSED, **observation.item._asdict())
        elif isinstance(observation, observations.MemberChanged):
            events.emit(events.MEMBER_CHANGED, **observation._asdict())
            self.on_member_changed(observation)

    def _log_refusal(self, faults: tuple[typing.Any, ...]) -> None:
        events.emit(
            events.CONFIGURATION_REFUSED,
            version=self.document.version,
            faults=[repr(fault) for fault in faults],
        )

    def _on_store_unreachable(self, fault: feed.FeedFault) -> None:
        if self._store_reachable:
            self._store_reachable = False
            events.emit(events.STORE_UNREACHABLE, fault=repr(fault))

    def _on_store_reachable(self) -> None:
        if not self._store_reachable:
            self._store_reachable = True
            events.emit(events.STORE_REACHABLE)


def parse_first_peers(
    addresses: tuple[str, ...],
) -> tuple[membership.Peer, ...]:
    """Return the peers that the settings list as ``ip:port``."""
    parsed_peers = []
    for address in addresses:
        split = checks.split_address(address)
        if split is not None:
            parsed_peers.append(membership.Peer(*split))
    return tuple(parsed_peers)
