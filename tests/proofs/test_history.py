import testtools

from primrosemill.proofs import history

GOOD = history.Call(
    "r1", False, b"r1 ", 8, False, "answered", 200, b"r1 res-0"
)


def check(call, runs, *more):
    return history.check(history.History((call, *more), {"r1": runs}))


class HistoryTest(testtools.TestCase):
    def test_a_good_history_has_no_violation(self):
        self.assertEqual((), check(GOOD, 1))
        repeated = GOOD._replace(idempotent=True)
        self.assertEqual((), check(repeated, 3))
        not_run = GOOD._replace(outcome="not-run", body=b"")
        self.assertEqual((), check(not_run, 0))
        unknown = GOOD._replace(outcome="unknown", body=b"")
        self.assertEqual((), check(unknown, 1))
        broken = GOOD._replace(broken=True, outcome="", body=b"r1")
        self.assertEqual((), check(broken, 1))

    def test_each_rule_catches_what_it_is_for(self):
        planted = {
            history.NotWhole("r1", 8, 6): (GOOD._replace(body=b"r1 res"), 1),
            history.NotItsOwn("r1", b"r2 res-0"): (
                GOOD._replace(body=b"r2 res-0"),
                1,
            ),
            history.RanAgain("r1", 2): (GOOD, 2),
            history.RanAfterAll("r1", 1): (
                GOOD._replace(outcome="not-run", body=b""),
                1,
            ),
            history.AnsweredByNobody("r1"): (GOOD, 0),
            history.NoOutcome("r1", ""): (GOOD._replace(outcome=""), 1),
        }
        for violation, (call, runs) in planted.items():
            self.assertEqual((violation,), check(call, runs))

    def test_a_broken_answer_still_counts_runs(self):
        broken = GOOD._replace(broken=True, outcome="")
        self.assertEqual((history.RanAgain("r1", 2),), check(broken, 2))

    def test_a_tag_used_twice_makes_a_history_useless(self):
        self.assertEqual((history.CalledTwice("r1"),), check(GOOD, 1, GOOD))
