"""The choice of instances under the load patterns, compared to other rules.

The rules compared are round robin and an oracle that knows the true state of
each instance. The load is simulated on the decisions alone, in virtual time.
"""

import testtools

from primrosemill.measure import load
from primrosemill.measure import load_patterns
from primrosemill.measure import load_simulation
from primrosemill.measure import load_strategies
from tests.builders import limits

PATTERNS_BY_NAME = {each.name: each for each in load_patterns.PATTERNS}
SECONDS = 30.0
SEEDS = (1, 2)


LIMITED_TO_HALF = "all are limited to half the load"


def shorten(pattern):
    return pattern._replace(seconds=SECONDS, incident_start=10.0)


def play(name, way="belief", seeds=SEEDS):
    return load.measure(shorten(PATTERNS_BY_NAME[name]), way, seeds)


class SpellsOfErrorsTest(testtools.TestCase):
    """Each instance at times fails nearly all requests for some seconds.

    Target: non-idempotent requests fail at most 1.5 times as often as at
    healthy instances.
    """

    ORDINARY = load_patterns.Spells().ordinary_failure_share

    def test_few_non_idempotent_requests_fail(self):
        row = play("spells, once only")
        self.assertLess(row.failed, 1.5 * self.ORDINARY + 0.005)
        self.assertLess(row.crossings, 0.08)

    def test_few_more_non_idempotent_requests_fail_than_with_an_oracle(self):
        ours = play("spells, once only").failed
        oracle = play("spells, once only", "oracle").failed
        self.assertLess(ours - oracle, 0.01)

    def test_round_robin_fails_several_times_as_many_requests(self):
        ours = play("spells, once only").failed
        self.assertLess(
            3 * ours, play("spells, once only", "round robin").failed
        )

    def test_few_idempotent_requests_fail_or_are_repeated(self):
        row = play("spells, repeatable")
        self.assertLess(row.failed, 0.005)
        self.assertLess(row.repeats, 0.08)

    def test_few_requests_fail_if_both_kinds_share_the_instances(self):
        row = play("spells, both kinds")
        self.assertLess(row.failed, 0.015)
        self.assertLess(row.crossings, 0.08)


class BurstOnANearlyFullServiceTest(testtools.TestCase):
    def test_more_requests_are_served_in_time_than_by_round_robin(self):
        name = "burst on a nearly full service"
        ours, round_robin = play(name), play(name, "round robin")
        self.assertGreater(ours.in_target, round_robin.in_target)
        self.assertGreater(ours.served, round_robin.served - 0.02)


class AllInstancesShedHalfTest(testtools.TestCase):
    def test_few_more_requests_are_refused_than_with_an_oracle(self):
        name = "all instances shed half"
        ours, oracle = play(name), play(name, "oracle")
        self.assertLess(ours.refused - oracle.refused, 0.02)


class QuarterOfInstancesTest(testtools.TestCase):
    def test_most_requests_are_served_if_a_quarter_is_lost(self):
        self.assertGreater(play("a quarter is lost").served, 0.98)

    def test_most_requests_are_served_if_a_quarter_is_silent(self):
        self.assertGreater(play("a quarter is silent").served, 0.96)

    def test_most_requests_meet_the_target_if_a_quarter_is_slow(self):
        self.assertGreater(play("a quarter is slow").in_target, 0.93)


class UnequalDomainsTest(testtools.TestCase):
    """One domain has only two instances but twice the callers of others."""

    def test_few_requests_cross_domains(self):
        row = play("unequal domains")
        self.assertLess(row.failed, 0.03)
        self.assertLess(row.crossings, 0.25)


class LostDomainTest(testtools.TestCase):
    def test_callers_of_the_lost_domain_are_served_by_others(self):
        self.assertGreater(play("a domain's instances are lost").served, 0.98)


class DifferingViewsTest(testtools.TestCase):
    """VMs don't exchange what they observe."""

    def test_each_vm_detects_failures_by_itself(self):
        self.assertLess(play("views differ").failed, 0.03)


class LimitedInstancesTest(testtools.TestCase):
    """Some or all instances name a limit of their requests for 10 s."""

    def test_no_instance_gets_more_than_its_limit(self):
        for name in ("a quarter is limited", LIMITED_TO_HALF):
            pattern = shorten(PATTERNS_BY_NAME[name])
            simulation = load_simulation.Simulation(
                pattern, load_strategies.make_current, 1
            )
            simulation.run()
            incident_end = pattern.incident_start + pattern.incident_duration
            limited = [
                each
                for each in simulation.instances_by_id.values()
                if each.limited
            ]
            for each in limited:
                times = [at for at in each.arrivals if at < incident_end]
                self.assertLessEqual(
                    limits.most_in_window(
                        times, pattern.incident_start + limits.STABLE_WINDOW
                    ),
                    limits.allowed(pattern.limit_rate),
                )

    def test_other_instances_serve_the_rest(self):
        self.assertGreater(play("a quarter is limited").served, 0.98)

    def test_limits_of_all_instances_are_used_up(self):
        """Half of the requests of a third of the time can't be served."""
        row = play(LIMITED_TO_HALF)
        self.assertLess(row.refused, 1.1 * 0.5 / 3.0)
