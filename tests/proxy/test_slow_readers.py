"""Tests of callers that stop reading a large answer for a while."""

import testtools
import trio
import trio.testing

from primrosemill.decisions import outcomes
from primrosemill.proxy import answer_rest
from primrosemill.proxy import memory
from tests.builders import frozen_vms as builders

ANSWER = memory.account.Kind.ANSWER
RECEIVE_BUFFER = 8_192  # bytes
BODY = b"t" * 540_000
STALL = 3.4  # seconds
TIME_LIMIT = 4_648  # milliseconds


class Source:
    """An answer whose parts have all arrived."""

    def __init__(self, *parts):
        self._parts = list(parts)

    async def next_chunk(self):
        await trio.lowlevel.checkpoint()
        return self._parts.pop(0)


class AnswerRestTest(testtools.TestCase):
    """Guards against an answer that is taken for whole, or held for good."""

    def read(self, *parts):
        """Return what was read, whether its end was told, and what is held."""
        read, ends, account = [], [], memory.account.Account()

        async def main():
            async def end():
                ends.append(True)

            holding = account.add(None, "10.0.0.1")

            rest = answer_rest.AnswerRest(
                Source(*parts), holding, TIME_LIMIT, end
            )
            async with trio.open_nursery() as nursery:
                nursery.start_soon(rest.read_ahead)
                rest.begin_write()
                await trio.sleep(2 * answer_rest.STALL_TIME)
                while not read or isinstance(read[-1], bytes):
                    read.append(await rest.next_part())
            rest.release()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        return read, bool(ends), account.held_by_kind[ANSWER]

    def test_the_end_is_told_of_a_whole_answer(self):
        result = self.read(b"a", b"b", None)
        self.assertEqual(([b"a", b"b", None], True, 0), result)

    def test_the_end_is_not_told_of_one_that_broke_off(self):
        cut = outcomes.Unknown(outcomes.UnknownReason.TRUNCATED)
        result = self.read(b"a", cut)
        self.assertEqual(([b"a", cut], False, 0), result)


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
