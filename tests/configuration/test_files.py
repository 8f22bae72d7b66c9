import testtools

from primrosemill.configuration import faults
from primrosemill.configuration import files
from tests.builders import configuration as builders


class FilesTest(testtools.TestCase):
    def test_decoding_an_encoded_version_returns_it(self):
        published = builders.published()
        content = files.decode(files.encode(published)).ok
        self.assertEqual(published, content.values_by_key)
        self.assertEqual(list(published), list(content.values_by_key))
        self.assertEqual(2, content.line_numbers_by_key["index"])

    def test_faults_contain_the_line_number(self):
        result = files.decode(b"a\t1\n\nno tab\na\t2\n\xff\t3")
        self.assertEqual(
            (faults.MalformedLine(3), faults.DuplicateLine("a", 4)),
            result.error,
        )
