import testtools

from tools import outer_names


class OuterNamesTest(testtools.TestCase):
    def test_the_document_lists_what_the_code_has(self):
        listed = outer_names.DOCUMENT.read_text().splitlines()
        self.assertEqual(sorted(outer_names.collect()), listed)
