import hypothesis
import hypothesis.strategies as strategies
import testtools

from primrosemill.fleet import epochs
from primrosemill.fleet import feed
from primrosemill.fleet import mirror
from tests.builders import feeds as builders


def ids(held, now=0.0):
    return sorted(each.instance.id for each in held.discovered(now))


class EpochTest(testtools.TestCase):
    """The feed comes back from a copy of some seconds ago."""

    def setUp(self):
        super().setUp()
        self.held = mirror.Mirror()
        self.held.apply(
            builders.whole(
                builders.routing(2, 7),
                builders.seen(3, 0, boot=1),
                builders.seen(4, 1, boot=1),
            ),
            0.0,
        )

    def restore(self, *items, now=10.0, epoch=1):
        return self.held.apply(builders.whole(*items, epoch=epoch), now)

    def test_revisions_that_are_given_out_again_count(self):
        self.held.apply(builders.batch(4, builders.seen(9, 2)), 0.0)
        applied = self.restore(builders.seen(3, 0, boot=1, port=9))
        self.assertTrue(applied.new_epoch)
        self.assertEqual(feed.Position(1, 3), self.held.position)
        ports = [each.instance.port for each in self.held.discovered(30.0)]
        self.assertEqual([9], ports)

    def test_the_first_feed_of_all_is_no_new_one(self):
        held = mirror.Mirror()
        applied = held.apply(builders.whole(builders.seen(3, 0), epoch=5), 0.0)
        self.assertFalse(applied.new_epoch)
        self.assertEqual(feed.Position(5, 3), held.position)

    def test_changes_of_a_new_epoch_wait_for_all_of_it(self):
        change = builders.batch(4, builders.seen(5, 5), epoch=1)
        self.assertEqual(mirror.Applied(), self.held.apply(change, 0.0))
        self.assertEqual(["i-0", "i-1"], ids(self.held))

    def test_a_late_answer_of_the_old_epoch_changes_nothing(self):
        self.restore(builders.seen(3, 0, boot=1), builders.seen(4, 1, boot=1))
        late = builders.batch(4, builders.removed(5, 0))
        self.held.apply(late, 11.0)
        self.held.apply(builders.whole(builders.seen(9, 6)), 11.0)
        self.assertEqual(["i-0", "i-1"], ids(self.held, 11.0))

    def test_a_newer_configuration_stays_until_it_is_written_again(self):
        applied = self.restore(builders.routing(2, 5))
        self.assertEqual(7, self.held.routing.version)
        self.assertEqual(5, applied.older_routing)
        joining = mirror.Mirror()
        joining.apply(self.held.since(feed.Position(), 10.0), 10.0)
        self.assertEqual(7, joining.routing.version)

    def test_an_instance_that_was_leaving_is_leaving(self):
        leaving = builders.seen(5, 0, boot=1, state="leaving")
        self.held.apply(builders.batch(4, leaving), 0.0)
        self.restore(builders.seen(3, 0, boot=1), builders.seen(4, 1, boot=1))
        states = [
            each.instance.leaving
            for each in self.held.discovered(10.0)
            if each.instance.id == "i-0"
        ]
        self.assertEqual([True], states)

    def test_another_start_under_its_id_is_not(self):
        leaving = builders.seen(5, 0, boot=1, state="leaving")
        self.held.apply(builders.batch(4, leaving), 0.0)
        self.restore(builders.seen(3, 0, boot=2))
        found = self.held.discovered(30.0)
        self.assertEqual([False], [each.instance.leaving for each in found])

    def test_an_instance_seen_only_in_the_lost_seconds_has_time(self):
        self.held.apply(builders.batch(4, builders.seen(5, 2, boot=1)), 9.0)
        self.restore(builders.seen(3, 0, boot=1), builders.seen(4, 1, boot=1))
        end = 10.0 + epochs.REWRITE_TIME
        self.assertIn("i-2", ids(self.held, end - 0.1))
        self.assertNotIn("i-2", ids(self.held, end + 0.1))

    def test_one_that_writes_again_stays(self):
        self.held.apply(builders.batch(4, builders.seen(5, 2, boot=1)), 9.0)
        self.restore(builders.seen(3, 0, boot=1), builders.seen(4, 1, boot=1))
        again = builders.batch(4, builders.seen(5, 2, boot=1), epoch=1)
        self.held.apply(again, 11.0)
        self.assertIn("i-2", ids(self.held, 60.0))

    def test_an_instance_removed_in_them_is_not_back_at_once(self):
        self.held.apply(builders.batch(4, builders.removed(5, 0)), 9.0)
        self.restore(builders.seen(3, 0, boot=1), builders.seen(4, 1, boot=1))
        self.assertEqual(["i-1"], ids(self.held, 10.1))
        # The feed would have dropped an entry that nobody renews by then.
        end = 10.0 + epochs.LAPSE_TIME
        self.assertEqual(end, self.held.next_expiry(10.1))
        self.assertEqual(["i-0", "i-1"], ids(self.held, end))

    def test_it_is_back_once_it_writes_again(self):
        self.held.apply(builders.batch(4, builders.removed(5, 0)), 9.0)
        self.restore(builders.seen(3, 0, boot=1), builders.seen(4, 1, boot=1))
        again = builders.batch(4, builders.seen(5, 0, boot=1), epoch=1)
        self.held.apply(again, 10.5)
        self.assertEqual(["i-0", "i-1"], ids(self.held, 10.6))

    def test_a_whole_read_of_the_epoch_does_not_bring_it_back(self):
        copy = (builders.seen(3, 0, boot=1), builders.seen(4, 1, boot=1))
        self.held.apply(builders.batch(4, builders.removed(5, 0)), 9.0)
        self.restore(*copy)
        self.restore(*copy, now=11.0)
        self.assertEqual(["i-1"], ids(self.held, 11.1))

    def test_one_that_had_registered_again_before_is_used(self):
        self.held.apply(builders.batch(4, builders.removed(5, 0)), 8.0)
        self.held.apply(builders.batch(5, builders.seen(6, 0, boot=1)), 9.0)
        self.restore(builders.seen(3, 0, boot=1), builders.seen(4, 1, boot=1))
        self.assertEqual(["i-0", "i-1"], ids(self.held, 10.1))

    def test_a_second_drill_during_the_first_read(self):
        self.restore(builders.seen(3, 0, boot=1), epoch=1)
        self.restore(builders.seen(2, 1, boot=1), epoch=2)
        self.restore(builders.seen(9, 5, boot=1), epoch=1)
        self.assertEqual(feed.Position(2, 2), self.held.position)
        self.assertEqual(["i-1"], ids(self.held, 30.0))

    def test_a_peer_of_the_old_epoch_gets_all(self):
        self.restore(builders.seen(3, 0, boot=1))
        sent = self.held.since(feed.Position(0, 4), 10.0)
        self.assertTrue(sent.whole)
        self.assertEqual(1, sent.epoch)


class OrderTest(testtools.TestCase):
    @hypothesis.given(strategies.randoms(use_true_random=False))
    @hypothesis.settings(max_examples=60, deadline=None)
    def test_vms_converge_whatever_is_repeated_or_late(self, generator):
        """Batches of three epochs, reordered within reach, and repeated.

        Whoever has the last whole batch of the last epoch, and the changes
        after it, holds the same instances.
        """
        batches = []
        for epoch in range(3):
            items = [builders.seen(1 + n, n, boot=1) for n in range(3)]
            batches.append(builders.whole(*items, epoch=epoch))
            for revision in range(4, 9):
                make = generator.choice((builders.seen, builders.removed))
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
        self.assertEqual(ids(in_order, 90.0), ids(other, 90.0))
