import hypothesis
from hypothesis import strategies
import testtools

from primrosemill.decisions import cold_start_ramp
from primrosemill.decisions import standings
from tests.builders import decisions_routing as builders

SETTINGS = hypothesis.settings(
    derandomize=True, max_examples=60, deadline=None
)
STATES = standings.State


class RampTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.ramp = cold_start_ramp.ColdStartRamp(builders.service(4))

    def test_a_vm_that_starts_treats_every_instance_as_warm(self):
        self.assertEqual({}, self.ramp.cold_shares(0.0))

    def test_an_instance_new_in_a_revision_ramps_up(self):
        self.ramp.set_service(builders.service(5, revision=2), 100.0)
        self.assertEqual(
            {"res-4": cold_start_ramp.MIN_SHARE}, self.ramp.cold_shares(100.0)
        )
        self.assertAlmostEqual(0.5, self.ramp.share("res-4", 105.0))
        self.assertTrue(self.ramp.may_have_cold)
        self.assertEqual({}, self.ramp.cold_shares(110.0))
        self.assertFalse(self.ramp.may_have_cold)

    def test_an_instance_with_a_new_address_ramps_up(self):
        moved = builders.instance(0, port=9999)
        instances = (moved, *builders.service(4).instances[1:])
        self.ramp.set_service(builders.service(4, instances=instances), 1.0)
        self.assertEqual(["res-0"], list(self.ramp.cold_shares(1.0)))

    def test_an_instance_that_stops_leaving_ramps_up(self):
        leaving = builders.instance(0, state="leaving")
        instances = (leaving, *builders.service(4).instances[1:])
        self.ramp.set_service(builders.service(4, instances=instances), 1.0)
        self.assertEqual({}, self.ramp.cold_shares(1.0))
        self.ramp.set_service(builders.service(4), 2.0)
        self.assertEqual(["res-0"], list(self.ramp.cold_shares(2.0)))

    def test_no_share_is_limited_when_most_instances_are_cold(self):
        self.ramp.set_service(builders.service(12, revision=2), 1.0)
        self.assertEqual({}, self.ramp.cold_shares(1.0))

    def test_an_instance_that_returns_from_its_trial_ramps_up(self):
        self.ramp.record_return("res-1", 5.0)
        self.ramp.record_return("unknown", 5.0)
        self.assertEqual(["res-1"], list(self.ramp.cold_shares(5.0)))

    def test_only_instances_in_rotation_become_cold(self):
        self.ramp.record_return("res-1", 5.0)
        applied = self.ramp.apply("res-1", standings.HEALTHY, 5.0)
        self.assertIs(STATES.COLD, applied.state)
        self.assertEqual(cold_start_ramp.MIN_SHARE, applied.share)
        ejected = standings.Standing(STATES.EJECTED)
        self.assertIs(ejected, self.ramp.apply("res-1", ejected, 5.0))
        warm = self.ramp.apply("res-0", standings.HEALTHY, 5.0)
        self.assertIs(standings.HEALTHY, warm)

    @SETTINGS
    @hypothesis.given(strategies.lists(strategies.floats(0.0, 20.0)))
    def test_the_share_never_shrinks(self, times):
        self.ramp.record_return("res-1", 0.0)
        shares = [self.ramp.share("res-1", each) for each in sorted(times)]
        self.assertEqual(sorted(shares), shares)
