import minicheck
import testtools

from primrosemill.proofs import configuration_versions as models

STATES = 57_604
PARTIAL = 60_000  # states; a counterexample needs no full search.


def check(guards=models.ALL_GUARDS, track_restarts=False, limit=100_000):
    model = models.build(guards, track_restarts)
    return minicheck.check_safety(model, max_states=limit)


class ConfigurationVersionsTest(testtools.TestCase):
    def held(self, result):
        return {
            name: found["holds"]
            for name, found in result["properties"].items()
        }

    def assert_broken(self, name, guards):
        result = check(guards)
        for promise, holds in self.held(result).items():
            self.assertEqual(promise != name, holds, promise)

    def test_every_promise_holds_in_every_state(self):
        result = check()
        self.assertTrue(result["exhaustive"])
        self.assertEqual(STATES, result["reachable_states"])
        self.assertEqual({True}, set(self.held(result).values()))

    def test_the_newest_version_stays_reachable_everywhere(self):
        result = minicheck.check_liveness(models.build())
        self.assertIs(True, result["holds"])

    def test_versions_fall_without_the_rising_rule(self):
        self.assert_broken("never_falls", models.Guards(rising=False))

    def test_contents_are_swapped_without_the_digest_rule(self):
        self.assert_broken("one_content", models.Guards(one_content=False))

    def test_a_start_is_stale_without_the_wait_for_peers(self):
        self.assert_broken(
            "starts_not_below_heard", models.Guards(hold_back=False)
        )

    def test_a_restart_that_hears_nobody_may_serve_less_than_before(self):
        result = check(track_restarts=True, limit=PARTIAL)
        found = result["properties"]["restarts_not_below"]
        self.assertIs(False, found["holds"])
        labels = [step["label"] for step in found["counterexample"]]
        self.assertIn("restart 0", labels)
        self.assertNotIn("hear 0", labels)
