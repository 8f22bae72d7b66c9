"""Runs an entry VM that discovers instances through the platform's feed.

An entry point is a VM that callers of a failure domain are directed to. The
directory tells callers the addresses of their entry points, which are called
directions here; callers keep them for the lifetime in the answer.
"""

import functools
import http
import random

import prometheus_client
import trio

from primrosemill.configuration import checks
from primrosemill.configuration import document as documents
from primrosemill.decisions import belief as beliefs
from primrosemill.decisions import feed_age
from primrosemill.decisions import fingerprints
from primrosemill.decisions import home_vms
from primrosemill.decisions import limit_shares
from primrosemill.decisions import planned_stop
from primrosemill.decisions import quarantine as quarantines
from primrosemill.decisions import retry_budget
from primrosemill.fleet import boot_clock
from primrosemill.fleet import feed_follower
from primrosemill.fleet import members
from primrosemill.fleet import messages
from primrosemill.fleet import mirror
from primrosemill.fleet import node
from primrosemill.proxy import adapters
from primrosemill.proxy import admin
from primrosemill.proxy import application
from primrosemill.proxy import asgi
from primrosemill.proxy import balancers
from primrosemill.proxy import budgeted_retries
from primrosemill.proxy import counters
from primrosemill.proxy import entry_settings
from primrosemill.proxy import entry_view
from primrosemill.proxy import feed_documents
from primrosemill.proxy import garbage_collection
from primrosemill.proxy import instance_observations
from primrosemill.proxy import isolation
from primrosemill.proxy import limit_exchange
from primrosemill.proxy import loss_exchange
from primrosemill.proxy import memory
from primrosemill.proxy import notifier
from primrosemill.proxy import pause_log
from primrosemill.proxy import peers
from primrosemill.proxy import request_guard
from primrosemill.proxy import request_policies
from primrosemill.proxy import room_exchange
from primrosemill.proxy import server
from primrosemill.proxy import shutdown
from primrosemill.proxy import status
from primrosemill.proxy import suspects
from primrosemill.proxy import suspicion_exchange
from primrosemill.telemetry import events

from primrosemill.decisions.customers import caps
from primrosemill.decisions.customers import freshness
from primrosemill.proxy.customers import access
from primrosemill.proxy.customers import cap_exchange
from primrosemill.proxy.customers import freshness_exchange

VIEW_CHECK_INTERVAL = 0.25  # seconds between checks for changed members
MILLISECONDS_PER_SECOND = 1_000.0
STATES_ACCEPTING_CALLERS = (members.State.LIVE, members.State.SUSPECT)


class EntryVm:
    """Connects the servers of an entry VM to its decisions and runs them.

    ``clock`` counts suspended time.
    """

    def __init__(
        self,
        settings: entry_settings.EntrySettings,
        adapter: adapters.Adapter,
        generator: random.Random,
        clock: feed_follower.Clock = boot_clock.now,
    ) -> None:
        self._settings = settings
        self._adapter = adapter
        self._own_vm = home_vms.Vm(
            settings.vm_id, settings.domain, settings.capacity_rps
        )
        counts = counters.Counters(prometheus_client.CollectorRegistry())
        self._account = memory.account.Account(
            memory.account.plan_bounds(settings.memory, settings.descriptors),
            counts.registry,
            settings.link,
        )
        self._limit_shares = limit_shares.LimitShares(settings.vm_id)
        self._balancers = balancers.Balancers(
            settings.domain,
            generator,
            instance_observations.Listeners(
                self._on_belief_update,
                self._on_departure,
                self._on_pause,
                self._on_limit,
                counts.crossings.count,
                self._on_start,
            ),
            balancers.BalanceSettings(
                settings.floor_share, settings.crossing_cost
            ),
            self._limit_shares,
        )
        self._retries = budgeted_retries.BudgetedRetries(
            waits_for_budget=False,
            mean_response_time=self._balancers.mean_response_time,
            window=settings.retry_window,
        )
        self._guard = request_guard.RequestGuard(
            fingerprints.Hasher(settings.peer_key + settings.fleet.encode()),
            quarantines.Quarantine(settings.vm_id),
            counts.crash_evidence.count,
        )
        self._application = application.Application(
            generator,
            request_policies.Policies(
                request_policies.AdmitAll(), self._balancers, self._retries
            ),
            counts,
            dialect=adapter.dialect,
            make_dispatcher=self._balancers.create,
            log_requests=True,
            guard=self._guard,
            account=self._account,
        )
        timing = freshness.timing(
            settings.withdrawal_ms / MILLISECONDS_PER_SECOND,
            feed_follower.WATCH_TIMEOUT,
        )
        self._freshness = freshness_exchange.FreshnessExchange(
            settings.domain,
            timing,
            generator,
            counts.freshness_rounds.count,
            clock,
            self._find_version,
            self._on_peer_version,
        )
        self._application.access.freshness = self._freshness
        self._application.access.ages = access.Ages(
            timing.served, timing.refused
        )
        self._caller_server = server.Server(
            self._application,
            self._application.record_failure,
            self._account,
        )
        self._readiness_server = self._make_server(self._answer_readiness)
        self._directory_server = self._make_server(self._answer_directions)
        self._admin_server = self._make_server(
            admin.Admin(
                self._state,
                self.read_status,
                counts.registry,
                functools.partial(suspects.release, self._guard),
                self._account.reports,
            )
        )
        self.peers = peers.Peers(
            settings.vm_settings(),
            node.Platform(None, feed_source=adapter.source),
            _ignore_document,
            counts.peers,
            generator,
            feed_hooks=peers.FeedHooks(
                self._on_feed_change,
                self._balancers.apply_sightings,
                self._on_peer_departure,
                self._balancers.limits.apply_reports,
                self._on_suspicions,
                self._on_losses,
                self._on_freshness,
                self._freshness.record_read,
                clock,
                self._on_cap_request,
                self._on_cap_grant,
                self._on_room,
                self._balancers.apply_starts,
            ),
        )
        self._application.read_news = self.peers.read_news
        self.peers.on_epoch_began = self._freshness.begin_epoch
        self._document = documents.empty_document(settings.fleet)
        self._view = entry_view.EntryView(self._own_vm)
        self._leaving = False
        self._run_scope = trio.CancelScope()
        self._stopper = shutdown.Stopper(
            settings.vm_id,
            self._caller_server,
            self._application,
            self.peers.node.announce_gone,
            self._run_scope,
        )
        self._counters = counts
        self._notifier = notifier.Notifier(settings.domain, self._view)
        self._limit_exchange = limit_exchange.LimitExchange(
            self._limit_shares, self._balancers.limits, self._notifier, counts
        )
        self._losses = loss_exchange.LossExchange(self._balancers, self._view)
        self._caps = cap_exchange.CapExchange(
            self._own_vm,
            caps.Bound(
                settings.cap_window,
                settings.cap_overshoot,
                settings.cap_slack,
            ),
            self._view,
            self.peers,
            counts,
            generator,
            clock,
        )
        self._application.caps = self._caps
        self._room = room_exchange.RoomExchange(
            self._balancers, self._view, enabled=bool(settings.cross_domain)
        )
        self._isolation = isolation.Isolation(
            isolation.Vm(
                self._own_vm,
                self._balancers.paths,
                self._view,
                self.peers,
                self._address_of,
                self._update_view,
                lambda: self._application.access.needs_keys,
            ),
            settings,
            generator,
            counts,
        )
        self._application.forwarding = self._isolation.forwarding
        self._application.inspector = self._isolation.inspector
        self._suspicions = suspicion_exchange.SuspicionExchange(
            self._guard, self._view, self.peers, trio.current_time()
        )

    async def run(self) -> None:
        """Serve until stopped; accept callers once routes are known."""
        pause_log.start()
        with self._run_scope:
            async with trio.open_nursery() as nursery:
                settings = self._settings
                await _listen(
                    nursery, self._admin_server, settings.admin_address
                )
                await _listen(
                    nursery, self._readiness_server, settings.ready_address
                )
                await _listen(
                    nursery, self._directory_server, settings.directory_address
                )
                await nursery.start(self.peers.run)
                await self.peers.node.wait_until_in_force()
                await _listen(
                    nursery, self._caller_server, settings.caller_address
                )
                nursery.start_soon(self._account.run)
                nursery.start_soon(self._application.run_timed_tasks)
                nursery.start_soon(self._refresh_view)
                nursery.start_soon(
                    self._balancers.paths.run, self._application.connections
                )
                nursery.start_soon(self._isolation.run)
                send = self.peers.node.send_to
                nursery.start_soon(self._notifier.send_queued, send)
                nursery.start_soon(self._notifier.send_success_batches, send)
                nursery.start_soon(
                    self._notifier.repeat_limits,
                    self._balancers.limits.updates_to_repeat,
                    send,
                )
                nursery.start_soon(self._losses.send_reports, send)
                nursery.start_soon(self._freshness.run, self.peers)
                nursery.start_soon(self._caps.run, send)
                nursery.start_soon(self._room.run, send)
                nursery.start_soon(self._suspicions.send_news, send)
                nursery.start_soon(self._suspicions.repeat, send)
                await self.peers.node.announce_serving()
                garbage_collection.configure()
                self._log_start()
        self._application.close_connections()

    async def stop(self, cause: str) -> None:
        """Leave the fleet, finish requests in flight, then end run().

        Callers with older directions are served for part of the stop timeout.
        Requests have their answers before its end; an answer that is still
        passed on then is cut off.
        """
        started = trio.current_time()
        times = planned_stop.plan_within(started, self._settings.stop_seconds)
        self._leaving = True
        self._isolation.stop()
        self._application.closing = True
        self._application.begin_stop(times)
        events.emit(
            events.VM_LEAVING,
            vm_id=self._settings.vm_id,
            signal=cause,
            serve_seconds=round(times.accepts_until - started, 3),
        )
        await self.peers.node.announce_leaving()
        await trio.sleep_until(times.accepts_until)
        await self._stopper.drain_and_stop(times.cuts_off_at)

    def stop_immediately(self, cause: str) -> None:
        """End run() now and cut off the requests in flight."""
        self._stopper.stop_immediately(cause)

    def reload(
        self, settings: entry_settings.EntrySettings, cause: str
    ) -> None:
        """Apply the settings that may change while the VM runs."""
        self.peers.node.set_first_peers(
            peers.parse_first_peers(settings.first_peers)
        )
        events.emit(
            events.SETTINGS_RELOADED,
            cause=cause,
            first_peers=list(settings.first_peers),
        )

    def read_status(self) -> status.Status:
        """Return the status that the admin port serves."""
        services = [
            status.describe_service(
                service,
                self._application.waiting(service.name),
                [vm.id for vm in self._view.entry_points],
                self._balancers,
            )
            for service in self._document.services_by_name.values()
        ]
        return status.Status(
            vm_id=self._settings.vm_id,
            fleet=self._settings.fleet,
            domain=self._settings.domain,
            state=self._state().value,
            requests_in_flight=self._application.in_flight,
            configuration=status.ConfigurationStatus(
                version=self._document.version, digest=""
            ),
            members=self.peers.member_statuses(),
            services=services,
            suspects=suspects.describe(self._guard),
            caps=self._caps.describe(),
        )

    def _make_server(self, handler: asgi.Handler) -> server.Server:
        """Return a server whose answers are made one after the other."""
        return server.Server(handler, account=self._account, max_requests=1)

    def _log_start(self) -> None:
        events.emit(
            events.VM_STARTED,
            vm_id=self._settings.vm_id,
            caller_port=checks.split_address(self._settings.caller_address)[1],
            admin_port=checks.split_address(self._settings.admin_address)[1],
        )

    def _state(self) -> status.VmState:
        if self._leaving:
            return status.VmState.LEAVING
        if self._document.routes:
            return status.VmState.SERVING
        return status.VmState.STARTING

    def _is_ready(self) -> bool:
        return self._state() is status.VmState.SERVING

    async def _answer_readiness(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        reply = self._adapter.answer_readiness(scope["path"], self._is_ready)
        await asgi.respond(send, *reply)

    async def _answer_directions(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        reply = self._adapter.answer_directions(
            scope["path"], scope["query_string"], self._find_directions
        )
        if reply.status != http.HTTPStatus.OK:
            events.emit(
                events.DIRECTIONS_REFUSED,
                path=scope["path"],
                status=reply.status,
                members=len(self.peers.present_members()),
            )
        await asgi.respond(send, *reply)

    def _find_directions(
        self, query: adapters.DirectionsQuery
    ) -> adapters.Directions | None:
        """Return the entry points for a caller, or None if there are none."""
        domain = query.domain or self._own_vm.domain
        entry_points = self._view.entry_points_of(domain)
        if not entry_points:
            return None
        addresses = tuple(
            address
            for address in (self._address_of(vm.id) for vm in entry_points)
            if address is not None
        )
        return adapters.Directions(addresses, self._settings.answer_lifetime)

    def _address_of(self, vm_id: str) -> str | None:
        """Return the caller address of a VM; all VMs use the same port."""
        own_address = self._settings.caller_address
        if vm_id == self._own_vm.id:
            return own_address
        ip = self.peers.ip_of(vm_id)
        return None if ip is None else f"{ip}:{own_address.rpartition(':')[2]}"

    def _on_feed_change(
        self, applied: mirror.AppliedChanges, source: str, now: float
    ) -> None:
        """Apply a change of the feed."""
        feed_documents.log_changes(applied, source)
        feed_mirror = self.peers.node.follower.mirror
        if applied.ignored_routing_version is not None:
            events.emit(
                events.ROUTING_OLDER,
                version=feed_mirror.routing.version,
                offered=applied.ignored_routing_version,
                source=source,
            )
        if feed_mirror.routing is None:
            return
        document = feed_documents.build_document(
            self._settings.fleet, feed_mirror, now
        )
        routing_changed = document.version != self._document.version
        self._document = document
        self._application.bounds = feed_mirror.routing.request_limits
        self._caller_server.set_bounds(feed_mirror.routing.request_limits)
        self._application.set_document(document)
        self._freshness.apply_version()
        self._follow_closely()
        self._caps.set_document(document)
        self._update_view()
        if routing_changed:
            garbage_collection.freeze_recent()
            events.emit(
                events.ROUTING_IN_FORCE,
                version=document.version,
                revision=feed_mirror.revision,
                routes=len(document.routes),
                services=len(document.services_by_name),
                source=source,
                age=self.peers.feed_age(),
            )

    def _on_peer_departure(self, departure: messages.Departure) -> None:
        """Apply a departure that an instance announced to a peer."""
        self._balancers.apply_departure(*departure)

    def _on_departure(
        self, departure: instance_observations.Departure
    ) -> None:
        """Close idle connections to a leaving instance and notify peers.

        Peers are notified only if the instance announced it to this VM.
        """
        service, instance, source, request_id = departure
        self._application.close_idle_connections(instance)
        events.emit(
            events.INSTANCE_LEAVING,
            service=service,
            instance_id=instance.id,
            boot=instance.boot,
            source=source,
            request_id=request_id,
        )
        own_observation = source == instance_observations.SOURCE_ANSWER
        kind = counters.Announcement.LEAVING_TOLD_BY_PEER
        if own_observation:
            kind = counters.Announcement.LEAVING
            self._notifier.add_departure(departure)
        self._counters.announcements.count(kind)

    def _on_pause(self, pause: instance_observations.Pause) -> None:
        kind = counters.Announcement.PAUSE
        if pause.fault is not None:
            kind = counters.Announcement.DAMAGED_PAUSE
        self._counters.announcements.count(kind)
        events.emit(
            events.INSTANCE_PAUSED,
            service=pause.service,
            instance_id=pause.instance_id,
            boot=pause.boot,
            seconds=pause.seconds,
            request_id=pause.request_id,
            fault=repr(pause.fault) if pause.fault is not None else "",
        )

    def _on_limit(self, update: instance_observations.LimitUpdate) -> None:
        """Log a change of an instance's limit and notify peers."""
        self._limit_exchange.on_update(update)

    def _on_suspicions(self, message: messages.Suspicions) -> None:
        """Apply what a peer knows of requests that may crash instances."""
        self._suspicions.apply(message)

    def _on_cap_request(
        self, vm_id: str, message: messages.CapRequest
    ) -> messages.CapGrant:
        """Answer a peer that asks for tokens of customers' caps."""
        return self._caps.answer_request(vm_id, message)

    def _on_cap_grant(self, vm_id: str, message: messages.CapGrant) -> None:
        """Apply the tokens that a peer granted."""
        self._caps.apply_grant(vm_id, message)

    def _on_losses(self, vm_id: str, message: messages.Losses) -> None:
        """Apply how many requests a peer loses."""
        self._losses.apply(vm_id, message)

    async def _on_freshness(
        self, vm_id: str, message: node.FreshnessMessage
    ) -> None:
        """Answer or apply what a peer asks or tells of its knowledge."""
        await self._freshness.receive(vm_id, message, self.peers.node.send_to)

    def _find_version(self) -> feed_age.Version:
        """Return the version of the configuration in force."""
        feed_mirror = self.peers.node.follower.mirror
        routing = feed_mirror.routing
        return feed_age.Version(
            feed_mirror.epoch, 0 if routing is None else routing.version
        )

    def _on_peer_version(self, vm_id: str, number: int) -> None:
        self.peers.node.follower.record_peer_routing(vm_id, number)

    def _follow_closely(self) -> None:
        """Renew watches more often while keys may be withdrawn."""
        timing = self._freshness.timing
        self.peers.node.follower.watch_timeout = (
            timing.watch
            if self._application.access.needs_keys
            else feed_follower.WATCH_TIMEOUT
        )

    def _on_start(self, start: instance_observations.Start) -> None:
        """Notify peers of a request to an instance."""
        self._notifier.add_start(start)

    def _on_room(self, vm_id: str, message: messages.Room) -> None:
        """Apply what a peer holds of services."""
        self._room.apply(vm_id, message)

    def _on_belief_update(
        self, update: instance_observations.BeliefUpdate
    ) -> None:
        """Log updates that matter to operators, and notify peers."""
        change = update.change
        own_failure = (
            update.failed and update.cause != instance_observations.SOURCE_PEER
        )
        if own_failure or change.trust_changed:
            events.emit(
                events.TRUST_CHANGED,
                service=update.service,
                instance_id=change.instance_id,
                trust=beliefs.trust_of(change.after).name.lower(),
                before=round(change.before, 3),
                chance=round(change.after, 3),
                cause=update.cause,
                request_id=update.request_id,
            )
        self._notifier.add_update(update, trio.current_time())

    async def _refresh_view(self) -> None:
        previous_state = None
        while True:
            state = (self.peers.change_count, self._leaving)
            if state != previous_state:
                previous_state = state
                self._update_view()
            self._limit_exchange.log_share_changes()
            await trio.sleep(VIEW_CHECK_INTERVAL)

    def _update_view(self) -> None:
        """Update the entry points, the led instances and the retry bounds."""
        takes_callers = not self._leaving and not self._isolation.is_detached
        vms = [self._own_vm] if takes_callers else []
        accepting_callers = [
            member
            for member in self.peers.present_members()
            if member.state in STATES_ACCEPTING_CALLERS
        ]
        for member in accepting_callers:
            entry = member.entry
            vms.append(
                home_vms.Vm(entry.vm_id, entry.domain, entry.capacity_rps)
            )
        services = self._document.services_by_name.values()
        slots = sum(
            instance.slots
            for service in services
            for instance in service.instances
            if not instance.leaving
        )
        self._view.update(tuple(vms), slots)
        led_ids_by_service = self._view.changed_leads(
            self._document.services_by_name
        )
        for name, led_ids in led_ids_by_service.items():
            self._balancers.set_led_instances(name, led_ids)
        self._balancers.set_entry_point(
            self._own_vm in self._view.entry_points
        )
        self._limit_exchange.inform_newcomers(accepting_callers)
        self._limit_exchange.set_view(
            self._view, self.peers, self._document.services_by_name.values()
        )
        self._losses.update_view()
        self._caps.update_view()
        self._room.update_view()
        self._suspicions.update_view()
        self._set_retry_bounds()

    def _set_retry_bounds(self) -> None:
        """Set this VM's share of the fleet's retry budget."""
        entry_points = self._view.entry_points
        view = retry_budget.FleetView(
            max(1, self._view.domain_count) * max(1, len(entry_points)),
            self._own_vm in entry_points,
            (
                self._limit_shares.view.seen_fraction
                if self.peers.knows_fleet()
                else 0.0
            ),
        )
        self._retries.set_bounds(
            retry_budget.FLEET_FRACTION * self._settings.retry_share,
            retry_budget.vm_reserve(self._settings.retry_slack, view),
        )


def _ignore_document(document: documents.Document) -> None:
    pass


async def _listen(
    nursery: trio.Nursery, listening_server: server.Server, address: str
) -> None:
    ip, port = checks.split_address(address)
    await nursery.start(listening_server.run, ip, port)
