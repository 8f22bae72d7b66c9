"""The limits that instances name, from answers in any order."""

import hypothesis
from hypothesis import strategies
import testtools

from primrosemill.decisions import instance_limits
from tests.builders import load

INSTANCE = load.Instance(0).record
ANSWERS = strategies.lists(
    strategies.builds(
        lambda rate, sent_at, duration: instance_limits.Statement(
            rate, sent_at, sent_at + duration
        ),
        strategies.sampled_from((None, 1.0, 2.0, 3.0)),
        strategies.integers(0, 20),
        strategies.integers(1, 10),
    ),
    max_size=8,
)


def statement(rate, sent_at, received_at):
    return instance_limits.Statement(rate, sent_at, received_at)


class RecordTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.limits = instance_limits.InstanceLimits()

    def record(self, rate, sent_at, received_at):
        return self.limits.record(
            INSTANCE, statement(rate, sent_at, received_at)
        )

    def test_limit_is_named_repeated_changed_and_dropped(self):
        self.assertIsNone(self.record(None, 0.0, 0.2))
        self.assertEqual((None, 3.0), self.record(3.0, 1.0, 1.2))
        self.assertIsNone(self.record(3.0, 2.0, 2.2))
        self.assertEqual((3.0, 1.0), self.record(1.0, 3.0, 3.2))
        self.assertEqual((1.0, 5.0), self.record(5.0, 4.0, 4.2))
        self.assertEqual((5.0, None), self.record(None, 5.0, 5.2))
        self.assertIsNone(self.limits.rate(INSTANCE))

    def test_slow_answer_to_an_earlier_request_does_not_raise_the_limit(self):
        """It may have been made before the limit was named."""
        self.record(1.0, 2.0, 2.2)
        self.assertIsNone(self.record(None, 0.5, 3.0))
        self.assertIsNone(self.record(4.0, 2.1, 3.0))
        self.assertEqual(1.0, self.limits.rate(INSTANCE))

    def test_stricter_limit_counts_if_the_order_is_unknown(self):
        self.record(4.0, 2.0, 3.0)
        self.assertEqual((4.0, 1.0), self.record(1.0, 1.0, 2.5))

    def test_older_stricter_limit_is_ignored(self):
        self.record(4.0, 2.0, 3.0)
        self.assertIsNone(self.record(1.0, 1.0, 1.9))
        self.record(None, 4.0, 4.1)
        self.assertIsNone(self.record(1.0, 2.5, 3.0))
        self.assertIsNone(self.limits.rate(INSTANCE))

    # Guards against a limit that an answer made before it lifts or raises.
    @hypothesis.given(strategies.permutations(range(8)), ANSWERS)
    def test_strictest_statement_that_may_be_the_latest_counts(
        self, order, answers
    ):
        """In any order of arrival, as answers and reports overtake others."""
        answers = [answers[index] for index in order if index < len(answers)]
        statements = ()
        recorded = []
        for answer in answers:
            recorded.append(answer)
            statements = instance_limits.add_statement(statements, answer)
            maybe_latest = [
                each.order
                for each in recorded
                if not any(
                    other.sent_at >= each.received_at
                    for other in recorded
                    if other is not each
                )
            ]
            self.assertEqual(
                min(maybe_latest), min(each.order for each in statements)
            )

    def test_repeated_limit_is_as_late_as_the_latest_request_for_it(self):
        self.record(1.0, 0.0, 9.0)
        self.record(5.0, 10.0, 11.0)
        self.record(5.0, 8.0, 12.0)
        self.assertIsNone(self.record(1.0, 0.0, 9.5))
        self.assertEqual(5.0, self.limits.rate(INSTANCE))

    def test_restarted_instance_has_no_limit(self):
        self.record(1.0, 1.0, 1.1)
        self.assertIsNone(self.limits.rate(INSTANCE._replace(boot=9)))
        self.assertEqual(1.0, self.limits.rate(INSTANCE))

    def test_only_another_invalid_value_is_news(self):
        self.assertTrue(self.limits.record_fault(INSTANCE, "many"))
        self.assertFalse(self.limits.record_fault(INSTANCE, "many"))
        self.assertTrue(self.limits.record_fault(INSTANCE, "-1"))

    def test_memory_is_bounded(self):
        for number in range(instance_limits.MAX_REMEMBERED + 1):
            self.limits.record(
                INSTANCE._replace(boot=number + 1), statement(1.0, 1.0, 1.1)
            )
        first, last = INSTANCE._replace(boot=1), INSTANCE._replace(boot=number)
        self.assertIsNone(self.limits.rate(first))
        self.assertEqual(1.0, self.limits.rate(last))


class Share:
    """A share that a test sets, of a VM that may be the first holder."""

    def __init__(self, share=1.0, is_first=False, delay=0.0):
        self.value = share
        self.is_first = is_first
        self.delay = delay

    def share(self, instance, rate, now):
        return self.value

    def is_first_holder(self, instance):
        return self.is_first

    def trial_delay(self, instance):
        return self.delay


class SendingTest(testtools.TestCase):
    def limits(self, rate, **changes):
        limits = instance_limits.InstanceLimits(Share(**changes))
        limits.record(INSTANCE, statement(rate, 0.5, 1.0))
        return limits

    def test_requests_are_spaced_by_the_own_part(self):
        limits = self.limits(2.0, share=0.5)
        self.assertEqual(1.0, limits.own_rate(INSTANCE, 1.0))
        self.assertEqual(2.0, limits.next_send_at(INSTANCE, 1.0))
        limits.record_sent(INSTANCE, 2.5)
        self.assertEqual(3.5, limits.next_send_at(INSTANCE, 2.5))

    def test_changed_limit_applies_to_the_next_request(self):
        limits = self.limits(2.0)
        limits.record_sent(INSTANCE, 2.0)
        limits.record(INSTANCE, statement(0.5, 2.0, 2.2))
        self.assertEqual(4.0, limits.next_send_at(INSTANCE, 2.2))

    def test_vm_without_a_part_sends_a_trial_if_nobody_had_an_answer(self):
        limits = self.limits(2.0, share=0.0, delay=3.0)
        due_at = 1.0 + instance_limits.TRIAL_AGE + 3.0
        self.assertEqual(due_at, limits.next_send_at(INSTANCE, 1.0))
        limits.record_sent(INSTANCE, due_at)
        self.assertGreater(limits.next_send_at(INSTANCE, due_at), due_at)
        change = limits.record(INSTANCE, statement(2.0, due_at, due_at + 0.1))
        self.assertEqual((2.0, 2.0), change)
        self.assertIsNone(
            limits.record(INSTANCE, statement(2.0, due_at, due_at + 0.2))
        )

    def test_unlimited_instance_may_get_a_request_at_any_time(self):
        limits = instance_limits.InstanceLimits()
        self.assertFalse(limits.any_named)
        self.assertLess(limits.next_send_at(INSTANCE, 0.0), 0.0)
        limits.record_sent(INSTANCE, 0.0)
        self.assertLess(limits.next_send_at(INSTANCE, 0.0), 0.0)


class RepeatTest(testtools.TestCase):
    def test_first_holder_repeats_a_limit_and_for_a_time_its_end(self):
        limits = instance_limits.InstanceLimits(Share(is_first=True))
        self.assertFalse(limits.is_to_repeat(INSTANCE, 0.0))
        limits.record(INSTANCE, statement(2.0, 0.5, 1.0))
        self.assertTrue(limits.is_to_repeat(INSTANCE, 1.0))
        self.assertTrue(limits.is_to_repeat(INSTANCE, 500.0))
        limits.record(INSTANCE, statement(None, 500.0, 501.0))
        # Further answers without a limit don't prolong the time.
        limits.record(INSTANCE, statement(None, 505.0, 506.0))
        dropped_until = 501.0 + instance_limits.DROP_REPEAT_TIME
        self.assertTrue(limits.is_to_repeat(INSTANCE, dropped_until))
        self.assertFalse(limits.is_to_repeat(INSTANCE, dropped_until + 0.1))

    def test_other_vms_repeat_it_while_they_hear_nothing_of_it(self):
        limits = instance_limits.InstanceLimits(Share())
        limits.record(INSTANCE, statement(2.0, 0.5, 1.0))
        silent_until = 1.0 + instance_limits.MAX_SILENCE
        self.assertFalse(limits.is_to_repeat(INSTANCE, silent_until))
        self.assertTrue(limits.is_to_repeat(INSTANCE, silent_until + 0.1))
        limits.record_heard(INSTANCE, silent_until + 0.2)
        self.assertFalse(limits.is_to_repeat(INSTANCE, silent_until + 0.3))
