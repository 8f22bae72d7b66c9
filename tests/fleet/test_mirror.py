import hypothesis
import hypothesis.strategies as strategies
import msgspec
import testtools

from primrosemill.fleet import feed
from primrosemill.fleet import mirror
from tests.builders import feeds as builders


def instance_ids(mirrored, now=0.0):
    return sorted(each.instance.id for each in mirrored.discovered(now))


class MirrorTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.mirrored = mirror.Mirror()
        self.mirrored.apply(
            builders.whole(builders.added(3, 0), builders.added(4, 1)), 0.0
        )

    def test_the_higher_revision_of_a_key_wins_in_any_order(self):
        self.mirrored.apply(builders.batch(4, builders.removed(6, 0)), 0.0)
        self.mirrored.apply(builders.batch(4, builders.added(5, 0)), 0.0)
        self.assertEqual(["i-1"], instance_ids(self.mirrored))

    def test_a_whole_batch_removes_the_keys_it_does_not_contain(self):
        applied = self.mirrored.apply(
            builders.whole(builders.added(9, 1)), 0.0
        )
        self.assertEqual(["i-1"], instance_ids(self.mirrored))
        removals = [each for each in applied.instances if each.removed]
        self.assertEqual(["servers/i-0"], [each.key for each in removals])

    def test_a_late_whole_batch_does_not_undo_later_changes(self):
        self.mirrored.apply(builders.batch(4, builders.added(9, 2)), 0.0)
        self.mirrored.apply(builders.whole(builders.added(3, 0)), 0.0)
        self.assertEqual(["i-0", "i-1", "i-2"], instance_ids(self.mirrored))

    def test_the_revision_does_not_pass_a_gap_in_the_changes(self):
        self.mirrored.apply(builders.batch(7, builders.added(8, 3)), 0.0)
        self.assertEqual(4, self.mirrored.revision)
        self.assertIn("i-3", instance_ids(self.mirrored))
        self.mirrored.apply(builders.batch(4, builders.added(6, 2)), 0.0)
        self.assertEqual(6, self.mirrored.revision)

    def test_a_removed_instance_is_retained_for_the_given_time(self):
        removal = builders.batch(4, builders.removed(5, 0))
        self.mirrored.apply(removal, 10.0, retain=2.0)
        self.assertEqual(["i-0", "i-1"], instance_ids(self.mirrored, 11.9))
        self.assertEqual(12.0, self.mirrored.next_expiry(10.0))
        self.assertEqual(["i-1"], instance_ids(self.mirrored, 12.1))

    def test_an_instance_that_was_leaving_is_not_retained(self):
        leaving = builders.added(5, 0, state="leaving")
        self.mirrored.apply(builders.batch(4, leaving), 0.0)
        removal = builders.batch(5, builders.removed(6, 0))
        self.mirrored.apply(removal, 0.0, retain=2.0)
        self.assertEqual(["i-1"], instance_ids(self.mirrored))

    def test_a_retained_instance_that_registers_again_stays_in_use(self):
        removal = builders.batch(4, builders.removed(5, 0))
        self.mirrored.apply(removal, 0.0, retain=2.0)
        self.mirrored.apply(builders.batch(5, builders.added(6, 0)), 1.0)
        self.assertEqual(["i-0", "i-1"], instance_ids(self.mirrored, 9.0))

    def test_an_older_routing_is_not_put_in_force(self):
        self.mirrored.apply(builders.batch(4, builders.routing(5, 7)), 0.0)
        applied = self.mirrored.apply(
            builders.batch(5, builders.routing(6, 3)), 0.0
        )
        self.assertEqual(7, self.mirrored.routing.version)
        self.assertEqual(3, applied.ignored_routing_version)

    def test_an_unusable_configuration_keeps_the_routing_in_force(self):
        self.mirrored.apply(builders.batch(4, builders.routing(5, 7)), 0.0)
        self.mirrored.apply(builders.batch(5, feed.Item("op/config", 6)), 0.0)
        self.assertEqual(7, self.mirrored.routing.version)

    def test_a_peer_that_is_behind_gets_the_missing_changes(self):
        behind = mirror.Mirror()
        behind.apply(builders.whole(builders.added(3, 0)), 0.0)
        self.mirrored.apply(builders.batch(4, builders.removed(5, 0)), 0.0)
        behind.apply(self.mirrored.changes_since(behind.position, 0.0), 0.0)
        self.assertEqual(instance_ids(self.mirrored), instance_ids(behind))
        self.assertEqual(5, behind.revision)

    def test_a_peer_that_needs_pruned_removals_gets_a_whole_batch(self):
        for number in range(mirror.MAX_TOMBSTONES + 1):
            revision = 10 + 2 * number
            for item in (
                builders.added(revision, 100 + number),
                builders.removed(revision + 1, 100 + number),
            ):
                self.mirrored.apply(builders.batch(4, item), 0.0)
        self.assertTrue(
            self.mirrored.changes_since(feed.Position(0, 5), 0.0).whole
        )
        self.assertFalse(
            self.mirrored.changes_since(self.mirrored.position, 0.0).whole
        )

    def test_a_batch_is_unchanged_by_encoding_and_decoding(self):
        self.mirrored.apply(builders.batch(4, builders.routing(5, 7)), 0.0)
        sent = self.mirrored.changes_since(feed.Position(), 0.0)
        data = msgspec.msgpack.encode(sent)
        self.assertEqual(sent, msgspec.msgpack.decode(data, type=feed.Batch))


class ConvergenceTest(testtools.TestCase):
    @hypothesis.given(strategies.randoms(use_true_random=False))
    @hypothesis.settings(max_examples=60, deadline=None)
    def test_mirrors_with_the_same_changes_in_any_order_are_equal(
        self, generator
    ):
        changes = []
        for revision in range(1, 30):
            number = generator.randrange(4)
            make = generator.choice((builders.added, builders.removed))
            changes.append(
                builders.batch(revision - 1, make(revision, number))
            )
        in_order, shuffled = mirror.Mirror(), mirror.Mirror()
        for change in changes:
            in_order.apply(change, 0.0)
        generator.shuffle(changes)
        for change in changes + changes:
            shuffled.apply(change, 0.0)
        self.assertEqual(instance_ids(in_order), instance_ids(shuffled))
