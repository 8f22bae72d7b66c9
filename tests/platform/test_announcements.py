"""Tests the reaction to instances that announce leaving or a pause."""

import eliot.testing
import testtools
import trio

from primrosemill.platform import headers
from primrosemill.proxy import headers as proxy_headers
from primrosemill.standins import users_instance
from primrosemill.telemetry import events
from tests.builders import users_platform as builders

ResponseMode = users_instance.ResponseMode
CALLS = 12


async def call_all(built, count=CALLS):
    for number in range(count):
        response = await builders.call(built, builders.READ_PATH, f"r{number}")
        assert response.status == 200, response.status


class LeavingTest(testtools.TestCase):
    @eliot.testing.capture_logging(None)
    def test_instance_that_announces_leaving_gets_no_new_requests(
        self, logger
    ):
        def is_logged():
            return any(
                message["message_type"] == events.INSTANCE_LEAVING.number
                for message in logger.messages
            )

        async def check(built):
            first, second = built.instances
            await call_all(built)
            first.leaving = True
            # The header of an answer that lost a race to a hedge is ignored,
            # so one request may not be enough.
            while not is_logged():
                number = len(first.runs)
                await builders.call(built, builders.READ_PATH, f"last{number}")
            run_count = len(first.runs)
            # The entry is written again and its state is still ready.
            built.store.put_json(
                f"servers/{first.id}",
                builders.entry(built.addresses[0], sequence=9, slots=4),
            )
            await trio.sleep(0.5)
            await call_all(built)
            self.assertEqual(run_count, len(first.runs))
            self.assertGreater(len(second.runs), CALLS)

        builders.run(check)

    def test_restarted_instance_with_the_same_id_is_used(self):
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

    def test_only_the_value_1_of_the_header_means_leaving(self):
        for value, expected in ((b"1", True), (b"0", False), (b"", False)):
            answer_headers = [(b"Server-Leaving", value)]
            self.assertIs(expected, headers.is_leaving(answer_headers), value)
        self.assertFalse(headers.is_leaving([]))


class PauseTest(testtools.TestCase):
    def test_instance_that_asks_for_a_pause_gets_no_requests(self):
        async def check(built):
            first, second = built.instances
            first.mode = ResponseMode.SHED
            first.retry_after = b"30"
            await call_all(built)
            self.assertLessEqual(len(first.turned_away), 1)
            self.assertEqual(CALLS, len(second.runs))

        builders.run(check)

    def test_request_is_refused_immediately_if_all_instances_pause(self):
        async def check(built):
            for each in built.instances:
                each.mode = ResponseMode.SHED
                each.retry_after = b"20"
            await builders.call(built, builders.READ_PATH, "r0")
            refusal = await builders.call_refused(built, "r1")
            self.assertLess(refusal.elapsed, 0.2)
            self.assertEqual("instances_paused", refusal.reason)
            self.assertTrue(18.0 < refusal.retry_after <= 20.5, refusal)
            shed_count = sum(len(each.turned_away) for each in built.instances)
            self.assertEqual(2, shed_count)

        builders.run(check)

    def test_pause_may_be_fractional_and_is_limited(self):
        self.assertEqual(1.5, proxy_headers.parse_pause(b"1.5").ok)
        for invalid in (b"", b"soon", b"-1", b"nan", b"inf", b"1" * 400):
            fault = proxy_headers.parse_pause(invalid).error
            self.assertLessEqual(len(fault.value), 40)
            self.assertEqual(0.0, fault.seconds, invalid)
        huge = proxy_headers.parse_pause(b"1e9").error
        self.assertEqual(proxy_headers.MAX_PAUSE, huge.seconds)
