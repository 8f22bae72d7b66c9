"""Tests of callers that stop reading a large answer for a while."""

import testtools

from primrosemill.proxy import answer_rest
from tests.builders import frozen_vms as builders

RECEIVE_BUFFER = 8_192  # bytes
BODY = b"t" * 540_000
STALL = 3.4  # seconds
TIME_LIMIT = 4_648  # milliseconds


class SlowReaderTest(testtools.TestCase):
    """Guards against an answer that is broken off within its time limit.

    An instance doesn't wait for long, so the VM has to read on (review/8).
    """

    def walk(self, check, body=BODY, pressed=False):
        async def main(world):
            for instance in world.instances:
                instance.body = body
            if pressed:
                world.account.limit = 1
                world.account.relieve = lambda: None
            data = builders.booking("b", time_left=TIME_LIMIT)
            caller = world.connect(RECEIVE_BUFFER)
            world.send(data, caller)
            await check(world, caller)

        builders.run(main, count=1, slots=1)

    async def read(self, world, caller):
        """Read all that comes within a second, and return the answers."""
        for _ in range(50):
            caller.statuses()
            await world.advance(0.02)
        return caller.answers()

    def test_an_answer_that_is_read_late_is_whole(self):
        async def check(world, caller):
            await world.advance(STALL)
            (answer,) = await self.read(world, caller)
            self.assertEqual((200, BODY), (answer.status, answer.body))

        self.walk(check)

    def test_the_instance_serves_others_meanwhile(self):
        async def check(world, caller):
            await world.advance(answer_rest.STALL_TIME + 0.5)
            other = world.send(builders.booking("other"))
            (answer,) = await self.read(world, other)
            self.assertEqual(200, answer.status)
            self.assertEqual(["b", "other"], world.ids_run())

        self.walk(check)

    def test_an_answer_is_broken_off_at_its_time_limit(self):
        async def check(world, caller):
            await world.advance(TIME_LIMIT / 1000 + 0.2)
            self.assertEqual([], await self.read(world, caller))
            self.assertEqual(0, world.account.held)

        self.walk(check)

    def test_an_instance_does_not_wait_for_what_is_too_long(self):
        async def check(world, caller):
            await world.advance(STALL)
            self.assertEqual([], await self.read(world, caller))

        self.walk(check, body=BODY * 10)

    def test_nothing_is_read_ahead_while_memory_is_short(self):
        async def check(world, caller):
            await world.advance(2.5)
            self.assertLess(world.account.held, 400_000)

        self.walk(check, pressed=True)
