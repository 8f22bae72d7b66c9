import testtools

from primrosemill.configuration import document as documents
from primrosemill.decisions import caller_limits
from primrosemill.decisions import home_vms
from primrosemill.decisions import outcomes
from primrosemill.proxy import admission
from primrosemill.proxy import assignments
from tests.builders import decisions_routing as builders

NAME = "reservations"
LIMIT = documents.Limit(10.0, 12)


def build(own_vm, vms):
    assigned_homes = assignments.Assignments(own_vm, lambda assignment: None)
    document = documents.empty_document("atlas")._replace(
        services_by_name={NAME: builders.service()},
        default_limit=LIMIT,
        limits_by_caller={"nobody": documents.Limit(0.0, 0)},
    )
    assigned_homes.set_document(document)
    assigned_homes.set_vms(vms)
    limiter = admission.CallerLimiter(assigned_homes)
    limiter.set_document(document)
    return limiter, assigned_homes


class AdmissionTest(testtools.TestCase):
    def count_admitted(self, own_vm, vms, caller="caller"):
        limiter, _ = build(own_vm, vms)
        results = [limiter.admit(caller, NAME, 0.0) for _ in range(50)]
        for refusal in results:
            if refusal is not None:
                self.assertIs(
                    outcomes.RefusalReason.CALLER_LIMIT, refusal.reason
                )
        return results.count(None)

    def test_the_first_home_vm_in_a_domain_grants_the_whole_limit(self):
        vms = builders.vms()
        _, assigned_homes = build(vms[0], vms)
        for home in assigned_homes.homes(NAME):
            self.assertEqual(LIMIT.burst, self.count_admitted(home, vms))

    def test_a_vm_that_is_not_a_home_vm_grants_a_small_share(self):
        vms = builders.vms()
        _, assigned_homes = build(vms[0], vms)
        other_vm = next(
            vm for vm in vms if vm not in assigned_homes.homes(NAME)
        )
        self.assertEqual(1, self.count_admitted(other_vm, vms))

    def test_a_limit_of_zero_gives_a_finite_retry_after(self):
        own_vm = home_vms.Vm("vm-0", "hay-riad")
        self.assertEqual(0, self.count_admitted(own_vm, [own_vm], "nobody"))
        limiter, _ = build(own_vm, [own_vm])
        refusal = limiter.admit("nobody", NAME, 0.0)
        self.assertEqual(caller_limits.MAX_RETRY_AFTER, refusal.retry_after)
