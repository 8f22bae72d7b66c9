"""Races a hedge, a delayed second attempt, against a slow primary attempt.

The primary attempt runs in the request's own task. The hedge is only a timer
until it is due, since most requests are answered before that.
"""

import typing

import trio

from primrosemill.proxy import attempts
from primrosemill.proxy import timers
from primrosemill.proxy import tracked_attempts

# Shortest delay before another try to start a hedge that got no slot.
MIN_RETRY_DELAY = 0.02  # seconds
StartHedge = typing.Callable[[], tracked_attempts.TrackedAttempt | None]


class HedgeRunner:
    """Runs the hedge timers and hedge attempts of all requests."""

    def __init__(self) -> None:
        self.timers = timers.Timers()
        self._nursery: trio.Nursery | None = None

    async def run(self) -> None:
        """Run timers and hedges until cancelled; none start before this."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            await self.timers.run()

    def start(self, hedge: "HedgeAttempt") -> None:
        """Run a hedge in a task of its own."""
        self._nursery.start_soon(hedge.run)


class HedgeAttempt:
    """A hedge; its exception is kept and raised in the request's task."""

    def __init__(
        self,
        tracked: tracked_attempts.TrackedAttempt,
        primary_scope: trio.CancelScope,
    ) -> None:
        self.tracked = tracked
        self._primary_scope = primary_scope
        self._scope = trio.CancelScope()
        self._done = trio.Event()
        self._error: Exception | None = None

    async def run(self) -> None:
        """Run the attempt; an answer cancels the primary attempt."""
        try:
            with self._scope:
                await self.tracked.run()
        except Exception as error:
            self._error = error
        finally:
            self._done.set()
        if isinstance(self.tracked.result, attempts.Answer):
            self._primary_scope.cancel()

    def cancel(self) -> None:
        """Cancel the attempt."""
        self._scope.cancel()

    async def finish(self) -> None:
        """Wait until the attempt has ended, and raise its exception if any."""
        await self._done.wait()
        if self._error is not None:
            raise self._error


class Race:
    """Runs a primary attempt and its hedge until one is answered."""

    def __init__(self, hedge_runner: HedgeRunner) -> None:
        self._hedge_runner = hedge_runner
        self._scope = trio.CancelScope()
        self._hedge: HedgeAttempt | None = None
        self._error: Exception | None = None

    async def run(
        self,
        primary: tracked_attempts.TrackedAttempt,
        delay: float,
        start_hedge: StartHedge,
    ) -> tracked_attempts.TrackedAttempt:
        """Return the attempt with the answer, or the one that failed last.

        No attempt runs any more on return; the caller of this method must
        finish all of them.
        """
        self._set_timer(delay, start_hedge)
        try:
            with self._scope:
                await primary.run()
            self._timer.cancel()
            return await self._choose_result(primary)
        finally:
            self._timer.cancel()
            await self._cancel_hedge()

    def _set_timer(self, delay: float, start_hedge: StartHedge) -> None:
        self._timer = self._hedge_runner.timers.call_at(
            trio.current_time() + delay,
            lambda: self._start_hedge(delay, start_hedge),
        )

    def _start_hedge(self, delay: float, start_hedge: StartHedge) -> None:
        """Start the hedge, or try again later if no instance has a free slot.

        An exception must end this request only, not the shared timer task.
        """
        try:
            tracked = start_hedge()
        except Exception as error:
            self._error = error
            self._scope.cancel()
            return
        if tracked is None:
            self._set_timer(max(MIN_RETRY_DELAY, delay), start_hedge)
            return
        self._hedge = HedgeAttempt(tracked, self._scope)
        self._hedge_runner.start(self._hedge)

    async def _choose_result(
        self, primary: tracked_attempts.TrackedAttempt
    ) -> tracked_attempts.TrackedAttempt:
        if self._error is not None:
            raise self._error
        if self._hedge is None or isinstance(primary.result, attempts.Answer):
            return primary
        await self._hedge.finish()
        return self._hedge.tracked

    async def _cancel_hedge(self) -> None:
        if self._hedge is None:
            return
        self._hedge.cancel()
        with trio.CancelScope(shield=True):
            await self._hedge.finish()
