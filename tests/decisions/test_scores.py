import hypothesis
from hypothesis import strategies
import testtools

from primrosemill.decisions import alive_time
from primrosemill.decisions import latency
from primrosemill.decisions import returns
from primrosemill.decisions import scores
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
    def test_it_judges_nothing_until_it_knows_enough(self):
        baseline = learn([0.05] * 10)
        self.assertFalse(baseline.known)
        self.assertEqual(0.0, baseline.weigh_age(100.0))

    def test_twice_the_usual_latency_speaks_for_sickness(self):
        baseline = learn([0.05] * 100)
        usual = baseline.ratios[latency.bucket_of(0.05)]
        slow = baseline.ratios[latency.bucket_of(0.1)]
        self.assertLess(usual, 0.0)
        self.assertGreater(slow, 1.0)

    def test_old_latencies_fade(self):
        baseline = learn([0.05] * 100)
        for number in range(10):
            for _ in range(20):
                baseline.add(latency.bucket_of(0.5))
            baseline.refresh(30.0 * (number + 1))
        self.assertGreater(baseline.usual, 0.4)

    @hypothesis.settings(max_examples=100, **builders.PROPERTIES)
    @hypothesis.given(LATENCIES)
    def test_longer_is_never_better(self, latencies):
        baseline = learn(latencies)
        self.assertEqual(sorted(baseline.ratios), baseline.ratios)
        ages = [baseline.weigh_age(0.01 * 2.0**step) for step in range(12)]
        self.assertEqual(sorted(ages), ages)


class ScoresTest(testtools.TestCase):
    @hypothesis.settings(max_examples=200, **builders.PROPERTIES)
    @hypothesis.given(
        strategies.lists(strategies.floats(-1.0, 2.0)),
        strategies.floats(0.0, 2.0),
    )
    def test_a_score_stays_in_its_range(self, ratios, shift):
        channel = scores.Channel()
        for ratio in ratios:
            channel.add(ratio)
            channel.settle(shift)
            self.assert_in_range(channel.score)

    def assert_in_range(self, score):
        self.assertGreaterEqual(score, 0.0)
        self.assertLessEqual(score, scores.CAP)

    def test_what_all_do_together_is_taken_off(self):
        channels = [scores.Channel() for _ in range(5)]
        shift = scores.CommonShift()
        for _ in range(50):
            for channel in channels:
                channel.add(1.0)
            common = shift.take(channels, -0.3)
            for channel in channels:
                channel.settle(common)
        self.assertEqual(0.0, max(each.score for each in channels))

    def test_a_service_with_many_errors_allows_for_them(self):
        errors = scores.ErrorBaseline()
        before = errors.error_ratio
        for number in range(1000):
            errors.add(error=number % 4 == 0)
        errors.refresh(0.0)
        self.assertLess(errors.error_ratio, before)


class AliveClockTest(testtools.TestCase):
    def test_a_short_pause_adds_little(self):
        clock = alive_time.AliveClock(0.0)
        self.assertFalse(clock.advance(0.9))
        self.assertEqual(alive_time.STEP_LIMIT, clock.time)

    def test_a_long_pause_is_told(self):
        clock = alive_time.AliveClock(0.0)
        self.assertTrue(clock.advance(5.0))

    def test_a_time_in_the_past_changes_nothing(self):
        clock = alive_time.AliveClock(1.0)
        self.assertFalse(clock.advance(0.5))
        self.assertEqual(0.0, clock.time)


class ThresholdsTest(testtools.TestCase):
    def test_a_higher_weight_acts_on_less(self):
        acts = [thresholds.from_weight(step / 10).act for step in range(11)]
        self.assertEqual(sorted(acts, reverse=True), acts)


class ReturnsTest(testtools.TestCase):
    def test_the_wait_doubles_up_to_a_limit(self):
        waits = [returns.wait_of(flaps) for flaps in range(1, 12)]
        self.assertEqual(returns.FIRST_WAIT, waits[0])
        self.assertEqual(2 * waits[0], waits[1])
        self.assertEqual(returns.LONGEST_WAIT, waits[-1])

    def test_quiet_times_undo_earlier_flaps(self):
        record = returns.leave(returns.NEVER_OUT, 0.0)
        record = returns.come_back(returns.leave(record, 10.0), 20.0)
        later = returns.leave(record, 20.0 + 2 * returns.FORGET_AFTER)
        self.assertEqual(1, later.flaps)

    def test_half_a_trial_decides_nothing(self):
        record = returns.leave(returns.NEVER_OUT, 0.0)
        record = returns.begin_trial(record, 3.0)
        record = returns.note_trial(record, -0.5)
        self.assertIsNone(returns.end_of_trial(record, 0.0, 10.0))
