import testtools

from primrosemill.decisions import run_permit

State = run_permit.State


class RunPermitTest(testtools.TestCase):
    """Guards against a refused request that runs, in either order."""

    def test_a_refused_request_is_not_sent(self):
        permit = run_permit.RunPermit()
        self.assertTrue(permit.refuse())
        self.assertFalse(permit.begin_attempt())
        self.assertEqual(State.NOT_RUN, permit.state)

    def test_a_request_that_is_being_sent_is_not_refused(self):
        permit = run_permit.RunPermit()
        self.assertTrue(permit.begin_attempt())
        self.assertFalse(permit.refuse())
        self.assertEqual(State.SENT, permit.state)

    def test_a_request_that_may_have_run_is_repeated_and_not_refused(self):
        permit = run_permit.RunPermit()
        permit.begin_attempt()
        permit.end_attempt(not_run=False)
        self.assertFalse(permit.refuse())
        self.assertTrue(permit.begin_attempt())

    def test_a_request_that_no_instance_ran_may_be_refused(self):
        permit = run_permit.RunPermit()
        for _ in range(2):
            self.assertTrue(permit.begin_attempt())
            permit.end_attempt(not_run=True)
        self.assertEqual(State.OPEN, permit.state)
        self.assertTrue(permit.refuse())

    def test_both_attempts_of_a_hedge_count(self):
        permit = run_permit.RunPermit()
        permit.begin_attempt()
        permit.begin_attempt()
        permit.end_attempt(not_run=True)
        self.assertFalse(permit.refuse())
        permit.end_attempt(not_run=False)
        self.assertFalse(permit.refuse())

    def test_nothing_begins_after_the_end(self):
        permit = run_permit.RunPermit()
        permit.begin_attempt()
        permit.close()
        self.assertFalse(permit.begin_attempt())
        self.assertEqual(State.ENDED, permit.state)
        permit.end_attempt(not_run=True)
        self.assertEqual(State.NOT_RUN, permit.state)
        self.assertTrue(permit.refuse())
