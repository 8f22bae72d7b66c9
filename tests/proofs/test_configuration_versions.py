import minicheck
import testtools

from primrosemill.proofs import configuration_versions as models

REACHABLE_STATES = 57_604
PARTIAL_SEARCH = 60_000  # states, enough to find a counterexample


def check(guards=models.ALL_GUARDS, track_restarts=False, limit=100_000):
    model = models.build(guards, track_restarts)
    return minicheck.check_safety(model, max_states=limit)


class ConfigurationVersionsTest(testtools.TestCase):
    def holds_by_invariant(self, result):
        return {
            name: invariant["holds"]
            for name, invariant in result["properties"].items()
        }

    def assert_only_violated(self, name, guards):
        result = check(guards)
        for invariant, holds in self.holds_by_invariant(result).items():
            self.assertEqual(invariant != name, holds, invariant)

    def test_every_invariant_holds_in_every_state(self):
        result = check()
        self.assertTrue(result["exhaustive"])
        self.assertEqual(REACHABLE_STATES, result["reachable_states"])
        self.assertEqual({True}, set(self.holds_by_invariant(result).values()))

    def test_all_vms_can_always_reach_the_newest_version(self):
        result = minicheck.check_liveness(models.build())
        self.assertIs(True, result["holds"])

    def test_without_the_rising_guard_versions_fall(self):
        self.assert_only_violated("never_falls", models.Guards(rising=False))

    def test_without_the_content_guard_contents_change(self):
        self.assert_only_violated(
            "one_content", models.Guards(one_content=False)
        )

    def test_without_the_wait_for_peers_a_start_is_stale(self):
        self.assert_only_violated(
            "starts_not_below_heard", models.Guards(wait_for_peers=False)
        )

    def test_a_restart_without_peers_may_serve_an_older_version(self):
        result = check(track_restarts=True, limit=PARTIAL_SEARCH)
        invariant = result["properties"]["restarts_not_below"]
        self.assertIs(False, invariant["holds"])
        labels = [step["label"] for step in invariant["counterexample"]]
        self.assertIn("restart 0", labels)
        self.assertNotIn("hear 0", labels)
