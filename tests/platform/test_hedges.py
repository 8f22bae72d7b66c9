"""Tests that a slow request is hedged, and that the hedge is logged."""

import eliot.testing
import testtools
import trio

from primrosemill.decisions import planned_stop
from primrosemill.telemetry import events
from tests.builders import users_platform as builders

USUAL_TIME = 0.05  # seconds per request while response times are learnt
SLOW_TIME = 1.5  # seconds; less than the deadline of the route
# Enough for an answer that is not overdue, too little for one after a hedge.
STOP_TIME = 0.48  # seconds
CALLS = 40  # enough for an estimate of the response time


class HedgeTest(testtools.TestCase):
    @eliot.testing.capture_logging(None)
    def test_slow_request_is_hedged_and_logged(self, logger):
        async def check(built):
            for each in built.instances:
                each.pause = USUAL_TIME
            for number in range(CALLS):
                await builders.call(built, builders.READ_PATH, f"r{number}")
            # The selection prefers the instance that answered last.
            sent = [
                message["instance_id"]
                for message in logger.messages
                if message["message_type"] == events.REQUEST_SENT.number
            ]
            slow, fast = sorted(
                built.instances, key=lambda each: each.id != sent[-1]
            )
            slow.pause = SLOW_TIME
            hedged = []
            for number in range(CALLS, 2 * CALLS):
                await builders.call(built, builders.READ_PATH, f"r{number}")
                hedged = [
                    message
                    for message in logger.messages
                    if message["message_type"] == events.REQUEST_HEDGED.number
                ]
                if hedged:
                    break
            self.assertEqual(fast.id, hedged[0]["instance_id"])
            self.assertEqual(f"r{number}", hedged[0]["request_id"])
            self.assertGreater(SLOW_TIME, hedged[0]["after"])

        builders.run(check)

    def test_no_hedge_starts_shortly_before_the_end_of_the_vm(self):
        # Guards against a second run that the stop breaks off as well.
        async def check(built):
            for each in built.instances:
                each.pause = USUAL_TIME
            for number in range(CALLS):
                await builders.call(built, builders.READ_PATH, f"r{number}")
            for each in built.instances:
                each.pause = SLOW_TIME
            now = trio.current_time()
            built.vm._application.begin_stop(
                planned_stop.plan_after(now, STOP_TIME, 0.0)
            )
            response = await builders.call(built, builders.READ_PATH, "last")
            # On a busy machine it may be too late for the first one already.
            self.assertIn(response.status, (503, 504))
            ids = [run.request_id for run in builders.runs(built)]
            self.assertLessEqual(ids.count("last"), 1)

        builders.run(check)
