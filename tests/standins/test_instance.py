import functools
import random

import msgspec
import testtools
import trio
import trio.testing

from primrosemill.standins import faults
from primrosemill.standins import instance


class Exchange:
    """One request to a stand-in, without a server."""

    def __init__(self, path="/work", tag="r1", timeout=None, requests=1):
        self.sent = []
        self.closed = False
        self.requests = requests
        headers = [(b"x-request-id", tag.encode())]
        if timeout is not None:
            headers.append((b"x-request-timeout", timeout))
        self.scope = {
            "path": path,
            "method": "GET",
            "headers": headers,
            "query_string": b"",
            "state": {"connection": self},
        }
        self._left = [{"type": "http.request"}]
        self._gone = trio.Event()

    def leave(self):
        self._gone.set()

    def close(self):
        self.closed = True

    async def receive(self):
        if self._left:
            return self._left.pop()
        await self._gone.wait()
        return {"type": "http.disconnect"}

    async def send(self, message):
        self.sent.append(message)

    @property
    def status(self):
        return self.sent[0]["status"] if self.sent else None

    @property
    def headers(self):
        return dict(self.sent[0]["headers"])

    @property
    def body(self):
        return b"".join(message.get("body", b"") for message in self.sent)

    async def run(self, standin):
        await standin(self.scope, self.receive, self.send)
        return self


class InstanceCase(testtools.TestCase):
    def run_with(self, check, **options):
        async def run():
            standin = instance.InstanceStandin("res-0", 1, 1.0, **options)
            await check(standin)

        clock = trio.testing.MockClock(autojump_threshold=0)
        trio.run(run, clock=clock)


class WorkTest(InstanceCase):
    def test_beyond_its_slots_it_sheds_and_runs_nothing(self):
        async def check(standin):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(Exchange(tag="first").run, standin)
                await trio.testing.wait_all_tasks_blocked()
                second = await Exchange(tag="second").run(standin)
            self.assertEqual(503, second.status)
            self.assertEqual(b"1", second.headers[b"x-shed"])
            self.assertEqual({"first": 1}, standin.runs_by_tag)

        self.run_with(check)

    def test_a_cold_instance_is_slower(self):
        async def check(standin):
            for expected in (3.0, 1.0):
                started = trio.current_time()
                await Exchange().run(standin)
                self.assertEqual(expected, trio.current_time() - started)

        self.run_with(check, cold_start=2.0)

    def test_it_honours_the_deadline_and_the_callers_leaving(self):
        async def check(standin):
            late = await Exchange(tag="late", timeout=b"0.5").run(standin)
            self.assertTrue(late.closed)
            left = Exchange(tag="left")
            async with trio.open_nursery() as nursery:
                nursery.start_soon(left.run, standin)
                await trio.testing.wait_all_tasks_blocked()
                left.leave()
            self.assertEqual(["late", "left"], standin.cancelled_tags)
            self.assertEqual(0, standin.in_use)

        self.run_with(check)

    def test_a_draining_instance_says_so_and_answers(self):
        async def check(standin):
            standin.drain()
            answer = await Exchange().run(standin)
            self.assertEqual(200, answer.status)
            self.assertEqual(b"draining", answer.headers[b"x-instance-state"])

        self.run_with(check)


class EndpointsTest(InstanceCase):
    def test_health_lags_behind_a_drain(self):
        async def check(standin):
            standin.drain()
            before = await Exchange("/health").run(standin)
            await trio.sleep(5.0)
            after = await Exchange("/health").run(standin)
            self.assertEqual([b"ok", b"draining"], [before.body, after.body])

        self.run_with(check, lag=5.0)

    def test_load_lags_behind_the_slots_in_use(self):
        async def check(standin):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(Exchange().run, standin)
                await trio.testing.wait_all_tasks_blocked()
                for expected in (0, 1):
                    told = await Exchange("/load").run(standin)
                    load = msgspec.json.decode(told.body)
                    self.assertEqual(expected, load["in_use"])
                    await trio.sleep(0.5)

        self.run_with(check, lag=0.5)


class SicknessTest(InstanceCase):
    def test_each_mode_shows_and_probes_stay_good(self):
        async def check(standin):
            for mode, seconds, status in (
                (faults.Mode.SLOW, 10.0, 200),
                (faults.Mode.HALF_SPEED, 2.0, 200),
                (faults.Mode.ERRORS, 1.0, 500),
                (faults.Mode.CLOSE_AFTER_RUN, 1.0, None),
            ):
                standin.set_sickness(faults.Sickness(mode))
                started = trio.current_time()
                answer = await Exchange().run(standin)
                self.assertEqual(seconds, trio.current_time() - started)
                self.assertEqual(status, answer.status)
                probe = await Exchange("/health").run(standin)
                self.assertEqual(b"ok", probe.body)

        self.run_with(check)

    def test_a_stalled_instance_answers_nobody(self):
        async def check(standin):
            standin.set_sickness(faults.Sickness(faults.Mode.STALL))
            with trio.move_on_after(3_600.0) as scope:
                await Exchange().run(standin)
            self.assertTrue(scope.cancelled_caught)

        self.run_with(check)

    def test_a_reused_connection_is_closed_and_nothing_runs(self):
        async def check(standin):
            standin.set_sickness(faults.Sickness(faults.Mode.CLOSE_ON_REUSE))
            first = await Exchange(tag="first").run(standin)
            second = await Exchange(tag="second", requests=2).run(standin)
            self.assertEqual(200, first.status)
            self.assertTrue(second.closed)
            self.assertEqual({"first": 1}, standin.runs_by_tag)

        self.run_with(check)

    def test_flapping_and_shares_follow_time_and_seed(self):
        flapping = faults.Sickness(faults.Mode.STALL, period=2.0)
        at = functools.partial(faults.mode_at, flapping)
        generator = random.Random(1)
        self.assertEqual(faults.Mode.HEALTHY, at(0.5, generator))
        self.assertEqual(faults.Mode.STALL, at(1.5, generator))
        self.assertEqual(faults.Mode.HEALTHY, at(2.5, generator))
        some = faults.Sickness(faults.Mode.ERRORS, share=0.2)
        sick = sum(
            faults.mode_at(some, 0.0, generator) is faults.Mode.ERRORS
            for _ in range(1_000)
        )
        self.assertTrue(150 < sick < 250, sick)
