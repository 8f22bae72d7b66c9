"""Walks the table of docs/design/planned-stop.md at several graces."""

import testtools
import trio

from tests.builders import stops
from tests.builders import users_platform as builders

SERVED = (stops.SERVED,)
REFUSED = (stops.REFUSED,)
BEFORE = -0.3  # seconds


def rows_read_before(grace):
    """Return requests that are read before the signal."""
    return [
        stops.Row("ends in time", BEFORE, SERVED, 0.5 * grace),
        # Guards against a stop that cuts off what is at an instance without
        # an answer.
        stops.Row("outlasts the stop", BEFORE, (504,), 2.0 * grace),
        stops.Row("repeatable", BEFORE, (504,), 2 * grace, prefix="/slots/"),
        stops.Row("has all slots", -0.5, (504,), 2 * grace, prefix="/scarce/"),
        # Guards against a stop that closes the connections of requests that
        # wait for an instance.
        *(
            stops.Row(f"waits {n}", BEFORE, REFUSED, 0.1, prefix="/scarce/")
            for n in range(6)
        ),
        stops.Row("first", -0.5, SERVED, 0.3 * grace, prefix="/brief/"),
        stops.Row("second", BEFORE, SERVED, 0.02, prefix="/brief/"),
        stops.Row("streams", BEFORE, SERVED, prefix="/streams-short/"),
        # Guards against a stream that is cut off and looks complete.
        stops.Row("streams on", BEFORE, (None,), prefix="/streams-long/"),
        stops.Row("body in time", BEFORE, SERVED, parts=2, pause=0.4),
    ]


class PlannedStopTest(testtools.TestCase):
    def check(self, grace, rows):
        async def check(built):
            vm = stops.StoppingVm(built, grace)
            async with trio.open_nursery() as nursery:
                with trio.fail_after(2 * grace + 5.0):
                    await vm.walk(nursery, rows)
                nursery.cancel_scope.cancel()
            faults = []
            for call in vm.calls:
                fault = stops.find_fault(call, call.id in vm.ids_run, grace)
                if fault is None and call.status not in call.row.statuses:
                    fault = "another status"
                within = call.row.ends_within
                if within is not None and call.ended - call.read > within:
                    fault = "late"
                if fault is not None:
                    faults.append(stops.describe(fault, call))
            self.assertEqual([], faults)
            self.assertEqual(len(rows), len(vm.calls))

        self.run_stop(check, grace)

    def run_stop(self, check, grace):
        builders.run(
            check,
            count=1,
            document=stops.document(grace),
            stop_seconds=grace,
        )

    def test_requests_read_before_a_stop_of_2_seconds(self):
        self.check(2.0, rows_read_before(2.0))

    def test_requests_read_before_a_stop_of_6_seconds(self):
        self.check(6.0, rows_read_before(6.0))

    def test_requests_read_before_a_stop_of_10_seconds(self):
        self.check(10.0, rows_read_before(10.0))

    def test_an_instance_is_not_blamed_for_the_end_of_the_vm(self):
        # Guards against an attempt that the stop cuts short and that counts
        # as one whose answer is overdue.
        grace = 2.0
        row = stops.Row("long", 0.2 * grace, (504,), 2.0 * grace)

        async def check(built):
            vm = stops.StoppingVm(built, grace)
            async with trio.open_nursery() as nursery:
                await vm.walk(nursery, [row])
                nursery.cancel_scope.cancel()
            balancers = built.vm._balancers._balancers_by_service
            belief = balancers[builders.SERVICE].selector.belief
            chance = belief.chance("i-0", trio.current_time())
            self.assertGreater(chance, 0.5)

        self.run_stop(check, grace)
