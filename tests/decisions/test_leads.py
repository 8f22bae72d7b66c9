import collections

import hypothesis
from hypothesis import strategies
import testtools

from primrosemill.decisions import leads
from tests.builders import decisions_routing as builders

SETTINGS = hypothesis.settings(
    derandomize=True, max_examples=60, deadline=None
)


class LeadsTest(testtools.TestCase):
    def test_the_lead_is_in_the_failure_domain_of_the_instance(self):
        instances = builders.service(18).instances
        homes = builders.vms(3)
        domain_by_vm = {vm.id: vm.domain for vm in homes}
        ranked_by_id = leads.rank_homes(instances, homes)
        for instance in instances:
            lead = ranked_by_id[instance.id][0]
            self.assertEqual(instance.domain, domain_by_vm[lead])

    @SETTINGS
    @hypothesis.given(strategies.integers(0, 40), strategies.integers(1, 9))
    def test_every_home_is_ranked_and_leads_are_shared_equally(
        self, count, home_count
    ):
        homes = builders.vms(home_count)
        ranked_by_id = leads.rank_homes(
            builders.service(count).instances, homes
        )
        self.assertEqual(count, len(ranked_by_id))
        for ranked in ranked_by_id.values():
            self.assertEqual({vm.id for vm in homes}, set(ranked))
            self.assertEqual(home_count, len(ranked))
        counts = collections.Counter(each[0] for each in ranked_by_id.values())
        share = -(-count // home_count)
        self.assertLessEqual(max(counts.values(), default=0), share)

    def test_a_vm_that_is_not_a_home_ranks_after_all_homes(self):
        ranked_by_id = leads.rank_homes(
            builders.service(3).instances, builders.vms(3)
        )
        self.assertEqual(
            [3, 3, 3],
            list(leads.ranks_of("vm-9", ranked_by_id).values()),
        )
        ranks = [
            leads.ranks_of(f"vm-{number}", ranked_by_id)["res-0"]
            for number in range(3)
        ]
        self.assertEqual([0, 1, 2], sorted(ranks))

    def test_without_homes_instances_have_no_lead(self):
        ranked_by_id = leads.rank_homes(builders.service(1).instances, ())
        self.assertEqual({"res-0": ()}, ranked_by_id)
