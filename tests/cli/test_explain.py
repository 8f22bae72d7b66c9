import json
import pathlib
import tempfile

from click import testing
import testtools

from primrosemill.cli import main


def log_line(request_id, time, event="request_sent", **fields):
    return json.dumps(
        {"event": event, "request_id": request_id, "timestamp": time} | fields
    )


class ExplainTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def explain(self, *arguments, lines_by_vm, stdin=""):
        paths = []
        for name, lines in lines_by_vm.items():
            path = self.folder / f"{name}.log"
            path.write_text("\n".join(lines))
            paths.append(str(path))
        return testing.CliRunner().invoke(
            main.main, ["explain", *arguments, *paths], input=stdin
        )

    def test_events_of_several_vms_are_sorted_by_time(self):
        lines_by_vm = {
            "entry-1": [
                log_line("r1", 12.5, "request_ended", ending="relayed"),
                log_line("r2", 12.1),
                log_line("r1", 12.0, instance_id="i-7"),
            ],
            "entry-2": [log_line("r1", 12.25, "attempt_ended")],
        }
        result = self.explain("r1", lines_by_vm=lines_by_vm)
        self.assertEqual(0, result.exit_code, result.output)
        rows = [row.split() for row in result.output.splitlines()[1:]]
        self.assertEqual(
            [
                ["0.0000", "entry-1", "request_sent", "instance_id=i-7"],
                ["0.2500", "entry-2", "attempt_ended"],
                ["0.5000", "entry-1", "request_ended", "ending=relayed"],
            ],
            rows,
        )

    def test_a_line_may_start_with_the_name_of_its_vm(self):
        text = f"   3.42 entry-9 {log_line('r1', 1.0)}"
        result = self.explain("r1", "--json", lines_by_vm={}, stdin=text)
        self.assertEqual("entry-9", json.loads(result.output)[0][1])

    def test_an_unknown_request_exits_with_2(self):
        result = self.explain(
            "r9", lines_by_vm={"entry-1": [log_line("r1", 1.0)]}
        )
        self.assertEqual(2, result.exit_code)
        self.assertIn("UnknownRequest: request_id='r9'", result.stderr)
        self.assertIn("lines_read=1", result.stderr)

    def test_damaged_lines_are_counted(self):
        lines_by_vm = {
            "entry-1": [log_line("r1", 1.0), log_line("r1", 2.0)[:-7], "", "{"]
        }
        result = self.explain("r1", lines_by_vm=lines_by_vm)
        self.assertEqual(0, result.exit_code)
        self.assertIn("1 damaged lines", result.stderr)
