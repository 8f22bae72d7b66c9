"""Requests that a VM without a path to instances passes on to another."""

import random

import httpcore
import testtools
import trio

from primrosemill.decisions import detachment
from primrosemill.decisions import planned_stop
from primrosemill.proxy import forwarding_tickets
from primrosemill.proxy import headers
from primrosemill.standins import users_instance
from tests.builders import answers
from tests.builders import cuts
from tests.builders import users_platform as builders

DOMAINS = (cuts.FIRST_DOMAIN, cuts.FIRST_DOMAIN)
TIME_LEFT = 2_000  # milliseconds
BODY = random.Random(1).randbytes(200_000)
LONG_BODY_SIZE = 900_000  # bytes; more than a VM keeps for another attempt
WORK_TIME = 0.4  # seconds
STOP_TIME = 1.5  # seconds


async def wait_until_cut(built):
    """Send requests until a VM knows that it reaches no instance."""
    paths = built.vm._balancers.paths
    number = 0
    with trio.fail_after(5.0):
        while not paths.is_isolated():
            number += 1
            await builders.call(built, builders.READ_PATH, f"before-{number}")


async def call_with_ticket(built, ticket, request_id="r1"):
    async with httpcore.AsyncConnectionPool() as pool:
        return await pool.request(
            "GET",
            f"http://{built.settings.caller_address}{builders.READ_PATH}",
            headers={
                "host": builders.HOST,
                "primrosemill-request-id": request_id,
                "primrosemill-request-deadline": str(TIME_LEFT),
                headers.FORWARDING_TICKET.decode(): ticket,
            },
        )


def runs_of(fleet, request_id):
    return [
        run
        for each in fleet.instances
        for run in each.runs
        if run.request_id == request_id
    ]


async def stop_applications(vms, delay=0.0):
    """Begin stops that end before the time limit of a request."""
    await trio.sleep(delay)
    now = trio.current_time()
    for each in vms:
        each.vm._application.begin_stop(
            planned_stop.plan_after(now, STOP_TIME, 0.0)
        )


def issue(issuer, request_id, service=builders.SERVICE):
    """Return a ticket for a read with an id."""
    request = forwarding_tickets.Request(
        b"GET", builders.READ_PATH.encode(), request_id.encode()
    )
    return issuer.issue(request, service, 0)


class CountedOnceTest(testtools.TestCase):
    def test_a_helper_uses_the_service_that_the_first_vm_has_chosen(self):
        """Guards against counting a request twice for a share of its route."""
        parts = [
            {"service": name, "weight": 1}
            for name in (builders.SERVICE, "archive")
        ]
        split = builders.route(
            "/slots/", "idempotent", service=None, traffic_split=parts
        )
        del split["service"]
        document = builders.configuration(
            routes=[split],
            services=[builders.service(), builders.service("archive")],
        )

        async def check(fleet):
            await builders.wait_until_met(fleet)
            sender, helper = fleet.vms
            issuer = forwarding_tickets.Issuer(sender.settings.vm_id, 1, b"")
            for number in range(6):
                request_id = f"split-{number}"
                response = await call_with_ticket(
                    helper, issue(issuer, request_id), request_id
                )
                self.assertEqual(200, response.status)

        builders.run_fleet(check, 2, document=document)


class ForwardingTest(testtools.TestCase):
    def run_cut(self, check, cut_numbers=(0,), domains=DOMAINS):
        """Run a check with the first VM, or both, cut off."""

        async def run_check(fleet, all_cuts):
            for number in cut_numbers:
                await builders.call(fleet.vms[number], builders.READ_PATH)
                all_cuts[number].start()
            for number in cut_numbers:
                await wait_until_cut(fleet.vms[number])
            await check(fleet, all_cuts)

        cuts.run(run_check, domains, cuts.How.RESET, instance_count=3)

    def test_an_upload_arrives_whole_and_within_its_deadline(self):
        async def check(fleet, all_cuts):
            response = await builders.call(
                fleet.vms[0],
                builders.UPLOAD_PATH,
                "upload",
                "POST",
                TIME_LEFT,
                BODY,
            )
            self.assertEqual(200, response.status)
            self.assertEqual(users_instance.BODY, response.content)
            (run,) = runs_of(fleet, "upload")
            self.assertEqual(BODY, run.body)
            left = int(run.headers["primrosemill-request-deadline"])
            self.assertLessEqual(left, TIME_LEFT)
            ticket = headers.FORWARDING_TICKET.decode()
            self.assertNotIn(ticket, run.headers)

        self.run_cut(check)

    def test_a_body_that_cannot_be_sent_again_goes_to_one_helper(self):
        """Guards against the rest of a body as the body of a request."""

        async def check(fleet, all_cuts):
            helpers = fleet.vms[1:]
            now = trio.current_time()
            for each in helpers:
                each.vm._application.begin_stop(
                    planned_stop.plan_after(now - 1.0, 1.0, 0.0)
                )
            response = await builders.call(
                fleet.vms[0],
                builders.UPLOAD_PATH,
                "long",
                "POST",
                TIME_LEFT,
                bytes(LONG_BODY_SIZE),
            )
            self.assertIn(response.status, (502, 503))
            self.assertEqual([], runs_of(fleet, "long"))

        self.run_cut(check, domains=(*DOMAINS, cuts.OTHER_DOMAIN))

    def test_what_was_passed_on_is_let_end_as_both_vms_stop(self):
        async def check(fleet, all_cuts):
            for each in fleet.instances:
                each.pause = WORK_TIME
            async with trio.open_nursery() as nursery:
                nursery.start_soon(stop_applications, fleet.vms, 0.2)
                response = await builders.call(
                    fleet.vms[0], builders.ONCE_PATH, "passed", "POST"
                )
            self.assertEqual(200, response.status)
            self.assertEqual(1, len(runs_of(fleet, "passed")))

        self.run_cut(check)

    def test_a_helper_that_stops_refuses_what_may_outlast_it(self):
        # Guards against a request that a helper takes and breaks off, though
        # another one could serve it.
        async def check(fleet, all_cuts):
            await builders.wait_until_met(fleet)
            await stop_applications(fleet.vms[1:2])
            for number in range(4):
                response = await builders.call(
                    fleet.vms[0], builders.ONCE_PATH, f"once-{number}", "POST"
                )
                self.assertEqual(200, response.status)
                self.assertEqual(1, len(runs_of(fleet, f"once-{number}")))

        self.run_cut(check, domains=(*DOMAINS, cuts.OTHER_DOMAIN))

    def test_vms_without_a_path_refuse_at_once_and_pass_on_once(self):
        """Guards against requests that go in a circle."""

        async def check(fleet, all_cuts):
            for each in fleet.vms:
                started = trio.current_time()
                response = await builders.call(
                    each, builders.ONCE_PATH, "circle", "POST"
                )
                self.assertEqual(503, response.status)
                self.assertLess(trio.current_time() - started, 0.5)
                reason = answers.header(response, "x-outcome-reason")
                self.assertEqual("no_path", reason)
            self.assertEqual([], runs_of(fleet, "circle"))

        self.run_cut(check, (0, 1))

    def test_a_request_runs_once_if_its_answer_is_lost_on_the_way(self):
        async def check(fleet, all_cuts):
            for each in fleet.instances:
                each.mode = users_instance.ResponseMode.CLOSED
            response = await builders.call(
                fleet.vms[0], builders.ONCE_PATH, "lost", "POST"
            )
            self.assertEqual(502, response.status)
            self.assertEqual(1, len(runs_of(fleet, "lost")))

        self.run_cut(check)

    def test_a_request_runs_once_if_its_helper_ends(self):
        async def check(fleet, all_cuts):
            for each in fleet.instances:
                each.pause = WORK_TIME
            statuses = []

            async def call():
                response = await builders.call(
                    fleet.vms[0], builders.ONCE_PATH, "break", "POST"
                )
                statuses.append(response.status)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(call)
                await trio.sleep(WORK_TIME / 2)
                fleet.vms[1].vm.stop_immediately("test")
            # Nobody can tell whether it ran, so it is not said not to have.
            self.assertEqual([502], statuses)
            self.assertEqual(1, len(runs_of(fleet, "break")))

        self.run_cut(check)

    def test_an_answer_of_an_instance_is_passed_on_as_it_is(self):
        async def check(fleet, all_cuts):
            for each in fleet.instances:
                each.mode = users_instance.ResponseMode.ERROR
            response = await builders.call(
                fleet.vms[0], builders.ONCE_PATH, "error", "POST"
            )
            self.assertEqual(500, response.status)
            signature = answers.header(
                response, "primrosemill-server-signature"
            )
            self.assertStartsWith(signature, "by.")

        self.run_cut(check)

    def assertStartsWith(self, text, start):  # noqa: N802
        self.assertEqual(start, text[: len(start)])

    def test_a_stranger_cannot_pass_requests_on(self):
        async def check(fleet, all_cuts):
            stranger = forwarding_tickets.Issuer("entry-1", 1, b"other")
            ticket = stranger.issue(
                forwarding_tickets.Request(
                    b"GET", builders.READ_PATH.encode(), b"stranger"
                ),
                builders.SERVICE,
                0,
            )
            response = await call_with_ticket(fleet.vms[1], ticket, "stranger")
            self.assertEqual(503, response.status)
            reason = answers.header(response, "x-outcome-reason")
            self.assertEqual("bad_ticket", reason)
            self.assertEqual([], runs_of(fleet, "stranger"))
            page = await builders.get(
                fleet.vms[1].settings.admin_address, "/metrics"
            )
            counted = (
                'primrosemill_refused_tickets_total{fault="wrong_tag"} 1.0'
            )
            self.assertIn(counted, page.content.decode())

        self.run_cut(check)

    def test_a_detached_vm_that_stops_takes_no_callers_again(self):
        async def check(fleet, all_cuts):
            stopping, other = fleet.vms
            with trio.fail_after(5.0):
                while not stopping.vm._isolation.is_detached:
                    await builders.call(stopping, builders.READ_PATH)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(stopping.vm.stop, "test")
                await trio.sleep(0.1)
                all_cuts[0].stop()
                end = trio.current_time() + detachment.MAX_RETURN_DELAY + 0.5
                while trio.current_time() < end:
                    (member,) = other.vm.read_status()["members"]
                    self.assertIn(member["state"], ("leaving", "gone"))
                    await trio.sleep(0.05)
                nursery.cancel_scope.cancel()

        self.run_cut(check)

    def test_instances_are_not_blamed_for_the_path_of_one_vm(self):
        """Guards against telling others that instances fail."""

        async def check(fleet, all_cuts):
            for number in range(20):
                await builders.call(
                    fleet.vms[0], builders.READ_PATH, f"r{number}"
                )
            belief = (
                fleet.vms[1]
                .vm._balancers._balancers_by_service[builders.SERVICE]
                .selector.belief
            )
            now = trio.current_time()
            for each in fleet.instances:
                self.assertGreater(belief.chance(each.id, now), 0.5)

        self.run_cut(check)
