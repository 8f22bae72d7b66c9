import testtools

from primrosemill.configuration import document as documents
from primrosemill.decisions import announcements
from tests.builders import load


def instance(boot=7, state=documents.SERVING):
    return load.Instance(0).record._replace(boot=boot, state=state)


class LeavingTest(testtools.TestCase):
    def test_the_word_of_an_instance_outlasts_what_its_entry_says(self):
        held = announcements.Announcements()
        self.assertTrue(held.note_leaving(instance()))
        self.assertFalse(held.note_leaving(instance()))
        held.prune([], 1.0)
        self.assertTrue(held.is_leaving(instance()))

    def test_a_new_start_is_not_leaving(self):
        held = announcements.Announcements()
        held.note_leaving(instance())
        self.assertFalse(held.is_leaving(instance(boot=8)))

    def test_an_entry_that_says_so_is_leaving(self):
        held = announcements.Announcements()
        self.assertTrue(held.is_leaving(instance(state=documents.LEAVING)))

    def test_where_no_start_is_told_the_sign_ends_with_the_entry(self):
        held = announcements.Announcements()
        unknown = instance(boot=announcements.UNKNOWN_BOOT)
        held.note_leaving(unknown)
        held.prune([unknown], 1.0)
        self.assertTrue(held.is_leaving(unknown))
        held.prune([], 2.0)
        self.assertFalse(held.is_leaving(unknown))

    def test_the_memory_is_bounded(self):
        held = announcements.Announcements()
        for boot in range(1, announcements.MAX_REMEMBERED + 2):
            held.note_leaving(instance(boot))
        self.assertFalse(held.is_leaving(instance(1)))
        self.assertTrue(held.is_leaving(instance(2)))


class PauseTest(testtools.TestCase):
    def test_a_pause_outlasts_a_list_without_the_instance(self):
        held = announcements.Announcements()
        held.note_pause(instance(), 5.0, 1.0)
        held.prune([], 2.0)
        self.assertEqual(6.0, held.pause_end(instance()))
        self.assertEqual(0.0, held.pause_end(instance(boot=8)))

    def test_a_later_and_shorter_wish_does_not_end_a_pause(self):
        held = announcements.Announcements()
        held.note_pause(instance(), 5.0, 1.0)
        held.note_pause(instance(), 1.0, 2.0)
        self.assertEqual(6.0, held.pause_end(instance()))
