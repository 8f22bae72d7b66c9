import testtools

from primrosemill.decisions import belief as beliefs

ID = "i-1"
TRUST = beliefs.Trust


class BeliefTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.held = beliefs.Belief()

    def answer_well(self):
        for at in (9.7, 9.8, 9.9, 10.0):
            self.held.succeeded(ID, at, at)

    def test_an_instance_that_answered_lately_beats_an_unknown_one(self):
        self.held.succeeded(ID, 9.8, 10.0)
        known = self.held.chance(ID, 10.0)
        self.assertGreater(known, self.held.chance("i-2", 10.0) + 0.05)

    def test_one_ordinary_error_does_not_end_the_use_of_an_instance(self):
        self.answer_well()
        self.held.failed(ID, 10.1)
        self.assertIs(TRUST.TRUSTED, self.held.trust(ID, 10.1))

    def test_a_second_one_does(self):
        self.answer_well()
        self.held.failed(ID, 10.1)
        self.held.failed(ID, 10.2)
        self.assertIs(TRUST.AVOIDED, self.held.trust(ID, 10.2))

    def test_nobody_is_avoided_for_ever(self):
        for _ in range(50):
            self.held.failed(ID, 10.0)
        self.assertIs(TRUST.AVOIDED, self.held.trust(ID, 10.5))
        self.assertIs(TRUST.TRUSTED, self.held.trust(ID, 25.0))

    def test_answers_to_requests_from_before_a_failure_show_nothing(self):
        self.held.failed(ID, 10.0)
        before = self.held.chance(ID, 10.2)
        for _ in range(5):
            self.held.succeeded(ID, 9.9, 10.2)
        self.assertEqual(before, self.held.chance(ID, 10.2))

    def test_the_order_in_which_answers_are_told_matters_little(self):
        other = beliefs.Belief()
        told = ((9.0, False), (9.1, False), (9.2, True), (9.3, True))
        for held, order in ((self.held, told), (other, told[::-1])):
            for at, failed in order:
                if failed:
                    held.failed(ID, at)
                else:
                    held.succeeded(ID, at, 9.4)
        self.assertIs(TRUST.AVOIDED, self.held.trust(ID, 9.4))
        self.assertIs(TRUST.AVOIDED, other.trust(ID, 9.4))

    def test_a_lost_message_costs_seconds_at_most(self):
        heard, missed = self.held, beliefs.Belief()
        for held in (heard, missed):
            held.succeeded(ID, 9.9, 10.0)
        heard.failed(ID, 10.0)
        heard.failed(ID, 10.0)
        apart = abs(heard.chance(ID, 22.0) - missed.chance(ID, 22.0))
        self.assertLess(apart, 0.1)

    def test_a_broken_path_is_held_against_it_whatever_peers_tell(self):
        self.held.no_path(ID, 10.0)
        for number in range(5):
            at = 10.1 + number / 10
            self.held.succeeded(ID, at, at)
        self.assertIs(TRUST.AVOIDED, self.held.trust(ID, 10.6))
        self.held.reached(ID, 11.0)
        self.held.reached(ID, 11.1)
        self.assertIs(TRUST.TRUSTED, self.held.trust(ID, 11.1))

    def test_answers_that_take_far_too_long_count_in_the_end(self):
        self.assertFalse(self.held.is_slow(ID, 2.0, 1.0))
        found = [self.held.is_slow(ID, 6.0, 2.0) for _ in range(2)]
        self.assertIn(True, found)

    def test_another_process_under_the_id_starts_anew(self):
        self.held.failed(ID, 10.0)
        self.held.forget(ID)
        self.assertEqual(
            self.held.chance("i-2", 10.0), self.held.chance(ID, 10.0)
        )

    def test_a_change_tells_whether_operators_should_hear_of_it(self):
        self.answer_well()
        self.assertFalse(self.held.succeeded(ID, 10.0, 10.1).trust_changed)
        self.assertFalse(self.held.failed(ID, 10.1).trust_changed)
        self.assertTrue(self.held.failed(ID, 10.1).trust_changed)
