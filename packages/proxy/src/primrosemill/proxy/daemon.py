"""Runs one VM, which follows the configuration and serves callers."""

import functools
import random
import typing

import prometheus_client
import trio

from primrosemill.configuration import document as documents
from primrosemill.decisions import addresses as decided_addresses
from primrosemill.decisions import fingerprints
from primrosemill.decisions import home_vms
from primrosemill.decisions import planned_stop
from primrosemill.decisions import quarantine as quarantines
from primrosemill.decisions import standings
from primrosemill.fleet import interfaces
from primrosemill.fleet import node
from primrosemill.proxy import address_endpoint
from primrosemill.proxy import admin
from primrosemill.proxy import admission
from primrosemill.proxy import application
from primrosemill.proxy import asgi
from primrosemill.proxy import assignments
from primrosemill.proxy import budgeted_retries
from primrosemill.proxy import counters
from primrosemill.proxy import detection
from primrosemill.proxy import directory
from primrosemill.proxy import garbage_collection
from primrosemill.proxy import pause_log
from primrosemill.proxy import peers
from primrosemill.proxy import request_guard
from primrosemill.proxy import request_policies
from primrosemill.proxy import server
from primrosemill.proxy import settings as proxy_settings
from primrosemill.proxy import shutdown
from primrosemill.proxy import status
from primrosemill.proxy import suspects
from primrosemill.published import over_http
from primrosemill.telemetry import events

HOMES_INTERVAL = 0.25  # seconds between updates of the home VMs
# Seconds for which callers may use an address; a leaving VM goes on serving
# them for that time.
ANSWER_LIFETIME = decided_addresses.LIFETIME


class Ports(typing.NamedTuple):
    """The ports that a VM listens on."""

    caller_port: int
    admin_port: int
    peer_port: int


class Daemon:
    """Connects the servers of a VM to its decisions and runs them."""

    def __init__(
        self,
        settings: proxy_settings.Settings,
        generator: random.Random,
        store: interfaces.Store | None = None,
        answer_lifetime: float = ANSWER_LIFETIME,
    ) -> None:
        self._settings = settings
        self._answer_lifetime = answer_lifetime
        counts = counters.Counters(prometheus_client.CollectorRegistry())
        own_vm = home_vms.Vm(settings.vm_id, settings.domain)
        self._assignments = assignments.Assignments(
            own_vm, self._set_assignment
        )
        self._admission = admission.CallerLimiter(self._assignments)
        self._retries = budgeted_retries.BudgetedRetries()
        self._detection = detection.Detection(
            own_vm, self._set_standing, self._retries.record_answer_time
        )
        self._guard = request_guard.RequestGuard(
            fingerprints.Hasher(settings.peer_key + settings.fleet.encode()),
            quarantines.Quarantine(settings.vm_id),
            counts.crash_evidence.count,
        )
        self._application = application.Application(
            generator,
            request_policies.Policies(
                self._admission, self._detection, self._retries
            ),
            counts,
            settings.waiting_requests,
            guard=self._guard,
        )
        self._callers = server.Server(
            self._answer_caller, self._application.record_failure
        )
        self._admin = server.Server(
            admin.Admin(
                self._state,
                self.read_status,
                counts.registry,
                functools.partial(suspects.release, self._guard),
            )
        )
        self.peers = peers.Peers(
            settings,
            _make_platform(settings, store),
            self._set_document,
            counts.peers,
            generator,
            self._other_homes,
        )
        self._directory = directory.Directory(
            decided_addresses.Candidate(own_vm, f"{settings.ip}:0"),
            self.peers,
            self._assignments,
            answer_lifetime,
        )
        self._address_endpoint = address_endpoint.AddressEndpoint(
            self._directory.find
        )
        self._scope = trio.CancelScope()
        self._stopper = shutdown.Stopper(
            settings.vm_id,
            self._callers,
            self._application,
            self.peers.node.announce_gone,
            self._scope,
        )

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[Ports] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until stopped.

        Callers are served, and the ports reported, once a configuration is
        in force; the admin port answers from the start.
        """
        pause_log.start()
        with self._scope:
            async with trio.open_nursery() as nursery:
                ip = self._settings.ip
                admin_port = await nursery.start(
                    self._admin.run, ip, self._settings.admin_port
                )
                peer_port = await nursery.start(self.peers.run)
                await self.peers.document_ready.wait()
                caller_port = await nursery.start(
                    self._callers.run, ip, self._settings.caller_port
                )
                self._directory.set_caller_port(caller_port)
                nursery.start_soon(self._application.run_timed_tasks)
                nursery.start_soon(self._refresh_homes)
                nursery.start_soon(self._detection.run, self.peers)
                garbage_collection.configure()
                self._report_start(
                    Ports(caller_port, admin_port, peer_port), task_status
                )
        self._application.close_connections()

    async def run_until_signalled(
        self,
        *,
        task_status: trio.TaskStatus[Ports] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until a signal asks to stop and the stop is done."""
        async with trio.open_nursery() as nursery:
            await nursery.start(shutdown.stop_on_signals, self)
            await self.run(task_status=task_status)
            nursery.cancel_scope.cancel()

    async def stop(self, cause: str) -> None:
        """Leave the fleet, finish requests in flight, then end run().

        Callers with older addresses are served until these expire. Requests
        have their answers within the stop timeout of the settings after that;
        an answer that is still passed on then is cut off.
        """
        started = trio.current_time()
        times = planned_stop.plan_after(
            started, self._answer_lifetime, self._settings.stop_seconds
        )
        self._directory.set_leaving()
        self._application.begin_stop(times)
        events.emit(
            events.VM_LEAVING,
            vm_id=self._settings.vm_id,
            signal=cause,
            serve_seconds=self._answer_lifetime,
        )
        await self.peers.node.announce_leaving()
        await trio.sleep_until(times.accepts_until)
        self._application.closing = True
        await self._stopper.drain_and_stop(times.cuts_off_at)

    def stop_immediately(self, cause: str) -> None:
        """End run() now and cut off the requests in flight."""
        self._stopper.stop_immediately(cause)

    def read_status(self) -> status.Status:
        """Return the status that the admin port serves."""
        document = self.peers.document
        services = [
            status.describe_service(
                service,
                self._application.waiting(service.name),
                [vm.id for vm in self._assignments.homes(service.name)],
                self._detection,
            )
            for service in document.services_by_name.values()
        ]
        return status.Status(
            vm_id=self._settings.vm_id,
            fleet=self._settings.fleet,
            domain=self._settings.domain,
            state=self._state().value,
            requests_in_flight=self._application.in_flight,
            configuration=status.ConfigurationStatus(
                version=document.version, digest=document.digest
            ),
            members=self.peers.member_statuses(),
            services=services,
            suspects=suspects.describe(self._guard),
            caps=[],
        )

    def _state(self) -> status.VmState:
        if self._directory.leaving:
            return status.VmState.LEAVING
        if self.peers.document_ready.is_set():
            return status.VmState.SERVING
        return status.VmState.STARTING

    def _report_start(
        self, ports: Ports, task_status: trio.TaskStatus[Ports]
    ) -> None:
        events.emit(
            events.VM_STARTED,
            vm_id=self._settings.vm_id,
            caller_port=ports.caller_port,
            admin_port=ports.admin_port,
        )
        task_status.started(ports)

    def _set_assignment(self, assignment: assignments.Assignment) -> None:
        self._application.set_ranks(
            assignment.service, assignment.rank_by_instance_id
        )
        self._detection.set_assignment(assignment)

    def _set_standing(
        self, service: str, instance_id: str, standing: standings.Standing
    ) -> None:
        self._application.set_standing(service, instance_id, standing)
        if standing.state is standings.State.COLD:
            return
        events.emit(
            events.STANDING_CHANGED,
            service=service,
            instance_id=instance_id,
            state=standing.state.value,
            score=round(standing.score, 2),
            reason=standing.reason,
        )

    def _set_document(self, document: documents.Document) -> None:
        self._admission.set_document(document)
        self._application.set_document(document)
        self._detection.set_document(document)
        self._assignments.set_document(document)
        garbage_collection.freeze_recent()

    async def _refresh_homes(self) -> None:
        while True:
            self._assignments.set_vms(self._directory.home_candidates())
            await trio.sleep(HOMES_INTERVAL)

    def _other_homes(self) -> dict[str, list[str]]:
        return self._assignments.other_homes_by_service

    async def _answer_caller(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        if scope["path"] == address_endpoint.PATH:
            await self._address_endpoint(scope, receive, send)
        else:
            await self._application(scope, receive, send)


def _make_platform(
    settings: proxy_settings.Settings, store: interfaces.Store | None
) -> node.Platform:
    """Return the platform to read; a given store has no VM list."""
    if store is not None:
        return node.Platform(store)
    return node.Platform(
        over_http.HttpStore(settings.platform_address),
        over_http.HttpVmList(settings.platform_address),
    )
