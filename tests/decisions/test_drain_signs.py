import testtools

from primrosemill.decisions import standings
from tests.builders import detection as builders

DRAINING = standings.State.DRAINING


class DrainsTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.service = builders.service()
        self.driver = builders.Driver(self.service, home_count=3)
        self.driver.run(1.0)

    def state(self):
        return self.driver.state(3)

    def test_the_first_sign_takes_effect_at_once(self):
        self.driver.detector.record_draining("res-3", self.driver.now)
        self.assertEqual(DRAINING, self.state())
        self.assertFalse(self.driver.gets_requests("res-3"))
        changed = self.driver.detector.tick(self.driver.now)
        self.assertIn("res-3", changed)

    def test_a_sign_of_an_unknown_instance_is_ignored(self):
        self.driver.detector.record_draining("absent", self.driver.now)
        self.assertNotIn("absent", self.driver.detector.standings_by_id)

    def test_a_sign_reported_by_a_peer_takes_effect_at_once(self):
        report = builders.report(1, builders.entry("res-3", draining=True))
        self.driver.detector.receive_report(report, self.driver.now)
        self.assertEqual(DRAINING, self.state())

    def test_only_signs_seen_by_this_vm_are_reported(self):
        report = builders.report(1, builders.entry("res-3", draining=True))
        self.driver.detector.receive_report(report, self.driver.now)
        own_report = self.driver.detector.report()
        self.assertFalse(any(each.draining for each in own_report.instances))
        self.driver.detector.record_draining("res-4", self.driver.now)
        own_report = self.driver.detector.report()
        reported = [
            each.instance_id for each in own_report.instances if each.draining
        ]
        self.assertEqual(["res-4"], reported)

    def test_an_instance_leaving_in_the_document_drains(self):
        instances = list(self.service.instances)
        instances[3] = instances[3]._replace(state="leaving")
        changed = self.service._replace(revision=2, instances=tuple(instances))
        self.driver.detector.set_service(changed, self.driver.now)
        self.assertEqual(DRAINING, self.state())

    def test_a_new_revision_alone_does_not_cancel_a_sign(self):
        self.driver.detector.record_draining("res-3", self.driver.now)
        changed = self.service._replace(revision=2)
        self.driver.detector.set_service(changed, self.driver.now)
        self.driver.run(1.0)
        self.assertEqual(DRAINING, self.state())

    def test_a_changed_entry_cancels_the_sign(self):
        self.driver.detector.record_draining("res-3", self.driver.now)
        instances = list(self.service.instances)
        instances[3] = instances[3]._replace(port=9100)
        changed = self.service._replace(revision=2, instances=tuple(instances))
        self.driver.detector.set_service(changed, self.driver.now)
        self.driver.run(0.1)
        self.assertEqual(standings.State.IN_ROTATION, self.state())

    def test_a_probe_does_not_cancel_a_recent_sign(self):
        self.driver.detector.record_draining("res-3", self.driver.now)
        self.driver.run(5.0)
        self.driver.detector.record_probe(
            "res-3", True, False, self.driver.now
        )
        self.driver.run(0.1)
        self.assertEqual(DRAINING, self.state())

    def test_a_probe_cancels_a_sign_after_its_lifetime(self):
        self.driver.detector.record_draining("res-3", self.driver.now)
        self.driver.run(31.0)
        self.driver.detector.record_probe(
            "res-3", True, False, self.driver.now
        )
        self.driver.run(0.1)
        self.assertEqual(standings.State.COLD, self.state())

    def test_the_vm_that_saw_the_sign_probes_the_instance(self):
        self.driver.detector.record_draining("res-3", self.driver.now)
        self.driver.detector.due_probes(self.driver.now)
        self.driver.run(11.0)
        probes = self.driver.detector.due_probes(self.driver.now)
        self.assertEqual(["res-3"], [each.instance_id for each in probes])

    def test_a_draining_instance_is_no_healthy_capacity(self):
        self.driver.detector.record_draining("res-1", self.driver.now)
        for number in (4, 5, 6):
            self.driver.detector.record_draining(
                f"res-{number}", self.driver.now
            )
        self.driver.run(2.0, {"res-3": None})
        self.assertEqual(standings.State.RANKED_LAST, self.state())
