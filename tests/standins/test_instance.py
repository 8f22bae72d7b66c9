import functools
import random

import msgspec
import testtools
import trio
import trio.testing

from primrosemill.standins import faults
from primrosemill.standins import instance


class Exchange:
    """ASGI exchange with a stand-in, without a server."""

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
        self._pending_messages = [{"type": "http.request"}]
        self._disconnected = trio.Event()

    def disconnect(self):
        self._disconnected.set()

    def close(self):
        self.closed = True

    async def receive(self):
        if self._pending_messages:
            return self._pending_messages.pop()
        await self._disconnected.wait()
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
    def test_requests_beyond_the_slots_are_shed_and_not_run(self):
        async def check(standin):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(Exchange(tag="first").run, standin)
                await trio.testing.wait_all_tasks_blocked()
                second = await Exchange(tag="second").run(standin)
            self.assertEqual(503, second.status)
            self.assertEqual(b"1", second.headers[b"x-shed"])
            self.assertEqual({"first": 1}, standin.runs_by_tag)

        self.run_with(check)

    def test_an_instance_is_slower_after_a_cold_start(self):
        async def check(standin):
            for expected in (3.0, 1.0):
                started = trio.current_time()
                await Exchange().run(standin)
                self.assertEqual(expected, trio.current_time() - started)

        self.run_with(check, cold_start=2.0)

    def test_timeouts_and_disconnects_cancel_a_request(self):
        async def check(standin):
            late = await Exchange(tag="late", timeout=b"0.5").run(standin)
            self.assertTrue(late.closed)
            disconnected = Exchange(tag="disconnected")
            async with trio.open_nursery() as nursery:
                nursery.start_soon(disconnected.run, standin)
                await trio.testing.wait_all_tasks_blocked()
                disconnected.disconnect()
            self.assertEqual(["late", "disconnected"], standin.cancelled_tags)
            self.assertEqual(0, standin.in_use)

        self.run_with(check)

    def test_a_draining_instance_announces_it_and_responds(self):
        async def check(standin):
            standin.drain()
            exchange = await Exchange().run(standin)
            self.assertEqual(200, exchange.status)
            self.assertEqual(
                b"draining", exchange.headers[b"x-instance-state"]
            )

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
                    load_exchange = await Exchange("/load").run(standin)
                    load = msgspec.json.decode(load_exchange.body)
                    self.assertEqual(expected, load["in_use"])
                    await trio.sleep(0.5)

        self.run_with(check, lag=0.5)


class FaultTest(InstanceCase):
    def test_modes_affect_requests_but_not_health_checks(self):
        async def check(standin):
            for mode, seconds, status in (
                (faults.Mode.SLOW, 10.0, 200),
                (faults.Mode.HALF_SPEED, 2.0, 200),
                (faults.Mode.ERRORS, 1.0, 500),
                (faults.Mode.CLOSE_AFTER_RUN, 1.0, None),
            ):
                standin.set_sickness(faults.InjectedFault(mode))
                started = trio.current_time()
                exchange = await Exchange().run(standin)
                self.assertEqual(seconds, trio.current_time() - started)
                self.assertEqual(status, exchange.status)
                health_check = await Exchange("/health").run(standin)
                self.assertEqual(b"ok", health_check.body)

        self.run_with(check)

    def test_a_stalled_instance_never_responds(self):
        async def check(standin):
            standin.set_sickness(faults.InjectedFault(faults.Mode.STALL))
            with trio.move_on_after(3_600.0) as scope:
                await Exchange().run(standin)
            self.assertTrue(scope.cancelled_caught)

        self.run_with(check)

    def test_a_reused_connection_is_closed_without_a_run(self):
        async def check(standin):
            standin.set_sickness(
                faults.InjectedFault(faults.Mode.CLOSE_ON_REUSE)
            )
            first = await Exchange(tag="first").run(standin)
            second = await Exchange(tag="second", requests=2).run(standin)
            self.assertEqual(200, first.status)
            self.assertTrue(second.closed)
            self.assertEqual({"first": 1}, standin.runs_by_tag)

        self.run_with(check)

    def test_flapping_follows_time_and_shares_follow_the_seed(self):
        flapping = faults.InjectedFault(faults.Mode.STALL, period=2.0)
        choose_mode = functools.partial(faults.choose_mode, flapping)
        generator = random.Random(1)
        self.assertEqual(faults.Mode.HEALTHY, choose_mode(0.5, generator))
        self.assertEqual(faults.Mode.STALL, choose_mode(1.5, generator))
        self.assertEqual(faults.Mode.HEALTHY, choose_mode(2.5, generator))
        partial_errors = faults.InjectedFault(faults.Mode.ERRORS, share=0.2)
        error_count = sum(
            faults.choose_mode(partial_errors, 0.0, generator)
            is faults.Mode.ERRORS
            for _ in range(1_000)
        )
        self.assertTrue(150 < error_count < 250, error_count)
