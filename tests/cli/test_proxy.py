import pathlib
import socket
import sys
import tempfile

from click import testing
import testtools
import trio

from primrosemill.cli import main
from tests.builders import processes
from tests.builders import settings as settings_builders

COMMAND = (sys.executable, "-m", "primrosemill.cli")


async def printed(arguments):
    done = await trio.run_process([*COMMAND, *arguments], capture_stdout=True)
    return done.stdout


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

    def test_ports_that_cannot_be_had_are_told_and_end_with_1(self):
        with socket.socket() as taken:
            taken.bind(("127.0.0.1", 0))
            taken.listen()
            port = str(taken.getsockname()[1])
            for changes, key in (
                ({"ports": {"admin": port}}, "admin"),
                ({"ports": {"peer": port}}, "peer"),
                ({"vm": {"ip": "192.0.2.1"}}, "caller"),
            ):
                self.path.write_text(settings_builders.text(**changes))
                result = testing.CliRunner().invoke(
                    main.main, ["proxy", "--settings", str(self.path)]
                )
                self.assertEqual(1, result.exit_code)
                self.assertIn(f"CannotListen: key='{key}'", result.stderr)

    def test_a_vm_runs_as_a_process_of_its_own(self):
        async def body():
            async with processes.running_vm(COMMAND, self.path) as vm:
                content = await vm.get("/slots/today", "r1")
                self.assertEqual(b"r1 res-0", content)
                self.assertEqual({"r1": 1}, vm.backend.runs_by_tag)
                status = ("status", vm.admin_address)
                self.assertIn(b"in_rotation", await printed(status))
                asked = ("addresses", vm.address, "reservations")
                self.assertIn(vm.address.encode(), await printed(asked))

        trio.run(body)
