import testtools
import trio
import trio.testing

from primrosemill.proxy import timers


class TimersTest(testtools.TestCase):
    def run_with(self, check):
        async def run():
            made = timers.Timers()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(made.run)
                await check(made)
                nursery.cancel_scope.cancel()

        clock = trio.testing.MockClock(autojump_threshold=0)
        trio.run(run, clock=clock)

    def test_calls_come_in_the_order_of_their_times(self):
        called = []

        async def check(made):
            start = trio.current_time()
            for delay in (3.0, 1.0, 2.0):
                made.call_at(
                    start + delay,
                    lambda: called.append(trio.current_time() - start),
                )
            await trio.sleep(10.0)

        self.run_with(check)
        self.assertEqual([1.0, 2.0, 3.0], called)

    def test_a_cancelled_call_is_not_made_and_others_are(self):
        called = []

        async def check(made):
            start = trio.current_time()
            first = made.call_at(start + 1.0, lambda: called.append("first"))
            made.call_at(start + 2.0, lambda: called.append("second"))
            first.cancel()
            await trio.sleep(3.0)
            made.call_at(start + 4.0, lambda: called.append("third"))
            await trio.sleep(3.0)

        self.run_with(check)
        self.assertEqual(["second", "third"], called)
