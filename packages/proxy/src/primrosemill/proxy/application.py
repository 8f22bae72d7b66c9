"""Handles callers' requests, from finding the route to the answer."""

import functools
import random
import typing

import trio

from primrosemill.configuration import document as documents
from primrosemill.decisions import outcomes
from primrosemill.decisions import paths
from primrosemill.decisions import planned_stop
from primrosemill.decisions import request_losses
from primrosemill.decisions import routes
from primrosemill.decisions import run_permit
from primrosemill.decisions import splits
from primrosemill.decisions import standings
from primrosemill.proxy import alarm as alarms
from primrosemill.proxy import asgi
from primrosemill.proxy import attempts
from primrosemill.proxy import callers
from primrosemill.proxy import connections
from primrosemill.proxy import counters
from primrosemill.proxy import dialects
from primrosemill.proxy import dispatcher as dispatchers
from primrosemill.proxy import exchange
from primrosemill.proxy import forwarding_tickets
from primrosemill.proxy import headers
from primrosemill.proxy import hedging
from primrosemill.proxy import memory
from primrosemill.proxy import peer_forwarding
from primrosemill.proxy import replay_body
from primrosemill.proxy import request_deadline
from primrosemill.proxy import request_guard
from primrosemill.proxy import request_policies
from primrosemill.proxy import request_recorder
from primrosemill.proxy import request_watch
from primrosemill.proxy import requests_in_progress
from primrosemill.proxy import served_requests
from primrosemill.proxy import ticket_inspection
from primrosemill.proxy import tracked_attempts
from primrosemill.telemetry import events

from primrosemill.proxy.customers import access

HOUSEKEEPING_INTERVAL = 0.25  # seconds; far below the time of a cold start
HEADER_OVERHEAD = 4  # bytes of a header line besides its name and value

RouteLookup = routes.Match | request_policies.Refused
MakeDispatcher = typing.Callable[
    [documents.Service, alarms.Alarm], tracked_attempts.Dispatcher
]


class Identified(typing.NamedTuple):
    """The route of a request, and its customer if it has one."""

    match: routes.Match
    customer: documents.Customer | None


def _read_no_news() -> None:
    pass


class Application:
    """The ASGI application that serves callers.

    ``read_news`` is called before a request relies on what the VM knows.
    """

    def __init__(
        self,
        generator: random.Random,
        policies: request_policies.Policies | None = None,
        counts: counters.Counters | None = None,
        queue_limit: int = dispatchers.QUEUE_LIMIT,
        dialect: dialects.Dialect = dialects.DEFAULT,
        make_dispatcher: MakeDispatcher | None = None,
        log_requests: bool = False,
        guard: request_guard.RequestGuard | None = None,
        account: memory.account.Account | None = None,
    ) -> None:
        self._generator = generator
        self._policies = policies or request_policies.default_policies()
        self._counters = counts or counters.Counters()
        self._route_table: routes.RouteTable | None = None
        self._guard = guard or request_guard.RequestGuard(
            count=self._counters.crash_evidence.count
        )
        self._current_routes: tuple[documents.Route, ...] = ()
        self._splitter = splits.Splitter(generator)
        self._account = account or memory.account.Account()
        self.connections = connections.Connections(self._account.answers)
        self._dialect = dialect
        self.access = access.Access(dialect)
        self.caps: request_policies.CustomerCaps = request_policies.NoCaps()
        self._dispatchers_by_service: dict[
            str, tracked_attempts.Dispatcher
        ] = {}
        self._queue_limit = queue_limit
        self._make_dispatcher = make_dispatcher or self._create_dispatcher
        self.bounds = documents.UNLIMITED_REQUESTS
        self._alarm = alarms.Alarm()
        self._hedge_runner = hedging.HedgeRunner()
        self._recorder = request_recorder.RequestRecorder(
            self._counters, log_requests
        )
        self.read_news: typing.Callable[[], None] = _read_no_news
        self.forwarding: peer_forwarding.PeerForwarding | None = None
        self.inspector: forwarding_tickets.Inspector | None = None
        self.closing = False
        self._requests = requests_in_progress.RequestsInProgress()

    def begin_stop(self, times: planned_stop.Times) -> None:
        """Answer each request before the VM cuts off its connections.

        The times are trio times.
        """
        self._requests.begin_stop(times)
        for dispatcher in self._dispatchers_by_service.values():
            dispatcher.end_by(times.answers_by)

    def set_document(self, document: documents.Document) -> None:
        """Apply a new version of the configuration."""
        self.access.set_document(document)
        self._guard.set_services(document.services_by_name)
        self._set_routes(document)
        previous = self._dispatchers_by_service
        self._dispatchers_by_service = {}
        for name, service in document.services_by_name.items():
            dispatcher = previous.get(name)
            if dispatcher is None:
                dispatcher = self._make_dispatcher(service, self._alarm)
            else:
                dispatcher.set_service(service)
            self._dispatchers_by_service[name] = dispatcher
        if self._requests.stop.has_begun:
            for dispatcher in self._dispatchers_by_service.values():
                dispatcher.end_by(self._requests.stop.answers_by)

    def set_ranks(
        self, service: str, rank_by_instance_id: dict[str, int]
    ) -> None:
        """Set this VM's rank at the instances of a service.

        Rank 0 means that this VM leads the instance: it uses the instance
        first, while other VMs only spill over to it.
        """
        dispatcher = self._dispatchers_by_service.get(service)
        if dispatcher is not None:
            dispatcher.set_ranks(rank_by_instance_id)

    def set_standing(
        self, service: str, instance_id: str, standing: standings.Standing
    ) -> None:
        """Set the standing of an instance of a service."""
        dispatcher = self._dispatchers_by_service.get(service)
        if dispatcher is not None:
            dispatcher.set_standing(instance_id, standing)

    def _set_routes(self, document: documents.Document) -> None:
        """Build the route table, unless the document's routes are the same."""
        previous, self._current_routes = self._current_routes, document.routes
        if document.routes and document.routes is previous:
            return
        self._route_table = routes.RouteTable(document)
        self._splitter.forget_others(document.routes)

    def _create_dispatcher(
        self, service: documents.Service, alarm: alarms.Alarm
    ) -> dispatchers.Dispatcher:
        return dispatchers.Dispatcher(
            service, self._generator, alarm, self._queue_limit
        )

    async def _run_housekeeping(self) -> None:
        """Periodically grant slots and close expired connections.

        Slots may become free with time alone, without a release.
        """
        while True:
            await trio.sleep(HOUSEKEEPING_INTERVAL)
            for dispatcher in self._dispatchers_by_service.values():
                dispatcher.ramp_up()
                dispatcher.wake()
            self.connections.close_expired()

    async def run_timed_tasks(self) -> None:
        """Run the time-driven work: slot grants, hedges and housekeeping."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._hedge_runner.run)
            nursery.start_soon(self._run_housekeeping)
            while True:
                await self._alarm.wait()
                self._wake_dispatchers()

    def record_failure(self, error: Exception) -> None:
        """Count and log a fault of the proxy that ended a request."""
        self._recorder.record_failure(error)

    def close_idle_connections(self, instance: documents.Instance) -> None:
        """Close the idle connections to an instance that is leaving."""
        self.connections.close_idle(instance)

    def close_connections(self) -> None:
        """Close all idle connections to instances."""
        self.connections.close_all()

    async def __call__(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Handle one request."""
        absent = _has_no_body(scope)
        body = replay_body.ReplayBody(
            receive,
            absent=absent,
            buffer_size=self._dialect.replay_buffer_size,
            limit=self.bounds.max_body_size,
            hasher=None if absent else self._guard.hasher.start_body(),
            release=scope["state"][callers.CONNECTION_KEY].release_body,
        )
        request_id = attempts.decode_request_id(
            self._dialect.find_request_id(scope["headers"])
        )
        watch = request_watch.RequestWatch(
            self._guard, scope, body, request_id
        )
        connection = scope["state"][callers.CONNECTION_KEY]
        deadline = request_deadline.RequestDeadline(
            self._requests.stop,
            request_deadline.ReadTimes(
                self._dialect.max_write_stall, self._dialect.max_relay_time
            ),
        )
        caller = callers.Caller(
            send,
            body,
            connection,
            self._is_closing,
            deadline,
            self._dialect,
        )
        request = self._requests.add(request_id, caller, deadline)
        try:
            id_value = self._dialect.find_request_id(scope["headers"])
            ticket = ticket_inspection.read_ticket(
                self.inspector, scope, id_value, self._counters
            )
            if isinstance(ticket, request_policies.Refused):
                result = ticket
            else:
                if ticket is not None and id_value is not None:
                    # The other VM takes an answer without it for a late one.
                    caller.echo = self._dialect.request_id, id_value
                result = await self._handle_request(
                    scope, body, caller, watch, ticket, request
                )
            result = _check_refusal(result, caller.permit, request_id)
            await _send_result(result, caller)
            self._recorder.record_result(
                result, request.arrived, trio.current_time(), request_id
            )
        finally:
            self._requests.remove(request)
            watch.close()
            caller.detach()

    @property
    def in_flight(self) -> int:
        """Return the number of requests without their final answer."""
        return len(self._requests)

    def log_cut_off(self) -> None:
        """Log the requests that end with the process."""
        self._requests.log_cut_off()

    def waiting(self, service: str) -> int:
        """Return the number of requests that wait for a slot of a service."""
        return self._dispatchers_by_service[service].waiting

    def busy(self, service: str) -> int:
        """Return the number of slots of a service that this VM occupies."""
        return self._dispatchers_by_service[service].slots.busy

    def _wake_dispatchers(self) -> None:
        for dispatcher in self._dispatchers_by_service.values():
            dispatcher.wake()

    def _is_closing(self) -> bool:
        return self.closing

    async def _handle_request(
        self,
        scope: asgi.Scope,
        body: replay_body.ReplayBody,
        caller: callers.Caller,
        watch: request_watch.RequestWatch,
        ticket: forwarding_tickets.Ticket | None,
        request: requests_in_progress.RequestInProgress,
    ) -> exchange.Result:
        now = trio.current_time()
        self.read_news()
        refused = self._refuse_early(scope)
        if refused is not None:
            return refused
        with request.deadline.open() as deadline_scope:
            identified = await self._identify(scope, ticket, request)
        if deadline_scope.cancelled_caught:
            return request.deadline.refuse_late()
        if isinstance(identified, request_policies.Refused):
            return identified
        match, customer = identified
        caller_id = _caller_id(scope)
        if ticket is None:
            refused = self._policies.admission.admit(
                caller_id, match.service, now
            )
            if refused is not None:
                return refused
        if self._is_too_large(scope):
            return request_policies.Refused(
                outcomes.RefusalReason.BODY_TOO_LARGE
            )
        outgoing = _build_outgoing(
            scope,
            body,
            match.route,
            now,
            request.deadline.time_limit,
            self._dialect,
        )
        key = None
        if customer is not None:
            key = self.access.read_key(scope["headers"])
        outgoing = outgoing._replace(
            headers=self.access.rewrite(outgoing.headers, customer),
            credentials=self.access.build_credentials(key),
        )
        if not self._requests.stop.admits(
            outgoing.deadline, now, certain=ticket is not None
        ):
            return request_policies.STOPPING
        context = tracked_attempts.RequestContext(
            match.service,
            caller_id,
            outgoing,
            self._dispatchers_by_service[match.service],
            self.connections,
            self._policies.observer,
            watch,
            self.read_news,
            request_losses.RequestLoss(),
            self._requests.stop,
            request.deadline,
            caller.permit,
            self.forwarding,
            ticket is not None,
            customer,
            functools.partial(self.access.recheck, key, customer),
        )
        result = await self._run_within_cap(context, caller, request)
        served = served_requests.is_served(result, context.loss)
        if served is not None:
            context.dispatcher.record_end(context.loss, served)
        return result

    async def _identify(
        self,
        scope: asgi.Scope,
        ticket: forwarding_tickets.Ticket | None,
        request: requests_in_progress.RequestInProgress,
    ) -> Identified | request_policies.Refused:
        """Find the route and the customer of a request, or its refusal.

        A request may wait until this VM knows enough of the configuration.
        """
        identified = self._identify_now(scope, ticket, request)
        if isinstance(identified, request_policies.Refused) and (
            await self.access.wait_for_change(identified, scope["headers"])
        ):
            return self._identify_now(scope, ticket, request)
        return identified

    def _identify_now(
        self,
        scope: asgi.Scope,
        ticket: forwarding_tickets.Ticket | None,
        request: requests_in_progress.RequestInProgress,
    ) -> Identified | request_policies.Refused:
        match = self._find_route(scope, ticket)
        if isinstance(match, request_policies.Refused):
            return match
        timeout = _read_timeout(scope, match.route, self._dialect)
        request.deadline.limit(request.arrived + timeout)
        if self.access.needs_keys:
            self.access.freshness.record_demand()
        customer = self.access.identify(
            scope["headers"], match.route, trio.current_time()
        )
        if isinstance(customer, request_policies.Refused):
            return customer
        return Identified(match, customer)

    async def _run_within_cap(
        self,
        context: tracked_attempts.RequestContext,
        caller: callers.Caller,
        request: requests_in_progress.RequestInProgress,
    ) -> exchange.Result:
        """Run a request if its customer's cap allows it.

        A peer that passed a request on has counted it.
        """
        capped = None if context.is_forwarded else context.customer
        if capped is not None:
            with request.deadline.open() as scope:
                refused = await self.caps.acquire(capped, context.latest_end)
            if scope.cancelled_caught:
                return request.deadline.refuse_late()
            if refused is not None:
                return refused
            recheck = self.caps.check_start(capped, context.recheck_key)
            context = context._replace(recheck_key=recheck)
        admitted_at = trio.current_time()
        if not context.is_forwarded:
            self._policies.retries.request_started(
                context.service, admitted_at
            )
        result = await self._run_exchange(context, caller, request)
        if capped is not None and isinstance(result, request_policies.Refused):
            self.caps.give_back(capped, admitted_at)
        return result

    def _refuse_early(
        self, scope: asgi.Scope
    ) -> request_policies.Refused | None:
        """Return the refusal of a request whatever its route is."""
        if _head_size(scope) > self.bounds.max_head_size:
            return request_policies.Refused(
                outcomes.RefusalReason.HEAD_TOO_LARGE
            )
        return None

    def _find_route(
        self,
        scope: asgi.Scope,
        ticket: forwarding_tickets.Ticket | None = None,
    ) -> RouteLookup:
        if self._route_table is None:
            return request_policies.Refused(
                outcomes.RefusalReason.NO_CONFIGURATION
            )
        path = paths.check_path(scope["raw_path"])
        if path.is_error():
            return request_policies.Refused(outcomes.RefusalReason.BAD_PATH)
        host = headers.find(scope["headers"], b"host") or b""
        match = self._route_table.find(
            host.decode("latin-1"), path.ok, scope["method"]
        )
        if match is None:
            return request_policies.Refused(outcomes.RefusalReason.NO_ROUTE)
        if match.route.unsupported_kind:
            return request_policies.Refused(
                outcomes.RefusalReason.UNSUPPORTED_ROUTE
            )
        if match.route.shares:
            service = self._choose_share(match.route, ticket)
            match = match._replace(service=service)
        if ticket is not None:
            match = ticket_inspection.reduce_instances(match, ticket)
        if match.service not in self._dispatchers_by_service:
            return request_policies.Refused(outcomes.RefusalReason.NO_INSTANCE)
        return match

    def _choose_share(
        self,
        route: documents.Route,
        ticket: forwarding_tickets.Ticket | None,
    ) -> str:
        """Return the service of a request, which its first VM has chosen."""
        if ticket is not None and any(
            share.service == ticket.service for share in route.shares
        ):
            return ticket.service
        return self._splitter.choose(route)

    def _is_too_large(self, scope: asgi.Scope) -> bool:
        length = headers.find(scope["headers"], headers.CONTENT_LENGTH)
        return length is not None and int(length) > self.bounds.max_body_size

    async def _run_exchange(
        self,
        context: tracked_attempts.RequestContext,
        caller: callers.Caller,
        request: requests_in_progress.RequestInProgress,
    ) -> exchange.Result:
        outgoing = context.outgoing
        request_exchange = exchange.Exchange(
            context,
            caller,
            self._policies.retries,
            self._recorder,
            self._hedge_runner,
        )
        request.set_exchange(request_exchange)
        with request.deadline.open() as scope:
            caller.attach(scope)
            try:
                # If an earlier answer closes the connection, the caller
                # sends this request again, so it must not run before.
                await caller.wait_for_turn()
                return await self._run_in_turn(
                    request_exchange, outgoing, caller
                )
            except replay_body.CallerDisconnectedError:
                return exchange.CallerGone()
            except replay_body.BodyTooLargeError:
                return request_exchange.conclude_body_too_large()
        if caller.disconnected:
            return exchange.CallerGone()
        if caller.started:
            caller.abort()
            if not caller.evicted:
                _log_cut_off(request, caller)
            return exchange.Aborted(outcomes.UnknownReason.TIMEOUT)
        if caller.evicted:
            return await request_exchange.conclude_evicted()
        return await request_exchange.conclude_after_deadline()

    async def _run_in_turn(
        self,
        request_exchange: exchange.Exchange,
        outgoing: attempts.Outgoing,
        caller: callers.Caller,
    ) -> exchange.Result:
        """Run a request once its body may be passed on and the link is free.

        Raises the errors of :meth:`.replay_body.ReplayBody.read_start`.
        """
        if outgoing.route is not None and outgoing.route.large_answers:
            async with self._account.large_answers.turn() as transfer:
                result = await self._run_upload(request_exchange, outgoing)
                transfer.size = caller.relayed
                return result
        return await self._run_upload(request_exchange, outgoing)

    async def _run_upload(
        self,
        request_exchange: exchange.Exchange,
        outgoing: attempts.Outgoing,
    ) -> exchange.Result:
        """Run a request after the start of its body was read.

        What does not fit into the buffer keeps an instance's slot for as long
        as its caller sends, so few such bodies are passed on at a time.
        """
        body = outgoing.body
        if body.complete or not outgoing.dialect.buffer_uploads:
            return await request_exchange.run()
        if not _is_large(outgoing):
            await body.read_start()
            if body.complete:
                return await self._run_after_body(request_exchange, outgoing)
        if not self._account.large_uploads.take():
            return request_policies.Refused(outcomes.RefusalReason.MEMORY)
        try:
            await body.read_start()
            return await self._run_after_body(request_exchange, outgoing)
        finally:
            self._account.large_uploads.give_back()

    async def _run_after_body(
        self,
        request_exchange: exchange.Exchange,
        outgoing: attempts.Outgoing,
    ) -> exchange.Result:
        """Run a request unless the VM has begun to stop while it was read."""
        if not self._requests.stop.admits(
            outgoing.deadline, trio.current_time(), certain=False
        ):
            return request_policies.STOPPING
        return await request_exchange.run()


def _log_cut_off(
    request: requests_in_progress.RequestInProgress, caller: callers.Caller
) -> None:
    now = trio.current_time()
    events.emit(
        events.ANSWER_CUT_OFF,
        request_id=request.request_id,
        stage=request.deadline.stage.value,
        relayed=caller.relayed,
        elapsed=round(now - request.arrived, 3),
        late=round(now - request.deadline.time_limit, 3),
    )


def _is_large(outgoing: attempts.Outgoing) -> bool:
    """Return whether a body is announced that exceeds the buffer."""
    length = headers.find(outgoing.headers, headers.CONTENT_LENGTH)
    return length is not None and (
        int(length) > outgoing.dialect.replay_buffer_size
    )


def _check_refusal(
    result: exchange.Result, permit: run_permit.RunPermit, request_id: str
) -> exchange.Result:
    """Return the result, which is no refusal if the request may have run."""
    if not isinstance(result, request_policies.Refused) or permit.refuse():
        return result
    events.emit(
        events.REFUSAL_WITHHELD,
        request_id=request_id,
        reason=result.reason.value,
        state=permit.state.value,
    )
    return tracked_attempts.CANCELLED


async def _send_result(
    result: exchange.Result, caller: callers.Caller
) -> None:
    if isinstance(result, request_policies.Refused):
        await caller.refuse(result)
    elif isinstance(result, outcomes.Unknown):
        await caller.send_unknown(result)


def _caller_id(scope: asgi.Scope) -> str:
    """Return the caller's id: its header, or else its IP address."""
    value = headers.find(scope["headers"], headers.CALLER_ID)
    if value:
        return value.decode("latin-1")
    client = scope.get("client")
    return client[0] if client else ""


def _head_size(scope: asgi.Scope) -> int:
    """Return the size of a request's target and headers in bytes."""
    size = len(scope["raw_path"]) + len(scope["query_string"])
    for name, value in scope["headers"]:
        size += len(name) + len(value) + HEADER_OVERHEAD
    return size


def _has_no_body(scope: asgi.Scope) -> bool:
    request_headers = scope["headers"]
    if headers.find(request_headers, headers.TRANSFER_ENCODING) is not None:
        return False
    return headers.find(request_headers, headers.CONTENT_LENGTH) in (
        None,
        b"0",
    )


def _read_timeout(
    scope: asgi.Scope, route: documents.Route, dialect: dialects.Dialect
) -> float:
    """Return the seconds that a caller waits, at most its route's."""
    return dialect.parse_timeout(
        headers.find(scope["headers"], dialect.timeout), route.deadline
    )


def _build_outgoing(
    scope: asgi.Scope,
    body: replay_body.ReplayBody,
    route: documents.Route,
    now: float,
    time_limit: float,
    dialect: dialects.Dialect,
) -> attempts.Outgoing:
    """Build the request for instances from the caller's request."""
    request_headers = scope["headers"]
    target = asgi.read_target(scope)
    replaced_names = {dialect.timeout, dialect.expected_instance}
    forwarded = headers.forward(
        request_headers, headers.REQUEST_NAMES_DROPPED | replaced_names
    )
    if headers.find(request_headers, headers.TRANSFER_ENCODING) is not None:
        forwarded.append(headers.CHUNKED)
    return attempts.Outgoing(
        scope["method"].encode(),
        target,
        forwarded,
        body,
        route.idempotent,
        time_limit,
        now,
        route,
        dialect.find_request_id(request_headers),
        dialect,
    )
