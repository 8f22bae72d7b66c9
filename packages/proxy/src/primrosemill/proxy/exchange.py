"""Runs one admitted request until it has its final result.

An exchange makes one or more attempts at instances, with retries and at most
one hedge (a second, parallel attempt) at a time.
"""

import functools
import typing

import trio

from primrosemill.configuration import document as documents
from primrosemill.decisions import dispatch
from primrosemill.decisions import outcomes
from primrosemill.decisions import slot_pool as slot_pools
from primrosemill.proxy import attempts
from primrosemill.proxy import callers
from primrosemill.proxy import forwarded_attempts
from primrosemill.proxy import hedging
from primrosemill.proxy import peer_forwarding
from primrosemill.proxy import request_policies
from primrosemill.proxy import tracked_attempts

UNKNOWN_ERROR_ANSWER = outcomes.Unknown(outcomes.UnknownReason.ERROR_ANSWER)
UNKNOWN_BODY_TOO_LARGE = outcomes.Unknown(
    outcomes.UnknownReason.BODY_TOO_LARGE
)
UNKNOWN_TIMEOUT = outcomes.Unknown(outcomes.UnknownReason.TIMEOUT)


class Relayed(typing.NamedTuple):
    """A complete answer was relayed to the caller."""

    status: int


class Aborted(typing.NamedTuple):
    """An answer failed after its start had been relayed to the caller."""

    reason: outcomes.UnknownReason


class CallerGone(typing.NamedTuple):
    """The caller disconnected before its answer was complete."""


Result = (
    Relayed
    | Aborted
    | CallerGone
    | request_policies.Refused
    | outcomes.Unknown
)
Failure = outcomes.NotRun | outcomes.Unknown


class _Helper(typing.NamedTuple):
    """A VM that serves a request in place of this one."""

    vm: documents.Instance


class Recorder(typing.Protocol):
    """Records the attempts of a request and its wait for a slot."""

    def record_wait(self, seconds: float) -> None:
        """Record how long a request waited for its slot."""
        ...

    def record_attempt(self, end: request_policies.AttemptEnd) -> None:
        """Record an attempt that ended."""
        ...

    def record_hedge(
        self, request_id: str, instance_id: str, seconds: float
    ) -> None:
        """Record a hedge; ``seconds`` is the age of the request."""
        ...

    def record_retry(self, failure: Failure, request_id: str) -> None:
        """Record a failed attempt that is followed by another one."""
        ...


class Exchange:
    """Makes attempts until one is answered or no further one is allowed."""

    def __init__(
        self,
        context: tracked_attempts.RequestContext,
        caller: callers.Caller,
        retries: request_policies.RetryPolicy,
        recorder: Recorder,
        hedge_runner: hedging.HedgeRunner,
    ) -> None:
        self._context = context
        self._caller = caller
        self._retries = retries
        self._recorder = recorder
        self._hedge_runner = hedge_runner
        self._attempts = 0
        self._in_flight: list[tracked_attempts.TrackedAttempt] = []
        self._attempting = False
        self._unknown_outcome: outcomes.Unknown | None = None
        self._attempted_ids: set[str] = set()
        self._helper_ids: set[str] = set()
        self._error_answer: (
            tuple[tracked_attempts.TrackedAttempt, attempts.Answer] | None
        ) = None

    @property
    def unknown_outcome(self) -> outcomes.Unknown | None:
        """Return why the request may have run, or None if it has not run."""
        return self._unknown_outcome

    @property
    def is_attempting(self) -> bool:
        """Return whether an instance or another VM may be at work on it."""
        return self._attempting

    @property
    def deadline_reason(self) -> outcomes.RefusalReason:
        """Return the reason for refusing a request at its deadline.

        Between attempts, none of which was run, the reason is that the
        retries are spent.
        """
        if self._attempts and not self._attempting:
            return outcomes.RefusalReason.RETRIES_SPENT
        return outcomes.RefusalReason.DEADLINE

    async def run(self) -> Result:
        """Make attempts until the request has a final result."""
        failed_id: str | None = None
        while True:
            target = await self._choose_target(failed_id)
            if isinstance(target, request_policies.Refused):
                return await self._conclude(
                    self._unknown_outcome or self._adjust_refusal(target)
                )
            self._attempting = True
            if isinstance(target, _Helper):
                result = await self._forward(target.vm)
            else:
                result = await self._make_attempt(target)
            self._attempting = False
            await self._context.watch.settle(self._context.pool)
            if not isinstance(result, Failure):
                return result
            if isinstance(target, _Helper):
                if isinstance(result, outcomes.NotRun):
                    # No instance got anything, so no budget is spent.
                    continue
                if self._max_instances:
                    # The helper may have used as many as are allowed.
                    return await self._conclude(result)
            final = await self._wait_before_retry(result)
            if final is not None:
                return await self._conclude(final)
            self._recorder.record_retry(
                result, self._context.outgoing.request_id_text
            )
            failed_id = None
            if isinstance(target, documents.Instance):
                failed_id = target.id

    async def _choose_target(
        self, failed_id: str | None
    ) -> documents.Instance | _Helper | request_policies.Refused:
        """Return an instance with a slot taken, or a VM that helps.

        While this VM reaches no instance, other VMs serve its requests. It
        stops passing on what would not end before it does.
        """
        if not self._context.can_end:
            return request_policies.STOPPING
        forwarding, service = self._context.forwarding, self._context.service
        if forwarding is None:
            return await self._choose_instance(failed_id)
        if forwarding.is_cut(service):
            return self._choose_helper()
        if self._context.is_forwarded:
            return await self._choose_instance(failed_id)
        instance = await self._choose_instance(failed_id)
        if isinstance(instance, request_policies.Refused):
            return instance
        if not forwarding.opens_no_connections(service) or (
            self._context.pool.has_idle(instance)
        ):
            return instance
        helper = self._choose_helper()
        if isinstance(helper, request_policies.Refused):
            return instance
        self._context.dispatcher.release(
            instance.id, 0.0, slot_pools.SlotOutcome.FAILED
        )
        return helper

    def _choose_helper(self) -> _Helper | request_policies.Refused:
        refused = self._context.watch.recheck()
        if refused is not None:
            return refused
        if not self._context.outgoing.body.replayable:
            return request_policies.Refused(outcomes.RefusalReason.BODY_SENT)
        vm = None
        if not self._context.is_forwarded and not self._has_attempted_all():
            vm = self._context.forwarding.choose_helper(self._helper_ids)
        if vm is None:
            return request_policies.Refused(
                outcomes.RefusalReason.NO_PATH, peer_forwarding.RETRY_AFTER
            )
        return _Helper(vm)

    def _has_attempted_all(self) -> bool:
        """Return whether as many instances as allowed may have run it."""
        return bool(self._max_instances) and (
            len(self._attempted_ids) >= self._max_instances
        )

    async def _forward(
        self, helper: documents.Instance
    ) -> Relayed | Aborted | Failure:
        """Make an attempt at a helper and write its answer to the caller."""
        self._helper_ids.add(helper.id)
        self._attempts += 1
        forwarded = forwarded_attempts.ForwardedAttempt(
            self._context, helper, len(self._attempted_ids)
        )
        try:
            result = await forwarded.run()
            if not isinstance(result, attempts.Answer):
                if isinstance(result, outcomes.Unknown):
                    self._unknown_outcome = result
                return result
            failure = await forwarded.deliver(self._caller, result)
            if failure is None:
                return Relayed(result.status)
            self._caller.abort()
            return Aborted(failure.reason)
        except trio.Cancelled:
            if forwarded.attempt.maybe_ran:
                self._unknown_outcome = UNKNOWN_TIMEOUT
            raise
        finally:
            await forwarded.close()

    async def _choose_instance(
        self, failed_id: str | None
    ) -> documents.Instance | request_policies.Refused:
        """Acquire a slot for the next attempt, unless none may follow."""
        watch = self._context.watch
        refused = await watch.admit(is_repeat=self._attempts > 0)
        if refused is not None:
            return refused
        instance = self._acquire_trial()
        if instance is None:
            instance = await self._wait_for_slot(failed_id)
        if isinstance(instance, request_policies.Refused):
            return instance
        refused = watch.recheck() or self._context.recheck_key()
        if refused is None and not self._context.can_end:
            refused = request_policies.STOPPING
        if refused is None:
            return instance
        self._context.dispatcher.release(
            instance.id, 0.0, slot_pools.SlotOutcome.FAILED
        )
        return refused

    async def _wait_for_slot(
        self, failed_id: str | None
    ) -> documents.Instance | request_policies.Refused:
        started = trio.current_time()
        granted = await self._context.dispatcher.acquire(
            self._slot_request(failed_id)
        )
        if isinstance(granted, documents.Instance):
            self._recorder.record_wait(trio.current_time() - started)
        return granted

    async def conclude_after_deadline(self) -> Result:
        """Return the result of a request whose deadline has passed."""
        refused = self._adjust_refusal(self._refuse_late())
        return await self._conclude(self._unknown_outcome or refused)

    async def conclude_evicted(self) -> Result:
        """Return the result of a request that was given up for memory."""
        refused = request_policies.Refused(outcomes.RefusalReason.MEMORY)
        return await self._conclude(self._unknown_outcome or refused)

    def conclude_body_too_large(self) -> Result:
        """Return the result of a request whose body exceeds the limit."""
        if self._unknown_outcome is not None:
            return UNKNOWN_BODY_TOO_LARGE
        return request_policies.Refused(outcomes.RefusalReason.BODY_TOO_LARGE)

    async def _conclude(
        self, result: request_policies.Refused | outcomes.Unknown
    ) -> Result:
        """Return the result, or relay an earlier error answer instead.

        An instance's own error tells the caller more than the result.
        """
        if self._error_answer is None:
            return result
        tracked, answer = self._error_answer
        await self._caller.relay(answer, tracked.attempt)
        return Relayed(answer.status)

    def _acquire_trial(self) -> documents.Instance | None:
        """Acquire a slot at an instance that is due for a trial, if any.

        Only the first attempt of an idempotent request is used for trials.
        """
        context = self._context
        if self._attempts or not context.outgoing.idempotent:
            return None
        instance_id = context.observer.next_trial_instance(
            context.service, trio.current_time()
        )
        if instance_id is None:
            return None
        return context.dispatcher.acquire_instance(instance_id)

    async def _wait_before_retry(
        self, failure: Failure
    ) -> request_policies.Refused | outcomes.Unknown | None:
        """Wait until the next attempt may start.

        Returns None then, or the final result if no attempt may follow.
        """
        while True:
            decision = self._decide_retry(failure)
            if isinstance(
                decision, request_policies.Refused | outcomes.Unknown
            ):
                return decision
            await trio.sleep(decision.pause)
            if decision.action is request_policies.Action.RETRY:
                return None

    def _adjust_refusal(
        self, refused: request_policies.Refused
    ) -> request_policies.Refused:
        """Set the precise reason of a refusal at the deadline."""
        if refused.reason is not outcomes.RefusalReason.DEADLINE:
            return refused
        late = self._refuse_late()
        if late is request_policies.STOPPING:
            return late
        return refused._replace(reason=self.deadline_reason)

    def _refuse_late(self) -> request_policies.Refused:
        """Return the refusal of a request whose time is over."""
        return self._context.deadline.refuse_late()

    def _slot_request(
        self, failed_id: str | None = None
    ) -> dispatch.SlotRequest:
        """Build the request for a slot.

        It excludes the instance that failed last. If the route limits the
        number of instances for a request, it asks for new instances up to
        the limit and afterwards only for those already attempted.
        """
        outgoing = self._context.outgoing
        customer = self._context.customer
        excluded_ids = {failed_id} if failed_id is not None else set()
        allowed_ids = None
        if self._max_instances:
            excluded_ids |= self._attempted_ids
            if len(self._attempted_ids) >= self._max_instances:
                excluded_ids = set()
                allowed_ids = frozenset(self._attempted_ids)
        return dispatch.SlotRequest(
            self._context.caller_id,
            self._context.latest_end,
            outgoing.idempotent,
            frozenset(excluded_ids),
            allowed_ids,
            outgoing.route,
            outgoing.arrived,
            outgoing.request_id_text,
            self._retries.repeat_cost(self._context.service),
            customer.priority if customer is not None else None,
            self._context.loss,
        )

    def _are_instances_exhausted(self, failure: Failure) -> bool:
        """Return whether the route's limit of instances rules out a retry.

        An attempt that was not run, such as a shed one, may be repeated.
        """
        if isinstance(failure, outcomes.NotRun) or not self._max_instances:
            return False
        return len(self._attempted_ids) >= self._max_instances

    @property
    def _max_instances(self) -> int:
        route = self._context.outgoing.route
        return route.max_instances if route is not None else 0

    def _decide_retry(
        self, failure: Failure
    ) -> (
        request_policies.Decision | request_policies.Refused | outcomes.Unknown
    ):
        """Decide what follows a failed attempt.

        The checks before the policy guarantee that a non-idempotent request
        runs at most once, and no request on more instances than its route
        allows.
        """
        outgoing = self._context.outgoing
        if isinstance(failure, outcomes.Unknown) and not outgoing.idempotent:
            return failure
        refused = self._context.recheck_key()
        if refused is not None:
            return self._unknown_outcome or refused
        if self._are_instances_exhausted(failure):
            return failure
        if not outgoing.body.replayable:
            return self._unknown_outcome or request_policies.Refused(
                outcomes.RefusalReason.BODY_SENT
            )
        if trio.current_time() >= self._context.latest_end:
            return self._unknown_outcome or self._refuse_late()
        decision = self._retries.decide(self._retry_facts(failure))
        if decision.action is request_policies.Action.GIVE_UP:
            return self._unknown_outcome or request_policies.Refused(
                decision.reason, decision.retry_after
            )
        return decision

    def _retry_facts(self, failure: Failure) -> request_policies.RetryFacts:
        outgoing = self._context.outgoing
        return request_policies.RetryFacts(
            self._context.service,
            outgoing.idempotent,
            self._attempts,
            failure,
            trio.current_time(),
            self._context.latest_end,
        )

    async def _make_attempt(
        self, instance: documents.Instance
    ) -> Relayed | Aborted | Failure:
        tracked = self._start_attempt(instance)
        try:
            tracked = await self._run_with_hedge(tracked)
            if not isinstance(tracked.result, attempts.Answer):
                return tracked.result
            if self._is_retryable_error(tracked.result):
                self._error_answer = tracked, tracked.result
                tracked.delivered = True
                return UNKNOWN_ERROR_ANSWER
            return await self._relay(tracked, tracked.result)
        finally:
            await self._finish_all()

    def _is_retryable_error(self, answer: attempts.Answer) -> bool:
        """Return whether an error answer may be retried elsewhere."""
        outgoing = self._context.outgoing
        if not outgoing.dialect.retry_server_errors or not outgoing.idempotent:
            return False
        return answer.complete and answer.status >= outcomes.FIRST_SERVER_ERROR

    def _start_attempt(
        self, instance: documents.Instance
    ) -> tracked_attempts.TrackedAttempt:
        self._attempts += 1
        tracked = tracked_attempts.TrackedAttempt(self._context, instance)
        self._in_flight.append(tracked)
        return tracked

    async def _run_with_hedge(
        self, tracked: tracked_attempts.TrackedAttempt
    ) -> tracked_attempts.TrackedAttempt:
        delay = self._hedge_delay()
        if delay is None:
            await tracked.run()
            return tracked
        race = hedging.Race(self._hedge_runner)
        chosen = await race.run(tracked, delay, self._start_hedge)
        for each in tuple(self._in_flight):
            if each is not chosen:
                await self._finish(each)
        return chosen

    def _hedge_delay(self) -> float | None:
        outgoing = self._context.outgoing
        # Two attempts can't read the same body, and only an idempotent
        # request may run twice.
        if not outgoing.idempotent or not outgoing.body.absent:
            return None
        if not self._context.watch.may_hedge:
            return None
        return self._retries.hedge_delay(
            self._context.service, trio.current_time(), outgoing.route_name
        )

    def _start_hedge(self) -> tracked_attempts.TrackedAttempt | None:
        attempted_ids = self._attempted_ids | {
            each.instance.id for each in self._in_flight
        }
        if self._max_instances and len(attempted_ids) >= self._max_instances:
            return None
        if not self._context.watch.may_hedge or not self._context.can_end:
            return None
        slot_request = self._slot_request()._replace(
            excluded_ids=frozenset(attempted_ids)
        )
        dispatcher = self._context.dispatcher
        instance = dispatcher.try_acquire(slot_request)
        if instance is None:
            return None
        if not self._retries.try_spend_hedge(self._context.service):
            dispatcher.release(instance.id, 0.0, slot_pools.SlotOutcome.FAILED)
            return None
        outgoing = self._context.outgoing
        self._recorder.record_hedge(
            outgoing.request_id_text,
            instance.id,
            trio.current_time() - outgoing.arrived,
        )
        return self._start_attempt(instance)

    async def _relay(
        self, tracked: tracked_attempts.TrackedAttempt, answer: attempts.Answer
    ) -> Relayed | Aborted:
        if answer.complete:
            await self._finish_read(tracked)
        relay_failure = await self._caller.relay(
            answer,
            tracked.attempt,
            functools.partial(self._finish_read, tracked),
        )
        tracked.delivered = True
        if relay_failure is None:
            return Relayed(answer.status)
        tracked.relay_failure = relay_failure
        self._caller.abort()
        return Aborted(relay_failure.reason)

    async def _finish_read(
        self, tracked: tracked_attempts.TrackedAttempt
    ) -> None:
        """Free the slot of an attempt whose answer was read to its end.

        A slow caller must not keep it occupied.
        """
        tracked.delivered = True
        await self._finish(tracked)

    async def _finish_all(self) -> None:
        while self._in_flight:
            await self._finish(self._in_flight[-1])

    async def _finish(self, tracked: tracked_attempts.TrackedAttempt) -> None:
        self._in_flight.remove(tracked)
        if tracked.attempt.maybe_ran:
            self._attempted_ids.add(tracked.instance.id)
        if isinstance(tracked.result, outcomes.Unknown):
            self._unknown_outcome = tracked.result
        elif tracked.result is None and tracked.attempt.maybe_ran:
            self._unknown_outcome = UNKNOWN_TIMEOUT
        self._recorder.record_attempt(await tracked.finish())
