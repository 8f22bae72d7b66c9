import testtools

from primrosemill.proofs import outcomes


def properties(idempotent=False, **removed):
    guards = outcomes.Guards()._replace(**removed)
    return outcomes.check(idempotent, guards)


class OutcomesModelTest(testtools.TestCase):
    def assert_broken(self, name, **removed):
        report = properties(**removed)
        self.assertIs(False, report["properties"][name]["holds"])

    def test_the_promises_hold(self):
        for idempotent in (False, True):
            report = properties(idempotent)
            self.assertTrue(report["exhaustive"])
            for name, verdict in report["properties"].items():
                self.assertIs(True, verdict["holds"], name)

    def test_a_closed_connection_is_not_taken_for_not_run(self):
        self.assert_broken("not run is true", typed_unknown=False)
        self.assert_broken("at most one run", typed_unknown=False)

    def test_an_unavailable_answer_is_not_taken_for_a_shed(self):
        self.assert_broken("not run is true", own_word=False)

    def test_only_what_was_not_run_is_repeated(self):
        self.assert_broken("at most one run", repeat_only_not_run=False)

    def test_the_deadline_is_checked_when_sending(self):
        name = "nothing is sent after the deadline"
        self.assert_broken(name, check_at_send=False)

    def test_an_unanswered_connection_is_closed(self):
        name = "each request gets its own answer"
        self.assert_broken(name, close_connection=False)
