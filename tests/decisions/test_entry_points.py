import math

import testtools

from primrosemill.configuration import document as documents
from primrosemill.decisions import entry_points
from primrosemill.decisions import home_vms

DOMAINS = ("a", "b", "c")


def vms(count=30):
    return tuple(
        home_vms.Vm(f"vm-{number}", DOMAINS[number % 3])
        for number in range(count)
    )


class EntryPointsTest(testtools.TestCase):
    def test_entry_points_lie_in_the_callers_domain(self):
        points = entry_points.entry_points(
            entry_points.FleetView(vms(), 60), "b"
        )
        self.assertEqual(entry_points.MIN_ENTRY_POINTS, len(points))
        self.assertEqual({"b"}, {vm.domain for vm in points})

    def test_the_number_of_entry_points_follows_the_slots(self):
        view = entry_points.FleetView(vms(), 300)
        points = entry_points.entry_points(view, "b")
        slots = entry_points.SLOTS_PER_ENTRY_POINT
        self.assertEqual(math.ceil(300 / len(DOMAINS) / slots), len(points))

    def test_other_entry_points_remain_when_one_leaves(self):
        before = entry_points.entry_points(
            entry_points.FleetView(vms(), 60), "a"
        )
        remaining = tuple(vm for vm in vms() if vm != before[0])
        after = entry_points.entry_points(
            entry_points.FleetView(remaining, 60), "a"
        )
        self.assertIn(before[1], after)

    def test_a_domain_without_vms_uses_the_entry_points_of_all_others(self):
        points = entry_points.entry_points(
            entry_points.FleetView(vms(), 60), "d"
        )
        self.assertEqual(set(DOMAINS), {vm.domain for vm in points})

    def test_every_instance_of_the_domain_has_one_lead(self):
        view = entry_points.FleetView(vms(), 60)
        points = entry_points.entry_points(view, "a")
        instances = [
            documents.Instance(f"i-{number}", "10.0.0.1", 1, "a")
            for number in range(7)
        ]
        led_ids = [
            entry_points.led_ids(vm, points, instances) for vm in points
        ]
        self.assertEqual(7, sum(len(each) for each in led_ids))
        other = next(vm for vm in vms() if vm not in points)
        self.assertEqual(
            frozenset(), entry_points.led_ids(other, points, instances)
        )

    def test_vms_with_clearly_more_capacity_rank_first(self):
        small = [vm._replace(capacity_rps=66) for vm in vms()]
        large = [home_vms.Vm(f"large-{number}", "a", 179) for number in (1, 2)]
        view = entry_points.FleetView((*small, *large), 150)
        points = entry_points.entry_points(view, "a")
        self.assertEqual(set(large), set(points[:2]))
        self.assertGreater(len(points), 2)

    def test_vms_of_similar_capacity_are_ordered_as_if_equal(self):
        view = entry_points.FleetView(vms(), 60)
        expected = [vm.id for vm in entry_points.entry_points(view, "a")]
        unequal = tuple(
            vm._replace(capacity_rps=130 + number)
            for number, vm in enumerate(vms())
        )
        points = entry_points.entry_points(
            entry_points.FleetView(unequal, 60), "a"
        )
        self.assertEqual(expected, [vm.id for vm in points])


class RecipientsTest(testtools.TestCase):
    """Changes at an instance are sent to the VMs that may use it."""

    def view(self, per_domain, domains=4, slots=144):
        vms = tuple(
            home_vms.Vm(f"vm-{domain}-{number}", f"d-{domain}")
            for domain in range(domains)
            for number in range(per_domain)
        )
        return entry_points.FleetView(vms, slots)

    def test_entry_points_and_vms_of_the_own_domain_are_recipients(self):
        view = self.view(12)
        own_vm = view.vms[0]
        recipients = set(entry_points.recipient_ids(view, own_vm, "d-1"))
        expected = set()
        for number in range(4):
            points = entry_points.entry_points(view, f"d-{number}")
            expected |= {vm.id for vm in points}
        expected |= {vm.id for vm in view.vms if vm.domain == own_vm.domain}
        expected.remove(own_vm.id)
        self.assertEqual(expected, recipients)

    def test_the_number_of_recipients_is_bounded_in_a_large_fleet(self):
        view = self.view(60, domains=10, slots=30_000)
        own_vm = view.vms[0]
        recipients = entry_points.recipient_ids(view, own_vm, "d-7")
        self.assertEqual(entry_points.MAX_RECIPIENTS, len(recipients))
        domains = {vm_id.split("-")[1] for vm_id in recipients}
        self.assertTrue({"0", "7"} & domains)
