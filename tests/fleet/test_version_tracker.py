import random

import testtools

from primrosemill.configuration import faults
from primrosemill.fleet import version_tracker
from tests.builders import configuration
from tests.builders import fleet as builders

STORE = version_tracker.Source.STORE
PEER = version_tracker.Source.PEER


class VersionTrackerTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.tracker = version_tracker.VersionTracker(
            builders.FLEET, random.Random(1), now=100.0
        )

    def offer(self, version, source=STORE, **changes):
        published = configuration.published(version=version, **changes)
        return self.tracker.offer(published["index"], published, source)

    def record_peer_version(self, number, version):
        version_in_force = builders.version(version)
        return self.tracker.record_peer_version(
            builders.vm_id(number), version_in_force
        )

    def test_a_version_older_than_the_one_in_force_is_refused(self):
        self.offer(3)
        refusal = self.offer(2).error
        self.assertEqual((faults.OlderVersion(3, 2),), refusal.faults)
        self.assertEqual(3, self.tracker.document.version)

    def test_other_content_under_the_version_in_force_is_refused(self):
        self.offer(3)
        domains = ["more", *configuration.DOMAINS]
        refusal = self.offer(3, PEER, domains=domains).error
        self.assertIsInstance(refusal.faults[0], faults.ConflictingVersion)
        self.assertEqual(1, self.tracker.conflict_count)

    def test_a_peer_with_other_content_is_reported_once(self):
        self.offer(3)
        self.assertIsInstance(
            self.record_peer_version(1, 3), faults.ConflictingVersion
        )
        self.assertIsNone(self.record_peer_version(1, 3))
        self.assertIsNone(self.tracker.next_pull(200.0))

    def test_an_invalid_document_leaves_the_one_in_force(self):
        self.offer(3)
        floor = configuration.service_value(floor=30, revision=2)
        published = configuration.published(floor, version=4)
        result = self.tracker.offer(published["index"], published, STORE)
        self.assertEqual(STORE, result.error.source)
        self.assertIsInstance(
            result.error.faults[0], faults.FloorOverInstances
        )
        self.assertEqual(3, self.tracker.document.version)

    def test_malformed_and_oversized_values_are_refused(self):
        for value, fault in (
            (b"{", faults.Malformed),
            (b" " * 1_000_001, faults.ValueTooLarge),
        ):
            result = self.tracker.offer(value, {}, STORE)
            self.assertIsInstance(result.error.faults[0], fault)

    def test_the_highest_version_heard_is_pulled(self):
        self.offer(3)
        self.record_peer_version(1, 4)
        self.record_peer_version(2, 6)
        self.assertEqual("vm-2", self.tracker.next_pull(101.0).vm_id)

    def test_a_peer_whose_pull_failed_is_not_asked_before_a_delay(self):
        self.record_peer_version(1, 4)
        self.tracker.record_failed_pull("vm-1", 101.0)
        self.assertIsNone(self.tracker.next_pull(101.5))
        self.assertEqual("vm-1", self.tracker.next_pull(102.1).vm_id)

    def test_at_start_a_version_of_the_store_waits_for_a_peer(self):
        self.assertFalse(self.tracker.is_ready(200.0))
        self.offer(3)
        self.assertFalse(
            self.tracker.is_ready(
                100.0 + version_tracker.PEER_VERSION_TIMEOUT - 0.1
            )
        )
        self.assertTrue(
            self.tracker.is_ready(100.0 + version_tracker.PEER_VERSION_TIMEOUT)
        )

    def test_a_peer_with_the_same_version_ends_the_wait(self):
        self.offer(3)
        self.record_peer_version(1, 3)
        self.assertTrue(self.tracker.is_ready(100.1))

    def test_at_start_an_older_version_waits_for_that_of_a_peer(self):
        self.offer(3)
        self.record_peer_version(1, 4)
        self.assertFalse(self.tracker.is_ready(105.0))
        self.offer(4, PEER)
        self.assertTrue(self.tracker.is_ready(105.0))

    def test_the_wait_for_the_newer_version_of_a_peer_is_bounded(self):
        self.offer(3)
        self.record_peer_version(1, 4)
        self.assertTrue(
            self.tracker.is_ready(100.0 + version_tracker.CATCH_UP_TIMEOUT)
        )

    def test_a_vm_that_is_ready_stays_ready(self):
        self.offer(3)
        self.tracker.is_ready(110.0)
        self.record_peer_version(1, 9)
        self.assertTrue(self.tracker.is_ready(111.0))
