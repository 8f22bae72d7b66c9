import testtools

from primrosemill.configuration import document as documents
from primrosemill.decisions import homes
from primrosemill.decisions import limits
from primrosemill.decisions import outcomes
from primrosemill.proxy import admission
from primrosemill.proxy import assignments
from tests.builders import decisions_routing as builders

NAME = "reservations"
LIMIT = documents.Limit(10.0, 12)


def build(own, vms):
    assigned = assignments.Assignments(own, lambda assignment: None)
    document = documents.empty_document("atlas")._replace(
        services_by_name={NAME: builders.service()},
        default_limit=LIMIT,
        limits_by_caller={"nobody": documents.Limit(0.0, 0)},
    )
    assigned.set_document(document)
    assigned.set_vms(vms)
    built = admission.LimitCallers(assigned)
    built.set_document(document)
    return built, assigned


class AdmissionTest(testtools.TestCase):
    def admitted(self, own, vms, caller="caller"):
        built, _ = build(own, vms)
        tries = [built.admit(caller, NAME, 0.0) for _ in range(50)]
        for refused in tries:
            if refused is not None:
                self.assertIs(
                    outcomes.RefusalReason.CALLER_LIMIT, refused.reason
                )
        return tries.count(None)

    def test_a_caller_that_keeps_to_its_answer_gets_its_limit(self):
        vms = builders.vms()
        _, assigned = build(vms[0], vms)
        for home in assigned.homes(NAME):
            self.assertEqual(LIMIT.burst, self.admitted(home, vms))

    def test_a_vm_that_is_no_home_grants_a_small_share(self):
        vms = builders.vms()
        _, assigned = build(vms[0], vms)
        elsewhere = next(vm for vm in vms if vm not in assigned.homes(NAME))
        self.assertEqual(1, self.admitted(elsewhere, vms))

    def test_nothing_allowed_is_told_a_finite_time(self):
        own = homes.Vm("vm-0", "hay-riad")
        self.assertEqual(0, self.admitted(own, [own], "nobody"))
        built, _ = build(own, [own])
        refused = built.admit("nobody", NAME, 0.0)
        self.assertEqual(limits.MOST_RETRY_AFTER, refused.retry_after)
