import hypothesis
from hypothesis import strategies
import testtools

from primrosemill.decisions import homes
from tests.builders import decisions_routing as builders

SETTINGS = hypothesis.settings(
    derandomize=True, max_examples=60, deadline=None
)
VM_NUMBERS = strategies.sets(
    strategies.integers(0, 60), min_size=1, max_size=40
)


def vms_of(numbers):
    return [builders.vms(61)[number] for number in sorted(numbers)]


def table(vms, count=20):
    built = homes.HomeTable()
    built.set_services(builders.services(count))
    built.set_vms(vms)
    return built


class HomesTest(testtools.TestCase):
    def test_each_failure_domain_has_a_home(self):
        need = homes.find_need(builders.service())
        chosen = homes.choose_homes(need, builders.vms())
        self.assertEqual(3, len(chosen))
        self.assertEqual(set(builders.DOMAINS), {vm.domain for vm in chosen})

    def test_the_demand_asks_for_more_homes(self):
        need = homes.find_need(builders.service(demand=1_150.0))
        self.assertEqual(6, need.count)
        chosen = homes.choose_homes(need, builders.vms())
        counts = sorted(vm.domain for vm in chosen)
        self.assertEqual(sorted(builders.DOMAINS * 2), counts)

    def test_a_domain_without_vms_is_made_up_for_elsewhere(self):
        need = homes.find_need(builders.service())
        two_domains = builders.vms(12, builders.DOMAINS[:2])
        self.assertEqual(3, len(homes.choose_homes(need, two_domains)))

    def test_homes_lie_where_the_instances_are(self):
        service = builders.service(4)
        local = [
            each._replace(domain="hay-riad") for each in service.instances
        ]
        need = homes.find_need(
            service._replace(instances=tuple(local), demand=100.0)
        )
        chosen = homes.choose_homes(need, builders.vms())
        self.assertEqual(["hay-riad"], [vm.domain for vm in chosen])

    @SETTINGS
    @hypothesis.given(VM_NUMBERS, strategies.integers(0, 60))
    def test_a_vm_that_goes_moves_its_own_places_only(self, numbers, gone):
        before = table(vms_of(numbers))
        after = table(vms_of(numbers - {gone}))
        for name in builders.services(20):
            kept = {vm for vm in before.homes(name) if vm.id != f"vm-{gone}"}
            self.assertEqual(set(), kept - set(after.homes(name)))

    @SETTINGS
    @hypothesis.given(VM_NUMBERS, VM_NUMBERS)
    def test_incremental_changes_end_where_a_fresh_choice_does(
        self, first, second
    ):
        changing = table(vms_of(first))
        changing.set_vms(vms_of(second))
        fresh = table(vms_of(second))
        for name in builders.services(20):
            self.assertEqual(fresh.homes(name), changing.homes(name))

    def test_changed_services_are_named(self):
        built = table(builders.vms(36))
        vm = built.homes("service-0")[0]
        changed = built.remove_vm(vm.id)
        self.assertIn("service-0", changed)
        self.assertEqual(changed, built.add_vm(vm))
        self.assertEqual(frozenset(), built.add_vm(vm))

    def test_a_service_that_is_gone_has_no_homes(self):
        built = table(builders.vms(36))
        built.set_services({})
        self.assertEqual((), built.homes("service-0"))
