"""Walks the table of refusals and closed connections in the design notes."""

import pathlib

import testtools

from primrosemill.decisions import outcomes
from primrosemill.proxy import caller_connection
from primrosemill.proxy import request_policies
from tests.builders import frozen_vms as builders
from tests.builders import tables

from primrosemill.proxy.memory import heavy_work

PAGE = pathlib.Path("docs/design/refusals.md")
OWN_NAME = "proxy/test_refusal_table"
BODY = b"x" * 40_000
LONG_BODY = b"x" * 900_000  # longer than what is kept for another attempt
LONG_TIME = 9_000  # milliseconds
AFTERMATH = 10.0  # seconds
MODES = builders.ResponseMode


class RefuseCaller:
    """Admits no request."""

    def admit(self, caller, service, now):
        return request_policies.Refused(outcomes.RefusalReason.CALLER_LIMIT)


class HedgeSoon(request_policies.RetryUntilDeadline):
    """Hedges each request."""

    def hedge_delay(self, service, now, route=""):
        return 0.05


class RefusalTableTest(testtools.TestCase):
    """Guards against a request that runs after a VM has decided against it."""

    def walk(self, check, statuses, ran=(), count=1, policies=None, slots=1):
        """Check what has run at the end, and how each request was answered.

        ``statuses`` has the status of each answered request by its id.
        """

        async def main(world):
            await check(world)
            for instance in world.instances:
                instance.mode = MODES.NORMAL
                instance.next_modes.clear()
            for caller in world.callers:
                caller.finish()
            await world.advance(AFTERMATH)
            self.assertEqual(statuses, world.statuses())
            self.assertEqual(sorted(ran), sorted(world.ids_run()))

        builders.run(main, count=count, slots=slots, policies=policies)

    async def occupy(self, world, seconds=4.5):
        """Let a request keep the only slot of the only instance."""
        world.instances[0].pauses_by_id["busy"] = seconds
        world.send(builders.booking("busy", time_left=LONG_TIME))
        await world.advance(0.1)

    def test_each_row_has_its_test(self):
        tables.check_rows(self, PAGE, OWN_NAME)

    def test_row_slow_head(self):
        async def check(world):
            world.send(builders.booking("b"), size=builders.HEAD_PART)
            await world.advance(builders.HEAD_TIMEOUT + 1.1)

        self.walk(check, {"b": 408})

    def test_row_heavy_head(self):
        async def check(world):
            world.account.heavy_heads._lock = _FullLock()
            lines = [f"x-{number}: y" for number in range(200)]
            await self.occupy(world, 0.5)
            caller = world.send(builders.booking("a", time_left=LONG_TIME))
            world.send(builders.booking("b", lines=lines), caller)
            await world.advance(0.2)

        self.walk(check, {"busy": 200, "a": 200, "b": 503}, ran=("busy", "a"))

    def test_row_malformed_head(self):
        async def check(world):
            data = builders.booking("b").replace(b"HTTP/1.1", b"HTTP?")
            caller = world.send(data)
            await world.settle()
            world.send(builders.booking("c"), caller)

        self.walk(check, {"b": 400})

    def test_row_malformed_body(self):
        async def check(world):
            await self.occupy(world)
            lines = ("transfer-encoding: chunked",)
            caller = world.send(builders.booking("b", lines=lines))
            await world.advance(0.2)
            caller.send(b"no size\r\n")

        self.walk(check, {"busy": 200, "b": 400}, ran=("busy",))

    def test_row_slow_body(self):
        async def check(world):
            data = builders.booking("b", body=BODY, time_left=60_000)
            world.send(data, size=len(data) - 1)
            await world.advance(caller_connection.MAX_STALL - 0.5)
            # The time limit of the route must not come first.
            self.assertEqual({}, world.statuses())
            await world.advance(1.6)

        self.walk(check, {"b": 503})

    def test_row_slow_body_sent(self):
        async def check(world):
            data = builders.booking("b", body=LONG_BODY, time_left=60_000)
            world.send(data, size=len(data) - 1)
            await world.advance(caller_connection.MAX_STALL + 1.1)

        self.walk(check, {"b": 504})

    def test_row_evicted_waiting(self):
        async def check(world):
            await self.occupy(world, 0.5)
            world.send(builders.booking("b", body=BODY, time_left=LONG_TIME))
            await world.advance(0.2)
            world.evict()

        self.walk(check, {"busy": 504, "b": 503}, ran=("busy",))

    def test_row_evicted_sent(self):
        async def check(world):
            world.instances[0].mode = MODES.HANG
            world.send(builders.booking("b", time_left=LONG_TIME))
            await world.advance(0.2)
            world.evict()

        self.walk(check, {"b": 504}, ran=("b",))

    def test_row_evicted_head(self):
        async def check(world):
            caller = world.send(builders.booking("b"), size=builders.HEAD_PART)
            await world.advance(0.2)
            # The rest arrives before the eviction, and is not read yet.
            caller.finish()
            world.evict()

        self.walk(check, {})

    def test_row_behind_eviction(self):
        async def check(world):
            world.instances[0].mode = MODES.HANG
            caller = world.send(builders.booking("a", time_left=LONG_TIME))
            world.send(builders.booking("b", time_left=LONG_TIME), caller)
            await world.advance(0.2)
            world.evict()

        self.walk(check, {"a": 504}, ran=("a",))

    def test_row_behind_last_answer(self):
        async def check(world):
            close = ("connection: close",)
            caller = world.send(builders.booking("a", lines=close))
            world.send(builders.booking("b"), caller)

        self.walk(check, {"a": 200}, ran=("a",))

    def test_row_no_place(self):
        async def check(world):
            world.account.bounds = world.account.bounds._replace(connections=0)
            world.send(builders.booking("b"))

        self.walk(check, {})

    def test_row_idle(self):
        async def check(world):
            caller = world.connect()
            await world.advance(builders.IDLE_TIMEOUT + 1.1)
            world.send(builders.booking("b"), caller)

        self.walk(check, {})

    def test_row_disconnected(self):
        async def check(world):
            await self.occupy(world, 0.5)
            caller = world.send(builders.booking("b", time_left=LONG_TIME))
            await world.advance(0.2)
            caller.close()

        self.walk(check, {"busy": 200}, ran=("busy",))

    def test_row_no_route(self):
        async def check(world):
            data = builders.booking("b").replace(b"/bookings", b"/nothing")
            world.send(data)

        self.walk(check, {"b": 404})

    def test_row_head_too_large(self):
        async def check(world):
            lines = [f"x-{number}: {'y' * 2_000}" for number in range(7)]
            lines.append(f"x-long: {'y' * 2_400}")
            world.send(builders.booking("b", lines=lines))

        self.walk(check, {"b": 431})

    def test_row_body_too_large(self):
        async def check(world):
            body = b"x" * (builders.BOUNDS.max_body_size + 1)
            world.send(builders.booking("b", body=body))

        self.walk(check, {"b": 413})

    def test_row_caller_limit(self):
        async def check(world):
            world.send(builders.booking("b"))

        policies = request_policies.default_policies()._replace(
            admission=RefuseCaller()
        )
        self.walk(check, {"b": 429}, policies=policies)

    def test_row_waiting(self):
        async def check(world):
            await self.occupy(world, 1.0)
            world.send(builders.booking("b", time_left=500))
            # The slot is free at the moment at which the time is over.
            await world.advance(0.3)
            await world.freeze(0.8)

        self.walk(check, {"busy": 200, "b": 503}, ran=("busy",))

    def test_row_sent_late(self):
        async def check(world):
            world.instances[0].mode = MODES.HANG
            world.send(builders.booking("b", time_left=500))
            await world.advance(0.7)

        self.walk(check, {"b": 504}, ran=("b",))

    def test_row_shed(self):
        async def check(world):
            world.instances[0].mode = MODES.SHED
            world.send(builders.booking("b", time_left=500))
            await world.advance(0.7)

        self.walk(check, {"b": 503})

    def test_row_other_instance(self):
        async def check(world):
            world.instances[0].id = "another"
            world.send(builders.booking("b", time_left=500))
            await world.advance(0.7)

        self.walk(check, {"b": 503})

    def test_row_unanswered(self):
        async def check(world):
            world.instances[0].mode = MODES.CLOSED
            world.send(builders.booking("b", time_left=500))
            await world.advance(0.1)

        self.walk(check, {"b": 502}, ran=("b",))

    def test_row_hedged(self):
        async def check(world):
            for instance in world.instances:
                instance.mode = MODES.HANG
            world.send(builders.read("r", time_left=500))
            await world.advance(0.7)

        policies = request_policies.default_policies()._replace(
            retries=HedgeSoon()
        )
        self.walk(
            check, {"r": 504}, ran=("r", "r"), count=2, policies=policies
        )

    def test_row_stopping(self):
        async def check(world):
            await self.occupy(world)
            world.send(builders.booking("b", time_left=LONG_TIME))
            await world.advance(0.2)
            world.stop()

        self.walk(check, {"busy": 504, "b": 503}, ran=("busy",))

    def test_row_stopping_late(self):
        async def check(world):
            world.stop()
            await world.advance(5.0)
            world.send(builders.booking("b", time_left=LONG_TIME))

        self.walk(check, {"b": 503})


class _FullLock:
    """A lock for which as many wait as may."""

    def statistics(self):
        return self

    tasks_waiting = heavy_work.MAX_WAITING
