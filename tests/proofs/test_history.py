import testtools

from primrosemill.proofs import history

VALID_CALL = history.Call(
    "r1", False, b"r1 ", 8, False, "answered", 200, b"r1 res-0"
)


def check(call, runs, *more_calls):
    return history.check(history.History((call, *more_calls), {"r1": runs}))


class HistoryTest(testtools.TestCase):
    def test_valid_calls_have_no_violation(self):
        self.assertEqual((), check(VALID_CALL, 1))
        repeated = VALID_CALL._replace(idempotent=True)
        self.assertEqual((), check(repeated, 3))
        not_run = VALID_CALL._replace(outcome="not-run", body=b"")
        self.assertEqual((), check(not_run, 0))
        unknown = VALID_CALL._replace(outcome="unknown", body=b"")
        self.assertEqual((), check(unknown, 1))
        broken = VALID_CALL._replace(incomplete=True, outcome="", body=b"r1")
        self.assertEqual((), check(broken, 1))

    def test_each_rule_reports_its_violation(self):
        calls_by_violation = {
            history.WrongSize("r1", 8, 6): (
                VALID_CALL._replace(body=b"r1 res"),
                1,
            ),
            history.WrongAnswer("r1", b"r2 res-0"): (
                VALID_CALL._replace(body=b"r2 res-0"),
                1,
            ),
            history.DuplicateRun("r1", 2): (VALID_CALL, 2),
            history.FalseNotRun("r1", 1): (
                VALID_CALL._replace(outcome="not-run", body=b""),
                1,
            ),
            history.AnswerWithoutRun("r1"): (VALID_CALL, 0),
            history.MissingOutcome("r1", ""): (
                VALID_CALL._replace(outcome=""),
                1,
            ),
        }
        for violation, (call, runs) in calls_by_violation.items():
            self.assertEqual((violation,), check(call, runs))

    def test_runs_are_checked_without_a_complete_response(self):
        broken = VALID_CALL._replace(incomplete=True, outcome="")
        self.assertEqual((history.DuplicateRun("r1", 2),), check(broken, 2))

    def test_duplicate_tags_are_reported(self):
        self.assertEqual(
            (history.DuplicateTag("r1"),), check(VALID_CALL, 1, VALID_CALL)
        )
