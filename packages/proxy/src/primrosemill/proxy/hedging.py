"""Races a late second attempt against a slow first one.

The first attempt runs in the request's own task and the second is only a
timer until it is due, since most requests are answered before.
"""

import typing

import trio

from primrosemill.proxy import attempts
from primrosemill.proxy import flights
from primrosemill.proxy import timers

LEAST_DELAY = 0.02  # seconds until a hedge without room is tried again
Launch = typing.Callable[[], flights.Flight | None]


class Hedges:
    """Runs the timers and the second attempts of all requests."""

    def __init__(self) -> None:
        self.timers = timers.Timers()
        self._nursery: trio.Nursery | None = None

    async def run(self) -> None:
        """Serve races until cancelled; without it nothing is hedged."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            await self.timers.run()

    def start(self, second: "Second") -> None:
        """Run a second attempt in a task of its own."""
        self._nursery.start_soon(second.run)


class Second:
    """A second attempt; its faults are kept for the request's task."""

    def __init__(
        self, flight: flights.Flight, first_scope: trio.CancelScope
    ) -> None:
        self.flight = flight
        self._first_scope = first_scope
        self._scope = trio.CancelScope()
        self._done = trio.Event()
        self._error: Exception | None = None

    async def run(self) -> None:
        """Send the attempt; an answer cancels the first one."""
        try:
            with self._scope:
                await self.flight.run()
        except Exception as error:
            self._error = error
        finally:
            self._done.set()
        if isinstance(self.flight.ending, attempts.Answer):
            self._first_scope.cancel()

    def cancel(self) -> None:
        """Give the attempt up."""
        self._scope.cancel()

    async def finish(self) -> None:
        """Wait for the end of the attempt; raises what it raised."""
        await self._done.wait()
        if self._error is not None:
            raise self._error


class Race:
    """Runs one request's flights until one brings an answer."""

    def __init__(self, hedges: Hedges) -> None:
        self._hedges = hedges
        self._scope = trio.CancelScope()
        self._second: Second | None = None
        self._error: Exception | None = None

    async def run(
        self, first: flights.Flight, delay: float, launch_second: Launch
    ) -> flights.Flight:
        """Return the flight with the answer, or the one that failed last.

        The caller lands every flight; none runs any more.
        """
        self._set_timer(delay, launch_second)
        try:
            with self._scope:
                await first.run()
            self._timer.cancel()
            return await self._choose(first)
        finally:
            self._timer.cancel()
            await self._end_second()

    def _set_timer(self, delay: float, launch_second: Launch) -> None:
        self._timer = self._hedges.timers.call_at(
            trio.current_time() + delay,
            lambda: self._hedge(delay, launch_second),
        )

    def _hedge(self, delay: float, launch_second: Launch) -> None:
        """Start the second attempt; a fault ends this request alone.

        Where no instance has room now, it is tried again a little later.
        """
        try:
            flight = launch_second()
        except Exception as error:
            self._error = error
            self._scope.cancel()
            return
        if flight is None:
            self._set_timer(max(LEAST_DELAY, delay), launch_second)
            return
        self._second = Second(flight, self._scope)
        self._hedges.start(self._second)

    async def _choose(self, first: flights.Flight) -> flights.Flight:
        if self._error is not None:
            raise self._error
        if self._second is None or isinstance(first.ending, attempts.Answer):
            return first
        await self._second.finish()
        return self._second.flight

    async def _end_second(self) -> None:
        if self._second is None:
            return
        self._second.cancel()
        with trio.CancelScope(shield=True):
            await self._second.finish()
