import testtools
import trio
import trio.testing

from primrosemill.configuration import document as documents
from primrosemill.decisions import detector
from primrosemill.decisions import outcomes
from primrosemill.decisions import standings
from primrosemill.proxy import assignments
from primrosemill.proxy import budgeted_retries
from primrosemill.proxy import detection
from primrosemill.proxy import request_policies
from tests.builders import detection as builders

STATE = standings.State
SERVICE = "reservations"
CLOSED = outcomes.Unknown(outcomes.UnknownReason.CLOSED)


class RecordedExchange:
    """Records sent reports and returns those set by the test."""

    def __init__(self):
        self.sent = []
        self.received = []

    def put_report(self, report):
        self.sent.append(report)

    def reports(self, service):
        return list(self.received)

    def is_live(self, vm_id):
        return True


class DetectionTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = trio.testing.MockClock()
        self.exchange = RecordedExchange()
        self.states_by_id = {}
        self.latencies = []

    def run_async(self, function):
        trio.run(function, clock=self.clock)

    def record_standing(self, service, instance_id, standing):
        self.states_by_id[instance_id] = standing.state

    def record_latency(self, service, elapsed, now):
        self.latencies.append(elapsed)

    def build(self, homes=(0, 1)):
        own_vm = builders.home(0)
        self.detection = detection.Detection(
            own_vm, self.record_standing, self.record_latency
        )
        service = builders.service()
        document = documents.empty_document("atlas")._replace(
            services_by_name={SERVICE: service}
        )
        self.detection.set_document(document)
        homes = tuple(builders.home(number) for number in homes)
        self.detection.set_assignment(
            assignments.Assignment(SERVICE, homes, {"res-3": 0})
        )
        return [each.id for each in service.instances]

    def start(self, instance_id):
        started = trio.current_time()
        start = request_policies.AttemptStart(
            SERVICE, instance_id, started, True
        )
        self.detection.attempt_started(start)
        return start

    def answer(self, start, status=200, outcome=None, draining=False):
        elapsed = trio.current_time() - start.started
        self.detection.attempt_answered(start, status)
        end = request_policies.AttemptEnd(
            start,
            outcome or outcomes.Answered(status, elapsed),
            elapsed,
            elapsed,
            draining,
        )
        self.detection.attempt_ended(end)

    def step(self, instance_ids, **changes):
        """Answer one attempt at each instance and tick once."""
        starts = [self.start(instance_id) for instance_id in instance_ids]
        self.clock.jump(0.05)
        for start in starts:
            self.answer(start, **changes)
        self.clock.jump(detector.TICK_INTERVAL - 0.05)
        self.detection.tick(self.exchange)

    def test_stalled_instance_is_reported_and_avoided(self):
        async def main():
            healthy = self.build()
            for _ in range(50):
                self.step(healthy)
            healthy.remove("res-3")
            stalled_starts = [self.start("res-3") for _ in range(3)]
            for _ in range(10):
                self.step(healthy)
            self.assertEqual(STATE.AVOIDED, self.states_by_id["res-3"])
            reported_states_by_id = {
                each.instance_id: each.state
                for each in self.exchange.sent[-1].instances
            }
            self.assertEqual(STATE.AVOIDED, reported_states_by_id["res-3"])
            self.assertEqual(3, len(stalled_starts))

        self.run_async(main)

    def test_slow_caller_does_not_count_as_a_slow_instance(self):
        async def main():
            instance_ids = self.build()
            for _ in range(50):
                self.step(instance_ids)
            start = self.start("res-3")
            self.clock.jump(0.05)
            self.detection.attempt_answered(start, 200)
            for _ in range(100):
                self.step(instance_ids)
            self.assertEqual({}, self.states_by_id)

        self.run_async(main)

    def test_truncated_answers_count_as_errors(self):
        async def main():
            instance_ids = self.build()
            for _ in range(50):
                self.step(instance_ids)
            for _ in range(10):
                self.step(["res-3"], outcome=CLOSED)
            self.assertEqual(STATE.AVOIDED, self.states_by_id["res-3"])

        self.run_async(main)

    def test_drain_sign_takes_effect_before_the_next_tick(self):
        async def main():
            self.build()
            self.answer(self.start("res-3"), draining=True)
            self.assertEqual(STATE.DRAINING, self.states_by_id["res-3"])

        self.run_async(main)

    def test_drain_sign_in_a_report_of_a_peer_takes_effect(self):
        async def main():
            self.build()
            entry = builders.entry("res-3", draining=True)
            self.exchange.received = [builders.report(1, entry)]
            for _ in range(detection.EXCHANGE_TICKS):
                self.step([])
            self.assertEqual(STATE.DRAINING, self.states_by_id["res-3"])

        self.run_async(main)

    def test_suspicion_in_a_report_of_a_peer_causes_a_trial(self):
        async def main():
            instance_ids = self.build()
            for _ in range(50):
                self.step(instance_ids)
            instance_ids.remove("res-3")
            for _ in range(300):
                self.step(instance_ids)
            self.assertIsNone(
                self.detection.next_trial_instance(
                    SERVICE, trio.current_time()
                )
            )
            entry = builders.entry("res-3", score=20.0)
            self.exchange.received = [builders.report(1, entry)]
            for _ in range(detection.EXCHANGE_TICKS):
                self.step(instance_ids)
            self.assertEqual(
                "res-3",
                self.detection.next_trial_instance(
                    SERVICE, trio.current_time()
                ),
            )

        self.run_async(main)

    def test_service_without_requests_is_no_longer_watched(self):
        async def main():
            self.build(homes=(1, 2))
            self.assertEqual(0, self.detection.watched_count)
            self.step(["res-3"])
            self.assertEqual(1, self.detection.watched_count)
            self.clock.jump(detection.IDLE_LIFETIME - 1.0)
            self.detection.tick(self.exchange)
            self.assertEqual(1, self.detection.watched_count)
            self.clock.jump(2.0)
            self.detection.tick(self.exchange)
            self.assertEqual(0, self.detection.watched_count)
            self.assertEqual([], self.exchange.sent)

        self.run_async(main)

    def test_latency_of_answers_is_passed_to_the_callback(self):
        async def main():
            self.step(self.build())
            self.assertEqual(10, len(self.latencies))
            self.assertAlmostEqual(0.05, self.latencies[0])

        self.run_async(main)


class BudgetedRetriesTest(testtools.TestCase):
    def facts(self, outcome, **changes):
        facts = request_policies.RetryFacts(
            SERVICE, True, 1, outcome, 0.0, 10.0
        )
        return facts._replace(**changes)

    def policy_without_budget(self):
        policy = budgeted_retries.BudgetedRetries()
        while (
            policy.decide(self.facts(CLOSED)).action
            is request_policies.Action.RETRY
        ):
            pass
        return policy

    def test_failed_request_is_given_up_without_budget(self):
        decision = self.policy_without_budget().decide(self.facts(CLOSED))
        self.assertEqual(request_policies.Action.GIVE_UP, decision.action)
        self.assertGreater(decision.retry_after, 1.0)

    def test_shed_request_waits_without_budget(self):
        decision = self.policy_without_budget().decide(
            self.facts(builders.SHED)
        )
        self.assertEqual(request_policies.Action.WAIT, decision.action)

    def test_requests_refill_the_budget(self):
        policy = self.policy_without_budget()
        for _ in range(10):
            policy.request_started(SERVICE, 0.0)
        decision = policy.decide(self.facts(CLOSED))
        self.assertEqual(request_policies.Action.RETRY, decision.action)

    def test_each_service_has_its_own_budget(self):
        decision = self.policy_without_budget().decide(
            self.facts(CLOSED, service="compliance")
        )
        self.assertEqual(request_policies.Action.RETRY, decision.action)

    def test_hedges_spend_the_budget(self):
        policy = budgeted_retries.BudgetedRetries()
        for number in range(100):
            policy.record_answer_time(SERVICE, 0.05, number * 0.1)
        self.assertIsNotNone(policy.hedge_delay(SERVICE, 10.0))
        while policy.try_spend_hedge(SERVICE):
            pass
        self.assertIsNone(policy.hedge_delay(SERVICE, 10.0))
