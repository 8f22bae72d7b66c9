"""Carries one request from its admission to its one answer."""

import typing

import trio

from primrosemill.configuration import document as documents
from primrosemill.decisions import dispatch
from primrosemill.decisions import outcomes
from primrosemill.decisions import pool as slot_pools
from primrosemill.proxy import attempts
from primrosemill.proxy import callers
from primrosemill.proxy import flights
from primrosemill.proxy import hedging
from primrosemill.proxy import plugs

ERROR_ANSWER = outcomes.Unknown(outcomes.UnknownReason.ERROR_ANSWER)
BODY_TOO_LARGE = outcomes.Unknown(outcomes.UnknownReason.BODY_TOO_LARGE)
TIMED_OUT = outcomes.Unknown(outcomes.UnknownReason.TIMEOUT)


class Relayed(typing.NamedTuple):
    """An answer went to the caller, whole."""

    status: int


class Aborted(typing.NamedTuple):
    """An answer broke after its start went on to the caller."""

    reason: outcomes.UnknownReason


class CallerGone(typing.NamedTuple):
    """The caller left before its answer was whole."""


Ending = Relayed | Aborted | CallerGone | plugs.Refused | outcomes.Unknown
Failure = outcomes.NotRun | outcomes.Unknown


class Reports(typing.Protocol):
    """Takes note of what happens to a request before its ending."""

    def note_wait(self, seconds: float) -> None:
        """Note how long a request waited for the slot that it got."""
        ...

    def note_attempt(self, end: plugs.AttemptEnd) -> None:
        """Note an attempt that ended."""
        ...

    def note_hedge(
        self, request_id: str, instance_id: str, seconds: float
    ) -> None:
        """Note a second attempt beside one that takes so long already."""
        ...

    def note_retry(self, failure: Failure, request_id: str) -> None:
        """Note an attempt that another one follows."""
        ...


class Exchange:
    """Makes attempts until one is answered or none may follow."""

    def __init__(
        self,
        context: flights.Context,
        caller: callers.Caller,
        retries: plugs.RetryPolicy,
        reports: Reports,
        hedges: hedging.Hedges,
    ) -> None:
        self._context = context
        self._caller = caller
        self._retries = retries
        self._reports = reports
        self._hedges = hedges
        self._attempts = 0
        self._flights: list[flights.Flight] = []
        self._flying = False
        self._unknown: outcomes.Unknown | None = None
        self._sent_ids: set[str] = set()
        self._error_answer: tuple[flights.Flight, attempts.Answer] | None = (
            None
        )

    @property
    def unknown(self) -> outcomes.Unknown | None:
        """Return why the request may have run, or None if it did not."""
        return self._unknown

    @property
    def late_reason(self) -> outcomes.RefusalReason:
        """Return why a request is refused whose time ran out.

        Between attempts that were all not run, its retries are spent.
        """
        if self._attempts and not self._flying:
            return outcomes.RefusalReason.RETRIES_SPENT
        return outcomes.RefusalReason.DEADLINE

    async def run(self) -> Ending:
        """Make attempts until the request is resolved."""
        failed_id: str | None = None
        while True:
            instance = self._take_trial()
            if instance is None:
                instance = await self._wait_for_slot(failed_id)
            if isinstance(instance, plugs.Refused):
                return await self._end(self._unknown or self._refuse(instance))
            self._flying = True
            ending = await self._attempt(instance)
            self._flying = False
            if not isinstance(ending, Failure):
                return ending
            given_up = await self._pause_after(ending)
            if given_up is not None:
                return await self._end(given_up)
            self._reports.note_retry(ending, self._context.outgoing.id_text)
            failed_id = instance.id

    async def _wait_for_slot(
        self, failed_id: str | None
    ) -> documents.Instance | plugs.Refused:
        started = trio.current_time()
        granted = await self._context.dispatcher.acquire(self._wish(failed_id))
        if isinstance(granted, documents.Instance):
            self._reports.note_wait(trio.current_time() - started)
        return granted

    async def end_late(self) -> Ending:
        """Conclude after the deadline has passed."""
        late = plugs.Refused(self.late_reason)
        return await self._end(self._unknown or late)

    def end_too_large(self) -> Ending:
        """Conclude after more came than a body may have."""
        if self._unknown is not None:
            return BODY_TOO_LARGE
        return plugs.Refused(outcomes.RefusalReason.BODY_TOO_LARGE)

    async def _end(self, ending: plugs.Refused | outcomes.Unknown) -> Ending:
        """Conclude; an instance's own error tells the caller the most."""
        if self._error_answer is None:
            return ending
        flight, answer = self._error_answer
        await self._caller.relay(answer, flight.attempt)
        return Relayed(answer.status)

    def _take_trial(self) -> documents.Instance | None:
        """Take an instance that should be tried, for a first attempt."""
        context = self._context
        if self._attempts or not context.outgoing.idempotent:
            return None
        instance_id = context.observer.due_trial(
            context.service, trio.current_time()
        )
        if instance_id is None:
            return None
        return context.dispatcher.acquire_named(instance_id)

    async def _pause_after(
        self, failure: Failure
    ) -> plugs.Refused | outcomes.Unknown | None:
        """Wait until the next attempt may start, or return why none may."""
        while True:
            decision = self._decide(failure)
            if isinstance(decision, plugs.Refused | outcomes.Unknown):
                return decision
            await trio.sleep(decision.pause)
            if decision.action is plugs.Action.RETRY:
                return None

    def _refuse(self, refused: plugs.Refused) -> plugs.Refused:
        if refused.reason is outcomes.RefusalReason.DEADLINE:
            return refused._replace(reason=self.late_reason)
        return refused

    def _wish(self, failed_id: str | None = None) -> dispatch.Wish:
        """Ask for a slot; not at the instance that failed last, if any.

        Where the route bounds the instances that a request is sent to, it
        goes to new ones as long as it may, then to those it was sent to.
        """
        outgoing = self._context.outgoing
        excluded = {failed_id} if failed_id is not None else set()
        only = None
        if self._most_instances:
            excluded |= self._sent_ids
            if len(self._sent_ids) >= self._most_instances:
                excluded = set()
                only = frozenset(self._sent_ids)
        return dispatch.Wish(
            self._context.caller_id,
            outgoing.deadline,
            outgoing.idempotent,
            frozenset(excluded),
            only,
            outgoing.route,
            outgoing.arrived,
            outgoing.id_text,
            self._retries.repeat_cost(self._context.service),
        )

    def _has_run_everywhere(self, failure: Failure) -> bool:
        """Tell whether an attempt may have run on the last instance allowed.

        One that sheds may be asked again, as it has not run the request.
        """
        if isinstance(failure, outcomes.NotRun) or not self._most_instances:
            return False
        return len(self._sent_ids) >= self._most_instances

    @property
    def _most_instances(self) -> int:
        route = self._context.outgoing.route
        return route.most_instances if route is not None else 0

    def _decide(
        self, failure: Failure
    ) -> plugs.Decision | plugs.Refused | outcomes.Unknown:
        """Decide what follows a failed attempt.

        The checks that come before the policy hold the promises that what
        must not be repeated runs at most once, and nothing on more
        instances than its route allows.
        """
        outgoing = self._context.outgoing
        if isinstance(failure, outcomes.Unknown) and not outgoing.idempotent:
            return failure
        if self._has_run_everywhere(failure):
            return failure
        if not outgoing.body.replayable:
            return self._unknown or plugs.Refused(
                outcomes.RefusalReason.BODY_SENT
            )
        if trio.current_time() >= outgoing.deadline:
            return self._unknown or plugs.Refused(
                outcomes.RefusalReason.DEADLINE
            )
        decision = self._retries.decide(self._facts(failure))
        if decision.action is plugs.Action.GIVE_UP:
            return self._unknown or plugs.Refused(
                decision.reason, decision.retry_after
            )
        return decision

    def _facts(self, failure: Failure) -> plugs.RetryFacts:
        outgoing = self._context.outgoing
        return plugs.RetryFacts(
            self._context.service,
            outgoing.idempotent,
            self._attempts,
            failure,
            trio.current_time(),
            outgoing.deadline,
        )

    async def _attempt(
        self, instance: documents.Instance
    ) -> Relayed | Aborted | Failure:
        flight = self._launch(instance)
        try:
            flight = await self._fly(flight)
            if not isinstance(flight.ending, attempts.Answer):
                return flight.ending
            if self._may_replace(flight.ending):
                self._error_answer = flight, flight.ending
                flight.delivered = True
                return ERROR_ANSWER
            return await self._relay(flight, flight.ending)
        finally:
            await self._land_all()

    def _may_replace(self, answer: attempts.Answer) -> bool:
        """Tell whether another instance may answer better."""
        outgoing = self._context.outgoing
        if not outgoing.dialect.repeat_errors or not outgoing.idempotent:
            return False
        return answer.whole and answer.status >= outcomes.FIRST_SERVER_ERROR

    def _launch(self, instance: documents.Instance) -> flights.Flight:
        self._attempts += 1
        flight = flights.Flight(self._context, instance)
        self._flights.append(flight)
        return flight

    async def _fly(self, flight: flights.Flight) -> flights.Flight:
        delay = self._hedge_delay()
        if delay is None:
            await flight.run()
            return flight
        race = hedging.Race(self._hedges)
        chosen = await race.run(flight, delay, self._launch_hedge)
        for each in tuple(self._flights):
            if each is not chosen:
                await self._land(each)
        return chosen

    def _hedge_delay(self) -> float | None:
        outgoing = self._context.outgoing
        # Two attempts can't read one upload, and only what is idempotent
        # may run twice.
        if not outgoing.idempotent or not outgoing.body.absent:
            return None
        return self._retries.hedge_delay(
            self._context.service, trio.current_time(), outgoing.route_name
        )

    def _launch_hedge(self) -> flights.Flight | None:
        sent = self._sent_ids | {each.instance.id for each in self._flights}
        if self._most_instances and len(sent) >= self._most_instances:
            return None
        wish = self._wish()._replace(excluded=frozenset(sent))
        dispatcher = self._context.dispatcher
        instance = dispatcher.try_acquire(wish)
        if instance is None:
            return None
        if not self._retries.hedge_started(self._context.service):
            dispatcher.release(instance.id, 0.0, slot_pools.End.FAILED)
            return None
        outgoing = self._context.outgoing
        self._reports.note_hedge(
            outgoing.id_text,
            instance.id,
            trio.current_time() - outgoing.arrived,
        )
        return self._launch(instance)

    async def _relay(
        self, flight: flights.Flight, answer: attempts.Answer
    ) -> Relayed | Aborted:
        if answer.whole:
            # A caller that reads slowly must not hold the slot meanwhile.
            flight.delivered = True
            await self._land(flight)
        cut_off = await self._caller.relay(answer, flight.attempt)
        flight.delivered = True
        if cut_off is None:
            return Relayed(answer.status)
        flight.cut_off = cut_off
        self._caller.abort()
        return Aborted(cut_off.reason)

    async def _land_all(self) -> None:
        while self._flights:
            await self._land(self._flights[-1])

    async def _land(self, flight: flights.Flight) -> None:
        self._flights.remove(flight)
        if flight.attempt.maybe_ran:
            self._sent_ids.add(flight.instance.id)
        if isinstance(flight.ending, outcomes.Unknown):
            self._unknown = flight.ending
        elif flight.ending is None and flight.attempt.maybe_ran:
            self._unknown = TIMED_OUT
        self._reports.note_attempt(await flight.land())
