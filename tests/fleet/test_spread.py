import random

import testtools

from primrosemill.configuration import faults
from primrosemill.fleet import spread
from tests.builders import configuration
from tests.builders import fleet as builders

STORE = spread.Source.STORE
PEER = spread.Source.PEER


class SpreadTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.spread = spread.Spread(
            builders.FLEET, random.Random(1), now=100.0
        )

    def offer(self, version, source=STORE, **changes):
        published = configuration.published(version=version, **changes)
        return self.spread.offer(published["index"], published, source)

    def hear(self, number, version):
        form = builders.version(version)
        return self.spread.hear(builders.vm_id(number), form)

    def test_a_version_never_falls(self):
        self.offer(3)
        refusal = self.offer(2).error
        self.assertEqual((faults.OlderVersion(3, 2),), refusal.faults)
        self.assertEqual(3, self.spread.document.version)

    def test_other_content_under_the_version_in_force_is_refused(self):
        self.offer(3)
        domains = ["more", *configuration.DOMAINS]
        refusal = self.offer(3, PEER, domains=domains).error
        self.assertIsInstance(refusal.faults[0], faults.ConflictingVersion)
        self.assertEqual(1, self.spread.conflicts)

    def test_a_peer_with_other_content_is_reported_once(self):
        self.offer(3)
        self.assertIsInstance(self.hear(1, 3), faults.ConflictingVersion)
        self.assertIsNone(self.hear(1, 3))
        self.assertIsNone(self.spread.next_pull(200.0))

    def test_a_refused_document_leaves_the_one_in_force(self):
        self.offer(3)
        floor = configuration.service_value(floor=30, revision=2)
        published = configuration.published(floor, version=4)
        result = self.spread.offer(published["index"], published, STORE)
        self.assertEqual(STORE, result.error.source)
        self.assertIsInstance(
            result.error.faults[0], faults.FloorOverInstances
        )
        self.assertEqual(3, self.spread.document.version)

    def test_malformed_and_large_values_are_refused(self):
        for value, fault in (
            (b"{", faults.Malformed),
            (b" " * 1_000_001, faults.ValueTooLarge),
        ):
            result = self.spread.offer(value, {}, STORE)
            self.assertIsInstance(result.error.faults[0], fault)

    def test_the_highest_version_heard_is_pulled(self):
        self.offer(3)
        self.hear(1, 4)
        self.hear(2, 6)
        self.assertEqual("vm-2", self.spread.next_pull(101.0).vm_id)

    def test_a_peer_that_failed_is_left_alone_for_a_while(self):
        self.hear(1, 4)
        self.spread.note_failed_pull("vm-1", 101.0)
        self.assertIsNone(self.spread.next_pull(101.5))
        self.assertEqual("vm-1", self.spread.next_pull(102.1).vm_id)

    def test_a_start_waits_for_a_peer_before_it_trusts_the_store(self):
        self.assertFalse(self.spread.ready(200.0))
        self.offer(3)
        self.assertFalse(self.spread.ready(100.0 + spread.PEER_WAIT - 0.1))
        self.assertTrue(self.spread.ready(100.0 + spread.PEER_WAIT))

    def test_a_peer_with_the_same_version_ends_the_wait(self):
        self.offer(3)
        self.hear(1, 3)
        self.assertTrue(self.spread.ready(100.1))

    def test_a_start_waits_for_the_newer_version_of_a_peer(self):
        self.offer(3)
        self.hear(1, 4)
        self.assertFalse(self.spread.ready(105.0))
        self.offer(4, PEER)
        self.assertTrue(self.spread.ready(105.0))

    def test_a_peer_that_hands_nothing_over_holds_no_start_for_ever(self):
        self.offer(3)
        self.hear(1, 4)
        self.assertTrue(self.spread.ready(100.0 + spread.CATCH_UP_WAIT))

    def test_a_vm_that_is_ready_stays_ready(self):
        self.offer(3)
        self.spread.ready(110.0)
        self.hear(1, 9)
        self.assertTrue(self.spread.ready(111.0))
