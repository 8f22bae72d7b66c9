"""Tests that what instances say of themselves is believed."""

import eliot.testing
import testtools
import trio

from primrosemill.platform import headers
from primrosemill.proxy import headers as proxy_headers
from primrosemill.standins import users_instance
from primrosemill.telemetry import events
from tests.builders import answers
from tests.builders import users_platform as builders

Manner = users_instance.Manner
CALLS = 12


async def call_all(built, count=CALLS):
    for number in range(count):
        response = await builders.call(built, builders.READ_PATH, f"r{number}")
        assert response.status == 200, response.status


class LeavingTest(testtools.TestCase):
    @eliot.testing.capture_logging(None)
    def test_nothing_new_goes_to_an_instance_that_says_it_leaves(self, logger):
        def is_known():
            return any(
                message["message_type"] == events.INSTANCE_LEAVING.number
                for message in logger.messages
            )

        async def check(built):
            first, second = built.instances
            await call_all(built)
            first.leaving = True
            # An answer that lost to that of a second attempt tells nothing.
            while not is_known():
                number = len(first.runs)
                await builders.call(built, builders.READ_PATH, f"last{number}")
            before = len(first.runs)
            # The entry comes anew and still calls it ready.
            built.store.put_json(
                f"servers/{first.id}",
                builders.entry(built.addresses[0], sequence=9, slots=4),
            )
            await trio.sleep(0.5)
            await call_all(built)
            self.assertEqual(before, len(first.runs))
            self.assertGreater(len(second.runs), CALLS)

        builders.run(check)

    def test_a_new_start_under_the_id_is_used(self):
        async def check(built):
            (only,) = built.instances
            only.leaving = True
            await call_all(built, 1)
            response = await builders.call(built, builders.READ_PATH, "r9")
            self.assertEqual(503, response.status)
            only.leaving = False
            built.store.put_json(
                f"servers/{only.id}",
                builders.entry(built.addresses[0], born=2_000),
            )
            await trio.sleep(0.5)
            await call_all(built, 1)

        builders.run(check, count=1)

    def test_only_the_sign_itself_counts(self):
        for value, expected in ((b"1", True), (b"0", False), (b"", False)):
            lines = [(b"Server-Leaving", value)]
            self.assertIs(expected, headers.is_leaving(lines), value)
        self.assertFalse(headers.is_leaving([]))


class PauseTest(testtools.TestCase):
    def test_nothing_goes_to_an_instance_that_wants_a_pause(self):
        async def check(built):
            first, second = built.instances
            first.manner = Manner.SHED
            first.retry_after = b"30"
            await call_all(built)
            self.assertLessEqual(len(first.turned_away), 1)
            self.assertEqual(CALLS, len(second.runs))

        builders.run(check)

    def test_where_all_pause_callers_are_refused_at_once(self):
        async def check(built):
            for each in built.instances:
                each.manner = Manner.SHED
                each.retry_after = b"20"
            await builders.call(built, builders.READ_PATH, "r0")
            started = trio.current_time()
            response = await builders.call(built, builders.READ_PATH, "r1")
            self.assertLess(trio.current_time() - started, 0.2)
            self.assertEqual(503, response.status)
            reason = answers.header(response, "x-outcome-reason")
            self.assertEqual("instances_paused", reason)
            retry_after = float(answers.header(response, "retry-after"))
            self.assertTrue(18.0 < retry_after <= 20.5, retry_after)
            away = sum(len(each.turned_away) for each in built.instances)
            self.assertEqual(2, away)

        builders.run(check)

    def test_a_pause_is_read_with_fractions_and_bounded(self):
        self.assertEqual(1.5, proxy_headers.parse_pause(b"1.5").ok)
        for damaged in (b"", b"soon", b"-1", b"nan", b"inf", b"1" * 400):
            fault = proxy_headers.parse_pause(damaged).error
            self.assertLessEqual(len(fault.value), 40)
            self.assertEqual(0.0, fault.seconds, damaged)
        huge = proxy_headers.parse_pause(b"1e9").error
        self.assertEqual(proxy_headers.MAX_PAUSE, huge.seconds)
