"""Races a late second attempt against a slow first one."""

import typing

import trio

from primrosemill.proxy import attempts
from primrosemill.proxy import flights

Launch = typing.Callable[[], flights.Flight | None]


class Race:
    """Runs flights until one brings an answer and cancels the others."""

    def __init__(self) -> None:
        self._in_flight = 0
        self._chosen: flights.Flight | None = None

    async def run(
        self, first: flights.Flight, delay: float, launch_second: Launch
    ) -> flights.Flight:
        """Return the flight with the answer, or the one that failed last.

        The caller lands every flight.
        """
        async with trio.open_nursery() as nursery:
            scope = nursery.cancel_scope
            nursery.start_soon(self._fly, first, scope)
            nursery.start_soon(self._hedge, delay, launch_second, scope)
        return self._chosen

    async def _fly(
        self, flight: flights.Flight, scope: trio.CancelScope
    ) -> None:
        self._in_flight += 1
        ending = await flight.run()
        self._in_flight -= 1
        if self._chosen is not None and isinstance(
            self._chosen.ending, attempts.Answer
        ):
            return
        self._chosen = flight
        # A failure while no other is in flight is a matter for the policy.
        if isinstance(ending, attempts.Answer) or not self._in_flight:
            scope.cancel()

    async def _hedge(
        self, delay: float, launch_second: Launch, scope: trio.CancelScope
    ) -> None:
        await trio.sleep(delay)
        flight = launch_second()
        if flight is not None:
            await self._fly(flight, scope)
