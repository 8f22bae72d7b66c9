import hypothesis
import hypothesis.strategies as strategies
import testtools

from primrosemill.decisions import spells

RATES = spells.Learner().rates
PROBABILITIES = strategies.floats(0.0, 1.0)
GAPS = strategies.floats(0.0, 1_000.0)


def updated(spell, gap, failed):
    return spells.update(spells.predict(spell, gap, RATES), failed, RATES)


class UpdateTest(testtools.TestCase):
    def test_a_failure_just_after_a_good_answer_is_probably_no_spell(self):
        self.assertLess(updated(0.001, 0.1, True), 0.3)

    def test_a_failure_after_seconds_without_answers_is_probably_a_spell(self):
        self.assertGreater(updated(0.001, 4.0, True), 0.7)

    def test_two_consecutive_failures_indicate_a_spell(self):
        first = updated(0.001, 0.1, True)
        second = updated(first, 0.01, True)
        self.assertGreater(second, 0.9)

    def test_two_good_answers_indicate_the_end_of_a_spell(self):
        first = updated(0.95, 0.5, False)
        self.assertLess(first, 0.75)
        second = updated(first, 0.05, False)
        self.assertLess(second, 0.3)

    def test_the_prediction_converges_to_the_stationary_probability(self):
        for start in (0.0, 1.0):
            self.assertAlmostEqual(
                RATES.stationary, spells.predict(start, 1_000.0, RATES), 6
            )

    @hypothesis.given(PROBABILITIES, GAPS, strategies.booleans())
    def test_the_probability_is_strictly_between_0_and_1(
        self, spell, gap, failed
    ):
        self.assertTrue(0.0 < updated(spell, gap, failed) < 1.0)

    @hypothesis.given(PROBABILITIES, GAPS)
    def test_failures_raise_the_probability_and_good_answers_lower_it(
        self, spell, gap
    ):
        predicted = spells.predict(spell, gap, RATES)
        tolerance = spells.MIN_PROBABILITY
        self.assertLessEqual(updated(spell, gap, False), predicted + tolerance)
        self.assertGreaterEqual(
            updated(spell, gap, True), predicted - tolerance
        )

    @hypothesis.given(PROBABILITIES, GAPS, GAPS)
    def test_predicting_in_two_steps_equals_one_step(
        self, spell, first, second
    ):
        in_steps = spells.predict(
            spells.predict(spell, first, RATES), second, RATES
        )
        at_once = spells.predict(spell, first + second, RATES)
        self.assertAlmostEqual(at_once, in_steps, 9)


class LearnerTest(testtools.TestCase):
    def learn(self, outcomes, gap=0.2):
        learner = spells.Learner()
        spell = learner.rates.stationary
        for failed in outcomes:
            rates = learner.rates
            before = spell
            spell = spells.update(
                spells.predict(before, gap, rates), failed, rates
            )
            learner.learn(before, spell, failed, gap)
        return learner.rates

    def test_scattered_errors_raise_the_baseline(self):
        rates = self.learn(([False] * 19 + [True]) * 60)
        self.assertTrue(0.03 < rates.baseline < 0.07, rates)

    def test_runs_of_errors_are_learned_as_spells(self):
        # Spells of 4 s every 40 s: 20 of 200 answers.
        rates = self.learn(([False] * 180 + [True] * 20) * 10)
        self.assertLess(rates.baseline, 0.01)
        self.assertGreater(rates.in_spell, 0.85)
        self.assertTrue(0.015 < rates.onset < 0.05, rates)
        self.assertTrue(0.15 < rates.end < 0.4, rates)

    def test_the_end_rate_is_learned_from_gaps_in_which_spells_end(self):
        # Each spell is observed once and again 4 s later.
        learner = spells.Learner()
        for _ in range(200):
            learner.learn(0.95, 0.05, False, 4.0)
            learner.learn(0.95, 0.95, True, 4.0)
        # Half of the spells end within 4 s.
        self.assertTrue(0.12 < learner.rates.end < 0.25, learner.rates)

    def test_rates_stay_within_their_bounds(self):
        all_failed = self.learn([True] * 5_000)
        all_succeeded = self.learn([False] * 5_000)
        self.assertLessEqual(all_failed.baseline, spells.BASELINE.maximum)
        self.assertGreaterEqual(all_succeeded.onset, spells.ONSET.minimum)
        self.assertGreaterEqual(
            all_succeeded.baseline, spells.BASELINE.minimum
        )

    def test_onset_and_end_rates_are_not_learned_from_long_gaps(self):
        before = spells.Learner().rates
        rates = self.learn([True, False] * 20, gap=60.0)
        self.assertEqual(before.onset, rates.onset)
        self.assertEqual(before.end, rates.end)
