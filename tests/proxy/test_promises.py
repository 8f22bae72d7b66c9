"""Tests that a request which was refused as not run never runs."""

import itertools

import testtools

from tests.builders import frozen_vms as builders

BODY = b"station=7"
HEADS = 24
FREEZE = 0.9  # seconds


class FrozenVmTest(testtools.TestCase):
    """Guards against a 408 for a booking that runs (review/6)."""

    def begin_bookings(self, world, ids):
        """Let new callers send the first part of their heads."""
        world.callers.clear()
        for _ in range(HEADS):
            caller = world.connect()
            request_id = next(ids)
            data = builders.booking(request_id, body=BODY, time_left=7_000)
            caller.begin(request_id, data, builders.HEAD_PART)

    def test_heads_that_arrive_during_a_freeze_are_served(self):
        async def check(world):
            ids = map(str, itertools.count())
            for round_number in range(24):
                self.begin_bookings(world, ids)
                await world.advance(2.2 + 0.03 * round_number)
                for caller in world.callers:
                    caller.finish()
                await world.freeze(FREEZE)
                await world.advance(1.0)
                self.assertEqual([], world.broken_promises())
                statuses = world.statuses()
                self.assertEqual(HEADS, len(statuses))
                self.assertEqual({200}, set(statuses.values()))

        builders.run(check, slots=HEADS)

    def test_heads_that_are_too_slow_are_refused_and_not_run(self):
        async def check(world):
            ids = map(str, itertools.count())
            for round_number in range(30):
                self.begin_bookings(world, ids)
                await world.advance(2.9 + 0.03 * round_number)
                for caller in world.callers:
                    caller.finish()
                    await world.freeze(0.05)
                self.assertEqual([], world.broken_promises())
                self.assertEqual(
                    [1] * HEADS,
                    [each.count_answers() for each in world.callers],
                )

        builders.run(check, slots=HEADS)

    def test_a_head_that_never_ends_is_refused(self):
        async def check(world):
            caller = world.connect()
            caller.begin("b0", builders.booking("b0"), builders.HEAD_PART)
            await world.advance(builders.HEAD_TIMEOUT + 1.1)
            self.assertEqual({"b0": 408}, world.statuses())
            caller.finish()
            await world.advance(0.5)
            self.assertEqual([], world.ids_run())

        builders.run(check)
