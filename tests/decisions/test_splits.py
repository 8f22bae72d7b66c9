import collections
import random

import testtools

from primrosemill.configuration import document as documents
from primrosemill.decisions import splits

SHARES = (documents.Share("first", 90.0), documents.Share("second", 10.0))
ROUTE = documents.Route("host", "/a/", (), True, 1.0, "a", shares=SHARES)


class SplitterTest(testtools.TestCase):
    def test_every_run_of_requests_follows_the_weights(self):
        splitter = splits.Splitter(random.Random(1))
        chosen = [splitter.choose(ROUTE) for _ in range(1_000)]
        for start in range(0, 1_000, 100):
            counts = collections.Counter(chosen[start : start + 100])
            self.assertTrue(9 <= counts["second"] <= 11, counts)

    def test_vms_start_at_random_places_in_the_sequence(self):
        firsts = [
            splits.Splitter(random.Random(seed)).choose(ROUTE)
            for seed in range(400)
        ]
        self.assertTrue(20 < firsts.count("second") < 60)

    def test_new_weights_reset_the_sequence(self):
        splitter = splits.Splitter(random.Random(1))
        splitter.choose(ROUTE)
        new_weights = ROUTE._replace(shares=(documents.Share("second", 1.0),))
        self.assertEqual("second", splitter.choose(new_weights))
        splitter.forget_others(())
        self.assertIn(splitter.choose(ROUTE), ("first", "second"))
