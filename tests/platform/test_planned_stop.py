"""Walks the table of docs/design/planned-stop.md at several graces."""

import testtools
import trio

from primrosemill.standins import users_instance
from tests.builders import stops
from tests.builders import users_platform as builders

SERVED = (stops.SERVED,)
REFUSED = (stops.REFUSED,)
AT_ONCE = 0.5  # seconds, on a busy machine
BEFORE = -0.3  # seconds


def rows_read_before(grace):
    """Return requests that are read before the signal."""
    # A VM gives up a body that stalls for 5 s.
    late_start = max(BEFORE, 0.6 * grace - 4.0)
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
        # Guards against passing a request on that was read too late to end.
        stops.Row(
            "body late",
            late_start,
            REFUSED,
            grace,
            parts=2,
            pause=0.6 * grace - late_start,
        ),
    ]


def rows_after(grace):
    """Return requests that arrive after the signal, on any connection."""
    early, late = 0.2 * grace, 0.6 * grace
    # Before the VM accepts no more connections, and not idle for too long.
    kept = max(0.35 * grace, late - 1.5)
    left = 0.83 * grace - late  # seconds
    return [
        stops.Row("early", early, SERVED, 0.1),
        stops.Row("early and long", early, (504,), 2.0 * grace),
        stops.Row(
            "late", late, REFUSED, 0.01, opens_at=kept, ends_within=AT_ONCE
        ),
        stops.Row(
            "late and long",
            late,
            REFUSED,
            0.35 * grace,
            opens_at=kept,
            ends_within=AT_ONCE,
        ),
        stops.Row("late and short", late, SERVED, 0.01, left, opens_at=kept),
        stops.Row(
            "late and silent", late, (504,), grace, 0.5 * left, opens_at=kept
        ),
    ]


class PlannedStopTest(testtools.TestCase):
    def check(self, grace, rows):
        async def check(built):
            await self.walk(built, grace, rows)

        self.run_stop(check, grace)

    async def walk(self, built, grace, rows, beside=trio.lowlevel.checkpoint):
        """Check how the requests of a table end; ``beside`` runs meanwhile."""
        vm = stops.StoppingVm(built, grace)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(beside)
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

    def test_a_failed_request_is_not_repeated_shortly_before_the_end(self):
        grace = 2.0
        row = stops.Row("fails", BEFORE, (500,), 1.5, prefix="/slots/")

        async def check(built):
            (instance,) = built.instances
            instance.pause = 0.3
            for number in range(5):
                await builders.call(built, builders.READ_PATH, f"r{number}")
            instance.mode = users_instance.ResponseMode.ERROR
            vm = stops.StoppingVm(built, grace)
            async with trio.open_nursery() as nursery:
                await vm.walk(nursery, [row])
                nursery.cancel_scope.cancel()
            (call,) = vm.calls
            self.assertEqual(500, call.status)
            ids = [run.request_id for run in instance.runs]
            self.assertEqual(1, ids.count("fails"))

        self.run_stop(check, grace)

    def test_a_configuration_that_changes_the_time_of_a_route(self):
        # Guards against a time of a route that is no more, and under which a
        # request would have ended before the VM.
        grace, kept = 6.0, 2.5
        rows = [
            stops.Row("long before", BEFORE, (504,), 2 * grace),
            stops.Row("long", 3.2, REFUSED, 0.1, opens_at=kept),
            stops.Row("now short", 4.2, SERVED, 0.1, opens_at=kept),
        ]
        document = stops.document(grace)
        document["version"] += 1
        for route in document["routes"]:
            route["timeout_ms"] = 900

        async def check(built):
            async def change():
                await trio.sleep(1.0 + stops.START_TIME + 3.4)
                built.store.put_json("op/config", document)

            await self.walk(built, grace, rows, change)

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

    def test_requests_after_the_signal_of_a_stop_of_2_seconds(self):
        self.check(2.0, rows_after(2.0))

    def test_requests_after_the_signal_of_a_stop_of_6_seconds(self):
        self.check(6.0, rows_after(6.0))

    def test_requests_after_the_signal_of_a_stop_of_10_seconds(self):
        # Guards against passing on what arrives in the first half of the time
        # to stop and can't end in it.
        grace = 10.0
        review = stops.Row(
            "in the first half", 4.3, REFUSED, 5.0, ends_within=AT_ONCE
        )
        self.check(grace, [*rows_after(grace), review])

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
