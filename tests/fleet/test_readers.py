import random

import testtools

from primrosemill.fleet import readers


class ReadersTest(testtools.TestCase):
    def test_about_as_many_try_as_are_missing(self):
        tries = 0
        for seed in range(600):
            choice = readers.Readers(random.Random(seed), 0.0)
            tries += choice.should_start(5.0, 0, 11)
        # Twelve VMs a domain, 50 domains: two of each should try.
        self.assertTrue(70 < tries < 130, tries)

    def test_nobody_tries_while_enough_read(self):
        choice = readers.Readers(random.Random(1), 0.0)
        self.assertFalse(choice.should_start(5.0, readers.WANTED, 11))

    def test_a_vm_that_is_alone_reads(self):
        choice = readers.Readers(random.Random(1), 0.0)
        self.assertFalse(choice.should_start(0.05, 0, 0))
        self.assertTrue(choice.should_start(1.0, 0, 0))

    def test_failures_are_followed_by_growing_pauses(self):
        choice = readers.Readers(random.Random(1), 0.0)
        now = 1.0
        pauses = []
        for _ in range(6):
            choice.note_failure(now)
            start = now
            while not choice.should_start(now, 0, 0):
                now += 0.01
            pauses.append(now - start)
        self.assertTrue(pauses[-1] > 3 * pauses[0], pauses)
        self.assertLessEqual(pauses[-1], readers.LONGEST_PAUSE + 0.05)

    def test_a_surplus_goes_without_everybody_leaving(self):
        choices = [
            readers.Readers(random.Random(seed), 0.0) for seed in range(100)
        ]
        stops = sum(choice.should_stop(7) for choice in choices)
        self.assertTrue(10 < stops < 70, stops)
        self.assertFalse(choices[0].should_stop(readers.WANTED - 1))
