import testtools

from primrosemill.proofs import outcomes


def check(idempotent=False, **changed_guards):
    guards = outcomes.Guards()._replace(**changed_guards)
    return outcomes.check(idempotent, guards)


class OutcomesModelTest(testtools.TestCase):
    def assert_violated(self, name, **changed_guards):
        report = check(**changed_guards)
        self.assertIs(False, report["properties"][name]["holds"])

    def test_all_invariants_hold(self):
        for idempotent in (False, True):
            report = check(idempotent)
            self.assertTrue(report["exhaustive"])
            for name, result in report["properties"].items():
                self.assertIs(True, result["holds"], name)

    def test_a_closed_connection_must_count_as_unknown(self):
        self.assert_violated("not run is true", closed_is_unknown=False)
        self.assert_violated("at most one run", closed_is_unknown=False)

    def test_a_503_without_the_header_must_not_count_as_a_shed(self):
        self.assert_violated("not run is true", require_shed_header=False)

    def test_only_attempts_that_did_not_run_may_be_retried(self):
        self.assert_violated("at most one run", retry_only_not_run=False)

    def test_the_deadline_must_be_checked_before_sending(self):
        name = "nothing is sent after the deadline"
        self.assert_violated(name, check_at_send=False)

    def test_connections_without_a_response_must_be_closed(self):
        name = "each request gets its own answer"
        self.assert_violated(name, close_unanswered=False)
