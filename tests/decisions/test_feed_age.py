"""As of when a VM knows the feed, and who vouches for that."""

import math
import random

import testtools

from primrosemill.decisions import feed_age

OWN = feed_age.Version(0, 5)
NEWER = feed_age.Version(0, 6)
READERS = (
    feed_age.Reader("a-1", "a"),
    feed_age.Reader("a-2", "a"),
    feed_age.Reader("b-1", "b"),
)


def answer(version=OWN, age=0.5, alive=1.0):
    return feed_age.Answer(version, age, alive)


class KnowledgeTest(testtools.TestCase):
    def test_an_answer_counts_from_the_question_less_its_age(self):
        knowledge = feed_age.Knowledge()
        knowledge.apply_version(OWN)
        knowledge.record_answer(10.0, OWN, 0.5)
        self.assertEqual(0.75, knowledge.age(10.25))

    def test_an_answer_counts_once_what_it_names_is_in_force(self):
        knowledge = feed_age.Knowledge()
        knowledge.apply_version(OWN)
        knowledge.record_answer(10.0, NEWER, 0.0)
        self.assertEqual(math.inf, knowledge.age(11.0))
        knowledge.apply_version(NEWER)
        self.assertEqual(1.0, knowledge.age(11.0))


class VouchersTest(testtools.TestCase):
    def build(self):
        return feed_age.Vouchers("a", random.Random(1))

    def test_a_reader_vouches_while_it_answers(self):
        vouchers = self.build()
        vouchers.record_answer("a-1", 10.0, answer())
        self.assertEqual(10.0 + feed_age.QUESTION_INTERVAL, vouchers.ask_at())
        self.assertLess(vouchers.ends_at(), 10.0 + 1.0)

    def test_a_reader_vouches_no_longer_than_its_call_is_alive(self):
        vouchers = self.build()
        vouchers.record_answer("a-1", 10.0, answer(alive=0.1))
        self.assertEqual(10.1, vouchers.ends_at())
        self.assertEqual(10.1, vouchers.ask_at())
        vouchers.record_answer("a-1", 10.1, answer(alive=0.0))
        self.assertEqual(-math.inf, vouchers.ends_at())

    def test_a_late_answer_does_not_replace_a_later_one(self):
        vouchers = self.build()
        vouchers.record_answer("a-1", 10.0, answer())
        vouchers.record_answer("a-1", 9.0, answer(alive=0.0))
        self.assertEqual(10.0, vouchers.asked_at())

    def test_a_reader_that_passes_nothing_on_does_not_vouch(self):
        vouchers = self.build()
        vouchers.record_answer("a-1", 10.0, answer(NEWER))
        vouchers.record_version(NEWER, OWN, 9.9)
        self.assertEqual(9.9 + feed_age.BEHIND_TIME, vouchers.ends_at())
        vouchers.record_version(NEWER, NEWER, 10.1)
        self.assertLess(10.0 + feed_age.BEHIND_TIME, vouchers.ends_at())

    def count_first(self, vouchers):
        """Return how often each reader of the domain is asked first."""
        first = [vouchers.choose(READERS)[0][0] for _ in range(200)]
        return first.count("a-1"), first.count("a-2")

    def test_the_reader_that_vouched_is_asked_again(self):
        vouchers = self.build()
        vouchers.record_answer("a-2", 10.0, answer())
        changed, kept = self.count_first(vouchers)
        self.assertEqual(200, changed + kept)
        self.assertTrue(5 < changed < 50, changed)

    def test_a_silent_reader_is_asked_last_and_one_elsewhere_as_well(self):
        vouchers = self.build()
        vouchers.record_answer("a-2", 10.0, answer())
        vouchers.record_silence(("a-1",))
        for _ in range(40):
            self.assertEqual(
                (["a-2"], ["a-1", "b-1"]), vouchers.choose(READERS)
            )

    def test_without_readers_of_the_own_domain_others_are_asked(self):
        vouchers = self.build()
        self.assertEqual((["b-1"], []), vouchers.choose(READERS[2:]))
        self.assertEqual(([], []), vouchers.choose(()))


class DelayTest(testtools.TestCase):
    def test_vms_without_a_voucher_keep_to_the_rate_of_the_feed(self):
        generator = random.Random(1)
        delays = sorted(
            feed_age.read_delay(690, generator) for _ in range(690)
        )
        self.assertLess(delays[-1], feed_age.MAX_SPREAD)
        in_a_tenth = sum(delay < 0.1 for delay in delays)
        self.assertLess(in_a_tenth, 1.2 * feed_age.READ_RATE * 0.1)
