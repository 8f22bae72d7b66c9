import hypothesis
from hypothesis import strategies
import testtools

from primrosemill.decisions import home_vms
from tests.builders import decisions_routing as builders

SETTINGS = hypothesis.settings(
    derandomize=True, max_examples=60, deadline=None
)
VM_NUMBERS = strategies.sets(
    strategies.integers(0, 60), min_size=1, max_size=40
)


def vms_of(numbers):
    return [builders.vms(61)[number] for number in sorted(numbers)]


def build_table(vms, count=20):
    home_table = home_vms.HomeTable()
    home_table.set_services(builders.services(count))
    home_table.set_vms(vms)
    return home_table


class HomesTest(testtools.TestCase):
    def test_each_failure_domain_has_a_home(self):
        requirement = home_vms.find_requirement(builders.service())
        chosen = home_vms.choose_homes(requirement, builders.vms())
        self.assertEqual(3, len(chosen))
        self.assertEqual(set(builders.DOMAINS), {vm.domain for vm in chosen})

    def test_a_high_demand_requires_more_homes(self):
        requirement = home_vms.find_requirement(
            builders.service(demand=1_150.0)
        )
        self.assertEqual(6, requirement.count)
        chosen = home_vms.choose_homes(requirement, builders.vms())
        counts = sorted(vm.domain for vm in chosen)
        self.assertEqual(sorted(builders.DOMAINS * 2), counts)

    def test_homes_of_a_domain_without_vms_are_chosen_elsewhere(self):
        requirement = home_vms.find_requirement(builders.service())
        two_domains = builders.vms(12, builders.DOMAINS[:2])
        self.assertEqual(
            3, len(home_vms.choose_homes(requirement, two_domains))
        )

    def test_homes_are_chosen_in_the_domain_of_the_instances(self):
        service = builders.service(4)
        local = [
            each._replace(domain="hay-riad") for each in service.instances
        ]
        requirement = home_vms.find_requirement(
            service._replace(instances=tuple(local), demand=100.0)
        )
        chosen = home_vms.choose_homes(requirement, builders.vms())
        self.assertEqual(["hay-riad"], [vm.domain for vm in chosen])

    @SETTINGS
    @hypothesis.given(VM_NUMBERS, strategies.integers(0, 60))
    def test_removing_a_vm_moves_no_other_home(self, numbers, removed):
        before = build_table(vms_of(numbers))
        after = build_table(vms_of(numbers - {removed}))
        for name in builders.services(20):
            remaining = {
                vm for vm in before.homes(name) if vm.id != f"vm-{removed}"
            }
            self.assertEqual(set(), remaining - set(after.homes(name)))

    @SETTINGS
    @hypothesis.given(VM_NUMBERS, VM_NUMBERS)
    def test_incremental_changes_equal_a_new_choice(self, first, second):
        changing = build_table(vms_of(first))
        changing.set_vms(vms_of(second))
        fresh = build_table(vms_of(second))
        for name in builders.services(20):
            self.assertEqual(fresh.homes(name), changing.homes(name))

    def test_adding_and_removing_a_vm_returns_the_changed_services(self):
        home_table = build_table(builders.vms(36))
        vm = home_table.homes("service-0")[0]
        changed = home_table.remove_vm(vm.id)
        self.assertIn("service-0", changed)
        self.assertEqual(changed, home_table.add_vm(vm))
        self.assertEqual(frozenset(), home_table.add_vm(vm))

    def test_a_removed_service_has_no_homes(self):
        home_table = build_table(builders.vms(36))
        home_table.set_services({})
        self.assertEqual((), home_table.homes("service-0"))
