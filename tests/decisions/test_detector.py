import testtools

from primrosemill.decisions import standings
from tests.builders import detection as builders

STATE = standings.State
REMOVED = (STATE.AVOIDED, STATE.EJECTED, STATE.TRIAL)


class DetectorTest(testtools.TestCase):
    def driver(self, homes=1, **changes):
        driver = builders.Driver(builders.service(**changes), home_count=homes)
        driver.run(5.0)
        return driver

    def deliver_report(self, driver, number, *entries):
        driver.detector.receive_report(
            builders.report(number, *entries), driver.now
        )

    def assert_all_in_rotation(self, driver):
        for standing in driver.detector.standings_by_id.values():
            self.assertEqual(STATE.IN_ROTATION, standing.state)

    def test_a_stalled_instance_is_avoided_before_any_attempt_ends(self):
        driver = self.driver()
        driver.run(1.0, {"res-3": None})
        self.assertEqual(STATE.AVOIDED, driver.state(3))

    def test_an_instance_slower_than_the_others_is_avoided(self):
        driver = self.driver()
        driver.run(3.0, {"res-3": (0.15, builders.GOOD)})
        self.assertEqual(STATE.AVOIDED, driver.state(3))

    def test_an_instance_with_many_errors_is_avoided(self):
        driver = self.driver()
        driver.run(2.0, {"res-3": (0.01, builders.ERROR)})
        self.assertEqual(STATE.AVOIDED, driver.state(3))

    def test_a_low_detection_weight_requires_more_evidence(self):
        high = self.driver(detection_weight=1.0)
        low = self.driver(detection_weight=0.0)
        for driver in (high, low):
            driver.run(0.3, {"res-3": (0.01, builders.ERROR)})
        self.assertEqual(STATE.AVOIDED, high.state(3))
        self.assertEqual(STATE.IN_ROTATION, low.state(3))

    def test_an_instance_that_sheds_stays_in_rotation(self):
        driver = self.driver()
        driver.run(10.0, {"res-3": (0.001, builders.SHED)})
        self.assert_all_in_rotation(driver)

    def test_all_instances_stay_in_rotation_when_all_are_slow(self):
        driver = self.driver()
        slow = dict.fromkeys(driver.instance_ids, (0.5, builders.GOOD))
        driver.run(20.0, slow)
        self.assert_all_in_rotation(driver)

    def test_no_instance_is_removed_when_all_stall(self):
        driver = self.driver()
        driver.run(5.0, dict.fromkeys(driver.instance_ids))
        self.assertTrue(
            all(
                standing.state not in REMOVED
                for standing in driver.detector.standings_by_id.values()
            )
        )

    def test_attempts_in_flight_during_a_pause_are_no_evidence(self):
        driver = self.driver()
        for name in driver.instance_ids:
            driver.start_attempt(name)
        driver.now += 8.0
        driver.finish_due_attempts()
        driver.detector.tick(driver.now)
        driver.run(1.0)
        self.assert_all_in_rotation(driver)

    def test_a_successful_probe_does_not_clear_a_stalled_instance(self):
        driver = self.driver()
        for _ in range(10):
            driver.run(0.1, {"res-3": None})
            driver.detector.record_probe("res-3", True, False, driver.now)
        self.assertEqual(STATE.AVOIDED, driver.state(3))

    def test_an_instance_with_failed_probes_is_avoided(self):
        driver = self.driver()
        for _ in range(10):
            driver.detector.record_probe("res-3", False, False, driver.now)
        driver.detector.tick(driver.now)
        self.assertEqual(STATE.AVOIDED, driver.state(3))

    def test_a_restarted_instance_is_cold_and_may_be_slow(self):
        driver = self.driver()
        driver.run(0.2, {"res-3": (0.001, builders.REFUSED)})
        driver.run(5.0, {"res-3": (0.15, builders.GOOD)})
        self.assertEqual(STATE.COLD, driver.state(3))

    def test_a_sick_instance_is_ranked_last_at_the_floor(self):
        driver = self.driver(floor=10)
        driver.run(2.0, {"res-3": None})
        self.assertEqual(STATE.RANKED_LAST, driver.state(3))

    def test_a_single_vm_avoids_an_instance_but_does_not_eject_it(self):
        driver = self.driver(homes=3)
        driver.run(2.0, {"res-3": None})
        self.assertEqual(STATE.AVOIDED, driver.state(3))

    def test_the_owner_ejects_an_instance_sick_in_two_domains(self):
        driver = self.driver(homes=3)
        self.deliver_new_reports(driver)
        driver.run(1.0, {"res-3": None})
        sick = builders.entry("res-3", score=9.0, state=STATE.AVOIDED)
        self.deliver_report(driver, 1, sick)
        driver.run(0.1)
        self.assertEqual(STATE.EJECTED, driver.state(3))

    def deliver_new_reports(self, driver):
        """Deliver a new report of every peer, so that the owner may eject."""
        driver.run(6.0)
        for number in (1, 2):
            self.deliver_report(driver, number)

    def test_the_owner_ejects_nothing_before_all_peers_reported(self):
        driver = self.driver(homes=3)
        driver.run(1.0, {"res-3": None})
        sick = builders.entry("res-3", score=9.0, state=STATE.AVOIDED)
        self.deliver_report(driver, 1, sick)
        driver.run(0.1)
        self.assertEqual(STATE.AVOIDED, driver.state(3))

    def test_an_instance_that_peers_find_healthy_is_only_avoided(self):
        driver = self.driver(homes=3)
        self.deliver_new_reports(driver)
        driver.run(1.0, {"res-3": None})
        for number in (1, 2):
            self.deliver_report(
                driver, number, builders.entry("res-3", requests=9, well=True)
            )
        driver.run(0.1)
        standing = driver.detector.standings_by_id["res-3"]
        self.assertEqual(STATE.AVOIDED, standing.state)

    def test_a_peer_follows_the_ejection_and_the_return_of_the_owner(self):
        driver = builders.Driver(builders.service(), number=1, home_count=3)
        driver.run(5.0)
        ejected = builders.entry("res-3", state=STATE.EJECTED)
        self.deliver_report(driver, 0, ejected)
        driver.run(0.1)
        self.assertEqual(STATE.EJECTED, driver.state(3))
        self.deliver_report(driver, 0)
        driver.run(0.1)
        standing = driver.detector.standings_by_id["res-3"]
        self.assertEqual(STATE.IN_ROTATION, standing.state)
        self.assertLess(standing.share, 1.0)

    def report_that_a_peer_avoids_it(self, driver):
        sick = builders.entry("res-3", score=9.0, state=STATE.AVOIDED)
        self.deliver_report(driver, 1, sick)
        driver.run(0.1)

    def test_an_instance_avoided_by_a_peer_gets_only_trial_requests(self):
        driver = self.driver(homes=3)
        self.report_that_a_peer_avoids_it(driver)
        self.assertEqual(STATE.TRIAL, driver.state(3))
        self.assertFalse(driver.gets_requests("res-3"))

    def test_an_instance_avoided_by_a_peer_is_tried_for_a_second_opinion(self):
        driver = self.driver(homes=3)
        sick = builders.entry("res-3", score=9.0, state=STATE.AVOIDED)
        driver.run(0.5, {"res-3": (0.05, builders.SHED)})
        self.deliver_report(driver, 1, sick)
        driver.detector.tick(driver.now)
        self.assertEqual(
            "res-3", driver.detector.next_trial_instance(driver.now)
        )

    def test_a_second_opinion_does_not_violate_the_floor(self):
        driver = self.driver(homes=3, floor=10)
        self.report_that_a_peer_avoids_it(driver)
        self.assertEqual(STATE.RANKED_LAST, driver.state(3))

    def test_a_second_opinion_is_not_reported_as_a_removal(self):
        driver = self.driver(homes=3)
        self.report_that_a_peer_avoids_it(driver)
        states_by_id = {
            each.instance_id: each.state
            for each in driver.detector.report().instances
        }
        self.assertEqual(STATE.RANKED_LAST, states_by_id["res-3"])

    def test_an_instance_found_healthy_is_used_though_a_peer_avoids_it(self):
        driver = self.driver(homes=3)
        self.report_that_a_peer_avoids_it(driver)
        for _ in range(30):
            instance_id = driver.detector.next_trial_instance(driver.now)
            if instance_id is not None:
                driver.attempt(instance_id)
            sick = builders.entry("res-3", score=9.0, state=STATE.AVOIDED)
            self.deliver_report(driver, 1, sick)
            driver.run(0.1)
        self.assertEqual(STATE.IN_ROTATION, driver.state(3))

    def test_a_stale_report_is_no_evidence(self):
        driver = self.driver(homes=3)
        sick = builders.entry("res-3", score=9.0, state=STATE.AVOIDED)
        self.deliver_report(driver, 1, sick)
        driver.run(5.0)
        self.assert_all_in_rotation(driver)

    def test_a_report_from_a_vm_that_is_not_home_is_ignored(self):
        driver = self.driver(homes=2)
        report = builders.report(7, builders.entry("res-3", score=9.0))
        self.assertFalse(driver.detector.receive_report(report, driver.now))

    def test_a_report_on_another_service_is_ignored(self):
        driver = self.driver(homes=2)
        report = builders.report(1)._replace(service="compliance")
        self.assertFalse(driver.detector.receive_report(report, driver.now))

    def test_an_instance_that_passes_its_trial_returns_in_steps(self):
        driver = self.driver()
        driver.run(1.0, {"res-3": None})
        driver.run(3.0)
        self.assertEqual(STATE.TRIAL, driver.state(3))
        shares = self.run_trial(driver, 0.05)
        self.assertEqual(STATE.IN_ROTATION, driver.state(3))
        self.assertEqual(sorted(shares), shares)
        self.assertEqual([0.0, 1.0], [shares[0], shares[-1]])

    def test_an_instance_that_fails_its_trial_stays_removed(self):
        driver = self.driver()
        driver.run(1.0, {"res-3": None})
        driver.run(3.0)
        self.run_trial(driver, 0.5)
        self.assertIn(driver.state(3), (STATE.AVOIDED, STATE.TRIAL))

    def test_an_instance_without_trial_requests_returns_after_a_timeout(self):
        driver = self.driver()
        driver.run(1.0, {"res-3": None})
        driver.run(3.0)
        self.assertEqual(STATE.TRIAL, driver.state(3))
        driver.run(31.0)
        self.assertEqual(STATE.IN_ROTATION, driver.state(3))

    def test_each_further_removal_lasts_longer(self):
        driver = self.driver()
        durations = []
        for _ in range(3):
            driver.run(1.0, {"res-3": None})
            self.assertEqual(STATE.AVOIDED, driver.state(3))
            removed_at = driver.now
            while driver.state(3) is STATE.AVOIDED:
                driver.run(0.1)
            durations.append(driver.now - removed_at)
            driver.run(31.0)
        self.assertGreater(durations[1], 1.5 * durations[0])
        self.assertGreater(durations[2], 1.5 * durations[1])

    def run_trial(self, driver, latency):
        shares = []
        for _ in range(150):
            instance_id = driver.detector.next_trial_instance(driver.now)
            if instance_id is not None:
                driver.attempt(instance_id, latency)
            driver.run(0.1)
            shares.append(driver.detector.standings_by_id["res-3"].share)
        return shares
