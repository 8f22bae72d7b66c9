import testtools

from primrosemill.measure import demo_report
from tests.builders import demo as builders

GOOD = demo_report.Times(1.0, 2.0, 9.0, 1.0, 3.0)
RUN_ONCE = {"a": 1}


def violated(results, runs_by_tag=RUN_ONCE, monitor=None, times=GOOD):
    """Return the indexes of the guarantees that did not hold."""
    guarantees = demo_report.check_guarantees(
        builders.fleet(runs_by_tag),
        monitor or builders.monitor(("reservations-1", "ejected")),
        results,
        times,
        builders.GRAY_INSTANCE_ID,
    )
    return [
        number
        for number, guarantee in enumerate(guarantees)
        if not guarantee.held
    ]


class GuaranteesTest(testtools.TestCase):
    def test_good_run_meets_all_guarantees(self):
        self.assertEqual([], violated([builders.result("a")]))

    def test_each_violation_fails_its_guarantee(self):
        answered = builders.result("a")
        booking = builders.result("a", idempotent=False)
        below_floor = builders.monitor()
        below_floor.min_in_rotation = 3
        cases = [
            ([0], violated([builders.result("a", body=b"b reservations-1")])),
            ([0], violated([booking], {"a": 2})),
            ([0, 1], violated([builders.result("a", outcome="not-run")])),
            ([1], violated([builders.result("a", outcome="unknown")])),
            ([1], violated([builders.result("a", status=500)])),
            ([1, 8], violated([builders.result("a", incomplete=True)])),
            ([2], violated([answered], times=GOOD._replace(detection=None))),
            ([2], violated([answered], times=GOOD._replace(detection=5.1))),
            ([3], violated([answered], times=GOOD._replace(ejection=None))),
            ([3], violated([answered], times=GOOD._replace(ejection=5.1))),
            (
                [4],
                violated(
                    [answered],
                    monitor=builders.monitor(("reservations-2", "avoided")),
                ),
            ),
            ([5], violated([answered], monitor=below_floor)),
            ([6], violated([answered], times=GOOD._replace(recovery=None))),
            ([7], violated([answered], times=GOOD._replace(propagation=None))),
            ([7], violated([answered], times=GOOD._replace(propagation=5.1))),
            ([8], violated([answered], times=GOOD._replace(shutdown=None))),
            (
                [8],
                violated(
                    [builders.result("a", idempotent=False, incomplete=True)]
                ),
            ),
        ]
        for expected, numbers in cases:
            self.assertEqual(expected, numbers)

    def test_booking_may_end_with_unknown_outcome(self):
        booking = builders.result("a", idempotent=False, outcome="unknown")
        self.assertEqual([], violated([booking]))


class PhasesTest(testtools.TestCase):
    def test_request_is_counted_in_phase_in_which_it_started(self):
        phases = [
            demo_report.Phase("first", 0.0),
            demo_report.Phase("second", 1.0),
        ]
        results = [
            builders.result("a"),
            builders.result("b", incomplete=True)._replace(started=1.0),
        ]
        lines = demo_report.describe_phases(phases, results)
        self.assertIn("1 requests: 1 answered", lines[0])
        self.assertIn("1 requests: 1 broken off", lines[1])
