import testtools

from primrosemill.decisions import standings
from tests.builders import detection as builders

STATE = standings.State
OUT = (STATE.AVOIDED, STATE.EJECTED, STATE.TRIAL)


class DetectorTest(testtools.TestCase):
    def driver(self, homes=1, **changes):
        driver = builders.Driver(builders.service(**changes), homes=homes)
        driver.run(5.0)
        return driver

    def hear(self, driver, number, *entries):
        driver.detector.heard(builders.report(number, *entries), driver.now)

    def assert_all_in_rotation(self, driver):
        for standing in driver.detector.standings_by_id.values():
            self.assertEqual(STATE.IN_ROTATION, standing.state)

    def test_a_stall_shows_before_anything_completes(self):
        driver = self.driver()
        driver.run(1.0, {"res-3": None})
        self.assertEqual(STATE.AVOIDED, driver.state(3))

    def test_slow_answers_are_seen_against_the_other_instances(self):
        driver = self.driver()
        driver.run(3.0, {"res-3": (0.15, builders.GOOD)})
        self.assertEqual(STATE.AVOIDED, driver.state(3))

    def test_errors_are_seen(self):
        driver = self.driver()
        driver.run(2.0, {"res-3": (0.01, builders.ERROR)})
        self.assertEqual(STATE.AVOIDED, driver.state(3))

    def test_a_low_weight_waits_for_more_evidence(self):
        fast = self.driver(detection_weight=1.0)
        slow = self.driver(detection_weight=0.0)
        for driver in (fast, slow):
            driver.run(0.3, {"res-3": (0.01, builders.ERROR)})
        self.assertEqual(STATE.AVOIDED, fast.state(3))
        self.assertEqual(STATE.IN_ROTATION, slow.state(3))

    def test_sheds_are_load_and_not_sickness(self):
        driver = self.driver()
        driver.run(10.0, {"res-3": (0.001, builders.SHED)})
        self.assert_all_in_rotation(driver)

    def test_a_slow_service_is_no_sick_instance(self):
        driver = self.driver()
        slow = dict.fromkeys(driver.instance_ids, (0.5, builders.GOOD))
        driver.run(20.0, slow)
        self.assert_all_in_rotation(driver)

    def test_a_vm_that_sees_all_fail_doubts_itself(self):
        driver = self.driver()
        driver.run(5.0, dict.fromkeys(driver.instance_ids))
        self.assertTrue(
            all(
                standing.state not in OUT
                for standing in driver.detector.standings_by_id.values()
            )
        )

    def test_a_paused_vm_drops_what_it_measured(self):
        driver = self.driver()
        for name in driver.instance_ids:
            driver.begin(name)
        driver.now += 8.0
        driver.end_due()
        driver.detector.tick(driver.now)
        driver.run(1.0)
        self.assert_all_in_rotation(driver)

    def test_a_good_probe_is_no_evidence(self):
        driver = self.driver()
        for _ in range(10):
            driver.run(0.1, {"res-3": None})
            driver.detector.probed("res-3", True, False, driver.now)
        self.assertEqual(STATE.AVOIDED, driver.state(3))

    def test_failed_probes_are_evidence(self):
        driver = self.driver()
        for _ in range(10):
            driver.detector.probed("res-3", False, False, driver.now)
        driver.detector.tick(driver.now)
        self.assertEqual(STATE.AVOIDED, driver.state(3))

    def test_a_restarted_instance_may_be_slow_at_first(self):
        driver = self.driver()
        driver.run(0.2, {"res-3": (0.001, builders.REFUSED)})
        driver.run(5.0, {"res-3": (0.15, builders.GOOD)})
        self.assertEqual(STATE.COLD, driver.state(3))

    def test_the_floor_ranks_last_instead(self):
        driver = self.driver(floor=10)
        driver.run(2.0, {"res-3": None})
        self.assertEqual(STATE.RANKED_LAST, driver.state(3))

    def test_one_vm_alone_ejects_nothing(self):
        driver = self.driver(homes=3)
        driver.run(2.0, {"res-3": None})
        self.assertEqual(STATE.AVOIDED, driver.state(3))

    def test_the_owner_ejects_what_two_domains_find_sick(self):
        driver = self.driver(homes=3)
        self.hear_all(driver)
        driver.run(1.0, {"res-3": None})
        sick = builders.entry("res-3", score=9.0, state=STATE.AVOIDED)
        self.hear(driver, 1, sick)
        driver.run(0.1)
        self.assertEqual(STATE.EJECTED, driver.state(3))

    def hear_all(self, driver):
        """Let the owner hear every peer, late enough to settle."""
        driver.run(6.0)
        for number in (1, 2):
            self.hear(driver, number)

    def test_an_owner_that_has_not_heard_all_peers_ejects_nothing(self):
        driver = self.driver(homes=3)
        driver.run(1.0, {"res-3": None})
        sick = builders.entry("res-3", score=9.0, state=STATE.AVOIDED)
        self.hear(driver, 1, sick)
        driver.run(0.1)
        self.assertEqual(STATE.AVOIDED, driver.state(3))

    def test_what_two_others_find_well_is_a_broken_path(self):
        driver = self.driver(homes=3)
        self.hear_all(driver)
        driver.run(1.0, {"res-3": None})
        for number in (1, 2):
            self.hear(
                driver, number, builders.entry("res-3", requests=9, well=True)
            )
        driver.run(0.1)
        standing = driver.detector.standings_by_id["res-3"]
        self.assertEqual(STATE.AVOIDED, standing.state)

    def test_a_peer_follows_the_owner_out_and_back(self):
        driver = builders.Driver(builders.service(), number=1, homes=3)
        driver.run(5.0)
        out = builders.entry("res-3", state=STATE.EJECTED)
        self.hear(driver, 0, out)
        driver.run(0.1)
        self.assertEqual(STATE.EJECTED, driver.state(3))
        self.hear(driver, 0)
        driver.run(0.1)
        standing = driver.detector.standings_by_id["res-3"]
        self.assertEqual(STATE.IN_ROTATION, standing.state)
        self.assertLess(standing.share, 1.0)

    def hear_that_a_peer_avoids(self, driver):
        sick = builders.entry("res-3", score=9.0, state=STATE.AVOIDED)
        self.hear(driver, 1, sick)
        driver.run(0.1)

    def test_what_a_peer_avoids_gets_only_a_trickle(self):
        driver = self.driver(homes=3)
        self.hear_that_a_peer_avoids(driver)
        self.assertEqual(STATE.TRIAL, driver.state(3))
        self.assertFalse(driver.takes_work("res-3"))

    def test_a_second_opinion_is_asked_for(self):
        driver = self.driver(homes=3)
        sick = builders.entry("res-3", score=9.0, state=STATE.AVOIDED)
        driver.run(0.5, {"res-3": (0.05, builders.SHED)})
        self.hear(driver, 1, sick)
        driver.detector.tick(driver.now)
        self.assertEqual("res-3", driver.detector.due_trial(driver.now))

    def test_a_second_opinion_does_not_break_the_floor(self):
        driver = self.driver(homes=3, floor=10)
        self.hear_that_a_peer_avoids(driver)
        self.assertEqual(STATE.RANKED_LAST, driver.state(3))

    def test_a_second_opinion_is_not_told_as_an_ejection(self):
        driver = self.driver(homes=3)
        self.hear_that_a_peer_avoids(driver)
        told = {
            each.instance_id: each.state
            for each in driver.detector.report().instances
        }
        self.assertEqual(STATE.RANKED_LAST, told["res-3"])

    def test_who_finds_it_well_uses_what_a_peer_avoids(self):
        driver = self.driver(homes=3)
        self.hear_that_a_peer_avoids(driver)
        for _ in range(30):
            tried = driver.detector.due_trial(driver.now)
            if tried is not None:
                driver.attempt(tried)
            sick = builders.entry("res-3", score=9.0, state=STATE.AVOIDED)
            self.hear(driver, 1, sick)
            driver.run(0.1)
        self.assertEqual(STATE.IN_ROTATION, driver.state(3))

    def test_a_stale_report_carries_no_weight(self):
        driver = self.driver(homes=3)
        sick = builders.entry("res-3", score=9.0, state=STATE.AVOIDED)
        self.hear(driver, 1, sick)
        driver.run(5.0)
        self.assert_all_in_rotation(driver)

    def test_a_report_of_a_stranger_is_refused(self):
        driver = self.driver(homes=2)
        report = builders.report(7, builders.entry("res-3", score=9.0))
        self.assertFalse(driver.detector.heard(report, driver.now))

    def test_a_report_about_another_service_is_refused(self):
        driver = self.driver(homes=2)
        report = builders.report(1)._replace(service="compliance")
        self.assertFalse(driver.detector.heard(report, driver.now))

    def test_an_instance_comes_back_by_trial_and_step_by_step(self):
        driver = self.driver()
        driver.run(1.0, {"res-3": None})
        driver.run(3.0)
        self.assertEqual(STATE.TRIAL, driver.state(3))
        shares = self.run_trial(driver, 0.05)
        self.assertEqual(STATE.IN_ROTATION, driver.state(3))
        self.assertEqual(sorted(shares), shares)
        self.assertEqual([0.0, 1.0], [shares[0], shares[-1]])

    def test_an_instance_that_is_still_slow_stays_out(self):
        driver = self.driver()
        driver.run(1.0, {"res-3": None})
        driver.run(3.0)
        self.run_trial(driver, 0.5)
        self.assertIn(driver.state(3), (STATE.AVOIDED, STATE.TRIAL))

    def test_what_nothing_can_try_comes_back_by_itself(self):
        driver = self.driver()
        driver.run(1.0, {"res-3": None})
        driver.run(3.0)
        self.assertEqual(STATE.TRIAL, driver.state(3))
        driver.run(31.0)
        self.assertEqual(STATE.IN_ROTATION, driver.state(3))

    def test_each_return_to_sickness_lengthens_the_time_out(self):
        driver = self.driver()
        spans = []
        for _ in range(3):
            driver.run(1.0, {"res-3": None})
            self.assertEqual(STATE.AVOIDED, driver.state(3))
            out_since = driver.now
            while driver.state(3) is STATE.AVOIDED:
                driver.run(0.1)
            spans.append(driver.now - out_since)
            driver.run(31.0)
        self.assertGreater(spans[1], 1.5 * spans[0])
        self.assertGreater(spans[2], 1.5 * spans[1])

    def run_trial(self, driver, latency):
        shares = []
        for _ in range(150):
            tried = driver.detector.due_trial(driver.now)
            if tried is not None:
                driver.attempt(tried, latency)
            driver.run(0.1)
            shares.append(driver.detector.standings_by_id["res-3"].share)
        return shares
