import pathlib
import subprocess
import sys
import tempfile

from click import testing
import httpcore
import testtools
import trio

from primrosemill.cli import main
from primrosemill.standins import asgi
from primrosemill.standins import instance
from primrosemill.standins import platform
from tests.builders import configuration as builders
from tests.builders import settings as settings_builders

COMMAND = (sys.executable, "-m", "primrosemill.cli", "proxy", "--settings")


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
        trio.run(self._send_one)

    async def _send_one(self):
        async with trio.open_nursery() as nursery:
            backend = instance.InstanceStandin("res-0", 3, 0.0)
            served = await nursery.start(asgi.serve, backend, "127.0.0.1")
            instances = [builders.instance_value(0, address=served.address)]
            service = builders.service_value(instances=instances, floor=1)
            store = platform.PlatformStandin()
            store.publish(builders.published(service))
            at = await nursery.start(asgi.serve, store, "127.0.0.1")
            self.path.write_text(
                settings_builders.text(platform={"address": at.address})
            )
            process = await trio.lowlevel.open_process(
                [*COMMAND, str(self.path)],
                stdout=subprocess.PIPE,
                stderr=subprocess.DEVNULL,
            )
            try:
                with trio.fail_after(30):
                    line = await process.stdout.receive_some()
                    address = line.decode().split()[-1]
                    async with httpcore.AsyncConnectionPool() as pool:
                        response = await pool.request(
                            "GET",
                            f"http://{address}/slots/today",
                            headers={"x-request-id": "r1"},
                        )
            finally:
                process.kill()
                await process.wait()
            self.assertEqual(b"r1 res-0", response.content)
            nursery.cancel_scope.cancel()
