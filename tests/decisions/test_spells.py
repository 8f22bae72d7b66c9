import hypothesis
import hypothesis.strategies as strategies
import testtools

from primrosemill.decisions import spells

RATES = spells.Learner().rates
PROBABILITIES = strategies.floats(0.0, 1.0)
GAPS = strategies.floats(0.0, 1_000.0)


def after(spell, gap, failed):
    return spells.update(spells.predict(spell, gap, RATES), failed, RATES)


class WeighTest(testtools.TestCase):
    def test_a_failure_just_after_a_good_answer_is_mostly_ordinary(self):
        self.assertLess(after(0.001, 0.1, True), 0.3)

    def test_a_failure_after_seconds_of_silence_is_mostly_a_spell(self):
        self.assertGreater(after(0.001, 4.0, True), 0.7)

    def test_two_failures_in_a_row_are_a_spell(self):
        first = after(0.001, 0.1, True)
        second = after(first, 0.01, True)
        self.assertGreater(second, 0.9)

    def test_good_answers_end_the_suspicion(self):
        once = after(0.95, 0.5, False)
        self.assertLess(once, 0.75)
        twice = after(once, 0.05, False)
        self.assertLess(twice, 0.3)

    def test_time_leads_back_to_what_is_usual(self):
        for start in (0.0, 1.0):
            self.assertAlmostEqual(
                RATES.stationary, spells.predict(start, 1_000.0, RATES), 6
            )

    @hypothesis.given(PROBABILITIES, GAPS, strategies.booleans())
    def test_the_belief_is_a_probability_and_never_certain(
        self, spell, gap, failed
    ):
        self.assertTrue(0.0 < after(spell, gap, failed) < 1.0)

    @hypothesis.given(PROBABILITIES, GAPS)
    def test_a_failure_raises_the_belief_and_a_good_answer_lowers_it(
        self, spell, gap
    ):
        expected = spells.predict(spell, gap, RATES)
        least = spells.MIN_PROBABILITY
        self.assertLessEqual(after(spell, gap, False), expected + least)
        self.assertGreaterEqual(after(spell, gap, True), expected - least)

    @hypothesis.given(PROBABILITIES, GAPS, GAPS)
    def test_time_in_two_parts_is_time_in_one(self, spell, first, second):
        parts = spells.predict(
            spells.predict(spell, first, RATES), second, RATES
        )
        whole = spells.predict(spell, first + second, RATES)
        self.assertAlmostEqual(whole, parts, 9)


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
            learner.note(before, spell, failed, gap)
        return learner.rates

    def test_scattered_errors_count_as_ordinary(self):
        rates = self.learn(([False] * 19 + [True]) * 60)
        self.assertTrue(0.03 < rates.baseline < 0.07, rates)

    def test_runs_of_errors_count_as_spells(self):
        # Spells of 4 s every 40 s: 20 answers of 200.
        rates = self.learn(([False] * 180 + [True] * 20) * 10)
        self.assertLess(rates.baseline, 0.01)
        self.assertGreater(rates.in_spell, 0.85)
        self.assertTrue(0.015 < rates.onset < 0.05, rates)
        self.assertTrue(0.15 < rates.end < 0.4, rates)

    def test_a_gap_in_which_spells_end_teaches_when(self):
        # Each spell is noticed once and looked at again 4 s later.
        learner = spells.Learner()
        for _ in range(200):
            learner.note(0.95, 0.05, False, 4.0)
            learner.note(0.95, 0.95, True, 4.0)
        # Half of them end within 4 s.
        self.assertTrue(0.12 < learner.rates.end < 0.25, learner.rates)

    def test_rates_stay_within_their_bounds(self):
        worst = self.learn([True] * 5_000)
        best = self.learn([False] * 5_000)
        self.assertLessEqual(worst.baseline, spells.BASELINE.maximum)
        self.assertGreaterEqual(best.onset, spells.ONSET.minimum)
        self.assertGreaterEqual(best.baseline, spells.BASELINE.minimum)

    def test_a_long_silence_teaches_no_rate_of_time(self):
        before = spells.Learner().rates
        rates = self.learn([True, False] * 20, gap=60.0)
        self.assertEqual(before.onset, rates.onset)
        self.assertEqual(before.end, rates.end)
