import testtools

from primrosemill.measure import detection_cost
from primrosemill.measure import detection_faults as faults
from primrosemill.measure import detection_figures as figures
from primrosemill.measure import detection_rules as rules
from primrosemill.measure import retries
from tests.builders import detection as builders

SEED = 7


class DetectionFiguresTest(testtools.TestCase):
    def test_a_stall_is_found_sooner_than_by_fixed_rules(self):
        fast = figures.time_fault("stall", 0.9, SEED)
        fixed = figures.time_fault("stall", None, SEED)
        self.assertLess(fast.lead, 2.0)
        self.assertLess(fast.lead, fixed.lead)
        self.assertLessEqual(fast.lead, fast.fleet)

    def test_the_same_seed_gives_the_same_figures(self):
        first = figures.time_fault("20 % errors", 0.9, SEED)
        second = figures.time_fault("20 % errors", 0.9, SEED)
        self.assertEqual(first, second)

    def test_an_instance_that_flaps_is_soon_out_for_good(self):
        flaps = figures.follow_flaps(2.0, 0.9, SEED)
        self.assertLess(flaps.late_share, 0.05)

    def test_every_trouble_makes_a_trace(self):
        figures_by_name = {
            name: figures.count_mistakes(name, None, SEED)
            for name in faults.TROUBLES
        }
        self.assertEqual(
            {figures.TROUBLE_LENGTH * 20 / 3600.0},
            {found.hours for found in figures_by_name.values()},
        )

    def test_cost_is_taken_for_attempts_and_ticks(self):
        cost = detection_cost.measure(20, 1.0, SEED)
        self.assertGreater(cost.attempt, 0.0)
        self.assertGreater(cost.tick, 0.0)


class FixedRulesTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.ids = [f"i{number}" for number in range(20)]
        self.rules = rules.FixedRules(self.ids, 10.0)

    def fail(self, instance_id, times, now=0.0):
        for number in range(times):
            self.rules.record_start(instance_id, number, now)
            self.rules.record_outcome(number, builders.ERROR, now)

    def test_five_errors_in_a_row_eject_at_the_sweep(self):
        self.fail("i1", 5)
        self.rules.tick(9.0)
        self.assertEqual(frozenset(), self.rules.out)
        self.rules.tick(10.0)
        self.assertEqual({"i1"}, self.rules.out)

    def test_four_errors_do_not(self):
        self.fail("i1", 4)
        self.rules.tick(10.0)
        self.assertEqual(frozenset(), self.rules.out)

    def test_a_tenth_at_most_is_out(self):
        for instance_id in self.ids:
            self.fail(instance_id, 5)
        self.rules.tick(10.0)
        self.assertEqual(2, len(self.rules.out))

    def test_it_is_back_after_its_time(self):
        self.fail("i1", 5)
        self.rules.tick(10.0)
        self.rules.tick(30.0)
        self.assertEqual({"i1"}, self.rules.out)
        self.rules.tick(40.0)
        self.assertEqual(frozenset(), self.rules.out)


class RetriesFiguresTest(testtools.TestCase):
    def test_attempts_stay_bounded_whatever_fails(self):
        for name, failure in retries.FAILURES.items():
            result = retries.run_policy(failure, 2_000, SEED)
            self.assertLessEqual(result.attempts / 2_000, 1.2, name)

    def test_naive_retries_multiply_the_load(self):
        failure = retries.FAILURES["all close"]
        result = retries.run_naive(failure, 100, SEED)
        self.assertEqual(400, result.attempts)
