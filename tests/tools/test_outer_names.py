import testtools

from tools import outer_names


class OuterNamesTest(testtools.TestCase):
    def test_document_lists_all_outer_names(self):
        documented_names = outer_names.DOCUMENT.read_text().splitlines()
        self.assertEqual(sorted(outer_names.collect()), documented_names)
