import pathlib
import tempfile

from click import testing
import testtools

from primrosemill.cli import main
from primrosemill.configuration import files
from tests.builders import configuration as builders
from tests.builders import settings as settings_builders


class CheckTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / "checked"

    def check(self, content):
        self.path.write_bytes(content)
        return testing.CliRunner().invoke(main.main, ["check", str(self.path)])

    def test_valid_settings_and_documents_are_accepted(self):
        result = self.check(settings_builders.text().encode())
        self.assertEqual((0, ""), (result.exit_code, result.stderr))
        self.assertIn("settings of VM vm-0", result.stdout)
        result = self.check(files.encode(builders.published()))
        self.assertEqual((0, ""), (result.exit_code, result.stderr))
        self.assertIn("1 services, 20 instances", result.stdout)

    def test_settings_faults_show_file_and_line(self):
        result = self.check(b"# one VM\n[vm]\nid = a b\n")
        self.assertEqual(2, result.exit_code)
        self.assertIn(f"{self.path}:3: WrongType: section", result.stderr)

    def test_document_faults_show_file_line_and_key(self):
        published = builders.published(
            builders.service_value(floor=21),
            builders.service_value(name="compliance", slots=0, routes=[]),
        )
        result = self.check(files.encode(published))
        self.assertEqual(2, result.exit_code)
        for expected in (
            f"{self.path}:1: FloorOverInstances: key='service/reservations/1'",
            f"{self.path}:2: OutOfRange: key='service/compliance/1'",
        ):
            self.assertIn(expected, result.stderr)

    def test_unknown_fields_are_reported(self):
        instance = builders.instance_value(0, stat="leaving")
        service = builders.service_value(1, instances=[instance], demnd=1)
        result = self.check(files.encode(builders.published(service, x=[])))
        self.assertEqual(2, result.exit_code)
        unknown_fields = [
            line.split("field=")[1].split(",")[0]
            for line in result.stderr.splitlines()
        ]
        self.assertEqual(
            ["'instances.stat'", "'demnd'", "'x'"], unknown_fields
        )

    def test_a_missing_part_is_reported_at_the_index(self):
        published = builders.published()
        del published["service/reservations/1"]
        result = self.check(files.encode(published))
        self.assertIn(f"{self.path}:1: MissingPart", result.stderr)

    def test_malformed_files_exit_with_2_without_a_traceback(self):
        for content in (
            b"",
            b"\xff\xfe",
            b"index\t{}\n",
            b"index\t[]\nno tab\n",
            b"a\tb\n",
            b"[vm\n",
            b"index\t" + b"[" * 5_000,
        ):
            result = self.check(content)
            self.assertEqual(2, result.exit_code, content)
            self.assertIsInstance(result.exception, SystemExit)
            self.assertNotEqual("", result.stderr)

    def test_missing_files_and_wrong_arguments_exit_with_2(self):
        for arguments in (["check", "/no/such"], ["check"], ["unknown"]):
            result = testing.CliRunner().invoke(main.main, arguments)
            self.assertEqual(2, result.exit_code)
