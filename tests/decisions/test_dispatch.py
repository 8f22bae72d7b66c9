import random

import hypothesis
from hypothesis import strategies
import testtools

from primrosemill.decisions import dispatch
from primrosemill.decisions import outcomes
from primrosemill.decisions import slot_pool
from primrosemill.decisions import standings
from primrosemill.decisions import wait_queue
from tests.builders import decisions_routing as builders

SETTINGS = hypothesis.settings(
    derandomize=True, max_examples=100, deadline=None
)
SLOTS = 3
HOLD_TIME = 0.05
START = 1_000.0  # a clock that did not start with the process


def slot_request(caller="a", deadline=START + 10.0, **options):
    return dispatch.SlotRequest(caller, deadline, **options)


def build_dispatch(count=1, capacity=10):
    dispatcher = dispatch.Dispatch(
        builders.service(count), random.Random(1), capacity
    )
    dispatcher.pool.set_ranks({f"res-{each}": 0 for each in range(count)})
    return dispatcher


def occupy_all_slots(dispatcher):
    for _ in range(SLOTS):
        dispatcher.request_slot(slot_request(), START)


class DispatchTest(testtools.TestCase):
    def test_a_released_slot_goes_to_the_next_waiting_request(self):
        dispatcher = build_dispatch()
        occupy_all_slots(dispatcher)
        first = dispatcher.request_slot(slot_request(), START)
        second = dispatcher.request_slot(slot_request(), START)
        self.assertIsInstance(first, dispatch.Waiting)
        wakeups = dispatcher.release(
            "res-0",
            HOLD_TIME,
            slot_pool.SlotOutcome.ANSWERED,
            START + HOLD_TIME,
        )
        self.assertEqual([first.ticket], [each.ticket for each in wakeups])
        self.assertTrue(dispatcher.cancel(second.ticket))
        self.assertFalse(dispatcher.cancel(first.ticket))

    def test_requests_of_a_burst_wait_after_an_idle_time(self):
        dispatcher = build_dispatch()
        occupy_all_slots(dispatcher)
        self.assertIsInstance(
            dispatcher.request_slot(slot_request(), START), dispatch.Waiting
        )

    def test_a_request_past_its_deadline_is_refused_despite_free_slots(self):
        refused = build_dispatch().request_slot(
            slot_request(deadline=START - 1), START
        )
        self.assertIs(outcomes.RefusalReason.DEADLINE, refused.reason)

    def test_a_stall_refuses_requests_before_any_attempt_ends(self):
        dispatcher = build_dispatch()
        occupy_all_slots(dispatcher)
        dispatcher.request_slot(slot_request(), START)
        late = START + 30.0
        refused = dispatcher.request_slot(
            slot_request(deadline=late + 5.0), late
        )
        self.assertIsInstance(refused, wait_queue.Refused)
        self.assertGreater(refused.retry_after, 1.0)

    def test_a_full_queue_refuses_requests(self):
        dispatcher = build_dispatch(capacity=2)
        occupy_all_slots(dispatcher)
        for _ in range(2):
            dispatcher.request_slot(slot_request(), START)
        refused = dispatcher.request_slot(slot_request(), START)
        self.assertIs(outcomes.RefusalReason.QUEUE_FULL, refused.reason)

    def test_a_request_that_cannot_use_the_free_slot_is_passed_over(self):
        dispatcher = build_dispatch()
        occupy_all_slots(dispatcher)
        trial = standings.Standing(standings.State.TRIAL)
        dispatcher.pool.set_standing("res-0", trial)
        not_idempotent = dispatcher.request_slot(
            slot_request(idempotent=False), START
        )
        idempotent = dispatcher.request_slot(slot_request("b"), START)
        for _ in range(SLOTS):
            dispatcher.release(
                "res-0",
                HOLD_TIME,
                slot_pool.SlotOutcome.FAILED,
                START + HOLD_TIME,
            )
        now = dispatcher.next_wake(START + HOLD_TIME)
        wakeups = dispatcher.wake(now)
        self.assertEqual(
            [idempotent.ticket], [each.ticket for each in wakeups]
        )
        self.assertTrue(dispatcher.cancel(not_idempotent.ticket))

    def test_a_tried_instance_is_used_if_there_is_no_other(self):
        request = slot_request(excluded_ids=frozenset({"res-0"}))
        self.assertIsInstance(
            build_dispatch().request_slot(request, START), dispatch.Granted
        )
        granted = build_dispatch(2).request_slot(request, START)
        self.assertEqual("res-1", granted.instance.id)

    @SETTINGS
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from("abc"),
                strategies.booleans(),
                strategies.sampled_from(slot_pool.SlotOutcome),
            ),
            max_size=60,
        )
    )
    def test_every_waiting_request_gets_a_slot_eventually(self, steps):
        dispatcher = build_dispatch(2, capacity=100)
        now, held, waiting = START, [], set()
        for caller, acquires, outcome in steps:
            now += 0.001
            if acquires:
                decision = dispatcher.request_slot(
                    slot_request(caller, now + 1e6), now
                )
                if isinstance(decision, dispatch.Granted):
                    held.append(decision.instance.id)
                else:
                    waiting.add(decision.ticket)
            elif held:
                for each in dispatcher.release(
                    held.pop(0), HOLD_TIME, outcome, now
                ):
                    waiting.remove(each.ticket)
                    held.append(each.instance.id)
        while held or waiting:
            now = max(now + 0.001, dispatcher.next_wake(now) or 0.0)
            wakeups = dispatcher.wake(now)
            if held:
                wakeups += dispatcher.release(
                    held.pop(0), HOLD_TIME, slot_pool.SlotOutcome.ANSWERED, now
                )
            for each in wakeups:
                waiting.remove(each.ticket)
                held.append(each.instance.id)
        self.assertEqual(0, dispatcher.waiting)
        self.assertEqual(0, dispatcher.pool.busy)
