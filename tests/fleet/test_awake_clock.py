import testtools
import trio
import trio.testing

from primrosemill.fleet import awake_clock


def run(check):
    clock = trio.testing.MockClock()

    async def main():
        await check(clock)

    trio.run(main, clock=clock)


class AwakeClockTest(testtools.TestCase):
    """Guards against others that are judged by this process's own pauses."""

    def test_a_pause_counts_as_one_pass_at_most(self):
        async def check(clock):
            started = awake_clock.now()
            clock.jump(5.0)
            # It holds at once, in the very pass that was paused.
            elapsed = awake_clock.now() - started
            self.assertEqual(awake_clock.MAX_PASS, elapsed)
            await trio.lowlevel.checkpoint()
            elapsed = awake_clock.now() - started
            self.assertAlmostEqual(awake_clock.MAX_PASS, elapsed)
            self.assertAlmostEqual(4.9, awake_clock.current().paused)

        run(check)

    def test_a_wait_of_the_event_loop_counts(self):
        async def main():
            started = awake_clock.now(), trio.current_time()
            await trio.sleep(0.3)
            elapsed = awake_clock.now() - started[0]
            self.assertAlmostEqual(
                trio.current_time() - started[1], elapsed, 2
            )

        trio.run(main)

    def test_short_passes_count_whole(self):
        async def check(clock):
            started = awake_clock.now()
            for _ in range(100):
                clock.jump(0.05)
                await trio.lowlevel.checkpoint()
            self.assertAlmostEqual(5.0, awake_clock.now() - started)
            self.assertEqual(0.0, awake_clock.current().paused)

        run(check)

    def test_each_event_loop_has_a_clock(self):
        async def check(clock):
            self.assertIs(awake_clock.current(), awake_clock.current())
            clocks.append(awake_clock.current())

        clocks = []
        run(check)
        run(check)
        self.assertIsNot(*clocks)


class DeadlineTest(testtools.TestCase):
    """Guards against deadlines that end before what arrived is read."""

    def test_what_has_arrived_is_read_after_a_pause(self):
        async def check(clock):
            with awake_clock.move_on_after(1.0) as scope:
                clock.jump(5.0)
                for _ in range(10):
                    await trio.lowlevel.checkpoint()
            self.assertFalse(scope.cancelled_caught)

        run(check)

    def test_it_ends_soon_after_the_pause(self):
        async def check(clock):
            with awake_clock.move_on_after(1.0) as scope:
                clock.jump(5.0)
                await trio.lowlevel.checkpoint()
                clock.jump(awake_clock.READ_TIME)
                await trio.sleep_forever()
            self.assertTrue(scope.cancelled_caught)

        run(check)

    def test_it_ends_though_every_pass_is_too_long(self):
        async def check(clock):
            passes = 0
            with awake_clock.move_on_after(1.0):
                while True:
                    clock.jump(0.2)
                    passes += 1
                    await trio.lowlevel.checkpoint()
            self.assertLess(passes, 10)

        run(check)
