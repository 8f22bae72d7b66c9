import random

import hypothesis
from hypothesis import strategies
import testtools

from primrosemill.decisions import slot_pool as slot_pools
from primrosemill.decisions import standings
from tests.builders import decisions_routing as builders

SETTINGS = hypothesis.settings(
    derandomize=True, max_examples=100, deadline=None
)
SLOTS = 3
HOLD_TIME = 0.05


def build_pool(count=4, led=2):
    slot_pool = slot_pools.SlotPool(builders.service(count), random.Random(1))
    slot_pool.set_ranks(
        {f"res-{index}": 0 if index < led else 1 for index in range(count)}
    )
    return slot_pool


def take_slots(slot_pool, count, now=0.0, **options):
    instances = [slot_pool.acquire(now, **options) for _ in range(count)]
    return [instance and instance.id for instance in instances]


class SlotPoolTest(testtools.TestCase):
    def test_led_instances_are_used_first_and_evenly(self):
        slot_pool = build_pool()
        taken = take_slots(slot_pool, 2 * SLOTS)
        self.assertEqual(SLOTS, taken.count("res-0"))
        self.assertEqual(SLOTS, taken.count("res-1"))
        self.assertEqual({"res-0", "res-1"}, set(taken[:2]))

    def test_requests_spill_only_if_the_wait_would_be_long(self):
        slot_pool = build_pool()
        take_slots(slot_pool, 2 * SLOTS)
        self.assertIsNone(slot_pool.acquire(0.0, waiting=0))
        spilled = slot_pool.acquire(0.0, waiting=4)
        self.assertIn(spilled.id, ("res-2", "res-3"))

    def test_requests_spill_when_led_instances_stop_answering(self):
        slot_pool = build_pool()
        take_slots(slot_pool, 2 * SLOTS)
        next_time = slot_pool.next_acquire_time(0.0)
        self.assertGreater(next_time, 0.0)
        self.assertIsNone(slot_pool.acquire(next_time * 0.99))
        self.assertIsNotNone(slot_pool.acquire(next_time))

    def test_a_vm_that_leads_no_instance_spills_at_once(self):
        slot_pool = slot_pools.SlotPool(builders.service(4), random.Random(1))
        slot_pool.set_ranks({})
        self.assertIsNotNone(slot_pool.acquire(0.0))

    def test_an_instance_is_paused_after_a_shed(self):
        slot_pool = build_pool(1, 1)
        slot_pool.acquire(0.0)
        slot_pool.release(0.0, "res-0", 0.003, slot_pools.SlotOutcome.SHED)
        self.assertIsNone(slot_pool.acquire(0.0))
        next_time = slot_pool.next_acquire_time(0.0)
        self.assertLessEqual(next_time, slot_pools.INITIAL_MEAN_HOLD_TIME)
        self.assertIsNotNone(slot_pool.acquire(next_time))

    def test_repeated_sheds_lengthen_the_pause_up_to_a_limit(self):
        slot_pool = build_pool(1, 1)
        now, pauses = 0.0, []
        for _ in range(12):
            slot_pool.acquire(now)
            slot_pool.release(now, "res-0", 0.003, slot_pools.SlotOutcome.SHED)
            next_time = slot_pool.next_acquire_time(now)
            pauses.append(next_time - now)
            now = next_time
        self.assertGreater(pauses[5], 4 * pauses[0])
        self.assertLessEqual(max(pauses), slot_pools.MAX_BACKOFF)

    def test_an_answer_ends_the_pause_after_a_shed(self):
        slot_pool = build_pool(1, 1)
        take_slots(slot_pool, 2)
        slot_pool.release(0.0, "res-0", 0.003, slot_pools.SlotOutcome.SHED)
        self.assertIsNone(slot_pool.acquire(0.0))
        slot_pool.release(
            0.0, "res-0", HOLD_TIME, slot_pools.SlotOutcome.ANSWERED
        )
        self.assertIsNotNone(slot_pool.acquire(0.0))

    def test_spills_are_paced_once_the_shed_budget_is_spent(self):
        slot_pool = build_pool(40, 1)
        take_slots(slot_pool, SLOTS)
        sheds = 0
        while True:
            spilled = slot_pool.acquire(0.0, waiting=100)
            if spilled is None:
                break
            slot_pool.release(
                0.0, spilled.id, 0.003, slot_pools.SlotOutcome.SHED
            )
            sheds += 1
        self.assertEqual(int(slot_pools.SHED_BUDGET_LIMIT), sheds)
        early = slot_pools.SPILL_PAUSE_WITH_LED / 2
        self.assertIsNone(slot_pool.acquire(early, waiting=100))
        self.assertIsNotNone(
            slot_pool.acquire(slot_pools.SPILL_PAUSE_WITH_LED, waiting=100)
        )

    def test_instances_are_used_last_if_ranked_last_and_never_if_removed(self):
        states = standings.State
        for state in (states.AVOIDED, states.EJECTED, states.DRAINING):
            slot_pool = build_pool(1, 1)
            slot_pool.set_standing("res-0", standings.Standing(state))
            self.assertIsNone(slot_pool.acquire(0.0))
        slot_pool = build_pool(4, 4)
        last = standings.Standing(states.RANKED_LAST)
        slot_pool.set_standing("res-0", last)
        taken = take_slots(slot_pool, 4 * SLOTS)
        self.assertEqual(["res-0"] * SLOTS, taken[3 * SLOTS :])

    def test_a_leaving_instance_gets_no_attempts(self):
        slot_pool = build_pool(1, 1)
        leaving = builders.instance(0, state="leaving")
        slot_pool.set_service(builders.service(1, instances=(leaving,)))
        self.assertIsNone(slot_pool.acquire(0.0))

    def test_an_instance_in_trial_gets_a_few_idempotent_requests(self):
        slot_pool = build_pool(2, 1)
        slot_pool.set_standing(
            "res-1", standings.Standing(standings.State.TRIAL)
        )
        self.assertEqual("res-0", slot_pool.acquire(0.0, idempotent=False).id)
        self.assertEqual(["res-1", "res-0"], take_slots(slot_pool, 2))
        slot_pool.release(
            HOLD_TIME, "res-1", HOLD_TIME, slot_pools.SlotOutcome.ANSWERED
        )
        early = HOLD_TIME + slot_pools.TRIAL_INTERVAL / 2
        self.assertEqual("res-0", slot_pool.acquire(early).id)
        due = HOLD_TIME + slot_pools.TRIAL_INTERVAL
        self.assertIsNone(slot_pool.acquire(due, idempotent=False))
        self.assertEqual("res-1", slot_pool.acquire(due).id)

    def test_a_cold_instance_is_busy_for_its_share_of_slots(self):
        share = 0.1
        slot_pool = build_pool(1, 1)
        slot_pool.set_standing(
            "res-0", standings.Standing(standings.State.COLD, share=share)
        )
        now, busy = 0.0, 0.0
        while now < 60.0:
            self.assertIsNotNone(slot_pool.acquire(now))
            self.assertIsNone(slot_pool.acquire(now))
            busy += HOLD_TIME
            slot_pool.release(
                now + HOLD_TIME,
                "res-0",
                HOLD_TIME,
                slot_pools.SlotOutcome.ANSWERED,
            )
            now = slot_pool.next_acquire_time(now + HOLD_TIME)
        self.assertAlmostEqual(share * SLOTS, busy / now, delta=0.01)

    def test_a_new_revision_keeps_the_counts_of_held_slots(self):
        slot_pool = build_pool(1, 1)
        take_slots(slot_pool, SLOTS)
        slot_pool.set_service(builders.service(2, revision=2))
        self.assertEqual("res-1", slot_pool.acquire(0.0, waiting=9).id)
        slot_pool.set_service(builders.service(1, instances=()))
        slot_pool.release(
            0.0, "res-0", HOLD_TIME, slot_pools.SlotOutcome.ANSWERED
        )
        self.assertIsNone(slot_pool.acquire(0.0))

    @SETTINGS
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 5),
                strategies.sampled_from(slot_pools.SlotOutcome),
            ),
            max_size=60,
        ),
        strategies.sampled_from(standings.State),
    )
    def test_no_instance_gets_more_attempts_than_slots(self, steps, state):
        slot_pool = build_pool(3, 2)
        slot_pool.set_standing("res-1", standings.Standing(state, share=0.5))
        now, taken = 0.0, []
        for action, outcome in steps:
            now += 0.01
            if action < 4 or not taken:
                granted = slot_pool.acquire(now, waiting=action)
                if granted is not None:
                    taken.append(granted.id)
            else:
                slot_pool.release(now, taken.pop(0), HOLD_TIME, outcome)
            self.assertEqual(len(taken), slot_pool.busy)
            for instance_id in set(taken):
                self.assertLessEqual(taken.count(instance_id), SLOTS)
