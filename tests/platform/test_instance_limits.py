"""Requests at an instance that names a limit, from a fleet of VMs."""

import random

import eliot.testing
import testtools
import trio

from primrosemill.decisions import instance_limits
from primrosemill.telemetry import events
from tests.builders import limits
from tests.builders import users_platform as builders

VM_COUNT = 3
RATE_PER_VM = 8.0  # requests per second
SERVICE_TIME = 0.2  # seconds; all instances are needed at the above rate
LIMIT = 2.0  # requests per second
# Until a VM that vanished is gone for the others; docs/design/membership.md.
LOSS_TIME = 5.0  # seconds


async def send_steadily(built, seconds, name, statuses):
    """Send idempotent and non-idempotent requests to one VM at random."""
    generator = random.Random(name)
    end = trio.current_time() + seconds
    number = 0

    async def send_one(request_id, target):
        response = await builders.call(built, target, request_id)
        statuses.append(response.status)

    async with trio.open_nursery() as nursery:
        while trio.current_time() < end:
            number += 1
            target = builders.READ_PATH if number % 2 else builders.ONCE_PATH
            nursery.start_soon(send_one, f"{name}-{number}", target)
            await trio.sleep(generator.expovariate(RATE_PER_VM))


async def load_fleet(fleet, seconds):
    """Send requests to all VMs and return the statuses."""
    statuses = []
    async with trio.open_nursery() as nursery:
        for number, built in enumerate(fleet.vms):
            nursery.start_soon(
                send_steadily, built, seconds, f"vm{number}", statuses
            )
    return statuses


class LimitOfTheFleetTest(testtools.TestCase):
    # Guards against VMs that ignore the limit, or each send as much as it
    # allows in total.
    def test_instance_gets_no_more_than_its_limit_from_all_vms_together(self):
        async def check(fleet):
            limited, other = fleet.instances
            for each in fleet.instances:
                each.pause = SERVICE_TIME
            limited.limit = str(LIMIT).encode()
            started = trio.current_time()
            statuses = await load_fleet(
                fleet, 2 * limits.STABLE_WINDOW + limits.WINDOW
            )
            named_at = limited.arrived_at[0]
            self.assertLess(named_at, started + 1.0)
            self.assertLessEqual(
                limits.most_in_window(
                    limited.arrived_at, named_at + limits.STABLE_WINDOW
                ),
                limits.allowed(LIMIT),
            )
            # It is still used, and the other instance takes what it can.
            late = [
                time
                for time in limited.arrived_at
                if time >= named_at + limits.STABLE_WINDOW
            ]
            self.assertGreater(len(late), LIMIT)
            self.assertLessEqual(set(statuses), {200, 503})
            self.assertGreater(len(other.arrived_at), len(limited.arrived_at))

        builders.run_fleet(check, VM_COUNT)


def limit_events(logger):
    return [
        message
        for message in logger.messages
        if message["message_type"] == events.INSTANCE_LIMIT.number
    ]


class NewsTest(testtools.TestCase):
    @eliot.testing.capture_logging(None)
    def test_vm_without_requests_learns_of_a_limit_and_of_its_end(
        self, logger
    ):
        def changes_by_source(source):
            return [
                (each["previous"], each["limit"])
                for each in limit_events(logger)
                if each["source"] == source
            ]

        async def call_until_heard(vm, expected):
            number = 0
            while changes_by_source("peer") != expected:
                number += 1
                await builders.call(vm, builders.READ_PATH, f"r{number}")
                await trio.sleep(0.1)

        async def check(fleet):
            # At once, so that a VM that does not know the other yet has to
            # repeat what it read.
            vm = fleet.vms[0]
            (instance,) = fleet.instances
            instance.limit = b"50"
            await call_until_heard(vm, [(None, 50.0)])
            instance.limit = None
            await call_until_heard(vm, [(None, 50.0), (50.0, None)])
            self.assertEqual(
                [(None, 50.0), (50.0, None)], changes_by_source("answer")
            )

        builders.run_fleet(check, 2, count=1)

    @eliot.testing.capture_logging(None)
    def test_vm_that_starts_learns_of_a_limit_before_its_first_request(
        self, logger
    ):
        async def check(fleet):
            fleet.instances[0].limit = b"50"
            await builders.call(fleet.vms[0], builders.READ_PATH, "r0")
            started = trio.current_time()
            await fleet.start_vm()
            while len(limit_events(logger)) < 2:
                await trio.sleep(0.05)
            self.assertLess(
                trio.current_time() - started,
                instance_limits.REPEAT_INTERVAL / 2,
            )
            self.assertEqual("peer", limit_events(logger)[1]["source"])

        builders.run_fleet(check, 1, count=1)

    @eliot.testing.capture_logging(None)
    def test_invalid_limit_is_logged_once_and_ignored(self, logger):
        async def check(built):
            for each in built.instances:
                each.limit = b"-1"
            for number in range(20):
                response = await builders.call(
                    built, builders.READ_PATH, f"r{number}"
                )
                self.assertEqual(200, response.status)
            logged = limit_events(logger)
            self.assertLessEqual(len(logged), len(built.instances))
            self.assertIn("no decimal number", logged[0]["fault"])

        builders.run(check)

    def test_request_is_refused_at_once_if_the_limit_leaves_no_turn(self):
        async def check(built):
            (instance,) = built.instances
            instance.limit = b"0.1"
            await builders.call(built, builders.READ_PATH, "r0")
            refusal = await builders.call_refused(built, "r1")
            self.assertLess(refusal.elapsed, 0.2)
            self.assertEqual("instances_limited", refusal.reason)
            self.assertEqual(1, len(instance.runs))

        builders.run(check, count=1)


class LostVmTest(testtools.TestCase):
    # Guards against a limit that the VMs behind a cut and the others each
    # use in full: a VM that vanished may go on elsewhere.
    LIMIT = 30.0  # requests per second

    def play(self, logger, end_vm):
        """Let the last of three VMs end; return the parts logged then.

        These are pairs of requests per second and vanished VMs.
        """

        def parts():
            return [
                (message["own_rate"], message["lost"])
                for message in logger.messages
                if message["message_type"] == events.LIMIT_SHARE.number
            ]

        async def check(fleet):
            last = await fleet.start_vm(stop_seconds=1.0)
            fleet.instances[0].limit = str(self.LIMIT).encode()
            await builders.call(fleet.vms[0], builders.READ_PATH)
            # The two entry points hold half of the limit each.
            while parts().count((self.LIMIT / 2, 0)) < 2:
                await trio.sleep(0.1)
            count = len(parts())
            await end_vm(last.vm)
            await trio.sleep(LOSS_TIME)
            return parts()[count:]

        return builders.run_fleet(check, 2, count=1)

    @eliot.testing.capture_logging(None)
    def test_part_falls_when_a_vm_vanishes(self, logger):
        async def crash(vm):
            vm.stop_immediately("test")

        parts = self.play(logger, crash)
        self.assertIn((10.0, 1), parts)
        self.assertLessEqual({rate for rate, lost in parts if lost}, {0, 10.0})

    @eliot.testing.capture_logging(None)
    def test_part_stays_when_a_vm_leaves(self, logger):
        async def leave(vm):
            await vm.stop("test")

        parts = self.play(logger, leave)
        self.assertEqual([], [each for each in parts if each[1]])
