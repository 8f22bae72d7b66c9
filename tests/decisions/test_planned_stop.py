"""Checks the promise of a planned stop for any time to stop.

The tests of the table with a VM are in tests/platform/test_planned_stop.py.
"""

import hypothesis
from hypothesis import strategies
import testtools

from primrosemill.decisions import planned_stop

SETTINGS = hypothesis.settings(
    derandomize=True, max_examples=300, deadline=None
)
# What the users' platform excuses; see tests/builders/stops.py.
EXCUSED_SENT = 3.0  # seconds
EXCUSED_SHARE = 5 / 6
STOP_TIMES = strategies.floats(1.0, 3_600.0)
PARTS = strategies.floats(0.0, 1.0)  # of the time to stop
LIMITS = strategies.floats(0.01, 7_200.0)  # seconds


class EntryVmTest(testtools.TestCase):
    @SETTINGS
    @hypothesis.given(STOP_TIMES, PARTS, LIMITS)
    def test_what_is_admitted_ends_by_itself_or_is_excused(
        self, stop_time, part, limit
    ):
        # Guards against an open time that fits one time to stop.
        stop = planned_stop.PlannedStop()
        times = planned_stop.plan_within(0.0, stop_time)
        stop.begin(times)
        sent = part * stop_time
        if not stop.admits(sent + limit, sent, certain=False):
            return
        end = stop.latest_end(sent + limit)
        self.assertLess(end, times.cuts_off_at)
        if end < sent + limit:
            self.assertLessEqual(sent, EXCUSED_SENT)
            self.assertGreaterEqual(end, EXCUSED_SHARE * stop_time)

    @SETTINGS
    @hypothesis.given(STOP_TIMES, PARTS, LIMITS)
    def test_what_ends_by_itself_is_admitted(self, stop_time, part, limit):
        stop = planned_stop.PlannedStop()
        stop.begin(planned_stop.plan_within(0.0, stop_time))
        now = part * stop_time
        ends = now + limit <= stop.answers_by
        self.assertEqual(ends, stop.admits(now + limit, now, certain=True))
        if ends:
            self.assertTrue(stop.can_end(now + limit, 1e9, now))

    def test_what_is_expected_to_outlast_the_vm_does_not_start(self):
        stop = planned_stop.PlannedStop()
        self.assertTrue(stop.can_end(100.0, 50.0, 4.0))
        stop.begin(planned_stop.plan_within(0.0, 6.0))
        self.assertTrue(stop.can_end(100.0, 1.1, 4.0))
        self.assertFalse(stop.can_end(100.0, 1.2, 4.0))


class ProxyTest(testtools.TestCase):
    @SETTINGS
    @hypothesis.given(STOP_TIMES, strategies.floats(0.0, 60.0))
    def test_requests_are_answered_before_they_are_cut_off(
        self, stop_time, lifetime
    ):
        times = planned_stop.plan_after(0.0, lifetime, stop_time)
        self.assertEqual(lifetime, times.open_until)
        self.assertLess(times.answers_by, times.cuts_off_at)
        self.assertGreater(times.answers_by, lifetime)
