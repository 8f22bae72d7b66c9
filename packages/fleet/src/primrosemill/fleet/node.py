"""Runs one VM of the fleet: connects sockets and timers to the components.

The components (membership, evidence exchange, followers) decide; this module
passes messages and the time to them and sends what they return. The home VMs
of a service, which :mod:`primrosemill.decisions.home_vms` chooses, handle its
requests and exchange evidence on its instances.
"""

import random
import typing

import trio

from primrosemill.configuration import document as documents
from primrosemill.decisions import evidence
from primrosemill.fleet import awake_clock
from primrosemill.fleet import boot_clock
from primrosemill.fleet import configuration_follower
from primrosemill.fleet import evidence_inbox
from primrosemill.fleet import evidence_outbox
from primrosemill.fleet import feed
from primrosemill.fleet import feed_follower
from primrosemill.fleet import feed_reader_policy
from primrosemill.fleet import interfaces
from primrosemill.fleet import members
from primrosemill.fleet import membership
from primrosemill.fleet import messages
from primrosemill.fleet import mirror
from primrosemill.fleet import observations
from primrosemill.fleet import store_watch_policy
from primrosemill.fleet import transport
from primrosemill.fleet import version_tracker
from primrosemill.fleet import wire

TICK_INTERVAL = 0.1  # seconds
MEMBERS_PULL_INTERVAL = 60.0  # seconds between pulls of a member table
JOIN_POLL_INTERVAL = 0.1  # seconds between checks for a first known peer
MILLISECONDS_PER_SECOND = 1_000

# Returns the ids of the other home VMs by service.
HomesByService = typing.Callable[[], typing.Mapping[str, list[str]]]


# Called with an accepted report and the time at which its evidence was
# measured, by the clock of this VM.
ReportHandler = typing.Callable[[evidence.Report, float], None]


# Called with what a peer has observed of instances.
SightingsHandler = typing.Callable[[messages.Sightings], None]
# Called when an instance has announced to a peer that it is leaving.
DepartureHandler = typing.Callable[[messages.Departure], None]
# Called with what a peer knows of the limits of instances.
LimitsHandler = typing.Callable[[messages.Limits], None]
# Called with what a peer knows of requests that may crash instances.
SuspicionsHandler = typing.Callable[[messages.Suspicions], None]
# Called with the id of a peer and the requests that it loses.
LossesHandler = typing.Callable[[str, messages.Losses], None]
# Called with the id of a peer that asks for tokens; returns the answer.
CapRequestHandler = typing.Callable[
    [str, messages.CapRequest], messages.CapGrant
]
# Called with the id of a peer and what it granted.
CapGrantHandler = typing.Callable[[str, messages.CapGrant], None]


FreshnessMessage = messages.FreshnessQuery | messages.FreshnessAnswer
# Messages that VMs of builds before customers do not send.
CUSTOMER_MESSAGES = (
    messages.FreshnessQuery,
    messages.FreshnessAnswer,
    messages.CapRequest,
    messages.CapGrant,
)
FEED_MESSAGES = (messages.FeedQuery, messages.FeedAnswer)
# What a peer tells of its requests to services.
SERVICE_MESSAGES = (
    messages.Sightings,
    messages.Starts,
    messages.Room,
    messages.Losses,
)
# Called with the id of a peer and what it asks or tells of the age of the
# configuration.
FreshnessHandler = typing.Callable[
    [str, FreshnessMessage], typing.Awaitable[None]
]
# Called with the id of a peer and what it holds of services.
RoomHandler = typing.Callable[[str, messages.Room], None]
StartsHandler = typing.Callable[[messages.Starts], None]


def _ignore_report(report: evidence.Report, measured_at: float) -> None:
    pass


def _ignore_change(
    applied: mirror.AppliedChanges, source: str, now: float
) -> None:
    pass


def _ignore_sightings(sightings: messages.Sightings) -> None:
    pass


def _ignore_departure(departure: messages.Departure) -> None:
    pass


def _ignore_limits(limits: messages.Limits) -> None:
    pass


def _ignore_suspicions(suspicions: messages.Suspicions) -> None:
    pass


def _ignore_losses(vm_id: str, losses: messages.Losses) -> None:
    pass


async def _ignore_freshness(vm_id: str, message: FreshnessMessage) -> None:
    pass


def _grant_nothing(
    vm_id: str, request: messages.CapRequest
) -> messages.CapGrant:
    return messages.CapGrant(request.nonce, (), ())


def _ignore_grant(vm_id: str, grant: messages.CapGrant) -> None:
    pass


def _ignore_room(vm_id: str, room: messages.Room) -> None:
    pass


def _ignore_starts(starts: messages.Starts) -> None:
    pass


class Identity(typing.NamedTuple):
    """Identity of this process in the fleet.

    ``incarnation`` is the start time of the process in ms. ``capacity_rps``
    is the number of requests per second that the VM can serve; 0 if unknown.
    """

    fleet: str
    vm_id: str
    ip: str
    port: int
    domain: str
    incarnation: int
    secret: bytes = b""
    capacity_rps: int = 0


class Platform(typing.NamedTuple):
    """The sources that are read from the platform; some may be absent.

    If ``feed_source`` is set, instances are discovered through it, and no
    configuration document is read from the store. ``listed_peer_port`` is the
    port for peers on each VM of the VM list; 0 stands for this VM's own.
    """

    store: interfaces.Store | None
    vm_list: interfaces.VmList | None = None
    listed_peer_port: int = 0
    feed_source: feed.Feed | None = None


class Hooks(typing.NamedTuple):
    """Callbacks of the daemon that runs the node."""

    on_document: configuration_follower.DocumentHandler
    homes_by_service: HomesByService = dict
    observe: observations.Observer = observations.ignore
    on_report: ReportHandler = _ignore_report
    on_change: feed_follower.ChangeHandler = _ignore_change
    on_sightings: SightingsHandler = _ignore_sightings
    on_departure: DepartureHandler = _ignore_departure
    on_limits: LimitsHandler = _ignore_limits
    on_suspicions: SuspicionsHandler = _ignore_suspicions
    on_losses: LossesHandler = _ignore_losses
    on_freshness: FreshnessHandler = _ignore_freshness
    on_read: feed_follower.ReadHandler = feed_follower.ignore_read
    clock: feed_follower.Clock = boot_clock.now
    on_cap_request: CapRequestHandler = _grant_nothing
    on_cap_grant: CapGrantHandler = _ignore_grant
    on_room: RoomHandler = _ignore_room
    on_starts: StartsHandler = _ignore_starts


class Node:
    """One VM of the fleet."""

    def __init__(
        self,
        identity: Identity,
        first_peers: tuple[membership.Peer, ...],
        platform: Platform,
        hooks: Hooks,
        generator: random.Random,
        transport_type: type[transport.Transport] = transport.Transport,
    ) -> None:
        self._transport_type = transport_type
        self._identity = identity
        self._first_peers = first_peers
        self._platform = platform
        self._hooks = hooks
        self._generator = generator
        self._inbox = evidence_inbox.Inbox()
        self._outbox: evidence_outbox.Outbox | None = None
        self.membership: membership.Membership | None = None
        self.version_tracker: version_tracker.VersionTracker | None = None
        self.follower: (
            configuration_follower.ConfigurationFollower
            | feed_follower.FeedFollower
            | None
        ) = None

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Take part in the fleet until cancelled.

        Reports the port for peers as the task status.
        """
        identity = self._identity
        key = wire.derive_key(identity.secret)
        self._sealer = wire.Sealer(
            wire.Sender(identity.fleet, identity.vm_id, identity.incarnation),
            key,
        )
        opener = wire.Opener(identity.fleet, identity.vm_id, key)
        self._transport = self._transport_type(
            identity.ip, self._sealer, opener, self._observe_refusal
        )
        self._transport.on_transfer = self._observe_transfer
        self._transport.on_news = self._handle_news
        await self._transport.bind(identity.port)
        try:
            self._create_components()
            async with trio.open_nursery() as nursery:
                self._start_tasks(nursery)
                task_status.started(self._transport.port)
        finally:
            self._transport.close()

    def _create_components(self) -> None:
        now = trio.current_time()
        identity = self._identity
        own = messages.Entry(
            identity.vm_id,
            identity.ip,
            self._transport.port,
            identity.domain,
            identity.incarnation,
            0,
            capacity_rps=identity.capacity_rps,
        )
        self.membership = membership.Membership(
            own, self._first_peers, self._generator, awake_clock.now()
        )
        self.membership.table.on_change = self._observe_member
        self.version_tracker = version_tracker.VersionTracker(
            identity.fleet, self._generator, now
        )
        self.version_tracker.peers_expected = (
            bool(self._first_peers) or self._platform.vm_list is not None
        )
        self._outbox = evidence_outbox.Outbox(now)
        if self._platform.feed_source is not None:
            self.follower = self._create_feed_follower(
                self._platform.feed_source, now
            )
        else:
            self.follower = self._create_configuration_follower(now)

    def _create_feed_follower(
        self, source: feed.Feed, now: float
    ) -> feed_follower.FeedFollower:
        # Callers must not be sent to this VM before it has a routing in force.
        self.membership.set_leaving(True)
        follower = feed_follower.FeedFollower(
            self.membership,
            source,
            feed_reader_policy.FeedReaderPolicy(self._generator, now),
            self._transport,
            self._hooks.observe,
            self._hooks.on_change,
            self._generator,
            self._hooks.clock,
        )
        follower.age.on_known = self._hooks.on_read
        return follower

    def _create_configuration_follower(
        self, now: float
    ) -> configuration_follower.ConfigurationFollower:
        created = configuration_follower.ConfigurationFollower(
            self.membership,
            self.version_tracker,
            store_watch_policy.StoreWatchPolicy(self._generator, now),
            self._platform.store,
            self._transport,
            self._hooks.observe,
            self._hooks.on_document,
        )
        created.expected_size = 1 + len(self._first_peers)
        return created

    def _start_tasks(self, nursery: trio.Nursery) -> None:
        nursery.start_soon(self._transport.receive, self._handle)
        nursery.start_soon(
            self._transport.answer_pulls, self.follower.answer_pull
        )
        nursery.start_soon(self._tick)
        nursery.start_soon(self._pull_members_periodically)
        self.follower.start(nursery)
        if self._platform.vm_list is not None:
            nursery.start_soon(self._poll_vm_list)

    def _observe_refusal(self, reason: wire.RefusalReason) -> None:
        self._hooks.observe(observations.MessageRefused(reason))

    def _observe_member(
        self, before: members.Member | None, after: members.Member
    ) -> None:
        entry = after.entry
        same_process = (
            before is not None
            and before.entry.incarnation == entry.incarnation
        )
        if same_process and before.state is after.state:
            return
        self._hooks.observe(
            observations.MemberChanged(
                entry.vm_id,
                entry.domain,
                entry.incarnation,
                before.state.value if before is not None else "",
                after.state.value,
            )
        )

    async def wait_until_in_force(self) -> None:
        """Wait until a configuration is in force on this VM."""
        await self.follower.in_force.wait()

    def document(self) -> documents.Document:
        """Return the newest document that this VM has accepted."""
        return self.version_tracker.document

    def put_report(self, report: evidence.Report) -> None:
        """Set this VM's newest evidence on a service, to be sent to peers."""
        self._outbox.put(report, self._now_ms())

    def reports(self, service: str) -> list[evidence.Report]:
        """Return the valid reports of the other home VMs on a service."""
        return self._inbox.reports(
            service, self.membership.state_of, trio.current_time()
        )

    async def announce_leaving(self) -> None:
        """Tell the fleet that this VM accepts no new callers."""
        await self._send_all(self.membership.announce_leaving())

    async def announce_gone(self) -> None:
        """Tell the fleet that this process ends now."""
        await self._send_all(self.membership.announce_gone())

    def _now_ms(self) -> int:
        return int(trio.current_time() * MILLISECONDS_PER_SECOND)

    async def _send_all(self, outgoing: list[membership.Outgoing]) -> None:
        self._sealer.sender = self._sealer.sender._replace(
            incarnation=self.membership.own.incarnation
        )
        for each in outgoing:
            await self._transport.send(each.ip, each.port, each.message)

    def _observe_transfer(
        self, ip: str, port: int, message: messages.Message, size: int
    ) -> None:
        domain = self.membership.table.domain_at(ip, port)
        self._hooks.observe(
            observations.Transferred(
                messages.KINDS_BY_TYPE[type(message)],
                size,
                domain != self._identity.domain,
            )
        )

    async def _handle(self, received: wire.Received) -> None:
        message = received.message
        if isinstance(message, messages.EvidenceBatch):
            self._receive_evidence(received, message)
            return
        if isinstance(message, SERVICE_MESSAGES):
            self._handle_service_message(received)
            return
        if isinstance(message, FEED_MESSAGES):
            if self._platform.feed_source is not None:
                await self.follower.age.receive(received.sender_id, message)
            return
        if isinstance(message, CUSTOMER_MESSAGES) and (
            self._platform.feed_source is not None
        ):
            self.follower.record_customer_message(
                received.sender_id, received.incarnation
            )
        if isinstance(message, FreshnessMessage):
            await self._hooks.on_freshness(received.sender_id, message)
            return
        if isinstance(message, messages.CapRequest):
            answer = self._hooks.on_cap_request(received.sender_id, message)
            await self.send_to(answer, [received.sender_id])
            return
        if isinstance(message, messages.CapGrant):
            self._hooks.on_cap_grant(received.sender_id, message)
            return
        outgoing = self.membership.receive(message, awake_clock.now())
        if isinstance(message, messages.Ping | messages.Ack):
            self.follower.record_peer_version(
                received.sender_id, message.version
            )
        await self._send_all(outgoing)

    def _handle_service_message(self, received: wire.Received) -> None:
        """Handle what a peer tells of its requests to services."""
        message = received.message
        if isinstance(message, messages.Sightings):
            self._hooks.on_sightings(message)
        elif isinstance(message, messages.Starts):
            self._hooks.on_starts(message)
        elif isinstance(message, messages.Room):
            self._hooks.on_room(received.sender_id, message)
        elif isinstance(message, messages.Losses):
            self._hooks.on_losses(received.sender_id, message)

    def _handle_news(self, received: wire.Received) -> None:
        """Handle a message that may forbid requests of this VM."""
        message = received.message
        if isinstance(message, messages.Changes):
            if self._platform.feed_source is not None:
                self.follower.receive_changes(
                    received.sender_id, received.incarnation, message
                )
        elif isinstance(message, messages.Departure):
            self._hooks.on_departure(message)
        elif isinstance(message, messages.Limits):
            self._hooks.on_limits(message)
        elif isinstance(message, messages.Suspicions):
            self._hooks.on_suspicions(message)

    def read_news(self) -> None:
        """Read and apply the news that has arrived from other VMs."""
        self._transport.read_arrived()

    async def send_to(
        self, message: messages.Message, vm_ids: typing.Iterable[str]
    ) -> None:
        """Send a message to some VMs, except those that are gone."""
        present_by_id = self.membership.table.present_by_id
        for vm_id in vm_ids:
            entry = present_by_id.get(vm_id)
            if entry is not None:
                await self._transport.send(entry.ip, entry.port, message)

    def set_first_peers(self, peers: tuple[membership.Peer, ...]) -> None:
        """Replace the first peers after a change of the settings."""
        self._first_peers = peers
        if self.membership is not None:
            self.membership.set_first_peers(peers)

    async def announce_serving(self) -> None:
        """Tell the fleet that this VM accepts callers."""
        await self._send_all(self.membership.announce_serving())

    def _receive_evidence(
        self, received: wire.Received, batch: messages.EvidenceBatch
    ) -> None:
        sender_id = received.sender_id
        member = self.membership.table.members_by_id.get(sender_id)
        not_live = evidence_inbox.RejectionReason.PEER_NOT_LIVE
        outcome = evidence_inbox.BatchOutcome((), (not_live,))
        if member is not None:
            outcome = self._inbox.take(
                member.entry,
                member.state,
                received.incarnation,
                batch,
                trio.current_time(),
            )
        for accepted in outcome.accepted:
            self._hooks.on_report(accepted.report, accepted.measured_at)
        for reason in outcome.rejected:
            self._hooks.observe(
                observations.EvidenceRejected(sender_id, reason)
            )

    async def _tick(self) -> None:
        clock = awake_clock.current()
        paused_before = clock.paused
        while True:
            # An answer that has arrived must not time out unread.
            await self._transport.handle_arrived(self._handle)
            paused = clock.paused - paused_before
            paused_before = clock.paused
            await self._send_all(
                self.membership.tick(clock.current_time(), paused)
            )
            await self._send_evidence()
            await trio.sleep(TICK_INTERVAL)

    async def _send_evidence(self) -> None:
        batches = self._outbox.take(
            self._hooks.homes_by_service(),
            trio.current_time(),
            self._now_ms(),
        )
        for batch in batches:
            member = self.membership.table.members_by_id.get(batch.vm_id)
            if member is None or member.state is members.State.GONE:
                continue
            await self._transport.send(
                member.entry.ip, member.entry.port, batch.message
            )

    def _forget_gone(self) -> None:
        """Drop state of gone VMs, whose ids may never be used again."""
        for entry in self.membership.table.gone_entries():
            self._inbox.forget(entry.vm_id)
            self.follower.forget(entry.vm_id)

    async def _pull_members_periodically(self) -> None:
        """Pull the member table of a random peer at start and periodically."""
        while True:
            self._forget_gone()
            present = list(self.membership.table.present_by_id.values())
            if not present:
                await trio.sleep(JOIN_POLL_INTERVAL)
                continue
            await self.follower.pull_members(self._generator.choice(present))
            await trio.sleep(
                MEMBERS_PULL_INTERVAL * self._generator.uniform(0.5, 1)
            )

    async def _poll_vm_list(self) -> None:
        while True:
            result = await self._platform.vm_list.read()
            if result.is_error():
                self._hooks.observe(observations.StoreFailed(result.error))
            else:
                self._apply_vm_list(result.ok)
            size = self.follower.fleet_size()
            interval = store_watch_policy.vm_list_interval(size)
            await trio.sleep(interval * self._generator.uniform(0.5, 1))

    def _apply_vm_list(self, vms: tuple[interfaces.ListedVm, ...]) -> None:
        port = self._platform.listed_peer_port or self._transport.port
        listed = [
            membership.ListedPeer(
                vm.id, membership.Peer(vm.ip, port), vm.leaving
            )
            for vm in vms
        ]
        self.membership.set_listed(listed)
        lists_others = any(vm.id != self._identity.vm_id for vm in vms)
        self.version_tracker.peers_expected = (
            bool(self._first_peers) or lists_others
        )
        self.follower.expected_size = max(
            1 + len(self._first_peers), len(listed)
        )
