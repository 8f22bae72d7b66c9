import random

import testtools

from primrosemill.fleet import feed_reader_policy


class FeedReaderPolicyTest(testtools.TestCase):
    def test_about_as_many_vms_attempt_a_read_as_are_missing(self):
        attempts = 0
        for seed in range(600):
            policy = feed_reader_policy.FeedReaderPolicy(
                random.Random(seed), 0.0
            )
            attempts += policy.should_start(5.0, 0, 11)
        # 50 domains of 12 VMs; about 2 VMs of each should attempt a read.
        self.assertTrue(70 < attempts < 130, attempts)

    def test_no_vm_attempts_a_read_while_enough_read(self):
        policy = feed_reader_policy.FeedReaderPolicy(random.Random(1), 0.0)
        self.assertFalse(
            policy.should_start(
                5.0, feed_reader_policy.TARGET_READER_COUNT, 11
            )
        )

    def test_a_single_vm_reads_after_the_start_delay(self):
        policy = feed_reader_policy.FeedReaderPolicy(random.Random(1), 0.0)
        self.assertFalse(policy.should_start(0.05, 0, 0))
        self.assertTrue(policy.should_start(1.0, 0, 0))

    def test_the_backoff_grows_with_each_failure(self):
        policy = feed_reader_policy.FeedReaderPolicy(random.Random(1), 0.0)
        now = 1.0
        backoffs = []
        for _ in range(6):
            policy.record_failure(now)
            start = now
            while not policy.should_start(now, 0, 0):
                now += 0.01
            backoffs.append(now - start)
        self.assertTrue(backoffs[-1] > 3 * backoffs[0], backoffs)
        self.assertLessEqual(
            backoffs[-1], feed_reader_policy.MAX_BACKOFF + 0.05
        )

    def test_some_but_not_all_surplus_readers_stop(self):
        policies = [
            feed_reader_policy.FeedReaderPolicy(random.Random(seed), 0.0)
            for seed in range(100)
        ]
        stops = sum(policy.should_stop(7) for policy in policies)
        self.assertTrue(10 < stops < 70, stops)
        self.assertFalse(
            policies[0].should_stop(feed_reader_policy.TARGET_READER_COUNT - 1)
        )
