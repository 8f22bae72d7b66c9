import testtools

from primrosemill.measure import routing
from primrosemill.measure import routing_model

FLEET = routing_model.Fleet("small", 6, 2, 0.05, 0.001, 0.001)


class RoutingModelTest(testtools.TestCase):
    def measure(self, name, homes, share=0.8):
        row = next(
            each
            for each in routing.list_rows()
            if (each.name, each.homes) == (name, homes)
        )
        load = routing_model.Load(share, (1.0,) * homes, 3.0, 0.5)
        return routing.measure(row, FLEET, load)

    def test_a_run_repeats_itself(self):
        first = self.measure("lead, spill", 3)
        self.assertEqual(first, self.measure("lead, spill", 3))

    def test_one_queue_and_slots_from_their_leads_are_never_shed(self):
        for name, homes in (("one queue", 1), ("lead, borrow", 3)):
            figures = self.measure(name, homes)
            self.assertEqual(0.0, figures.sheds)
            self.assertGreaterEqual(figures.median, 2 * FLEET.hop * 1000)

    def test_leads_are_shed_less_than_random_choice(self):
        self.assertLess(
            self.measure("lead, spill", 3).sheds,
            self.measure("random", 12).sheds / 2,
        )

    def test_only_borrowing_and_relaying_send_messages(self):
        self.assertEqual(0.0, self.measure("lead, spill", 3).messages)
        self.assertLess(0.0, self.measure("lead, borrow", 3).messages)
