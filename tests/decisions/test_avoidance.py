import testtools

from primrosemill.decisions import avoidance

TRUST = avoidance.Trust
ID = "i-1"


class AvoidanceTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.held = avoidance.Avoidance()

    def test_a_single_failure_keeps_requests_off_for_a_moment(self):
        verdict = self.held.failed(ID, 10.0)
        self.assertEqual(avoidance.FIRST_AVOIDANCE, verdict.seconds)
        self.assertIs(TRUST.AVOIDED, self.held.trust(ID, 10.5))
        self.assertIs(TRUST.ON_TRIAL, self.held.trust(ID, 11.1))

    def test_further_failures_last_longer_up_to_a_bound(self):
        lengths = [
            self.held.failed(ID, 10.0 + number).seconds for number in range(8)
        ]
        self.assertEqual(sorted(lengths), lengths)
        self.assertEqual(avoidance.LONGEST_AVOIDANCE, lengths[-1])

    def test_one_good_answer_does_not_end_a_trial(self):
        self.held.failed(ID, 0.0)
        self.assertIsNone(self.held.succeeded(ID, 1.0, 1.5))
        self.assertIs(TRUST.ON_TRIAL, self.held.trust(ID, 1.6))
        verdict = self.held.succeeded(ID, 1.0, 1.7)
        self.assertIs(TRUST.TRUSTED, verdict.trust)
        self.assertIs(TRUST.TRUSTED, self.held.trust(ID, 1.8))

    def test_an_instance_that_nobody_tries_is_trusted_after_a_while(self):
        self.held.failed(ID, 0.0)
        later = avoidance.FIRST_AVOIDANCE + avoidance.TRIAL_TIME + 0.1
        self.assertIs(TRUST.TRUSTED, self.held.trust(ID, later))

    def test_answers_that_take_far_too_long_count_as_failures(self):
        self.assertIsNone(self.held.succeeded(ID, 2.0, 0.0))
        verdicts = [
            self.held.succeeded(ID, 6.0, float(number)) for number in (1, 2)
        ]
        self.assertIs(TRUST.AVOIDED, verdicts[0].trust)

    def test_the_word_of_several_peers_is_not_added_up(self):
        self.held.told(ID, 1.0, 0.0)
        self.held.told(ID, 1.0, 0.1)
        self.held.told(ID, 1.0, 0.2)
        self.assertEqual(1.0, round(self.held.failures(ID), 1))

    def test_another_process_under_the_id_starts_clean(self):
        self.held.failed(ID, 0.0)
        self.held.forget(ID)
        self.assertIs(TRUST.TRUSTED, self.held.trust(ID, 0.1))

    def test_good_answers_during_avoidance_end_it(self):
        self.held.failed(ID, 0.0)
        self.assertIsNone(self.held.succeeded(ID, 1.0, 0.3, started=0.1))
        self.assertIs(TRUST.AVOIDED, self.held.trust(ID, 0.3))
        verdict = self.held.succeeded(ID, 1.0, 0.4, started=0.2)
        self.assertIs(TRUST.TRUSTED, verdict.trust)
        self.assertIs(TRUST.TRUSTED, self.held.trust(ID, 0.5))

    def test_answers_to_requests_from_before_the_failure_do_not(self):
        self.held.failed(ID, 1.0)
        for number in range(5):
            now = 1.1 + number / 100
            self.assertIsNone(self.held.succeeded(ID, 1.0, now, started=0.9))
        self.assertIs(TRUST.AVOIDED, self.held.trust(ID, 1.2))
