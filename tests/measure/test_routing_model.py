import testtools

from primrosemill.measure import routing
from primrosemill.measure import routing_model

FLEET = routing_model.Fleet("small", 6, 2, 0.05, 0.001, 0.001)


class RoutingModelTest(testtools.TestCase):
    def measure(self, name, home_count, utilization=0.8):
        variant = next(
            each
            for each in routing.list_variants()
            if (each.name, each.home_count) == (name, home_count)
        )
        load = routing_model.Load(utilization, (1.0,) * home_count, 3.0, 0.5)
        return routing.measure(variant, FLEET, load)

    def test_the_same_seed_gives_the_same_result(self):
        first = self.measure("lead, spill", 3)
        self.assertEqual(first, self.measure("lead, spill", 3))

    def test_leads_alone_granting_slots_prevents_sheds(self):
        for name, home_count in (("one queue", 1), ("lead, borrow", 3)):
            result = self.measure(name, home_count)
            self.assertEqual(0.0, result.sheds)
            self.assertGreaterEqual(result.p50, 2 * FLEET.hop_time * 1000)

    def test_lead_first_is_shed_less_than_random_choice(self):
        self.assertLess(
            self.measure("lead, spill", 3).sheds,
            self.measure("random", 12).sheds / 2,
        )

    def test_borrowing_sends_messages_and_lead_first_does_not(self):
        self.assertEqual(0.0, self.measure("lead, spill", 3).messages)
        self.assertLess(0.0, self.measure("lead, borrow", 3).messages)
