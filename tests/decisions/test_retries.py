import hypothesis
from hypothesis import strategies
import testtools

from primrosemill.decisions import hedging
from primrosemill.decisions import outcomes
from primrosemill.decisions import retries
from primrosemill.decisions import retry_budget
from tests.builders import detection as builders

REASON = outcomes.RefusalReason
CLOSED = outcomes.Unknown(outcomes.UnknownReason.CLOSED)
OUTCOMES = strategies.one_of(
    strategies.builds(
        outcomes.NotRun, strategies.sampled_from(outcomes.NotRunReason)
    ),
    strategies.builds(
        outcomes.Unknown, strategies.sampled_from(outcomes.UnknownReason)
    ),
)


def request(**changes):
    return retries.Request(idempotent=True, deadline=10.0)._replace(**changes)


def history(*ended):
    told = retries.History()
    for outcome in ended:
        told = retries.note(told, outcome)
    return told


def empty_budget():
    budget = retry_budget.RetryBudget()
    while budget.spend():
        pass
    return budget


class RetriesTest(testtools.TestCase):
    def decide(self, *ended, now=0.0, budget=None, **changes):
        return retries.decide(
            request(**changes),
            history(*ended),
            budget or retry_budget.RetryBudget(),
            now,
        )

    def test_an_idempotent_request_is_sent_again(self):
        self.assertIsInstance(self.decide(CLOSED), retries.Again)

    def test_what_may_have_run_is_not_repeated(self):
        decision = self.decide(CLOSED, idempotent=False)
        self.assertEqual(REASON.RETRIES_SPENT, decision.reason)
        self.assertTrue(decision.may_have_run)

    def test_what_was_not_run_is_sent_again(self):
        decision = self.decide(builders.REFUSED, idempotent=False)
        self.assertIsInstance(decision, retries.Again)

    def test_a_later_shed_does_not_undo_an_unknown_attempt(self):
        decision = self.decide(CLOSED, builders.SHED, idempotent=False)
        self.assertTrue(decision.may_have_run)

    def test_a_body_that_is_gone_is_not_sent_again(self):
        decision = self.decide(builders.SHED, replayable=False)
        self.assertEqual(REASON.BODY_SENT, decision.reason)

    def test_half_an_answer_ends_in_an_abort(self):
        decision = self.decide(CLOSED, answer_started=True)
        self.assertEqual(retries.Abort(), decision)

    def test_a_pause_that_outlasts_the_deadline_is_not_made(self):
        decision = self.decide(builders.REFUSED, now=9.999)
        self.assertEqual(REASON.DEADLINE, decision.reason)

    def test_an_empty_budget_gives_the_final_answer_at_once(self):
        decision = self.decide(CLOSED, budget=empty_budget())
        self.assertEqual(REASON.RETRIES_SPENT, decision.reason)
        self.assertGreater(decision.retry_after, 0.0)

    def test_a_shed_request_waits_for_the_budget(self):
        decision = self.decide(builders.SHED, budget=empty_budget())
        self.assertIsInstance(decision, retries.Wait)

    def test_pauses_grow_up_to_a_limit(self):
        pauses = [retries.backoff_after(count) for count in range(1, 12)]
        self.assertEqual(sorted(pauses), pauses)
        self.assertEqual(retries.MAX_BACKOFF, pauses[-1])

    def test_a_passed_deadline_means_do_not_send(self):
        self.assertFalse(retries.may_send(request(), history(), 10.0))

    @hypothesis.settings(max_examples=300, **builders.PROPERTIES)
    @hypothesis.given(strategies.lists(OUTCOMES, min_size=1, max_size=6))
    def test_only_not_run_is_repeated_unless_idempotent(self, ended):
        decision = self.decide(*ended, idempotent=False)
        if any(isinstance(each, outcomes.Unknown) for each in ended):
            self.assertIsInstance(decision, retries.Finish)
            self.assertTrue(decision.may_have_run)
        elif isinstance(decision, retries.Finish):
            self.assertFalse(decision.may_have_run)

    @hypothesis.settings(max_examples=100, **builders.PROPERTIES)
    @hypothesis.given(strategies.lists(strategies.integers(0, 20)))
    def test_the_budget_bounds_all_attempts(self, wishes):
        budget = retry_budget.RetryBudget()
        attempts = 0
        for wished in wishes:
            budget.earn()
            attempts += 1 + sum(budget.spend() for _ in range(wished))
        most = len(wishes) * (1.0 + retry_budget.RETRY_SHARE)
        self.assertLessEqual(attempts, most + retry_budget.RESERVE)


class HedgingTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.hedging = hedging.Hedging()
        for number in range(300):
            latency = 0.5 if number % 50 == 0 else 0.05
            self.hedging.answered(latency, number * 0.1)

    def test_the_delay_is_a_high_percentile(self):
        delay = self.hedging.delay(request(), 0.0)
        self.assertGreater(delay, 0.4)
        self.assertLess(delay, 0.7)

    def test_nothing_is_known_at_first(self):
        self.assertIsNone(hedging.Hedging().delay(request(), 0.0))

    def test_only_idempotent_requests_are_hedged(self):
        asked = request(idempotent=False)
        self.assertIsNone(self.hedging.delay(asked, 0.0))
        budget = retry_budget.RetryBudget()
        self.assertFalse(self.hedging.try_start(asked, budget, 0.0))

    def test_a_hedge_after_the_deadline_is_not_planned(self):
        self.assertIsNone(self.hedging.delay(request(), 9.9))

    def test_hedges_leave_a_part_of_the_budget_to_retries(self):
        budget = retry_budget.RetryBudget()
        hedges = 0
        while self.hedging.try_start(request(), budget, 0.0):
            hedges += 1
        self.assertLess(hedges, retry_budget.RESERVE)
        self.assertTrue(budget.spend())
