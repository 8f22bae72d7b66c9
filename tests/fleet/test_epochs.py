import hypothesis
import hypothesis.strategies as strategies
import testtools

from primrosemill.fleet import ended_starts
from primrosemill.fleet import feed
from primrosemill.fleet import mirror
from tests.builders import feeds as builders


def instance_ids(mirrored, now=0.0):
    return sorted(each.instance.id for each in mirrored.discovered(now))


class EpochTest(testtools.TestCase):
    """Tests a feed that is restored from a copy a few seconds old."""

    def setUp(self):
        super().setUp()
        self.mirrored = mirror.Mirror()
        self.mirrored.apply(
            builders.whole(
                builders.routing(2, 7),
                builders.added(3, 0, boot=1),
                builders.added(4, 1, boot=1),
            ),
            0.0,
        )

    def restore(self, *items, now=10.0, epoch=1):
        return self.mirrored.apply(builders.whole(*items, epoch=epoch), now)

    def test_a_reused_revision_of_a_new_epoch_is_applied(self):
        self.mirrored.apply(builders.batch(4, builders.added(9, 2)), 0.0)
        applied = self.restore(builders.added(3, 0, boot=1, port=9))
        self.assertTrue(applied.new_epoch)
        self.assertEqual(feed.Position(1, 3), self.mirrored.position)
        ports = [each.instance.port for each in self.mirrored.discovered(30.0)]
        self.assertEqual([9], ports)

    def test_the_first_batch_of_a_mirror_begins_no_new_epoch(self):
        mirrored = mirror.Mirror()
        applied = mirrored.apply(
            builders.whole(builders.added(3, 0), epoch=5), 0.0
        )
        self.assertFalse(applied.new_epoch)
        self.assertEqual(feed.Position(5, 3), mirrored.position)

    def test_changes_of_a_new_epoch_are_ignored_before_its_whole_batch(self):
        change = builders.batch(4, builders.added(5, 5), epoch=1)
        self.assertEqual(
            mirror.AppliedChanges(), self.mirrored.apply(change, 0.0)
        )
        self.assertEqual(["i-0", "i-1"], instance_ids(self.mirrored))

    def test_a_late_batch_of_the_old_epoch_changes_nothing(self):
        self.restore(
            builders.added(3, 0, boot=1), builders.added(4, 1, boot=1)
        )
        late = builders.batch(4, builders.removed(5, 0))
        self.mirrored.apply(late, 11.0)
        self.mirrored.apply(builders.whole(builders.added(9, 6)), 11.0)
        self.assertEqual(["i-0", "i-1"], instance_ids(self.mirrored, 11.0))

    def test_a_newer_routing_than_that_of_the_copy_stays_in_force(self):
        applied = self.restore(builders.routing(2, 5))
        self.assertEqual(7, self.mirrored.routing.version)
        self.assertEqual(5, applied.ignored_routing_version)
        joining = mirror.Mirror()
        joining.apply(self.mirrored.changes_since(feed.Position(), 10.0), 10.0)
        self.assertEqual(7, joining.routing.version)

    def test_an_instance_that_was_leaving_is_still_leaving(self):
        leaving = builders.added(5, 0, boot=1, state="leaving")
        self.mirrored.apply(builders.batch(4, leaving), 0.0)
        self.restore(
            builders.added(3, 0, boot=1), builders.added(4, 1, boot=1)
        )
        states = [
            each.instance.leaving
            for each in self.mirrored.discovered(10.0)
            if each.instance.id == "i-0"
        ]
        self.assertEqual([True], states)

    def test_another_start_of_a_leaving_instance_is_not_leaving(self):
        leaving = builders.added(5, 0, boot=1, state="leaving")
        self.mirrored.apply(builders.batch(4, leaving), 0.0)
        self.restore(builders.added(3, 0, boot=2))
        discovered = self.mirrored.discovered(30.0)
        self.assertEqual(
            [False], [each.instance.leaving for each in discovered]
        )

    def test_an_instance_missing_from_the_copy_is_retained_for_a_time(self):
        self.mirrored.apply(
            builders.batch(4, builders.added(5, 2, boot=1)), 9.0
        )
        self.restore(
            builders.added(3, 0, boot=1), builders.added(4, 1, boot=1)
        )
        end = 10.0 + ended_starts.REREGISTRATION_PERIOD
        self.assertIn("i-2", instance_ids(self.mirrored, end - 0.1))
        self.assertNotIn("i-2", instance_ids(self.mirrored, end + 0.1))

    def test_a_missing_instance_that_writes_its_entry_again_stays(self):
        self.mirrored.apply(
            builders.batch(4, builders.added(5, 2, boot=1)), 9.0
        )
        self.restore(
            builders.added(3, 0, boot=1), builders.added(4, 1, boot=1)
        )
        again = builders.batch(4, builders.added(5, 2, boot=1), epoch=1)
        self.mirrored.apply(again, 11.0)
        self.assertIn("i-2", instance_ids(self.mirrored, 60.0))

    def test_a_removed_instance_in_the_copy_is_held_back(self):
        self.mirrored.apply(builders.batch(4, builders.removed(5, 0)), 9.0)
        self.restore(
            builders.added(3, 0, boot=1), builders.added(4, 1, boot=1)
        )
        self.assertEqual(["i-1"], instance_ids(self.mirrored, 10.1))
        # By then the feed has dropped every entry that is not renewed.
        end = 10.0 + ended_starts.ENTRY_EXPIRY_TIME
        self.assertEqual(end, self.mirrored.next_expiry(10.1))
        self.assertEqual(["i-0", "i-1"], instance_ids(self.mirrored, end))

    def test_a_held_back_instance_is_used_once_it_writes_its_entry(self):
        self.mirrored.apply(builders.batch(4, builders.removed(5, 0)), 9.0)
        self.restore(
            builders.added(3, 0, boot=1), builders.added(4, 1, boot=1)
        )
        again = builders.batch(4, builders.added(5, 0, boot=1), epoch=1)
        self.mirrored.apply(again, 10.5)
        self.assertEqual(["i-0", "i-1"], instance_ids(self.mirrored, 10.6))

    def test_a_second_whole_batch_does_not_release_a_held_back_instance(self):
        copy = (builders.added(3, 0, boot=1), builders.added(4, 1, boot=1))
        self.mirrored.apply(builders.batch(4, builders.removed(5, 0)), 9.0)
        self.restore(*copy)
        self.restore(*copy, now=11.0)
        self.assertEqual(["i-1"], instance_ids(self.mirrored, 11.1))

    def test_an_instance_registered_again_before_the_restore_is_used(self):
        self.mirrored.apply(builders.batch(4, builders.removed(5, 0)), 8.0)
        self.mirrored.apply(
            builders.batch(5, builders.added(6, 0, boot=1)), 9.0
        )
        self.restore(
            builders.added(3, 0, boot=1), builders.added(4, 1, boot=1)
        )
        self.assertEqual(["i-0", "i-1"], instance_ids(self.mirrored, 10.1))

    def test_a_batch_of_an_older_of_two_new_epochs_is_ignored(self):
        self.restore(builders.added(3, 0, boot=1), epoch=1)
        self.restore(builders.added(2, 1, boot=1), epoch=2)
        self.restore(builders.added(9, 5, boot=1), epoch=1)
        self.assertEqual(feed.Position(2, 2), self.mirrored.position)
        self.assertEqual(["i-1"], instance_ids(self.mirrored, 30.0))

    def test_a_peer_in_the_old_epoch_gets_a_whole_batch(self):
        self.restore(builders.added(3, 0, boot=1))
        sent = self.mirrored.changes_since(feed.Position(0, 4), 10.0)
        self.assertTrue(sent.whole)
        self.assertEqual(1, sent.epoch)


class ConvergenceTest(testtools.TestCase):
    @hypothesis.given(strategies.randoms(use_true_random=False))
    @hypothesis.settings(max_examples=60, deadline=None)
    def test_mirrors_converge_despite_repeated_and_late_batches(
        self, generator
    ):
        """Applies batches of three epochs, reordered and repeated.

        Mirrors that have received the whole batch of the last epoch and the
        changes after it hold the same instances.
        """
        batches = []
        for epoch in range(3):
            items = [builders.added(1 + n, n, boot=1) for n in range(3)]
            batches.append(builders.whole(*items, epoch=epoch))
            for revision in range(4, 9):
                make = generator.choice((builders.added, builders.removed))
                item = make(revision, generator.randrange(4))
                batches.append(builders.batch(revision - 1, item, epoch=epoch))
        last = batches[-6:]
        in_order, other = mirror.Mirror(), mirror.Mirror()
        for batch in batches:
            in_order.apply(batch, 0.0)
        early = batches[:-6] + generator.sample(batches, 6)
        generator.shuffle(early)
        for batch in early + last[:1]:
            other.apply(batch, 0.0)
        rest = last[1:]
        generator.shuffle(rest)
        for batch in rest * len(rest) + early:
            other.apply(batch, 0.0)
        self.assertEqual(in_order.position, other.position)
        self.assertEqual(
            instance_ids(in_order, 90.0), instance_ids(other, 90.0)
        )
