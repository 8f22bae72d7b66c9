import testtools

from primrosemill.proofs import floor

HANDOVER = floor.Size(vms=2, instances=3, floor=2, handover=True)
THREE_VMS = floor.Size(vms=3, instances=2, floor=1, handover=False)
EACH = "each VM keeps the floor"
ALL = "all VMs together keep the floor"
MOST_STATES = 50_000


def check(size, **removed):
    guards = floor.Guards()._replace(**removed)
    return floor.check(size, guards, MOST_STATES)


class FloorModelTest(testtools.TestCase):
    def assert_proved(self, report):
        self.assertTrue(report["exhaustive"])
        for name, verdict in report["properties"].items():
            self.assertIs(True, verdict["holds"], name)

    def test_the_floor_holds_while_the_owner_changes(self):
        self.assert_proved(check(HANDOVER))

    def test_the_floor_holds_with_lost_and_late_reports_of_three_vms(self):
        self.assert_proved(check(THREE_VMS))

    def test_without_the_floor_each_vm_may_eject_too_many(self):
        report = check(HANDOVER, floor=False)
        self.assertIs(False, report["properties"][EACH]["holds"])

    def test_without_one_owner_the_vms_together_eject_too_many(self):
        report = check(HANDOVER, one_owner=False)
        self.assertIs(False, report["properties"][ALL]["holds"])

    def test_without_settling_a_new_owner_ejects_too_many(self):
        report = check(HANDOVER, settle=False)
        self.assertIs(False, report["properties"][ALL]["holds"])

    def test_with_old_reports_counted_a_new_owner_ejects_too_many(self):
        report = check(HANDOVER, sent_later=False)
        self.assertIs(False, report["properties"][ALL]["holds"])
