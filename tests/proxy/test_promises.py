"""Tests that a request which was refused as not run never runs."""

import itertools
import random
import typing

import testtools
import trio

from tests.builders import frozen_vms as builders

BODY = b"station=7"
HEADS = 24
FREEZE = 0.9  # seconds
SEEDS = range(12)
STEPS = 120
STOP_AFTER = 100  # steps


class FrozenVmTest(testtools.TestCase):
    """Guards against a 408 for a booking that runs (review/6)."""

    async def begin_bookings(self, world, ids, seconds):
        """Let new callers send the first part of their heads, and wait."""
        world.callers.clear()
        for _ in range(HEADS):
            request_id = next(ids)
            data = builders.booking(request_id, body=BODY, time_left=7_000)
            world.connect().begin(data, builders.HEAD_PART)
        await world.advance(seconds)

    def test_heads_that_arrive_during_a_freeze_are_served(self):
        async def check(world):
            ids = map(str, itertools.count())
            for number in range(24):
                await self.begin_bookings(world, ids, 2.2 + 0.03 * number)
                for caller in world.callers:
                    caller.finish()
                await world.freeze(FREEZE)
                await world.advance(1.0)
                self.assertEqual([], world.broken_promises())
                statuses = list(world.statuses().values())
                self.assertEqual([200] * HEADS, statuses)

        builders.run(check, slots=HEADS)

    def test_heads_that_are_too_slow_are_refused_and_not_run(self):
        async def check(world):
            ids = map(str, itertools.count())
            seen = set()
            for number in range(30):
                await self.begin_bookings(world, ids, 2.9 + 0.03 * number)
                for caller in world.callers:
                    caller.finish()
                    await world.freeze(0.05)
                self.assertEqual([], world.broken_promises())
                counts = [len(each.answers()) for each in world.callers]
                self.assertEqual([1] * HEADS, counts)
                seen.update(world.statuses().values())
            self.assertEqual({200, 408}, seen)

        builders.run(check, slots=HEADS)

    def test_a_head_that_never_ends_is_refused(self):
        async def check(world):
            caller = world.connect()
            caller.begin(builders.booking("b0"), builders.HEAD_PART)
            await world.advance(builders.HEAD_TIMEOUT + 1.1)
            self.assertEqual({"b0": 408}, world.statuses())
            caller.finish()
            await world.advance(0.5)
            self.assertEqual([], world.ids_run())

        builders.run(check)

    def test_a_body_in_tiny_pieces_is_refused_though_bytes_are_unread(self):
        """Guard against a caller that is never judged, as it always sends."""

        async def check(world):
            caller = world.connect()
            data = builders.booking("b0", body=b"x" * 40_000, time_left=60_000)
            caller.begin(data, len(data) - 2_000)
            for _ in range(900):
                caller.send(b"x")
                await world.advance(0.02)
            self.assertEqual({"b0": 503}, world.statuses())
            self.assertEqual([], world.ids_run())

        builders.run(check, deadline=60.0)

    def test_an_upload_after_a_slow_head_is_not_refused(self):
        """Guard against a 408 while an instance reads the body."""

        async def check(world):
            caller = world.connect()
            data = builders.booking("b0", body=b"x" * 900_000)
            caller.begin(data, builders.HEAD_PART)
            await world.advance(1.0)
            caller.finish()
            for _ in range(60):
                await world.advance(0.1)
                caller.finish()
            self.assertNotEqual(b"", world.played.read())
            self.assertNotIn(408, world.statuses().values())

        builders.run(check, count=0)

    def test_an_answer_that_arrives_during_a_freeze_is_passed_on(self):
        async def check(world):
            body = b"y" * 50_000
            caller = world.connect()
            data = builders.booking("b0", time_left=500)
            caller.begin(data, len(data))
            await world.advance(0.2)
            self.assertIn(b"b0", world.played.read())
            world.played.answer("b0", body)
            await world.freeze(FREEZE)
            await world.advance(0.2)
            self.assertEqual(
                [(200, "b0", body, False)], world.callers[0].answers()
            )

        builders.run(check, count=0)


class Play:
    """Arrivals, freezes, evictions, stops and disconnects in any order."""

    def __init__(self, world: builders.World, seed: int) -> None:
        self._world = world
        self._generator = random.Random(seed)
        self._numbers = itertools.count()
        self.refused_ids: set[str] = set()
        self._actions: list[typing.Callable] = [
            *[self._begin] * 8,
            *[self._finish] * 8,
            *[self._wait] * 4,
            *[self._freeze] * 2,
            self._evict,
            self._refuse,
            self._disconnect,
            self._break,
        ]

    async def run(self) -> None:
        """Play all steps, and wait until each request has its end."""
        async with trio.open_nursery() as nursery:
            for step in range(STEPS):
                await self._generator.choice(self._actions)()
                if step == STOP_AFTER:
                    self._world.stop()
                    nursery.start_soon(self._drain)
            await self._world.advance(8.0)
            nursery.cancel_scope.cancel()

    async def _drain(self) -> None:
        await trio.sleep(builders.STOP_SECONDS / 2)
        await self._world.server.drain()

    async def _begin(self) -> None:
        """Begin a request, on a new connection or behind others."""
        request_id = f"r{next(self._numbers)}"
        build = self._generator.choice(
            [builders.booking] * 3 + [builders.read]
        )
        body = BODY if build is builders.booking else b""
        data = build(
            request_id,
            body=body * self._generator.choice([1, 1, 3_000]),
            time_left=self._generator.choice([200, 1_000, 5_000]),
        )
        callers = [
            each for each in self._world.callers if not each.is_within_request
        ]
        if callers and self._generator.random() < 0.4:
            caller = self._generator.choice(callers)
        else:
            try:
                caller = self._world.connect()
            except ConnectionError:
                return
        size = self._generator.choice(
            [len(data), self._generator.randrange(1, len(data))]
        )
        caller.begin(data, size)

    async def _finish(self) -> None:
        for caller in self._world.callers:
            if caller.is_within_request and self._generator.random() < 0.3:
                caller.finish()

    async def _wait(self) -> None:
        await self._world.advance(self._generator.uniform(0.0, 1.2))

    async def _freeze(self) -> None:
        for _ in range(4):
            await self._begin()
        await self._finish()
        await self._world.freeze(self._generator.uniform(0.1, 4.0))

    async def _evict(self) -> None:
        self._world.evict(self._generator.random())
        await self._finish()

    async def _refuse(self) -> None:
        """Refuse requests by their permits alone, whatever they wait for."""
        for request_id, permit in self._world.permits():
            if self._generator.random() < 0.5 and permit.refuse():
                self.refused_ids.add(request_id)

    async def _disconnect(self) -> None:
        if self._world.callers:
            self._generator.choice(self._world.callers).close()

    async def _break(self) -> None:
        """Let an instance fail the next requests in some way."""
        instance = self._generator.choice(self._world.instances)
        modes = [
            instance.mode.SHED,
            instance.mode.CLOSED,
            instance.mode.HANG,
            instance.mode.ERROR,
        ]
        instance.next_modes.extend(self._generator.choices(modes, k=3))


class AnyOrderTest(testtools.TestCase):
    """Guards against refused requests that run, in any order of events."""

    def play(self, seed):
        statuses = []

        async def check(world):
            play = Play(world, seed)
            await play.run()
            self.assertEqual([], world.broken_promises(), f"seed {seed}")
            run_ids = play.refused_ids.intersection(world.ids_run())
            self.assertEqual(set(), run_ids, f"seed {seed}")
            bookings = [
                run.request_id
                for instance in world.instances
                for run in instance.runs
                if run.method == "POST"
            ]
            self.assertEqual(
                sorted(set(bookings)), sorted(bookings), f"seed {seed}"
            )
            statuses.extend(world.statuses().values())

        builders.run(check, slots=2, pause=0.15)
        return statuses

    def test_no_request_that_was_refused_runs(self):
        statuses = []
        for seed in SEEDS:
            statuses += self.play(seed)
        for status in (200, 408, 503, 504):
            self.assertIn(status, statuses)
