from importlib import metadata
import os
import pathlib
import subprocess
import tempfile

import testtools
import trio

from tests.builders import processes

BINARY = pathlib.Path(__file__).parents[2] / "dist" / "primrosemill"


def child_pids(pid):
    """Return the ids of the child processes, from ``/proc``."""
    tasks = pathlib.Path(f"/proc/{pid}/task").iterdir()
    return [
        child
        for task in tasks
        for child in (task / "children").read_text().split()
    ]


def command_line(pid):
    content = pathlib.Path(f"/proc/{pid}/cmdline").read_bytes()
    return content.decode().split("\0")


class BinaryTest(testtools.TestCase):
    """Runs the binary of ``make binary``; ``make test`` builds it first."""

    def setUp(self):
        super().setUp()
        self.assertTrue(BINARY.exists(), "run 'make binary' first")
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.environment = {"SHIV_ROOT": str(self.folder / "unpacked")}

    def test_the_version_command_prints_the_package_version(self):
        completed = subprocess.run(
            [BINARY, "version"],
            check=True,
            stdout=subprocess.PIPE,
            env=os.environ | self.environment,
        )
        self.assertEqual(
            metadata.version("primrosemill-cli"),
            completed.stdout.decode().strip(),
        )

    def test_a_vm_runs_from_the_binary_as_one_process(self):
        async def body():
            async with processes.running_vm(
                [str(BINARY)], self.folder / "vm.ini", self.environment
            ) as vm:
                content = await vm.get("/slots/today", "r1")
                self.assertEqual(b"r1 res-0", content)
                self.assertEqual([], child_pids(vm.process.pid))
                self.assertIn(str(BINARY), command_line(vm.process.pid))

        trio.run(body)
