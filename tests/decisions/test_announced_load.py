"""Loads under which instances say that they leave or want a pause."""

import random

import testtools

from primrosemill.decisions import allocation
from primrosemill.decisions import balance
from primrosemill.decisions import dispatch
from primrosemill.decisions import outcomes
from tests.builders import load

ONCE = balance.Criteria(False)
AGAIN = balance.Criteria(True)
PAUSED = outcomes.RefusalReason.INSTANCES_PAUSED


def records(count):
    return [load.Instance(number).record for number in range(count)]


class LeavingTest(testtools.TestCase):
    def test_a_release_while_the_feed_is_away(self):
        """Each instance says it leaves and its entry never tells."""
        made = balance.Balance(load.DOMAIN, random.Random(1))
        instances = records(3)
        made.set_instances(instances, 0.0)
        self.assertTrue(made.note_leaving("i-0", instances[0].boot))
        made.set_instances(instances, 1.0)
        found = {made.choose(AGAIN, 2.0).id for _ in range(6)}
        self.assertEqual({"i-1", "i-2"}, found)
        only = balance.Criteria(True, only=frozenset({"i-0"}))
        self.assertFalse(made.has_candidate(only))

    def test_the_floor_does_not_bring_a_leaving_instance_back(self):
        made = balance.Balance(load.DOMAIN, random.Random(1), 1.0)
        instances = records(2)
        made.set_instances(instances, 0.0)
        for each in instances:
            made.note_leaving(each.id, each.boot)
        self.assertIsNone(made.choose(AGAIN, 1.0))

    def test_the_word_on_another_start_counts_for_nothing(self):
        made = balance.Balance(load.DOMAIN, random.Random(1))
        instances = records(1)
        made.set_instances(instances, 0.0)
        self.assertFalse(made.note_leaving("i-0", instances[0].boot + 1))
        self.assertIsNotNone(made.choose(ONCE, 1.0))


class PauseTest(testtools.TestCase):
    def make(self, count):
        made = allocation.Allocation(load.DOMAIN, random.Random(1), 0.0)
        made.balance.set_instances(records(count), 0.0)
        return made

    def wish(self, now, route=load.URGENT):
        return dispatch.Wish(
            "caller", now + 2.5, route.idempotent, route=route, arrived=now
        )

    def test_others_serve_while_one_instance_pauses(self):
        made = self.make(2)
        made.balance.note_pause("i-0", 0, 5.0, 1.0)
        for number in range(3):
            granted = made.ask(self.wish(1.0 + number / 100), 1.0)
            self.assertEqual("i-1", granted.instance.id)
        granted = made.ask(self.wish(6.1), 6.1)
        self.assertEqual("i-0", granted.instance.id)

    def test_a_list_that_comes_anew_does_not_end_a_pause(self):
        made = self.make(1)
        made.balance.note_pause("i-0", 0, 5.0, 1.0)
        made.balance.set_instances([], 2.0)
        made.balance.set_instances(records(1), 3.0)
        self.assertIsNone(made.balance.choose(AGAIN, 4.0))
        self.assertIsNotNone(made.balance.choose(AGAIN, 6.1))

    def test_a_shed_without_a_wish_does_not_shorten_a_pause(self):
        """Several requests are at an instance that begins to turn away."""
        made = self.make(1)
        made.balance.note_pause("i-0", 0, 5.0, 1.0)
        made.balance.note_shed("i-0", 1.1)
        self.assertIsNone(made.balance.choose(AGAIN, 2.0))

    def test_all_instances_pause(self):
        """Callers are refused at once and told when the first is back."""
        made = self.make(2)
        made.balance.note_pause("i-0", 0, 4.0, 1.0)
        made.balance.note_pause("i-1", 0, 8.0, 1.0)
        told = [made.ask(self.wish(1.0), 1.0) for _ in range(20)]
        self.assertEqual({PAUSED}, {each.reason for each in told})
        times = [each.retry_after for each in told]
        self.assertTrue(all(4.0 <= each <= 4.5 for each in times), times)
        self.assertGreater(max(times) - min(times), 0.2)
        self.assertEqual(0, made.waiting)

    def test_who_can_still_be_served_in_time_waits_for_a_short_pause(self):
        made = self.make(1)
        made.balance.note_pause("i-0", 0, 0.2, 1.0)
        asked = made.ask(self.wish(1.0), 1.0)
        self.assertIsInstance(asked, allocation.Waiting)
        (wakeup,) = made.wake(1.21)
        self.assertEqual("i-0", wakeup.told.instance.id)

    def test_who_waits_is_refused_once_all_pause_past_its_deadline(self):
        made = self.make(1)
        for _ in range(3):
            made.ask(self.wish(1.0), 1.0)
        made.ask(self.wish(1.0), 1.0)
        made.balance.note_pause("i-0", 0, 9.0, 1.1)
        (wakeup,) = made.wake(1.1)
        self.assertIs(PAUSED, wakeup.told.reason)


class LastInstanceTest(testtools.TestCase):
    def test_what_may_go_only_where_it_was_sent_is_refused_when_it_left(self):
        made = allocation.Allocation(load.DOMAIN, random.Random(1), 0.0)
        made.balance.set_instances(records(2), 0.0)
        made.balance.note_leaving("i-0", 0)
        wish = dispatch.Wish(
            "caller", 3.0, only=frozenset({"i-0"}), route=load.PATIENT
        )
        refused = made.ask(wish, 1.0)
        self.assertIs(outcomes.RefusalReason.NO_INSTANCE, refused.reason)

    def test_the_only_instance_is_asked_again_after_it_shed(self):
        made = allocation.Allocation(load.DOMAIN, random.Random(1), 0.0)
        made.balance.set_instances(records(1), 0.0)
        wish = dispatch.Wish(
            "caller", 3.0, excluded=frozenset({"i-0"}), route=load.PATIENT
        )
        granted = made.ask(wish, 1.0)
        self.assertEqual("i-0", granted.instance.id)
        self.assertIsNone(made.take_spare(wish, 1.0))
