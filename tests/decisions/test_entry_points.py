import math

import testtools

from primrosemill.configuration import document as documents
from primrosemill.decisions import entry_points
from primrosemill.decisions import homes

DOMAINS = ("a", "b", "c")


def vms(count=30):
    return tuple(
        homes.Vm(f"vm-{number}", DOMAINS[number % 3])
        for number in range(count)
    )


class EntryPointsTest(testtools.TestCase):
    def test_callers_get_a_few_vms_of_their_own_domain(self):
        found = entry_points.entry_points(entry_points.View(vms(), 60), "b")
        self.assertEqual(entry_points.MIN_ENTRY_POINTS, len(found))
        self.assertEqual({"b"}, {vm.domain for vm in found})

    def test_more_slots_need_more_vms(self):
        view = entry_points.View(vms(), 300)
        found = entry_points.entry_points(view, "b")
        slots = entry_points.SLOTS_PER_ENTRY_POINT
        self.assertEqual(math.ceil(300 / len(DOMAINS) / slots), len(found))

    def test_a_vm_that_goes_moves_its_own_place_only(self):
        before = entry_points.entry_points(entry_points.View(vms(), 60), "a")
        left = tuple(vm for vm in vms() if vm != before[0])
        after = entry_points.entry_points(entry_points.View(left, 60), "a")
        self.assertIn(before[1], after)

    def test_a_domain_without_vms_is_served_by_the_others(self):
        found = entry_points.entry_points(entry_points.View(vms(), 60), "d")
        self.assertEqual(set(DOMAINS), {vm.domain for vm in found})

    def test_every_instance_of_the_domain_has_one_lead(self):
        view = entry_points.View(vms(), 60)
        points = entry_points.entry_points(view, "a")
        instances = [
            documents.Instance(f"i-{number}", "10.0.0.1", 1, "a")
            for number in range(7)
        ]
        led = [entry_points.led_ids(vm, points, instances) for vm in points]
        self.assertEqual(7, sum(len(each) for each in led))
        other = next(vm for vm in vms() if vm not in points)
        self.assertEqual(
            frozenset(), entry_points.led_ids(other, points, instances)
        )

    def test_vms_that_carry_clearly_more_go_first(self):
        small = [vm._replace(carries=66) for vm in vms()]
        large = [homes.Vm(f"large-{number}", "a", 179) for number in (1, 2)]
        view = entry_points.View((*small, *large), 150)
        points = entry_points.entry_points(view, "a")
        self.assertEqual(set(large), set(points[:2]))
        self.assertGreater(len(points), 2)

    def test_vms_that_carry_alike_are_chosen_as_if_equal(self):
        view = entry_points.View(vms(), 60)
        expected = [vm.id for vm in entry_points.entry_points(view, "a")]
        unequal = tuple(
            vm._replace(carries=130 + number)
            for number, vm in enumerate(vms())
        )
        found = entry_points.entry_points(entry_points.View(unequal, 60), "a")
        self.assertEqual(expected, [vm.id for vm in found])


class ToldTest(testtools.TestCase):
    """News on one instance reach those who may use it, and few others."""

    def view(self, per_domain, domains=4, slots=144):
        vms = tuple(
            homes.Vm(f"vm-{domain}-{number}", f"d-{domain}")
            for domain in range(domains)
            for number in range(per_domain)
        )
        return entry_points.View(vms, slots)

    def test_the_entry_points_of_all_domains_and_the_own_one_are_told(self):
        view = self.view(12)
        own = view.vms[0]
        told = set(entry_points.told_ids(view, own, "d-1"))
        expected = set()
        for number in range(4):
            points = entry_points.entry_points(view, f"d-{number}")
            expected |= {vm.id for vm in points}
        expected |= {vm.id for vm in view.vms if vm.domain == own.domain}
        expected.remove(own.id)
        self.assertEqual(expected, told)

    def test_in_a_large_fleet_their_number_is_bounded(self):
        view = self.view(60, domains=10, slots=30_000)
        own = view.vms[0]
        told = entry_points.told_ids(view, own, "d-7")
        self.assertEqual(entry_points.MAX_RECIPIENTS, len(told))
        domains = {vm_id.split("-")[1] for vm_id in told}
        self.assertTrue({"0", "7"} & domains)
