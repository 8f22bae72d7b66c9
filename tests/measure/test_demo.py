import testtools

from primrosemill.measure import demo_report
from tests.builders import demo as builders

GOOD = demo_report.Times(1.0, 2.0, 9.0, 1.0, 3.0)
RAN = {"a": 1}


def broken(met, runs_by_tag=RAN, watch=None, times=GOOD):
    """Return the numbers of the promises that did not hold."""
    promises = demo_report.judge(
        builders.fleet(runs_by_tag),
        watch or builders.watch(("reservations-1", "ejected")),
        met,
        times,
        builders.SICK_ID,
    )
    return [
        number for number, promise in enumerate(promises) if not promise.held
    ]


class JudgeTest(testtools.TestCase):
    def test_a_good_run_breaks_no_promise(self):
        self.assertEqual([], broken([builders.met("a")]))

    def test_each_promise_is_told_when_broken(self):
        met = builders.met("a")
        booking = builders.met("a", idempotent=False)
        few = builders.watch()
        few.fewest_in_rotation = 3
        cases = [
            ([0], broken([builders.met("a", body=b"b reservations-1")])),
            ([0], broken([booking], {"a": 2})),
            ([0, 1], broken([builders.met("a", outcome="not-run")])),
            ([1], broken([builders.met("a", outcome="unknown")])),
            ([1], broken([builders.met("a", status=500)])),
            ([1, 8], broken([builders.met("a", broken=True)])),
            ([2], broken([met], times=GOOD._replace(detection=None))),
            ([2], broken([met], times=GOOD._replace(detection=5.1))),
            ([3], broken([met], times=GOOD._replace(ejection=None))),
            ([3], broken([met], times=GOOD._replace(ejection=5.1))),
            (
                [4],
                broken(
                    [met], watch=builders.watch(("reservations-2", "avoided"))
                ),
            ),
            ([5], broken([met], watch=few)),
            ([6], broken([met], times=GOOD._replace(recovery=None))),
            ([7], broken([met], times=GOOD._replace(spread=None))),
            ([7], broken([met], times=GOOD._replace(spread=5.1))),
            ([8], broken([met], times=GOOD._replace(leaving=None))),
            (
                [8],
                broken([builders.met("a", idempotent=False, broken=True)]),
            ),
        ]
        for expected, found in cases:
            self.assertEqual(expected, found)

    def test_a_booking_may_end_unknown(self):
        booking = builders.met("a", idempotent=False, outcome="unknown")
        self.assertEqual([], broken([booking]))


class PhasesTest(testtools.TestCase):
    def test_each_request_counts_in_the_phase_of_its_start(self):
        phases = [
            demo_report.Phase("first", 0.0),
            demo_report.Phase("second", 1.0),
        ]
        met = [
            builders.met("a"),
            builders.met("b", broken=True)._replace(started=1.0),
        ]
        lines = demo_report.describe_phases(phases, met)
        self.assertIn("1 requests: 1 answered", lines[0])
        self.assertIn("1 requests: 1 broken off", lines[1])
