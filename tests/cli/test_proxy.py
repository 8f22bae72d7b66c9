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


async def read_standard_output(arguments):
    completed = await trio.run_process(
        [*COMMAND, *arguments], capture_stdout=True
    )
    return completed.stdout


class ProxyTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / "vm.ini"

    def test_invalid_settings_are_reported_and_exit_with_2(self):
        self.path.write_text("[vm]\nid = a b\n")
        result = testing.CliRunner().invoke(
            main.main, ["proxy", "--settings", str(self.path)]
        )
        self.assertEqual(2, result.exit_code)
        self.assertIn(f"{self.path}:2: WrongType", result.stderr)
        self.assertIn("MissingSection", result.stderr)

    def test_unavailable_ports_are_reported_and_exit_with_1(self):
        with socket.socket() as listener:
            listener.bind(("127.0.0.1", 0))
            listener.listen()
            port = str(listener.getsockname()[1])
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

    def test_the_command_runs_a_vm_that_serves_callers(self):
        async def body():
            async with processes.running_vm(COMMAND, self.path) as vm:
                content = await vm.get("/slots/today", "r1")
                self.assertEqual(b"r1 res-0", content)
                self.assertEqual({"r1": 1}, vm.backend.runs_by_tag)
                status_command = ("status", vm.admin_address)
                self.assertIn(
                    b"in_rotation", await read_standard_output(status_command)
                )
                addresses_command = ("addresses", vm.address, "reservations")
                self.assertIn(
                    vm.address.encode(),
                    await read_standard_output(addresses_command),
                )

        trio.run(body)
