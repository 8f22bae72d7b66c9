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


def wish(caller="a", deadline=START + 10.0, **options):
    return dispatch.Wish(caller, deadline, **options)


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
    def test_a_released_slot_goes_to_the_next_waiting_request(self):
        built = build()
        fill(built)
        first = built.ask(wish(), START)
        second = built.ask(wish(), START)
        self.assertIsInstance(first, dispatch.Waiting)
        wakeups = built.release("res-0", HOLD, pool.End.ANSWERED, START + HOLD)
        self.assertEqual([first.ticket], [each.ticket for each in wakeups])
        self.assertTrue(built.leave(second.ticket))
        self.assertFalse(built.leave(first.ticket))

    def test_requests_of_a_burst_wait_after_an_idle_time(self):
        built = build()
        fill(built)
        self.assertIsInstance(built.ask(wish(), START), dispatch.Waiting)

    def test_a_request_past_its_deadline_is_refused_despite_free_slots(self):
        refused = build().ask(wish(deadline=START - 1), START)
        self.assertIs(outcomes.RefusalReason.DEADLINE, refused.reason)

    def test_a_stall_refuses_requests_before_any_attempt_ends(self):
        built = build()
        fill(built)
        built.ask(wish(), START)
        late = START + 30.0
        refused = built.ask(wish(deadline=late + 5.0), late)
        self.assertIsInstance(refused, queue.Refused)
        self.assertGreater(refused.retry_after, 1.0)

    def test_a_full_queue_refuses_requests(self):
        built = build(capacity=2)
        fill(built)
        for _ in range(2):
            built.ask(wish(), START)
        refused = built.ask(wish(), START)
        self.assertIs(outcomes.RefusalReason.QUEUE_FULL, refused.reason)

    def test_a_request_that_can_not_use_the_free_slot_is_passed_over(self):
        built = build()
        fill(built)
        trial = standings.Standing(standings.State.TRIAL)
        built.pool.set_standing("res-0", trial)
        held = built.ask(wish(idempotent=False), START)
        idempotent = built.ask(wish("b"), START)
        for _ in range(SLOTS):
            built.release("res-0", HOLD, pool.End.FAILED, START + HOLD)
        now = built.next_wake(START + HOLD)
        wakeups = built.wake(now)
        self.assertEqual(
            [idempotent.ticket], [each.ticket for each in wakeups]
        )
        self.assertTrue(built.leave(held.ticket))

    def test_a_tried_instance_is_used_if_there_is_no_other(self):
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
    def test_every_waiting_request_gets_a_slot_eventually(self, steps):
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
            wakeups = built.wake(now)
            if held:
                wakeups += built.release(
                    held.pop(0), HOLD, pool.End.ANSWERED, now
                )
            for each in wakeups:
                waiting.remove(each.ticket)
                held.append(each.instance.id)
        self.assertEqual(0, built.waiting)
        self.assertEqual(0, built.pool.busy)
