import math
import random

import hypothesis
import hypothesis.strategies as st
import testtools

from primrosemill.decisions import feed_age
from tests.builders import detection
from tests.builders import key_schedules

from primrosemill.decisions.customers import freshness

WITHDRAWAL = 5.0  # seconds
TIMING = freshness.timing(WITHDRAWAL, 1.5)
OFFSETS = (0.0, 1_000.0, -1_000.0, 7.0)


def late_runs(model):
    """Return the requests that ran although their key was withdrawn."""
    latest = model.withdrawn_at + WITHDRAWAL
    return [run for run in model.runs if run.first_byte > latest]


class BoundTest(testtools.TestCase):
    @hypothesis.settings(max_examples=200, **detection.PROPERTIES)
    @hypothesis.given(
        key_schedules.FAULTS,
        key_schedules.STEPS,
        key_schedules.OFFSETS,
        st.floats(0.0, key_schedules.DURATION),
    )
    def test_no_request_runs_past_the_bound(
        self, faults, steps, offsets, withdrawn_at
    ):
        """Guards against withdrawn keys at VMs that cannot know of it.

        Whatever messages are lost or late, VMs that are cut off or suspended
        must not take what they know for newer than it is.
        """
        model = key_schedules.Model(offsets, withdrawn_at, TIMING.served)
        model.play(faults.regular_steps() + steps)
        self.assertEqual([], late_runs(model))

    def play(self, *steps, max_age=TIMING.served, withdrawn_at=1.0):
        model = key_schedules.Model(OFFSETS, withdrawn_at, max_age)
        model.play(key_schedules.Step(*step) for step in steps)
        return model

    def test_the_model_finds_late_runs_without_the_guard(self):
        """Guards against a model in which nothing could go wrong."""
        steps = (
            ("read", 0.0, 0, 0, 0.01, 0.01),
            ("request", 9.0, 0, 0, 0.0, 0.0),
        )
        self.assertEqual([], self.play(*steps).runs)
        unguarded = self.play(*steps, max_age=math.inf)
        self.assertEqual(1, len(late_runs(unguarded)))

    def test_vms_that_ask_readers_serve(self):
        """Guards against a bound kept by refusing everything."""
        steps = (
            ("read", 0.0, 0, 0, 0.01, 0.5),
            ("ask", 1.0, 1, 0, 0.01, 0.01),
            ("request", 4.0, 1, 0, 0.01, 0.2),
            ("request", 4.0, 2, 0, 0.01, 0.2),
        )
        model = self.play(*steps, withdrawn_at=20.0)
        self.assertEqual([1], [run.vm for run in model.runs])


class KnowledgeTest(testtools.TestCase):
    def test_nothing_is_known_at_the_start(self):
        self.assertEqual(math.inf, freshness.Knowledge().age(5.0))

    def test_an_answer_of_a_newer_version_counts_once_that_is_in_force(self):
        knowledge = freshness.Knowledge()
        newer = feed_age.Version(1, 8)
        answer = freshness.Answer(newer, 0.5)
        knowledge.apply_version(feed_age.Version(1, 7))
        knowledge.record_answer(10.0, answer)
        self.assertEqual(math.inf, knowledge.age(10.0))
        knowledge.apply_version(feed_age.Version(0, 9))
        self.assertEqual(math.inf, knowledge.age(10.0))
        knowledge.apply_version(newer)
        self.assertEqual(0.5, knowledge.age(10.0))

    def test_a_read_is_not_enough_while_a_peer_has_a_newer_version(self):
        """Guards against a feed restored from a copy with a withdrawn key."""
        knowledge = freshness.Knowledge()
        knowledge.apply_version(feed_age.Version(2, 8))
        knowledge.record_version(feed_age.Version(1, 9))
        knowledge.record_read(9.0)
        self.assertEqual(math.inf, knowledge.age(10.0))
        knowledge.apply_version(feed_age.Version(2, 9))
        self.assertEqual(1.0, knowledge.age(10.0))

    def test_late_answers_make_nothing_older(self):
        knowledge = freshness.Knowledge()
        version = feed_age.Version(0, 1)
        knowledge.record_read(9.0)
        answer = freshness.Answer(version, 0.5)
        knowledge.apply_version(version)
        knowledge.record_answer(3.0, answer)
        self.assertEqual(1.0, knowledge.age(10.0))


class TimingTest(testtools.TestCase):
    def test_vms_may_lose_the_feed_for_three_fifths_of_the_bound(self):
        """Guards against refusals by VMs that must still serve."""
        two_watches = 2.0 * TIMING.watch
        oldest = two_watches + TIMING.interval
        self.assertLess(oldest + 0.6 * WITHDRAWAL, TIMING.served)
        self.assertLess(oldest, TIMING.refused)

    def test_without_a_bound_watches_stay_as_long_as_usual(self):
        timing = freshness.timing(0.0, 1.5)
        self.assertEqual(math.inf, timing.served)
        self.assertEqual(1.5, timing.watch)

    def test_readers_of_the_own_domain_are_asked_first(self):
        readers = [
            feed_age.Reader(f"{domain}-{number}", domain)
            for domain in ("a", "b")
            for number in range(2)
        ]
        chosen = freshness.choose_readers(readers, "b", random.Random(1))
        self.assertEqual(["b", "b", "a"], [vm[0] for vm in chosen])

    def test_reads_become_rarer_while_the_feed_does_not_answer(self):
        backoff = freshness.ReadBackoff(random.Random(1))
        now, reads = 0.0, 0
        while now < 60.0:
            if backoff.may_read(now):
                backoff.record(now, succeeded=False)
                reads += 1
            now += 0.1
        self.assertLess(reads, 30)
        self.assertGreater(reads, 14)
