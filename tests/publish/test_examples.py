import pathlib
import runpy
import tempfile

from click import testing
import testtools

from primrosemill.configuration import files
from primrosemill.publish import script
from tests.builders import plans

EXAMPLES = pathlib.Path(__file__).parents[2] / "docs" / "examples"


def run(plan, *arguments):
    return testing.CliRunner().invoke(
        script.command(plan), [str(argument) for argument in arguments]
    )


class ExamplesTest(testtools.TestCase):
    def plan(self, name):
        return runpy.run_path(str(EXAMPLES / name))["PLAN"]

    def sizes(self, name):
        return {
            service["name"]: (len(service["instances"]), service["slots"])
            for service in self.plan(name).services
        }

    def test_examples_have_the_sizes_of_the_deployments(self):
        self.assertEqual(
            {"reservations": (20, 3), "compliance": (6, 3)},
            self.sizes("atlas.py"),
        )
        self.assertEqual(
            {"kit-desk": (25, 2), "reel-vault": (6, 2)},
            self.sizes("guild.py"),
        )

    def test_each_example_prints_a_document(self):
        for path in sorted(EXAMPLES.glob("*.py")):
            result = run(self.plan(path.name))
            self.assertEqual(0, result.exit_code, result.output)
            content = files.decode(result.stdout_bytes).ok
            self.assertEqual("index", list(content.values_by_key)[-1])


class ScriptTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = pathlib.Path(directory.name) / "published.tsv"

    def test_changes_are_relative_to_the_published_file(self):
        self.path.write_bytes(run(plans.plan()).stdout_bytes)
        changed = plans.plan(plans.service(floor=3))
        result = run(changed, "--published", self.path, "--changes")
        content = files.decode(result.stdout_bytes).ok
        self.assertEqual(
            ["service/reservations/2", "index"], list(content.values_by_key)
        )
        result = run(plans.plan(), "--published", self.path, "--changes")
        self.assertEqual(b"", result.stdout_bytes)

    def test_faults_exit_with_2_and_print_no_document(self):
        result = run(plans.plan(plans.service(floor=7)))
        self.assertEqual(2, result.exit_code)
        self.assertEqual(b"", result.stdout_bytes)
        self.assertIn("FloorOverInstances", result.stderr)

    def test_invalid_published_file_is_reported(self):
        for content, fault in (
            (b"no tab", "MalformedLine"),
            (b"index\t{}", "Malformed"),
            (b"other\t{}", "MissingPart"),
        ):
            self.path.write_bytes(content)
            result = run(plans.plan(), "--published", self.path)
            self.assertEqual(2, result.exit_code)
            self.assertIn(fault, result.stderr)
