import testtools
import trio
import trio.testing

from primrosemill.proxy import timers


class TimersTest(testtools.TestCase):
    def run_with(self, check):
        async def run():
            timer_queue = timers.Timers()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(timer_queue.run)
                await check(timer_queue)
                nursery.cancel_scope.cancel()

        clock = trio.testing.MockClock(autojump_threshold=0)
        trio.run(run, clock=clock)

    def test_callbacks_run_in_the_order_of_their_times(self):
        calls = []

        async def check(timer_queue):
            start = trio.current_time()
            for delay in (3.0, 1.0, 2.0):
                timer_queue.call_at(
                    start + delay,
                    lambda: calls.append(trio.current_time() - start),
                )
            await trio.sleep(10.0)

        self.run_with(check)
        self.assertEqual([1.0, 2.0, 3.0], calls)

    def test_cancelling_a_timer_does_not_affect_others(self):
        calls = []

        async def check(timer_queue):
            start = trio.current_time()
            first = timer_queue.call_at(
                start + 1.0, lambda: calls.append("first")
            )
            timer_queue.call_at(start + 2.0, lambda: calls.append("second"))
            first.cancel()
            await trio.sleep(3.0)
            timer_queue.call_at(start + 4.0, lambda: calls.append("third"))
            await trio.sleep(3.0)

        self.run_with(check)
        self.assertEqual(["second", "third"], calls)
