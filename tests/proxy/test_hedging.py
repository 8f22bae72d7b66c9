"""Tests the race of a second attempt against a slow first one."""

import testtools
import trio
import trio.testing

from primrosemill.proxy import attempts
from primrosemill.proxy import hedging

DELAY = 0.1  # seconds
ANSWER = attempts.Answer(200, [], b"", True, 0.0)


class FakeFlight:
    def __init__(self, takes):
        self.takes = takes
        self.ending = None

    async def run(self):
        await trio.sleep(self.takes)
        self.ending = ANSWER


class RaceTest(testtools.TestCase):
    def race(self, launches):
        """Race a hanging first attempt; ``launches`` are tried in turn."""
        left = list(launches)

        async def main():
            hedges = hedging.Hedges()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(hedges.run)
                await trio.testing.wait_all_tasks_blocked()
                first = FakeFlight(60.0)
                race = hedging.Race(hedges)
                chosen = await race.run(first, DELAY, lambda: left.pop(0))
                nursery.cancel_scope.cancel()
            return chosen, trio.current_time()

        clock = trio.testing.MockClock(autojump_threshold=0)
        return trio.run(main, clock=clock)

    def test_a_hedge_that_finds_no_room_is_tried_again(self):
        second = FakeFlight(0.05)
        started = trio.testing.MockClock().current_time()
        chosen, ended = self.race([None, None, second])
        self.assertIs(second, chosen)
        self.assertAlmostEqual(3 * DELAY + 0.05, ended - started, 2)
