import hypothesis
from hypothesis import strategies
import testtools

from primrosemill.decisions import cumulative_scores
from primrosemill.decisions import latency
from primrosemill.decisions import removal_history
from primrosemill.decisions import running_clock
from primrosemill.decisions import thresholds
from tests.builders import detection as builders

LATENCIES = strategies.lists(
    strategies.floats(0.0005, 30.0), min_size=40, max_size=200
)


def learn(latencies):
    baseline = latency.Baseline()
    for each in latencies:
        baseline.add(latency.bucket_of(each))
    baseline.refresh(0.0)
    return baseline


class BaselineTest(testtools.TestCase):
    def test_a_baseline_with_few_latencies_gives_no_evidence(self):
        baseline = learn([0.05] * 10)
        self.assertFalse(baseline.has_data)
        self.assertEqual(0.0, baseline.age_evidence(100.0))

    def test_twice_the_usual_latency_is_evidence_of_sickness(self):
        baseline = learn([0.05] * 100)
        usual = baseline.ratios[latency.bucket_of(0.05)]
        slow = baseline.ratios[latency.bucket_of(0.1)]
        self.assertLess(usual, 0.0)
        self.assertGreater(slow, 1.0)

    def test_old_latencies_lose_weight(self):
        baseline = learn([0.05] * 100)
        for number in range(10):
            for _ in range(20):
                baseline.add(latency.bucket_of(0.5))
            baseline.refresh(30.0 * (number + 1))
        self.assertGreater(baseline.median, 0.4)

    @hypothesis.settings(max_examples=100, **builders.PROPERTIES)
    @hypothesis.given(LATENCIES)
    def test_evidence_never_decreases_with_latency_or_age(self, latencies):
        baseline = learn(latencies)
        self.assertEqual(sorted(baseline.ratios), baseline.ratios)
        ages = [baseline.age_evidence(0.01 * 2.0**step) for step in range(12)]
        self.assertEqual(sorted(ages), ages)


class ScoresTest(testtools.TestCase):
    @hypothesis.settings(max_examples=200, **builders.PROPERTIES)
    @hypothesis.given(
        strategies.lists(strategies.floats(-1.0, 2.0)),
        strategies.floats(0.0, 2.0),
    )
    def test_a_score_stays_within_its_limits(self, ratios, shift):
        cumulative = cumulative_scores.CumulativeScore()
        for ratio in ratios:
            cumulative.add(ratio)
            cumulative.apply_pending(shift)
            self.assert_within_limits(cumulative.score)

    def assert_within_limits(self, score):
        self.assertGreaterEqual(score, 0.0)
        self.assertLessEqual(score, cumulative_scores.MAX_SCORE)

    def test_a_shift_common_to_all_instances_is_subtracted(self):
        all_scores = [cumulative_scores.CumulativeScore() for _ in range(5)]
        shift = cumulative_scores.CommonShift()
        for _ in range(50):
            for cumulative in all_scores:
                cumulative.add(1.0)
            common = shift.update(all_scores, -0.3)
            for cumulative in all_scores:
                cumulative.apply_pending(common)
        self.assertEqual(0.0, max(each.score for each in all_scores))

    def test_an_error_counts_less_in_a_service_with_many_errors(self):
        errors = cumulative_scores.ErrorBaseline()
        before = errors.error_ratio
        for number in range(1000):
            errors.add(error=number % 4 == 0)
        errors.refresh(0.0)
        self.assertLess(errors.error_ratio, before)


class RunningClockTest(testtools.TestCase):
    def test_a_short_pause_advances_the_clock_by_one_step(self):
        clock = running_clock.RunningClock(0.0)
        self.assertFalse(clock.advance(0.9))
        self.assertEqual(running_clock.MAX_STEP, clock.time)

    def test_a_long_pause_is_reported(self):
        clock = running_clock.RunningClock(0.0)
        self.assertTrue(clock.advance(5.0))

    def test_a_time_in_the_past_does_not_move_the_clock(self):
        clock = running_clock.RunningClock(1.0)
        self.assertFalse(clock.advance(0.5))
        self.assertEqual(0.0, clock.time)


class ThresholdsTest(testtools.TestCase):
    def test_the_removal_threshold_falls_with_the_detection_weight(self):
        removal_thresholds = [
            thresholds.from_weight(step / 10).removal for step in range(11)
        ]
        self.assertEqual(
            sorted(removal_thresholds, reverse=True), removal_thresholds
        )


class RemovalHistoryTest(testtools.TestCase):
    def test_removal_periods_double_up_to_a_limit(self):
        periods = [
            removal_history.removal_period(flaps) for flaps in range(1, 12)
        ]
        self.assertEqual(removal_history.FIRST_REMOVAL_PERIOD, periods[0])
        self.assertEqual(2 * periods[0], periods[1])
        self.assertEqual(removal_history.MAX_REMOVAL_PERIOD, periods[-1])

    def test_time_in_rotation_cancels_earlier_removals(self):
        history = removal_history.record_removal(
            removal_history.NEVER_REMOVED, 0.0
        )
        history = removal_history.record_return(
            removal_history.record_removal(history, 10.0), 20.0
        )
        later = removal_history.record_removal(
            history, 20.0 + 2 * removal_history.FLAP_EXPIRY
        )
        self.assertEqual(1, later.flaps)

    def test_a_trial_with_little_evidence_goes_on(self):
        history = removal_history.record_removal(
            removal_history.NEVER_REMOVED, 0.0
        )
        history = removal_history.begin_trial(history, 3.0)
        history = removal_history.record_trial_evidence(history, -0.5)
        self.assertIsNone(removal_history.trial_result(history, 0.0, 10.0))
