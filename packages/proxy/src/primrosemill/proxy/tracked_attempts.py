"""Tracks attempts in flight: their slot, connection and observer."""

import typing

import trio

from primrosemill.configuration import document as documents
from primrosemill.decisions import dispatch
from primrosemill.decisions import outcomes
from primrosemill.decisions import planned_stop
from primrosemill.decisions import request_losses
from primrosemill.decisions import run_permit
from primrosemill.decisions import slot_pool as slot_pools
from primrosemill.proxy import attempts
from primrosemill.proxy import connections
from primrosemill.proxy import instance_stream
from primrosemill.proxy import peer_forwarding
from primrosemill.proxy import request_deadline
from primrosemill.proxy import request_policies
from primrosemill.proxy import request_watch

# If a deadline is handled later than this, the VM itself was paused, and the
# missing answer says nothing about the instance.
VM_PAUSE_THRESHOLD = 0.25  # seconds
SUCCESSFUL_STATUSES = range(200, 300)
CANCELLED = outcomes.Unknown(outcomes.UnknownReason.CANCELLED)
CONNECT_REFUSED = outcomes.NotRun(outcomes.NotRunReason.CONNECT_REFUSED)
SHED = outcomes.NotRun(outcomes.NotRunReason.SHED)
CANCELLED_UNSENT = outcomes.NotRun(outcomes.NotRunReason.CANCELLED_UNSENT)


class Dispatcher(typing.Protocol):
    """Grants the slots of one service; times are trio times."""

    @property
    def waiting(self) -> int:
        """Return the number of requests that wait for a slot."""
        ...

    def set_service(self, service: documents.Service) -> None:
        """Apply a new revision of the service."""
        ...

    async def acquire(
        self, request: dispatch.SlotRequest
    ) -> documents.Instance | request_policies.Refused:
        """Acquire a slot, waiting while the request can still start."""
        ...

    def end_by(self, time: float) -> None:
        """Refuse waiting requests that can't be answered by this time."""
        ...

    def usual_time(self, route: str) -> float:
        """Return the seconds that most answers of a route take at most."""
        ...

    def acquire_instance(self, instance_id: str) -> documents.Instance | None:
        """Acquire a slot of the given instance for a trial, if it has one."""
        ...

    def try_acquire(
        self, request: dispatch.SlotRequest
    ) -> documents.Instance | None:
        """Acquire a slot if one is free and no request waits for it."""
        ...

    def release(
        self, instance_id: str, held: float, outcome: slot_pools.SlotOutcome
    ) -> None:
        """Release a slot that was held for ``held`` seconds."""
        ...

    def may_send(self, instance: documents.Instance) -> bool:
        """Return whether a granted instance still takes requests."""
        ...

    def record_end(
        self, request: request_losses.RequestLoss, served: bool
    ) -> None:
        """Count a request that has ended as served or as lost."""
        ...

    def ramp_up(self) -> None:
        """Raise the shares of cold instances; called periodically."""
        ...

    def wake(self) -> None:
        """Grant free slots to waiting requests."""
        ...


def _never_refuse() -> None:
    return None


class RequestContext(typing.NamedTuple):
    """The state shared by all attempts of one request.

    ``is_forwarded`` means that another VM passed the request on, so this one
    must not. ``customer`` is the one that the request counts for, if any;
    ``recheck_key`` tells why its key does not hold any more. ``loss`` is
    whether the request counts as lost, ``stop`` the planned stop of this VM,
    ``deadline`` until when the caller may wait.
    ``permit`` excludes that it is sent once it was refused.
    """

    service: str
    caller_id: str
    outgoing: attempts.Outgoing
    dispatcher: Dispatcher
    pool: connections.Connections
    observer: request_policies.Observer
    watch: request_watch.RequestWatch
    read_news: typing.Callable[[], None]
    loss: request_losses.RequestLoss
    stop: planned_stop.PlannedStop
    deadline: request_deadline.RequestDeadline
    permit: run_permit.RunPermit
    forwarding: peer_forwarding.PeerForwarding | None = None
    is_forwarded: bool = False
    customer: documents.Customer | None = None
    recheck_key: request_policies.Recheck = _never_refuse

    @property
    def latest_end(self) -> float:
        """Return when the request has its answer, a trio time."""
        return self.deadline.end

    @property
    def can_end(self) -> bool:
        """Return whether this VM can wait for an answer of an instance."""
        outgoing = self.outgoing
        return self.stop.can_end(
            outgoing.deadline,
            self.dispatcher.usual_time(outgoing.route_name),
            trio.current_time(),
        )

    def build_outgoing(self) -> attempts.Outgoing:
        """Return the request with the time that an attempt has now."""
        return self.outgoing._replace(deadline=self.latest_end)

    def may_send(self, instance: documents.Instance) -> bool:
        """Return whether a chosen instance still takes requests.

        Raises instance_stream.KeyRefusedError.
        """
        self.read_news()
        if self.recheck_key() is not None:
            raise instance_stream.KeyRefusedError
        return self.dispatcher.may_send(instance)


class TrackedAttempt:
    """An attempt that holds a slot until :meth:`finish`.

    ``result`` is None until :meth:`run` ends. ``delivered`` is set once the
    request needs no more of the answer, ``relay_failure`` if the answer
    broke off while it was relayed.
    """

    def __init__(
        self, context: RequestContext, instance: documents.Instance
    ) -> None:
        self._context = context
        self.instance = instance
        self.attempt = attempts.Attempt(
            context.pool,
            instance,
            context.build_outgoing(),
            context.may_send,
            context.permit,
        )
        self.result: attempts.Result | None = None
        self.relay_failure: outcomes.Unknown | None = None
        self.delivered = False
        self._start = request_policies.AttemptStart(
            context.service,
            instance.id,
            trio.current_time(),
            context.outgoing.idempotent,
            instance.boot,
            context.outgoing.route_name,
            context.outgoing.request_id_text,
            context.outgoing.arrived,
        )
        context.observer.attempt_started(self._start)

    async def run(self) -> attempts.Result:
        """Send the request and read the start of its answer."""
        self.result = await self.attempt.run()
        self._report_limit()
        if isinstance(self.result, attempts.Answer):
            self._context.observer.attempt_answered(
                self._start, self.result.status
            )
        return self.result

    def _report_limit(self) -> None:
        """Report what the answer said of a limit.

        Only a successful answer shows that the instance names none.
        """
        limit = self.attempt.limit
        successful = (
            isinstance(self.result, attempts.Answer)
            and self.result.status in SUCCESSFUL_STATUSES
        )
        if limit is not None or successful:
            self._context.observer.limit_read(
                request_policies.LimitReading(self._start, limit)
            )

    def _report_to_watch(self) -> None:
        """Report the end of the attempt to the watch of its request."""
        watch, service = self._context.watch, self._context.service
        result = self.result
        if isinstance(result, attempts.Answer) and self.relay_failure is None:
            if self.delivered:
                succeeded = result.status < outcomes.FIRST_SERVER_ERROR
                watch.record_answer(
                    service, self.instance, self._start.started, succeeded
                )
        elif self._may_have_crashed():
            watch.add_lost(service, self.instance)
        elif result == CONNECT_REFUSED:
            watch.record_refused(service, self.instance)

    def _may_have_crashed(self) -> bool:
        """Return whether a crash of the instance may have ended this.

        An attempt given up before its deadline says nothing: instances drop
        a request when its connection is closed.
        """
        unknown = self.relay_failure or self.result
        if isinstance(unknown, outcomes.Unknown):
            return unknown.reason in request_watch.CRASH_LIKE_REASONS
        return (
            self.result is None
            and self.attempt.maybe_ran
            and trio.current_time() >= self._context.outgoing.deadline
        )

    async def finish(self) -> request_policies.AttemptEnd:
        """Release the slot and the connection, and report the outcome."""
        if self.result is None:
            # The attempt was cancelled, maybe while it read the body.
            self._report_limit()
        await self.attempt.close()
        self._report_to_watch()
        end = self._build_end()
        self._context.dispatcher.release(
            self.instance.id, end.elapsed, _slot_outcome(self.result)
        )
        self._context.observer.attempt_ended(end)
        return end

    def _build_end(self) -> request_policies.AttemptEnd:
        late_by = trio.current_time() - self._context.outgoing.deadline
        return self._classify_end()._replace(
            load=self.attempt.load,
            timed_out=0.0 <= late_by < VM_PAUSE_THRESHOLD
            and self.result is None,
            pause=self.attempt.pause,
            connected_anew=self.attempt.connected_anew,
        )

    def _classify_end(self) -> request_policies.AttemptEnd:
        elapsed = trio.current_time() - self._start.started
        result = self.result
        draining = self.attempt.draining
        if isinstance(result, attempts.Answer):
            return request_policies.AttemptEnd(
                self._start,
                self.relay_failure
                or outcomes.Answered(result.status, elapsed),
                result.first_byte - self._start.started,
                elapsed,
                draining,
                not self.delivered,
            )
        if result is not None:
            return request_policies.AttemptEnd(
                self._start, result, None, elapsed, draining
            )
        outcome = CANCELLED if self.attempt.maybe_ran else CANCELLED_UNSENT
        return request_policies.AttemptEnd(
            self._start, outcome, None, elapsed, draining, abandoned=True
        )


def _slot_outcome(result: attempts.Result | None) -> slot_pools.SlotOutcome:
    """Return how an attempt with this result ended for its slot."""
    if isinstance(result, attempts.Answer):
        return slot_pools.SlotOutcome.ANSWERED
    if result == SHED:
        return slot_pools.SlotOutcome.SHED
    return slot_pools.SlotOutcome.FAILED
