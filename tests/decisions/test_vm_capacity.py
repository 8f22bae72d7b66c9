import testtools

from primrosemill.decisions import vm_capacity


class VmCapacityTest(testtools.TestCase):
    def test_the_scarcer_of_processor_and_link_limits_the_capacity(self):
        self.assertEqual(62, vm_capacity.requests_per_second(0.43, 10.0))
        self.assertEqual(107, vm_capacity.requests_per_second(0.43, 200.0))

    def test_unknown_capacity_has_the_lowest_level(self):
        self.assertEqual(0, vm_capacity.requests_per_second(0.0, 200.0))
        self.assertEqual(0, vm_capacity.capacity_level(0))

    def test_capacities_within_a_factor_of_two_share_a_level(self):
        self.assertEqual(
            vm_capacity.capacity_level(65), vm_capacity.capacity_level(127)
        )
        self.assertGreater(
            vm_capacity.capacity_level(128), vm_capacity.capacity_level(127)
        )
