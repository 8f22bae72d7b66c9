"""Accounts for attempts in flight: slot, connection and observer."""

import typing

import trio

from primrosemill.configuration import document as documents
from primrosemill.decisions import dispatch
from primrosemill.decisions import outcomes
from primrosemill.decisions import pool as slot_pools
from primrosemill.proxy import attempts
from primrosemill.proxy import connections
from primrosemill.proxy import plugs

# A VM that acts on a deadline later than this was paused itself, and the
# missing answer says nothing of the instance.
PAUSED_FOR = 0.25  # seconds
CANCELLED = outcomes.Unknown(outcomes.UnknownReason.CANCELLED)
SHED = outcomes.NotRun(outcomes.NotRunReason.SHED)
CANCELLED_UNSENT = outcomes.NotRun(outcomes.NotRunReason.CANCELLED_UNSENT)


class Dispatcher(typing.Protocol):
    """Grants the slots of one service; times are trio times."""

    @property
    def waiting(self) -> int:
        """Return the number of requests that wait."""
        ...

    def set_service(self, service: documents.Service) -> None:
        """Take a new revision."""
        ...

    async def acquire(
        self, wish: dispatch.Wish
    ) -> documents.Instance | plugs.Refused:
        """Take a slot, or wait for one as long as that makes sense."""
        ...

    def acquire_named(self, instance_id: str) -> documents.Instance | None:
        """Take a slot of one instance for a trial, if it has one."""
        ...

    def try_acquire(self, wish: dispatch.Wish) -> documents.Instance | None:
        """Take a slot if one is free now that nobody waits for."""
        ...

    def release(
        self, instance_id: str, held: float, end: slot_pools.End
    ) -> None:
        """Give a slot back that was held for so many seconds."""
        ...

    def ramp_up(self) -> None:
        """Let the shares of cold instances grow; called now and then."""
        ...

    def wake(self) -> None:
        """Grant what slots are free to those who wait."""
        ...


class Context(typing.NamedTuple):
    """What all attempts of one request share."""

    service: str
    caller_id: str
    outgoing: attempts.Outgoing
    dispatcher: Dispatcher
    pool: connections.Connections
    observer: plugs.Observer


class Flight:
    """An attempt that holds a slot until :meth:`land`."""

    def __init__(self, context: Context, instance: documents.Instance) -> None:
        self._context = context
        self.instance = instance
        self.attempt = attempts.Attempt(
            context.pool, instance, context.outgoing
        )
        self.ending: attempts.Ending | None = None
        self.cut_off: outcomes.Unknown | None = None
        self.delivered = False
        self._start = plugs.AttemptStart(
            context.service,
            instance.id,
            trio.current_time(),
            context.outgoing.idempotent,
            instance.boot,
            context.outgoing.route_name,
            context.outgoing.id_text,
            context.outgoing.arrived,
        )
        context.observer.attempt_started(self._start)

    async def run(self) -> attempts.Ending:
        """Send the attempt and read the start of its answer."""
        self.ending = await self.attempt.run()
        if isinstance(self.ending, attempts.Answer):
            self._context.observer.attempt_answered(
                self._start, self.ending.status
            )
        return self.ending

    async def land(self) -> plugs.AttemptEnd:
        """Free the slot and the connection, and report the outcome."""
        await self.attempt.close()
        end = self._end()
        self._context.dispatcher.release(
            self.instance.id, end.elapsed, _end_of_slot(self.ending)
        )
        self._context.observer.attempt_ended(end)
        return end

    def _end(self) -> plugs.AttemptEnd:
        late_by = trio.current_time() - self._context.outgoing.deadline
        return self._typed_end()._replace(
            load=self.attempt.load,
            timed_out=0.0 <= late_by < PAUSED_FOR and self.ending is None,
            pause=self.attempt.pause,
        )

    def _typed_end(self) -> plugs.AttemptEnd:
        elapsed = trio.current_time() - self._start.started
        ending = self.ending
        draining = self.attempt.draining
        if isinstance(ending, attempts.Answer):
            return plugs.AttemptEnd(
                self._start,
                self.cut_off or outcomes.Answered(ending.status, elapsed),
                ending.first_byte - self._start.started,
                elapsed,
                draining,
                not self.delivered,
            )
        if ending is not None:
            return plugs.AttemptEnd(
                self._start, ending, None, elapsed, draining
            )
        outcome = CANCELLED if self.attempt.maybe_ran else CANCELLED_UNSENT
        return plugs.AttemptEnd(
            self._start, outcome, None, elapsed, draining, abandoned=True
        )


def _end_of_slot(ending: attempts.Ending | None) -> slot_pools.End:
    """Return what an ending means for the slot that it held."""
    if isinstance(ending, attempts.Answer):
        return slot_pools.End.ANSWERED
    if ending == SHED:
        return slot_pools.End.SHED
    return slot_pools.End.FAILED
