import testtools

from primrosemill.decisions import belief as beliefs

ID = "i-1"
TRUST = beliefs.Trust


class BeliefTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.belief = beliefs.Belief()

    def record_good_answers(self):
        for at in (9.7, 9.8, 9.9, 10.0):
            self.belief.record_success(ID, at, at)

    def test_a_recent_answer_raises_the_chance_above_an_unknown_one(self):
        self.belief.record_success(ID, 9.8, 10.0)
        answered = self.belief.chance(ID, 10.0)
        self.assertGreater(answered, self.belief.chance("i-2", 10.0) + 0.05)

    def test_an_instance_stays_trusted_after_one_failure(self):
        self.record_good_answers()
        self.belief.record_failure(ID, 10.1)
        self.assertIs(TRUST.TRUSTED, self.belief.trust(ID, 10.1))

    def test_an_instance_is_avoided_after_two_failures(self):
        self.record_good_answers()
        self.belief.record_failure(ID, 10.1)
        self.belief.record_failure(ID, 10.2)
        self.assertIs(TRUST.AVOIDED, self.belief.trust(ID, 10.2))

    def test_an_avoided_instance_is_trusted_again_after_some_time(self):
        for _ in range(50):
            self.belief.record_failure(ID, 10.0)
        self.assertIs(TRUST.AVOIDED, self.belief.trust(ID, 10.5))
        self.assertIs(TRUST.TRUSTED, self.belief.trust(ID, 25.0))

    def test_answers_to_requests_started_before_a_failure_are_ignored(self):
        self.belief.record_failure(ID, 10.0)
        before = self.belief.chance(ID, 10.2)
        for _ in range(5):
            self.belief.record_success(ID, 9.9, 10.2)
        self.assertEqual(before, self.belief.chance(ID, 10.2))

    def test_outcomes_reported_in_reverse_order_give_the_same_trust(self):
        reversed_belief = beliefs.Belief()
        outcomes = ((9.0, False), (9.1, False), (9.2, True), (9.3, True))
        for belief, order in (
            (self.belief, outcomes),
            (reversed_belief, outcomes[::-1]),
        ):
            for at, failed in order:
                if failed:
                    belief.record_failure(ID, at)
                else:
                    belief.record_success(ID, at, 9.4)
        self.assertIs(TRUST.AVOIDED, self.belief.trust(ID, 9.4))
        self.assertIs(TRUST.AVOIDED, reversed_belief.trust(ID, 9.4))

    def test_beliefs_converge_within_seconds_after_a_lost_message(self):
        informed, uninformed = self.belief, beliefs.Belief()
        for belief in (informed, uninformed):
            belief.record_success(ID, 9.9, 10.0)
        informed.record_failure(ID, 10.0)
        informed.record_failure(ID, 10.0)
        difference = abs(
            informed.chance(ID, 22.0) - uninformed.chance(ID, 22.0)
        )
        self.assertLess(difference, 0.1)

    def test_a_broken_path_outweighs_good_answers_at_peers(self):
        self.belief.record_unreachable(ID, 10.0)
        for number in range(5):
            at = 10.1 + number / 10
            self.belief.record_success(ID, at, at)
        self.assertIs(TRUST.AVOIDED, self.belief.trust(ID, 10.6))
        self.belief.record_reached(ID, 11.0)
        self.belief.record_reached(ID, 11.1)
        self.assertIs(TRUST.TRUSTED, self.belief.trust(ID, 11.1))

    def test_repeated_slow_answers_count_as_a_failure(self):
        self.assertFalse(self.belief.record_time_ratio(ID, 2.0, 1.0))
        slow = [self.belief.record_time_ratio(ID, 6.0, 2.0) for _ in range(2)]
        self.assertIn(True, slow)

    def test_a_forgotten_instance_has_the_chance_of_an_unknown_one(self):
        self.belief.record_failure(ID, 10.0)
        self.belief.forget(ID)
        self.assertEqual(
            self.belief.chance("i-2", 10.0), self.belief.chance(ID, 10.0)
        )

    def test_a_change_of_trust_is_indicated(self):
        self.record_good_answers()
        self.assertFalse(
            self.belief.record_success(ID, 10.0, 10.1).trust_changed
        )
        self.assertFalse(self.belief.record_failure(ID, 10.1).trust_changed)
        self.assertTrue(self.belief.record_failure(ID, 10.1).trust_changed)
