import testtools

from primrosemill.proofs import floor

HANDOVER = floor.Size(vm_count=2, instance_count=3, floor=2, handover=True)
THREE_VMS = floor.Size(vm_count=3, instance_count=2, floor=1, handover=False)
EACH_VM_KEEPS_FLOOR = "each VM keeps the floor"
ALL_VMS_KEEP_FLOOR = "all VMs together keep the floor"
MAX_STATES = 50_000


def check(size, **changed_guards):
    guards = floor.Guards()._replace(**changed_guards)
    return floor.check(size, guards, MAX_STATES)


class FloorModelTest(testtools.TestCase):
    def assert_all_invariants_hold(self, report):
        self.assertTrue(report["exhaustive"])
        for name, result in report["properties"].items():
            self.assertIs(True, result["holds"], name)

    def test_the_floor_holds_while_the_owner_changes(self):
        self.assert_all_invariants_hold(check(HANDOVER))

    def test_the_floor_holds_with_lost_and_late_reports_of_three_vms(self):
        self.assert_all_invariants_hold(check(THREE_VMS))

    def test_without_the_floor_guard_one_vm_ejects_too_many(self):
        report = check(HANDOVER, floor=False)
        self.assertIs(
            False, report["properties"][EACH_VM_KEEPS_FLOOR]["holds"]
        )

    def test_without_a_single_owner_the_vms_together_eject_too_many(self):
        report = check(HANDOVER, one_owner=False)
        self.assertIs(False, report["properties"][ALL_VMS_KEEP_FLOOR]["holds"])

    def test_without_awaiting_peers_a_new_owner_ejects_too_many(self):
        report = check(HANDOVER, await_peers=False)
        self.assertIs(False, report["properties"][ALL_VMS_KEEP_FLOOR]["holds"])

    def test_if_old_reports_count_a_new_owner_ejects_too_many(self):
        report = check(HANDOVER, skip_old_reports=False)
        self.assertIs(False, report["properties"][ALL_VMS_KEEP_FLOOR]["holds"])
