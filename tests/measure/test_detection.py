import testtools

from primrosemill.measure import detection_baseline as rules
from primrosemill.measure import detection_cost
from primrosemill.measure import detection_faults as faults
from primrosemill.measure import detection_results as figures
from primrosemill.measure import retries
from tests.builders import detection as builders

SEED = 7


class DetectionMeasurementTest(testtools.TestCase):
    def test_stall_is_detected_sooner_than_by_fixed_rules(self):
        weighted = figures.time_fault("stall", 0.9, SEED)
        baseline = figures.time_fault("stall", None, SEED)
        self.assertLess(weighted.lead, 2.0)
        self.assertLess(weighted.lead, baseline.lead)
        self.assertLessEqual(weighted.lead, weighted.fleet)

    def test_same_seed_gives_same_times(self):
        first = figures.time_fault("20 % errors", 0.9, SEED)
        second = figures.time_fault("20 % errors", 0.9, SEED)
        self.assertEqual(first, second)

    def test_flapping_instance_gets_few_requests_after_third_removal(self):
        result = figures.measure_flapping(2.0, 0.9, SEED)
        self.assertLess(result.late_sick_share, 0.05)

    def test_false_removals_are_counted_for_every_disturbance(self):
        counts_by_name = {
            name: figures.count_false_removals(name, None, SEED)
            for name in faults.DISTURBANCES
        }
        self.assertEqual(
            {figures.DISTURBANCE_DURATION * 20 / 3600.0},
            {counts.hours for counts in counts_by_name.values()},
        )

    def test_cost_is_measured_for_attempts_and_ticks(self):
        cost = detection_cost.measure(20, 1.0, SEED)
        self.assertGreater(cost.attempt, 0.0)
        self.assertGreater(cost.tick, 0.0)


class FixedRulesTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.ids = [f"i{number}" for number in range(20)]
        self.rules = rules.FixedRules(self.ids, 10.0)

    def record_errors(self, instance_id, count, now=0.0):
        for number in range(count):
            self.rules.record_start(instance_id, number, now)
            self.rules.record_outcome(number, builders.ERROR, now)

    def test_five_consecutive_errors_eject_at_next_sweep(self):
        self.record_errors("i1", 5)
        self.rules.tick(9.0)
        self.assertEqual(frozenset(), self.rules.ejected_ids)
        self.rules.tick(10.0)
        self.assertEqual({"i1"}, self.rules.ejected_ids)

    def test_four_consecutive_errors_do_not_eject(self):
        self.record_errors("i1", 4)
        self.rules.tick(10.0)
        self.assertEqual(frozenset(), self.rules.ejected_ids)

    def test_at_most_a_tenth_of_instances_is_ejected(self):
        for instance_id in self.ids:
            self.record_errors(instance_id, 5)
        self.rules.tick(10.0)
        self.assertEqual(2, len(self.rules.ejected_ids))

    def test_instance_returns_after_its_ejection_time(self):
        self.record_errors("i1", 5)
        self.rules.tick(10.0)
        self.rules.tick(30.0)
        self.assertEqual({"i1"}, self.rules.ejected_ids)
        self.rules.tick(40.0)
        self.assertEqual(frozenset(), self.rules.ejected_ids)


class RetryMeasurementTest(testtools.TestCase):
    def test_attempts_are_bounded_for_every_failure(self):
        for name, failure in retries.FAILURES.items():
            result = retries.run_policy(failure, 2_000, SEED)
            self.assertLessEqual(result.attempts / 2_000, 1.2, name)

    def test_naive_retries_quadruple_the_attempts(self):
        failure = retries.FAILURES["all close"]
        result = retries.run_naive(failure, 100, SEED)
        self.assertEqual(400, result.attempts)
