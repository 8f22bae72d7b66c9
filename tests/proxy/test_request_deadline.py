"""Walks the table of ends in docs/design/deadlines.md."""

import pathlib

import testtools

from primrosemill.proxy import memory
from primrosemill.proxy import request_policies
from tests.builders import configuration
from tests.builders import frozen_vms as builders
from tests.builders import path
from tests.builders import tables

PAGE = pathlib.Path("docs/design/deadlines.md")
OWN_NAME = "proxy/test_request_deadline"
TIME_LIMIT = 2.0  # seconds, of the routes
LONG_TIME = 9_000  # milliseconds that callers wait themselves
SLACK = 0.15  # seconds
STEP = 0.02  # seconds
LONG = 200_000  # bytes; such a body is passed on as it comes
ANSWER = memory.account.Kind.ANSWER
SERVICE = "reservations"
HEAD = (
    b"HTTP/1.1 200 OK\r\nprimrosemill-request-id: b\r\n"
    b"primrosemill-server-signature: by.res-0\r\n"
)
CHUNKED = HEAD + b"transfer-encoding: chunked\r\n\r\n"
CHUNK = b"1000\r\n" + b"x" * 4_096 + b"\r\n"
FIRST_CHUNKS = CHUNK * 40


class HedgeSoon(request_policies.RetryUntilDeadline):
    """Hedges each request."""

    def hedge_delay(self, service, now, route=""):
        return 0.05


class DeadlineTableTest(testtools.TestCase):
    """Guards against callers that are held past their time (review/14)."""

    def play(self, start, block, check=None, meanwhile=None):
        """Play an instance that repeats bytes; return when it ended, and how.

        ``meanwhile`` is called after half of the time.
        """
        ends = []

        async def main(world):
            data = builders.booking("b", time_left=LONG_TIME)
            caller = world.send(data)
            await world.advance(0.1)
            self.assertIn(b"POST", world.played.read())
            world.played.send(start)
            elapsed, is_open, told = 0.1, True, False
            while not caller.is_closed and not caller.statuses():
                self.assertLess(elapsed, 12.0)
                if meanwhile is not None and elapsed > 1.0 and not told:
                    told = True
                    meanwhile(world)
                if block:
                    world.played.send(block)
                await world.advance(STEP)
                elapsed += STEP
            await world.advance(2 * STEP)
            # The first write after the other side's close still succeeds.
            for _ in range(3):
                is_open = world.played.send(b"x")
                await world.advance(STEP)
            ends.append((elapsed, caller, is_open))
            self.assertEqual(0, world.application.busy(SERVICE))
            self.assertEqual(0, world.application.in_flight)
            if check is not None:
                check(world)

        builders.run(main, count=0, slots=1, deadline=TIME_LIMIT)
        ((elapsed, caller, is_open),) = ends
        self.assertFalse(is_open)
        return elapsed, caller

    def check_time(self, elapsed, expected=TIME_LIMIT):
        self.assertLess(abs(elapsed - expected), SLACK)

    def check_refused(self, start, block):
        """Check that the caller has a whole answer in time."""
        elapsed, caller = self.play(start, block)
        self.check_time(elapsed)
        self.assertEqual({"b": 504}, caller.statuses())

    def check_cut_off(self, start, block, meanwhile=None):
        """Check that a begun answer ends in time, and not as a whole one."""
        elapsed, caller = self.play(start, block, meanwhile=meanwhile)
        self.check_time(elapsed)
        self.assertTrue(caller.read().startswith(b"HTTP/1.1 200"))
        self.assertTrue(caller.is_closed)
        self.assertEqual({}, caller.statuses())

    def test_each_row_has_its_test(self):
        tables.check_rows(self, PAGE, OWN_NAME)

    def test_row_endless_head(self):
        self.check_refused(HEAD, b"x-more: y\r\n")

    def test_row_no_answer(self):
        self.check_refused(b"", b"")

    def test_row_endless_body(self):
        self.check_cut_off(HEAD + b"\r\n" + b"x" * LONG, b"x" * 2_000)

    def test_row_endless_chunks(self):
        self.check_cut_off(CHUNKED + FIRST_CHUNKS, CHUNK)

    def test_row_stalled_body(self):
        self.check_cut_off(CHUNKED + FIRST_CHUNKS, b"")

    def test_row_trickled_body(self):
        head = HEAD + b"content-length: 400000\r\n\r\n"
        self.check_cut_off(head + b"x" * LONG, b"x")

    def test_row_endless_trailers(self):
        start = CHUNKED + FIRST_CHUNKS + b"0\r\n"
        self.check_cut_off(start, b"x-more: y\r\n")

    def test_row_buffered_body(self):
        self.check_refused(HEAD + b"content-length: 500\r\n\r\n", b"x")

    def test_row_shorter_configuration(self):
        def shorten(world):
            service = configuration.service_value(
                instances=[
                    configuration.instance_value(0)
                    | {"address": world.played.address}
                ],
                floor=1,
                slots=1,
                routes=path.route_values(0.5),
            )
            document = configuration.assembled(service).document
            world.application.set_document(document)

        self.check_cut_off(CHUNKED + FIRST_CHUNKS, CHUNK, shorten)

    def test_row_planned_stop(self):
        self.check_cut_off(CHUNKED + FIRST_CHUNKS, CHUNK, builders.World.stop)

    def walk(self, check, **options):
        options = {"slots": 1, "deadline": TIME_LIMIT} | options
        builders.run(check, **options)

    async def wait_for_answer(self, world, caller):
        """Return the seconds until a caller has its answer or is reset."""
        elapsed = 0.0
        while not caller.statuses() and not caller.is_closed:
            self.assertLess(elapsed, 12.0)
            await world.advance(STEP)
            elapsed += STEP
        return elapsed

    def test_row_planned_stop_waiting(self):
        async def check(world):
            world.instances[0].pauses_by_id["b"] = 30.0
            data = builders.booking("b", time_left=LONG_TIME)
            caller = world.send(data)
            await world.advance(0.2)
            world.stop()
            elapsed = await self.wait_for_answer(world, caller)
            self.assertLess(elapsed, builders.STOP_SECONDS)
            self.assertEqual({"b": 504}, caller.statuses())

        self.walk(check, count=1, deadline=9.0)

    def test_row_slot(self):
        async def check(world):
            world.instances[0].pauses_by_id["busy"] = 30.0
            world.send(builders.booking("busy", time_left=LONG_TIME))
            await world.advance(0.2)
            caller = world.send(builders.booking("b", time_left=1_000))
            elapsed = await self.wait_for_answer(world, caller)
            self.assertLess(elapsed, 1.0 + SLACK)
            self.assertEqual({"b": 503}, caller.statuses())
            self.assertEqual(["busy"], world.ids_run())

        self.walk(check, count=1)

    def test_row_repeats(self):
        async def check(world):
            for instance in world.instances:
                instance.mode = builders.ResponseMode.SHED
            data = builders.booking("b", time_left=LONG_TIME)
            caller = world.send(data)
            elapsed = await self.wait_for_answer(world, caller)
            self.assertLess(elapsed, TIME_LIMIT + SLACK)
            self.assertEqual({"b": 503}, caller.statuses())
            self.assertEqual(0, world.application.busy(SERVICE))

        self.walk(check)

    def test_row_hedge(self):
        async def check(world):
            for instance in world.instances:
                instance.pauses_by_id["b"] = 30.0
            caller = world.send(builders.read("b", time_left=LONG_TIME))
            elapsed = await self.wait_for_answer(world, caller)
            self.check_time(elapsed)
            self.assertEqual({"b": 504}, caller.statuses())
            self.assertEqual(["b", "b"], world.ids_run())
            self.assertEqual(0, world.application.busy(SERVICE))

        policies = request_policies.default_policies()
        self.walk(check, policies=policies._replace(retries=HedgeSoon()))

    def test_row_late_upload(self):
        async def check(world):
            data = builders.booking(
                "b", body=b"x" * 5_000, time_left=LONG_TIME
            )
            caller = world.send(data, size=len(data) - 1)
            elapsed = await self.wait_for_answer(world, caller)
            self.check_time(elapsed)
            self.assertEqual({"b": 503}, caller.statuses())
            self.assertEqual([], world.ids_run())

        self.walk(check)

    def test_row_early_answer(self):
        async def check(world):
            body = b"x" * 700_000  # longer than what is kept for a repeat
            data = builders.booking("b", body=body, time_left=LONG_TIME)
            caller = world.send(data, size=600_000)
            while b"POST" not in world.played.read():
                caller.finish()
                await world.advance(STEP)
            await world.advance(0.2)
            world.played.read()
            world.played.send(HEAD + b"content-length: 0\r\n\r\n")
            elapsed = await self.wait_for_answer(world, caller)
            self.assertLess(elapsed, 0.5)

        self.walk(check, count=0)

    def read_after(self, pause, time_limit, body):
        """Return the answers that a caller has which pauses in reading."""
        answers = []

        async def check(world):
            world.instances[0].body = body
            caller = world.connect(8_192)
            world.send(builders.booking("b", time_left=LONG_TIME), caller)
            await world.advance(pause)
            for _ in range(50):
                caller.read()
                await world.advance(STEP)
            answers.extend(caller.answers())
            self.assertEqual(0, world.application.busy(SERVICE))
            self.assertEqual(0, world.account.held_by_kind[ANSWER])

        self.walk(check, count=1, deadline=time_limit)
        return answers

    def test_row_held_answer(self):
        body = b"t" * 540_000
        (answer,) = self.read_after(TIME_LIMIT + 0.5, TIME_LIMIT, body)
        self.assertEqual(body, answer.body)
        # The time is over before a pause of the caller is noticed.
        (answer,) = self.read_after(1.0, 0.8, body)
        self.assertEqual(body, answer.body)
        self.assertEqual([], self.read_after(3.5, TIME_LIMIT, body))

    def test_row_unread_answer(self):
        body = b"t" * 5_400_000
        self.assertEqual([], self.read_after(TIME_LIMIT, TIME_LIMIT, body))
