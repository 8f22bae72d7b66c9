import random

import testtools

from primrosemill.fleet import store_watch

STORE_BUDGET = 2_000  # calls a second


class StoreWatchTest(testtools.TestCase):
    def watches(self, count):
        return [
            store_watch.StoreWatch(random.Random(number), 0.0)
            for number in range(count)
        ]

    def test_watchers_grow_slower_than_the_fleet(self):
        self.assertEqual(8, store_watch.wanted_watchers(36))
        self.assertEqual(12, store_watch.wanted_watchers(690))
        self.assertEqual(1, store_watch.wanted_watchers(1))

    def test_about_as_many_try_as_are_missing(self):
        tries = sum(
            watch.should_start(1.0, 0, 690, False)
            for watch in self.watches(690)
        )
        self.assertLess(tries, 30)
        self.assertGreater(tries, 0)

    def test_nobody_tries_while_enough_watch(self):
        tries = [
            watch.should_start(1.0, 12, 690, False)
            for watch in self.watches(690)
        ]
        self.assertNotIn(True, tries)

    def test_a_vm_without_configuration_soon_tries_by_itself(self):
        watch = store_watch.StoreWatch(random.Random(1), 0.0)
        started = [
            second
            for second in range(10)
            if watch.should_start(float(second), 12, 690, True)
        ]
        self.assertTrue(started)

    def test_failed_and_stale_watches_leave_the_store_alone(self):
        watch = store_watch.StoreWatch(random.Random(1), 0.0)
        watch.note_failure(0.0)
        self.assertFalse(watch.should_start(2.0, 0, 1, False))
        self.assertTrue(watch.should_start(8.0, 0, 1, False))
        watch.note_stale(8.0)
        self.assertFalse(watch.should_start(20.0, 0, 1, False))

    def test_surplus_watchers_stop(self):
        watch = store_watch.StoreWatch(random.Random(1), 0.0)
        self.assertFalse(watch.should_stop(24, 690))
        stopped = [watch.should_stop(690, 690) for _ in range(20)]
        self.assertIn(True, stopped)

    def test_reads_stay_within_the_budget(self):
        for size in (1, 36, 690):
            watch = store_watch.StoreWatch(random.Random(1), 0.0)
            now = 0.0
            reads_after_burst = 0
            while now < 10.0:
                now += watch.reserve_read(now, size)
                reads_after_burst += now > 1.0
            rate = reads_after_burst / 9.0
            allowed = STORE_BUDGET / store_watch.wanted_watchers(size)
            self.assertLess(rate, allowed)
