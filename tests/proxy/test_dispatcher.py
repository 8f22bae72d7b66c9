import random

import testtools
import trio
import trio.testing

from primrosemill.decisions import dispatch
from primrosemill.decisions import outcomes
from primrosemill.decisions import slot_pool
from primrosemill.decisions import standings
from primrosemill.proxy import alarm
from primrosemill.proxy import dispatcher
from primrosemill.proxy import request_policies
from tests.builders import decisions_routing as builders

SLOTS = 3
HOLD_TIME = 0.05


def slot_request(caller="a", timeout=60.0):
    return dispatch.SlotRequest(caller, trio.current_time() + timeout)


class DispatcherTest(testtools.TestCase):
    def run_under_mock_clock(self, test):
        clock = trio.testing.MockClock(autojump_threshold=0)

        async def run_test():
            self.alarm = alarm.Alarm()
            self.dispatcher = dispatcher.Dispatcher(
                builders.service(1), random.Random(1), self.alarm, 2
            )
            self.grants = []
            self.granted_ids = []
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.run_alarm)
                with trio.fail_after(600.0):
                    await test(nursery)
                nursery.cancel_scope.cancel()

        trio.run(run_test, clock=clock)

    async def run_alarm(self):
        while True:
            await self.alarm.wait()
            self.dispatcher.wake()

    async def acquire_slots(self, count=SLOTS):
        for _ in range(count):
            grant = await self.dispatcher.acquire(slot_request())
            self.granted_ids.append(grant.id)

    async def acquire_and_record(self, caller="a", timeout=60.0):
        grant = await self.dispatcher.acquire(slot_request(caller, timeout))
        self.grants.append((caller, grant))

    async def enqueue(self, nursery, *callers):
        for caller in callers:
            nursery.start_soon(self.acquire_and_record, caller)
            await trio.testing.wait_all_tasks_blocked()

    def refusal_reason(self, index):
        return self.grants[index][1].reason

    def test_releases_wake_waiting_requests_in_order(self):
        async def test(nursery):
            await self.acquire_slots()
            await self.enqueue(nursery, "a", "b")
            for _ in range(2):
                self.dispatcher.release(
                    "res-0", HOLD_TIME, slot_pool.SlotOutcome.ANSWERED
                )
                await trio.testing.wait_all_tasks_blocked()
            self.assertEqual(["a", "b"], [each[0] for each in self.grants])

        self.run_under_mock_clock(test)

    def test_a_slot_is_granted_after_a_shed_without_another_release(self):
        async def test(nursery):
            await self.dispatcher.acquire(slot_request())
            self.dispatcher.release("res-0", 0.003, slot_pool.SlotOutcome.SHED)
            started = trio.current_time()
            await self.acquire_and_record()
            self.assertLess(trio.current_time() - started, 1.0)
            self.assertEqual("res-0", self.grants[0][1].id)

        self.run_under_mock_clock(test)

    def test_a_slot_granted_to_a_cancelled_request_is_granted_again(self):
        async def test(nursery):
            await self.acquire_slots()
            with trio.CancelScope() as scope:
                async with trio.open_nursery() as inner_nursery:
                    inner_nursery.start_soon(self.acquire_and_record)
                    await trio.testing.wait_all_tasks_blocked()
                    scope.cancel()
                    self.dispatcher.release(
                        "res-0", HOLD_TIME, slot_pool.SlotOutcome.ANSWERED
                    )
            self.assertEqual([], self.grants)
            await self.acquire_and_record("b")
            self.assertEqual("res-0", self.grants[0][1].id)

        self.run_under_mock_clock(test)

    def test_a_request_that_cannot_start_in_time_is_refused(self):
        async def test(nursery):
            await self.acquire_slots()
            started = trio.current_time()
            await self.acquire_and_record(timeout=5.0)
            self.assertIs(
                outcomes.RefusalReason.DEADLINE, self.refusal_reason(0)
            )
            waited = trio.current_time() - started
            self.assertAlmostEqual(
                5.0 - slot_pool.INITIAL_MEAN_HOLD_TIME, waited
            )
            self.assertEqual(0, self.dispatcher.waiting)

        self.run_under_mock_clock(test)

    def test_a_request_that_cannot_end_before_a_stop_is_refused_at_once(self):
        async def test(nursery):
            await self.acquire_slots()
            await self.enqueue(nursery, "a", "b")
            self.dispatcher.end_by(trio.current_time())
            await trio.testing.wait_all_tasks_blocked()
            self.assertEqual("deadline", self.refusal_reason(0))
            self.assertEqual("deadline", self.refusal_reason(1))

        self.run_under_mock_clock(test)

    def test_a_full_queue_evicts_a_request_of_the_busiest_caller(self):
        async def test(nursery):
            await self.acquire_slots()
            await self.enqueue(nursery, "a", "a", "b")
            self.assertEqual("a", self.grants[0][0])
            self.assertIs(
                outcomes.RefusalReason.QUEUE_FULL, self.refusal_reason(0)
            )
            self.assertIsInstance(self.grants[0][1], request_policies.Refused)

        self.run_under_mock_clock(test)

    def test_a_new_instance_ramps_up_to_all_its_slots(self):
        async def test(nursery):
            self.dispatcher.set_service(builders.service(4))
            await self.acquire_slots()
            cold_ids = {"res-1", "res-2", "res-3"}
            # Three of four instances are new. The warm one could not carry the
            # load alone, so cold ones get requests as well.
            self.assertNotEqual(set(), cold_ids & set(self.granted_ids))
            await trio.sleep(builders.service().cold_start)
            self.dispatcher.set_service(builders.service(5))
            await self.acquire_slots(4 * SLOTS + 1 - SLOTS)
            self.assertEqual(1, self.granted_ids.count("res-4"))
            await trio.sleep(builders.service().cold_start)
            self.dispatcher.ramp_up()
            await self.acquire_slots(SLOTS - 1)
            self.assertEqual(SLOTS, self.granted_ids.count("res-4"))

        self.run_under_mock_clock(test)

    def test_an_instance_is_cold_after_its_trial(self):
        async def test(nursery):
            self.dispatcher.set_service(builders.service(3))
            await trio.sleep(builders.service().cold_start)
            for state in (standings.State.TRIAL, standings.State.IN_ROTATION):
                self.dispatcher.set_standing(
                    "res-1", standings.Standing(state)
                )
            await self.acquire_slots(2 * SLOTS + 1)
            self.assertEqual(1, self.granted_ids.count("res-1"))

        self.run_under_mock_clock(test)

    def test_try_acquire_gets_a_slot_only_while_no_request_waits(self):
        async def test(nursery):
            self.assertIsNotNone(self.dispatcher.try_acquire(slot_request()))
            for _ in range(SLOTS - 1):
                await self.dispatcher.acquire(slot_request())
            await self.enqueue(nursery, "a")
            self.assertIsNone(self.dispatcher.try_acquire(slot_request()))

        self.run_under_mock_clock(test)
