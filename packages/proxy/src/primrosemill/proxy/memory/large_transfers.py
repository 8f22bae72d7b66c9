"""Makes large answers wait for the link, and bounds large uploads."""

import contextlib
import typing

import trio

from primrosemill.proxy.memory import link_share


class Places:
    """A number of places that are taken without waiting."""

    def __init__(self, count: int) -> None:
        self._free = count

    def take(self) -> bool:
        """Take a place; return False if none is free."""
        if not self._free:
            return False
        self._free -= 1
        return True

    def give_back(self) -> None:
        """Free a place that was taken."""
        self._free += 1


class Transfer:
    """A large answer; ``size`` is what its caller got of it, in bytes."""

    def __init__(self) -> None:
        self.size = 0


class LargeAnswers:
    """Lets as many large answers start as the link carries."""

    def __init__(self, link: float) -> None:
        self.share = link_share.LinkShare(link)
        self._waiting = trio.lowlevel.ParkingLot()

    @property
    def waiting(self) -> int:
        """Return the number of requests that wait for the link."""
        return len(self._waiting)

    @contextlib.asynccontextmanager
    async def turn(self) -> typing.AsyncIterator[Transfer]:
        """Wait until a large answer may start; it ends with the block."""
        transfer = Transfer()
        number = None if self._waiting else self._start()
        while number is None:
            place_at = self.share.next_place_at(trio.current_time())
            with trio.move_on_at(place_at):
                await self._waiting.park()
            number = self._start()
        try:
            yield transfer
        finally:
            self.share.end(number, transfer.size)
            self._waiting.unpark()

    def _start(self) -> int | None:
        return self.share.start(trio.current_time())
