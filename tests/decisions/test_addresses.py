import collections

import testtools

from primrosemill.decisions import addresses
from tests.builders import decisions_routing as builders


def candidates(vms, **changes):
    return [
        addresses.Candidate(vm, f"127.0.0.1:{number}", **changes)
        for number, vm in enumerate(vms)
    ]


class AddressesTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.vms = builders.vms(36)
        self.homes = self.vms[:6]
        self.fleet = candidates(self.vms)
        self.domain_by_address = {
            each.address: each.vm.domain for each in self.fleet
        }

    def test_names_the_homes_in_alternating_domains(self):
        found = addresses.answer("caller", None, self.homes, self.fleet)
        self.assertEqual(
            {each.address for each in self.fleet[:6]}, set(found.addresses)
        )
        domains = [self.domain_by_address[each] for each in found.addresses]
        self.assertEqual(3, len(set(domains[:3])))
        self.assertEqual(3, len(set(domains[3:])))
        self.assertEqual(addresses.LIFETIME, found.lifetime)

    def test_prefers_the_callers_own_domain(self):
        for number in range(20):
            found = addresses.answer(
                f"caller-{number}", "hay-riad", self.homes, self.fleet
            )
            first = self.domain_by_address[found.addresses[0]]
            self.assertEqual("hay-riad", first)

    def test_callers_spread_evenly(self):
        counts = collections.Counter(
            addresses.answer(
                f"caller-{number}", None, self.homes, self.fleet
            ).addresses[0]
            for number in range(3000)
        )
        self.assertEqual(6, len(counts))
        # Six standard deviations of a fair draw are about 120.
        for count in counts.values():
            self.assertAlmostEqual(500, count, delta=120)

    def test_leaving_and_suspect_vms_are_not_named(self):
        fleet = list(self.fleet)
        fleet[0] = fleet[0]._replace(leaving=True)
        fleet[1] = fleet[1]._replace(suspect=True)
        found = addresses.answer("caller", None, self.homes, fleet)
        self.assertEqual(
            {each.address for each in fleet[2:6]}, set(found.addresses)
        )

    def test_live_vms_are_named_when_no_home_is(self):
        fleet = [
            each._replace(leaving=each.vm in self.homes) for each in self.fleet
        ]
        found = addresses.answer("caller", None, self.homes, fleet)
        self.assertEqual(addresses.MAX_ADDRESSES, len(found.addresses))
        gone = {each.address for each in fleet[:6]}
        self.assertEqual(set(), gone & set(found.addresses))
        self.assertNotEqual(
            (), addresses.answer("caller", None, (), self.fleet).addresses
        )

    def test_suspect_vms_are_better_than_none(self):
        fleet = candidates(self.vms, suspect=True)
        found = addresses.answer("caller", None, self.homes, fleet)
        self.assertNotEqual((), found.addresses)

    def test_a_vm_that_goes_moves_its_own_callers_only(self):
        for number in range(200):
            caller = f"caller-{number}"
            before = addresses.first_home(caller, self.homes)
            after = addresses.first_home(caller, self.homes[1:])
            if before != self.homes[0]:
                self.assertEqual(before, after)
