import testtools

from primrosemill.configuration import document as documents
from primrosemill.decisions import announcements
from tests.builders import load


def instance(boot=7, state=documents.SERVING):
    return load.Instance(0).record._replace(boot=boot, state=state)


class LeavingTest(testtools.TestCase):
    def test_an_announced_departure_outlasts_the_entry(self):
        announced = announcements.Announcements()
        self.assertTrue(announced.record_leaving(instance()))
        self.assertFalse(announced.record_leaving(instance()))
        announced.prune([], 1.0)
        self.assertTrue(announced.is_leaving(instance()))

    def test_a_new_incarnation_is_not_leaving(self):
        announced = announcements.Announcements()
        announced.record_leaving(instance())
        self.assertFalse(announced.is_leaving(instance(boot=8)))

    def test_an_instance_whose_entry_says_leaving_is_leaving(self):
        announced = announcements.Announcements()
        self.assertTrue(
            announced.is_leaving(instance(state=documents.LEAVING))
        )

    def test_without_a_boot_number_a_departure_ends_with_the_entry(self):
        announced = announcements.Announcements()
        without_boot = instance(boot=announcements.UNKNOWN_BOOT)
        announced.record_leaving(without_boot)
        announced.prune([without_boot], 1.0)
        self.assertTrue(announced.is_leaving(without_boot))
        announced.prune([], 2.0)
        self.assertFalse(announced.is_leaving(without_boot))

    def test_the_oldest_announcement_is_dropped_beyond_the_maximum(self):
        announced = announcements.Announcements()
        for boot in range(1, announcements.MAX_REMEMBERED + 2):
            announced.record_leaving(instance(boot))
        self.assertFalse(announced.is_leaving(instance(1)))
        self.assertTrue(announced.is_leaving(instance(2)))


class PauseTest(testtools.TestCase):
    def test_a_pause_outlasts_the_entry(self):
        announced = announcements.Announcements()
        announced.record_pause(instance(), 5.0, 1.0)
        announced.prune([], 2.0)
        self.assertEqual(6.0, announced.pause_end(instance()))
        self.assertEqual(0.0, announced.pause_end(instance(boot=8)))

    def test_a_later_shorter_pause_does_not_end_a_longer_one(self):
        announced = announcements.Announcements()
        announced.record_pause(instance(), 5.0, 1.0)
        announced.record_pause(instance(), 1.0, 2.0)
        self.assertEqual(6.0, announced.pause_end(instance()))
