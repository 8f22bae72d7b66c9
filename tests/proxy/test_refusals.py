import testtools
import trio

from primrosemill.proxy import request_policies
from primrosemill.standins import instance
from tests.builders import answers
from tests.builders import path as builders


class RetryImmediately(request_policies.RetryUntilDeadline):
    def decide(self, facts):
        return request_policies.Decision(request_policies.Action.RETRY)


class RefusalsTest(testtools.TestCase):
    async def call(self, standin, target, deadline=5.0):
        async with trio.open_nursery() as nursery:
            addresses = await builders.start_standins(nursery, [standin])
            path = await builders.start_path(
                nursery,
                addresses,
                request_policies.default_policies()._replace(
                    retries=RetryImmediately()
                ),
                deadline,
            )
            response = await builders.call(path, target)
            nursery.cancel_scope.cancel()
        self.assertEqual({}, standin.runs_by_tag)
        return response

    def test_an_ambiguous_path_is_refused_and_not_run(self):
        for target in ("/slots/%2e%2e/bookings/new", "/slots%2Ftoday"):
            standin = instance.InstanceStandin("res-0", 3, 0.0)
            response = trio.run(self.call, standin, target)
            self.assertEqual(400, response.status)

    def test_a_request_shed_until_its_deadline_has_spent_its_retries(self):
        standin = instance.InstanceStandin("res-0", 0, 0.0)
        response = trio.run(
            self.call, standin, builders.NON_IDEMPOTENT_PATH, 0.5
        )
        self.assertEqual(503, response.status)
        reason = answers.header(response, "x-outcome-reason")
        self.assertEqual("retries_spent", reason)
