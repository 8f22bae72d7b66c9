from importlib import metadata
import os
import pathlib
import subprocess
import tempfile

import testtools
import trio

from tests.builders import processes

BINARY = pathlib.Path(__file__).parents[2] / "dist" / "primrosemill"


def children(pid):
    """Return the process ids below a process, from the process table."""
    tasks = pathlib.Path(f"/proc/{pid}/task").iterdir()
    return [
        child
        for task in tasks
        for child in (task / "children").read_text().split()
    ]


def command_line(pid):
    line = pathlib.Path(f"/proc/{pid}/cmdline").read_bytes()
    return line.decode().split("\0")


class BinaryTest(testtools.TestCase):
    """Runs what ``make binary`` built; ``make test`` builds it first."""

    def setUp(self):
        super().setUp()
        self.assertTrue(BINARY.exists(), "run 'make binary' first")
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.variables = {"SHIV_ROOT": str(self.folder / "unpacked")}

    def test_it_tells_its_version(self):
        printed = subprocess.run(
            [BINARY, "version"],
            check=True,
            stdout=subprocess.PIPE,
            env=os.environ | self.variables,
        )
        self.assertEqual(
            metadata.version("primrosemill-cli"),
            printed.stdout.decode().strip(),
        )

    def test_a_vm_runs_from_it_as_one_process(self):
        async def body():
            async with processes.running_vm(
                [str(BINARY)], self.folder / "vm.ini", self.variables
            ) as vm:
                content = await vm.get("/slots/today", "r1")
                self.assertEqual(b"r1 res-0", content)
                self.assertEqual([], children(vm.process.pid))
                self.assertIn(str(BINARY), command_line(vm.process.pid))

        trio.run(body)
