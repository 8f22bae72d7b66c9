import random

import testtools

from primrosemill.fleet import store_watch_policy

STORE_RATE_LIMIT = 2_000  # calls a second


class StoreWatchPolicyTest(testtools.TestCase):
    def policies(self, count):
        return [
            store_watch_policy.StoreWatchPolicy(random.Random(number), 0.0)
            for number in range(count)
        ]

    def test_the_target_watcher_count_grows_slower_than_the_fleet(self):
        self.assertEqual(8, store_watch_policy.target_watcher_count(36))
        self.assertEqual(12, store_watch_policy.target_watcher_count(690))
        self.assertEqual(1, store_watch_policy.target_watcher_count(1))

    def test_about_as_many_vms_attempt_a_watch_as_are_missing(self):
        attempts = sum(
            policy.should_start(1.0, 0, 690, False)
            for policy in self.policies(690)
        )
        self.assertLess(attempts, 30)
        self.assertGreater(attempts, 0)

    def test_no_vm_attempts_a_watch_while_enough_watch(self):
        attempts = [
            policy.should_start(1.0, 12, 690, False)
            for policy in self.policies(690)
        ]
        self.assertNotIn(True, attempts)

    def test_a_vm_without_configuration_soon_attempts_a_watch(self):
        policy = store_watch_policy.StoreWatchPolicy(random.Random(1), 0.0)
        started = [
            second
            for second in range(10)
            if policy.should_start(float(second), 12, 690, True)
        ]
        self.assertTrue(started)

    def test_a_failed_or_stale_watch_is_followed_by_a_backoff(self):
        policy = store_watch_policy.StoreWatchPolicy(random.Random(1), 0.0)
        policy.record_failure(0.0)
        self.assertFalse(policy.should_start(2.0, 0, 1, False))
        self.assertTrue(policy.should_start(8.0, 0, 1, False))
        policy.record_stale(8.0)
        self.assertFalse(policy.should_start(20.0, 0, 1, False))

    def test_only_surplus_watchers_stop(self):
        policy = store_watch_policy.StoreWatchPolicy(random.Random(1), 0.0)
        self.assertFalse(policy.should_stop(24, 690))
        stopped = [policy.should_stop(690, 690) for _ in range(20)]
        self.assertIn(True, stopped)

    def test_the_read_rate_stays_within_the_limit(self):
        for size in (1, 36, 690):
            policy = store_watch_policy.StoreWatchPolicy(random.Random(1), 0.0)
            now = 0.0
            reads_after_burst = 0
            while now < 10.0:
                now += policy.reserve_read(now, size)
                reads_after_burst += now > 1.0
            rate = reads_after_burst / 9.0
            allowed = (
                STORE_RATE_LIMIT
                / store_watch_policy.target_watcher_count(size)
            )
            self.assertLess(rate, allowed)
