import testtools
import trio

from primrosemill.decisions import standings
from primrosemill.proxy import request_policies
from primrosemill.standins import instance
from tests.builders import path as builders

SERVICE = "reservations"
TRIAL_INSTANCE = "res-2"


class TrialObserver(request_policies.NullObserver):
    """An observer that asks each request to try the same instance."""

    def next_trial_instance(self, service, now):
        return TRIAL_INSTANCE


class TrialsTest(testtools.TestCase):
    def count_runs(self, target, method):
        """Send ten requests; return how many the trial instance ran."""
        standins = [
            instance.InstanceStandin(f"res-{number}", 3, 0.0)
            for number in range(3)
        ]

        async def run():
            async with trio.open_nursery() as nursery:
                addresses = await builders.start_standins(nursery, standins)
                decisions = request_policies.default_policies()._replace(
                    observer=TrialObserver()
                )
                path = await builders.start_path(nursery, addresses, decisions)
                path.application.set_standing(
                    SERVICE,
                    TRIAL_INSTANCE,
                    standings.Standing(standings.State.EJECTED, share=0.0),
                )
                for number in range(10):
                    response = await builders.call(
                        path, target, f"r{number}", method
                    )
                    self.assertEqual(200, response.status)
                nursery.cancel_scope.cancel()

        trio.run(run)
        self.assertEqual(10, sum(len(each.runs) for each in standins))
        return len(standins[2].runs)

    def test_idempotent_request_tries_an_ejected_instance(self):
        self.assertEqual(10, self.count_runs(builders.IDEMPOTENT_PATH, "GET"))

    def test_request_that_is_not_idempotent_is_no_trial(self):
        self.assertEqual(
            0, self.count_runs(builders.NON_IDEMPOTENT_PATH, "POST")
        )
