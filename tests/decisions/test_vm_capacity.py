import testtools

from primrosemill.decisions import vm_capacity


class VmCapacityTest(testtools.TestCase):
    def test_capacity_is_limited_by_the_processor_or_by_the_link(self):
        self.assertEqual(62, vm_capacity.requests_per_second(0.43, 10.0))
        self.assertEqual(107, vm_capacity.requests_per_second(0.43, 200.0))

    def test_an_unknown_capacity_is_0_and_has_the_lowest_level(self):
        self.assertEqual(0, vm_capacity.requests_per_second(0.0, 200.0))
        self.assertEqual(0, vm_capacity.capacity_level(0))

    def test_capacities_with_the_same_binary_logarithm_share_a_level(self):
        self.assertEqual(
            vm_capacity.capacity_level(65), vm_capacity.capacity_level(127)
        )
        self.assertGreater(
            vm_capacity.capacity_level(128), vm_capacity.capacity_level(127)
        )
