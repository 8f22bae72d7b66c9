import testtools

from primrosemill.decisions import standings
from primrosemill.decisions import thresholds
from primrosemill.decisions import verdicts
from tests.builders import detection as builders

THRESHOLDS = thresholds.from_weight(0.9)
SCORE_OF_ONE_ERROR_AND_ONE_SLOW_ANSWER = 4.0  # nats


class JudgementTest(testtools.TestCase):
    def evaluate(self, own_score, *peer_entries):
        driver = builders.Driver(builders.service(), home_count=3)
        peer_reports = driver.detector._peer_reports
        for number, entry in enumerate(peer_entries):
            peer_reports.receive(
                builders.report(number + 1, entry), driver.now
            )
        own_entry = builders.entry("res-3", score=own_score)
        votes = verdicts.count_votes(
            builders.home(0),
            own_entry,
            peer_reports.fresh_reports(driver.now),
            THRESHOLDS,
        )
        return verdicts.evaluate(votes, own_score, THRESHOLDS, True)

    def entry(self, **changes):
        return builders.entry("res-3", **changes)

    def test_votes_from_two_domains_make_an_instance_sick(self):
        verdict = self.evaluate(
            THRESHOLDS.removal, self.entry(score=THRESHOLDS.removal)
        )
        self.assertEqual(verdicts.Verdict.SICK, verdict)

    def test_one_error_and_one_slow_answer_do_not_confirm_a_suspicion(self):
        coincidence = self.entry(score=SCORE_OF_ONE_ERROR_AND_ONE_SLOW_ANSWER)
        verdict = self.evaluate(THRESHOLDS.removal, coincidence)
        self.assertEqual(verdicts.Verdict.UNCONFIRMED, verdict)

    def test_an_equal_number_of_healthy_votes_outweighs_the_sick_votes(self):
        sick = self.entry(score=THRESHOLDS.removal)
        healthy = self.entry(well=True, state=standings.State.IN_ROTATION)
        verdict = self.evaluate(0.0, sick, healthy)
        self.assertEqual(verdicts.Verdict.HEALTHY, verdict)
