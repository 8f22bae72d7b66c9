import hypothesis
import hypothesis.strategies as strategies
import msgspec
import testtools

from primrosemill.fleet import feed
from primrosemill.fleet import mirror
from tests.builders import feeds as builders


def ids(held, now=0.0):
    return sorted(each.instance.id for each in held.discovered(now))


class MirrorTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.held = mirror.Mirror()
        self.held.apply(
            builders.whole(builders.seen(3, 0), builders.seen(4, 1)), 0.0
        )

    def test_the_higher_revision_of_a_key_wins_in_any_order(self):
        self.held.apply(builders.batch(4, builders.removed(6, 0)), 0.0)
        self.held.apply(builders.batch(4, builders.seen(5, 0)), 0.0)
        self.assertEqual(["i-1"], ids(self.held))

    def test_a_whole_batch_removes_what_it_does_not_name(self):
        applied = self.held.apply(builders.whole(builders.seen(9, 1)), 0.0)
        self.assertEqual(["i-1"], ids(self.held))
        gone = [each for each in applied.instances if each.removed]
        self.assertEqual(["servers/i-0"], [each.key for each in gone])

    def test_a_late_whole_batch_does_not_undo_what_came_after(self):
        self.held.apply(builders.batch(4, builders.seen(9, 2)), 0.0)
        self.held.apply(builders.whole(builders.seen(3, 0)), 0.0)
        self.assertEqual(["i-0", "i-1", "i-2"], ids(self.held))

    def test_a_gap_keeps_the_revision_until_it_is_closed(self):
        self.held.apply(builders.batch(7, builders.seen(8, 3)), 0.0)
        self.assertEqual(4, self.held.revision)
        self.assertIn("i-3", ids(self.held))
        self.held.apply(builders.batch(4, builders.seen(6, 2)), 0.0)
        self.assertEqual(6, self.held.revision)

    def test_a_removed_instance_may_be_retained_for_a_while(self):
        removal = builders.batch(4, builders.removed(5, 0))
        self.held.apply(removal, 10.0, retain=2.0)
        self.assertEqual(["i-0", "i-1"], ids(self.held, 11.9))
        self.assertEqual(12.0, self.held.next_expiry(10.0))
        self.assertEqual(["i-1"], ids(self.held, 12.1))

    def test_an_instance_that_was_leaving_is_not_retained(self):
        leaving = builders.seen(5, 0, state="leaving")
        self.held.apply(builders.batch(4, leaving), 0.0)
        removal = builders.batch(5, builders.removed(6, 0))
        self.held.apply(removal, 0.0, retain=2.0)
        self.assertEqual(["i-1"], ids(self.held))

    def test_a_retained_instance_that_registers_again_stays(self):
        removal = builders.batch(4, builders.removed(5, 0))
        self.held.apply(removal, 0.0, retain=2.0)
        self.held.apply(builders.batch(5, builders.seen(6, 0)), 1.0)
        self.assertEqual(["i-0", "i-1"], ids(self.held, 9.0))

    def test_routes_never_go_back(self):
        self.held.apply(builders.batch(4, builders.routing(5, 7)), 0.0)
        applied = self.held.apply(
            builders.batch(5, builders.routing(6, 3)), 0.0
        )
        self.assertEqual(7, self.held.routing.version)
        self.assertEqual(3, applied.older_routing)

    def test_an_unusable_configuration_keeps_the_routes_in_force(self):
        self.held.apply(builders.batch(4, builders.routing(5, 7)), 0.0)
        self.held.apply(builders.batch(5, feed.Item("op/config", 6)), 0.0)
        self.assertEqual(7, self.held.routing.version)

    def test_a_peer_that_is_behind_gets_what_it_lacks(self):
        behind = mirror.Mirror()
        behind.apply(builders.whole(builders.seen(3, 0)), 0.0)
        self.held.apply(builders.batch(4, builders.removed(5, 0)), 0.0)
        behind.apply(self.held.since(behind.position, 0.0), 0.0)
        self.assertEqual(ids(self.held), ids(behind))
        self.assertEqual(5, behind.revision)

    def test_removals_that_were_forgotten_come_as_a_whole(self):
        for number in range(mirror.TOMBSTONES + 1):
            revision = 10 + 2 * number
            for item in (
                builders.seen(revision, 100 + number),
                builders.removed(revision + 1, 100 + number),
            ):
                self.held.apply(builders.batch(4, item), 0.0)
        self.assertTrue(self.held.since(feed.Position(0, 5), 0.0).whole)
        self.assertFalse(self.held.since(self.held.position, 0.0).whole)

    def test_a_batch_survives_the_way_to_a_peer(self):
        self.held.apply(builders.batch(4, builders.routing(5, 7)), 0.0)
        sent = self.held.since(feed.Position(), 0.0)
        data = msgspec.msgpack.encode(sent)
        self.assertEqual(sent, msgspec.msgpack.decode(data, type=feed.Batch))


class OrderTest(testtools.TestCase):
    @hypothesis.given(strategies.randoms(use_true_random=False))
    @hypothesis.settings(max_examples=60, deadline=None)
    def test_vms_that_saw_the_same_changes_hold_the_same(self, generator):
        changes = []
        for revision in range(1, 30):
            number = generator.randrange(4)
            make = generator.choice((builders.seen, builders.removed))
            changes.append(
                builders.batch(revision - 1, make(revision, number))
            )
        in_order, shuffled = mirror.Mirror(), mirror.Mirror()
        for change in changes:
            in_order.apply(change, 0.0)
        generator.shuffle(changes)
        for change in changes + changes:
            shuffled.apply(change, 0.0)
        self.assertEqual(ids(in_order), ids(shuffled))
