"""The limits that instances name, from answers in any order."""

import testtools

from primrosemill.decisions import instance_limits
from tests.builders import load

INSTANCE = load.Instance(0).record


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
