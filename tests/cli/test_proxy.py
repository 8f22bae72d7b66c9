import pathlib
import sys
import tempfile

from click import testing
import testtools
import trio

from primrosemill.cli import main
from tests.builders import processes

COMMAND = (sys.executable, "-m", "primrosemill.cli")


class ProxyTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / "vm.ini"

    def test_bad_settings_are_told_and_end_with_2(self):
        self.path.write_text("[vm]\nid = a b\n")
        result = testing.CliRunner().invoke(
            main.main, ["proxy", "--settings", str(self.path)]
        )
        self.assertEqual(2, result.exit_code)
        self.assertIn(f"{self.path}:2: WrongType", result.stderr)
        self.assertIn("MissingSection", result.stderr)

    def test_a_vm_runs_as_a_process_of_its_own(self):
        async def body():
            async with processes.running_vm(COMMAND, self.path) as vm:
                content = await vm.get("/slots/today", "r1")
                self.assertEqual(b"r1 res-0", content)
                self.assertEqual({"r1": 1}, vm.backend.runs_by_tag)
                told = await trio.run_process(
                    [*COMMAND, "status", vm.admin_address],
                    capture_stdout=True,
                )
                self.assertIn(b"serving", told.stdout)
                self.assertIn(b"in_rotation", told.stdout)

        trio.run(body)
