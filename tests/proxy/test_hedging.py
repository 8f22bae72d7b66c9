"""Tests the race of a hedge against a slow primary attempt."""

import testtools
import trio
import trio.testing

from primrosemill.proxy import attempts
from primrosemill.proxy import hedging

DELAY = 0.1  # seconds
ANSWER = attempts.Answer(200, [], b"", True, 0.0)


class FakeAttempt:
    def __init__(self, duration):
        self.duration = duration
        self.result = None

    async def run(self):
        await trio.sleep(self.duration)
        self.result = ANSWER


class RaceTest(testtools.TestCase):
    def race(self, starts):
        """Race a hanging primary attempt against a hedge.

        ``starts`` are the results of the calls that start the hedge.
        """
        remaining = list(starts)

        async def main():
            hedge_runner = hedging.HedgeRunner()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(hedge_runner.run)
                await trio.testing.wait_all_tasks_blocked()
                primary = FakeAttempt(60.0)
                race = hedging.Race(hedge_runner)
                chosen = await race.run(
                    primary, DELAY, lambda: remaining.pop(0)
                )
                nursery.cancel_scope.cancel()
            return chosen, trio.current_time()

        clock = trio.testing.MockClock(autojump_threshold=0)
        return trio.run(main, clock=clock)

    def test_a_hedge_without_a_free_slot_is_started_later(self):
        hedge = FakeAttempt(0.05)
        started = trio.testing.MockClock().current_time()
        chosen, ended = self.race([None, None, hedge])
        self.assertIs(hedge, chosen)
        self.assertAlmostEqual(3 * DELAY + 0.05, ended - started, 2)
