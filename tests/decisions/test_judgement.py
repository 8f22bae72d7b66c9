import testtools

from primrosemill.decisions import judgement
from primrosemill.decisions import standings
from primrosemill.decisions import thresholds
from tests.builders import detection as builders

LIMITS = thresholds.from_weight(0.9)
ONE_ERROR_AND_A_SLOW_ANSWER = 4.0  # nats


class JudgementTest(testtools.TestCase):
    def judge(self, own_score, *peers_entries):
        driver = builders.Driver(builders.service(), homes=3)
        heard = driver.detector._peers
        for number, entry in enumerate(peers_entries):
            heard.take(builders.report(number + 1, entry), driver.now)
        own = builders.entry("res-3", score=own_score)
        votes = judgement.count(
            builders.home(0), own, heard.fresh(driver.now), LIMITS
        )
        return judgement.judge(votes, own_score, LIMITS, True)

    def entry(self, **changes):
        return builders.entry("res-3", **changes)

    def test_two_domains_make_an_instance_sick(self):
        verdict = self.judge(LIMITS.act, self.entry(score=LIMITS.act))
        self.assertEqual(judgement.Verdict.SICK, verdict)

    def test_chance_at_a_second_vm_does_not_confirm(self):
        chance = self.entry(score=ONE_ERROR_AND_A_SLOW_ANSWER)
        verdict = self.judge(LIMITS.act, chance)
        self.assertEqual(judgement.Verdict.UNCONFIRMED, verdict)

    def test_as_many_who_find_it_well_outweigh_the_sick(self):
        sick = self.entry(score=LIMITS.act)
        well = self.entry(well=True, state=standings.State.IN_ROTATION)
        verdict = self.judge(0.0, sick, well)
        self.assertEqual(judgement.Verdict.HEALTHY, verdict)
