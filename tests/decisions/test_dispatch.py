import random

import hypothesis
from hypothesis import strategies
import testtools

from primrosemill.decisions import dispatch
from primrosemill.decisions import outcomes
from primrosemill.decisions import pool
from primrosemill.decisions import queue
from primrosemill.decisions import standings
from tests.builders import decisions_routing as builders

SETTINGS = hypothesis.settings(
    derandomize=True, max_examples=100, deadline=None
)
SLOTS = 3
HOLD = 0.05
START = 1_000.0  # a clock that did not start with the process


def wish(caller="a", deadline=START + 10.0, **facts):
    return dispatch.Wish(caller, deadline, **facts)


def build(count=1, capacity=10):
    built = dispatch.Dispatch(
        builders.service(count), random.Random(1), capacity
    )
    built.pool.set_ranks({f"res-{each}": 0 for each in range(count)})
    return built


def fill(built):
    for _ in range(SLOTS):
        built.ask(wish(), START)


class DispatchTest(testtools.TestCase):
    def test_a_release_hands_the_slot_to_the_next(self):
        built = build()
        fill(built)
        first = built.ask(wish(), START)
        second = built.ask(wish(), START)
        self.assertIsInstance(first, dispatch.Waiting)
        woken = built.release("res-0", HOLD, pool.End.ANSWERED, START + HOLD)
        self.assertEqual([first.ticket], [each.ticket for each in woken])
        self.assertTrue(built.leave(second.ticket))
        self.assertFalse(built.leave(first.ticket))

    def test_a_burst_after_an_idle_time_waits(self):
        built = build()
        fill(built)
        self.assertIsInstance(built.ask(wish(), START), dispatch.Waiting)

    def test_a_deadline_that_passed_is_refused_in_spite_of_free_slots(self):
        refused = build().ask(wish(deadline=START - 1), START)
        self.assertIs(outcomes.RefusalReason.DEADLINE, refused.reason)

    def test_a_stall_shows_before_anything_completes(self):
        built = build()
        fill(built)
        built.ask(wish(), START)
        late = START + 30.0
        refused = built.ask(wish(deadline=late + 5.0), late)
        self.assertIsInstance(refused, queue.Refused)
        self.assertGreater(refused.retry_after, 1.0)

    def test_a_full_queue_refuses_with_a_time_to_come_back(self):
        built = build(capacity=2)
        fill(built)
        for _ in range(2):
            built.ask(wish(), START)
        refused = built.ask(wish(), START)
        self.assertIs(outcomes.RefusalReason.QUEUE_FULL, refused.reason)

    def test_who_can_not_use_a_slot_lets_others_pass(self):
        built = build()
        fill(built)
        trial = standings.Standing(standings.State.TRIAL)
        built.pool.set_standing("res-0", trial)
        held = built.ask(wish(idempotent=False), START)
        passing = built.ask(wish("b"), START)
        for _ in range(SLOTS):
            built.release("res-0", HOLD, pool.End.FAILED, START + HOLD)
        now = built.next_wake(START + HOLD)
        woken = built.wake(now)
        self.assertEqual([passing.ticket], [each.ticket for each in woken])
        self.assertTrue(built.leave(held.ticket))

    def test_a_tried_instance_is_better_than_none(self):
        asked = wish(excluded=frozenset({"res-0"}))
        self.assertIsInstance(build().ask(asked, START), dispatch.Granted)
        granted = build(2).ask(asked, START)
        self.assertEqual("res-1", granted.instance.id)

    @SETTINGS
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from("abc"),
                strategies.booleans(),
                strategies.sampled_from(pool.End),
            ),
            max_size=60,
        )
    )
    def test_every_waiter_is_woken_in_the_end(self, steps):
        built = build(2, capacity=100)
        now, held, waiting = START, [], set()
        for caller, ask, end in steps:
            now += 0.001
            if ask:
                asked = built.ask(wish(caller, now + 1e6), now)
                if isinstance(asked, dispatch.Granted):
                    held.append(asked.instance.id)
                else:
                    waiting.add(asked.ticket)
            elif held:
                for each in built.release(held.pop(0), HOLD, end, now):
                    waiting.remove(each.ticket)
                    held.append(each.instance.id)
        while held or waiting:
            now = max(now + 0.001, built.next_wake(now) or 0.0)
            woken = built.wake(now)
            if held:
                woken += built.release(
                    held.pop(0), HOLD, pool.End.ANSWERED, now
                )
            for each in woken:
                waiting.remove(each.ticket)
                held.append(each.instance.id)
        self.assertEqual(0, built.waiting)
        self.assertEqual(0, built.pool.busy)
