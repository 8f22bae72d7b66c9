import json
import pathlib
import tempfile

from click import testing
import testtools

from primrosemill.cli import main


def line(request_id, time, event="request_sent", **fields):
    return json.dumps(
        {"event": event, "request_id": request_id, "timestamp": time} | fields
    )


class ExplainTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def explain(self, *arguments, logs, stdin=""):
        paths = []
        for name, lines in logs.items():
            path = self.folder / f"{name}.log"
            path.write_text("\n".join(lines))
            paths.append(str(path))
        return testing.CliRunner().invoke(
            main.main, ["explain", *arguments, *paths], input=stdin
        )

    def test_lines_of_several_vms_come_in_order(self):
        logs = {
            "entry-1": [
                line("r1", 12.5, "request_ended", ending="relayed"),
                line("r2", 12.1),
                line("r1", 12.0, instance_id="i-7"),
            ],
            "entry-2": [line("r1", 12.25, "attempt_ended")],
        }
        result = self.explain("r1", logs=logs)
        self.assertEqual(0, result.exit_code, result.output)
        rows = [each.split() for each in result.output.splitlines()[1:]]
        self.assertEqual(
            [
                ["0.0000", "entry-1", "request_sent", "instance_id=i-7"],
                ["0.2500", "entry-2", "attempt_ended"],
                ["0.5000", "entry-1", "request_ended", "ending=relayed"],
            ],
            rows,
        )

    def test_the_name_of_the_vm_may_stand_before_each_line(self):
        text = f"   3.42 entry-9 {line('r1', 1.0)}"
        result = self.explain("r1", "--json", logs={}, stdin=text)
        self.assertEqual("entry-9", json.loads(result.output)[0][1])

    def test_an_unknown_request_is_a_typed_fault(self):
        result = self.explain("r9", logs={"entry-1": [line("r1", 1.0)]})
        self.assertEqual(2, result.exit_code)
        self.assertIn("UnknownRequest: request_id='r9'", result.stderr)
        self.assertIn("lines_read=1", result.stderr)

    def test_damaged_lines_are_counted(self):
        logs = {"entry-1": [line("r1", 1.0), line("r1", 2.0)[:-7], "", "{"]}
        result = self.explain("r1", logs=logs)
        self.assertEqual(0, result.exit_code)
        self.assertIn("1 damaged lines", result.stderr)
