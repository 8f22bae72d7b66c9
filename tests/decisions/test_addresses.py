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

    def test_homes_are_returned_in_alternating_domains(self):
        answer = addresses.answer("caller", None, self.homes, self.fleet)
        self.assertEqual(
            {each.address for each in self.fleet[:6]}, set(answer.addresses)
        )
        domains = [self.domain_by_address[each] for each in answer.addresses]
        self.assertEqual(3, len(set(domains[:3])))
        self.assertEqual(3, len(set(domains[3:])))
        self.assertEqual(addresses.LIFETIME, answer.lifetime)

    def test_the_callers_own_domain_comes_first(self):
        for number in range(20):
            answer = addresses.answer(
                f"caller-{number}", "hay-riad", self.homes, self.fleet
            )
            first = self.domain_by_address[answer.addresses[0]]
            self.assertEqual("hay-riad", first)

    def test_callers_are_spread_evenly_over_the_homes(self):
        counts = collections.Counter(
            addresses.answer(
                f"caller-{number}", None, self.homes, self.fleet
            ).addresses[0]
            for number in range(3000)
        )
        self.assertEqual(6, len(counts))
        # 120 is about six standard deviations of a uniform choice.
        for count in counts.values():
            self.assertAlmostEqual(500, count, delta=120)

    def test_leaving_and_suspect_vms_are_not_returned(self):
        fleet = list(self.fleet)
        fleet[0] = fleet[0]._replace(leaving=True)
        fleet[1] = fleet[1]._replace(suspect=True)
        answer = addresses.answer("caller", None, self.homes, fleet)
        self.assertEqual(
            {each.address for each in fleet[2:6]}, set(answer.addresses)
        )

    def test_other_live_vms_are_returned_if_no_home_is_eligible(self):
        fleet = [
            each._replace(leaving=each.vm in self.homes) for each in self.fleet
        ]
        answer = addresses.answer("caller", None, self.homes, fleet)
        self.assertEqual(addresses.MAX_ADDRESSES, len(answer.addresses))
        leaving = {each.address for each in fleet[:6]}
        self.assertEqual(set(), leaving & set(answer.addresses))
        self.assertNotEqual(
            (), addresses.answer("caller", None, (), self.fleet).addresses
        )

    def test_suspect_vms_are_returned_if_there_are_no_others(self):
        fleet = candidates(self.vms, suspect=True)
        answer = addresses.answer("caller", None, self.homes, fleet)
        self.assertNotEqual((), answer.addresses)

    def test_only_the_callers_of_a_leaving_vm_move(self):
        for number in range(200):
            caller = f"caller-{number}"
            first = addresses.first_home(caller, self.homes)
            first_without_home = addresses.first_home(caller, self.homes[1:])
            if first != self.homes[0]:
                self.assertEqual(first, first_without_home)
