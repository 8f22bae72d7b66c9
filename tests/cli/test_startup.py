"""Signals that come while an entry VM starts."""

import pathlib
import signal
import subprocess
import sys
import tempfile

import testtools
import trio

from tests.builders import entry_settings
from tests.builders import users_platform

START_TIMEOUT = 30.0  # seconds
# A library that Python loads while the VM's modules are imported.
LOADED_AMID_IMPORTS = "_socket"
SIGHUP_BIT = 1 << (signal.SIGHUP - 1)  # in the masks of the kernel


class StartupTest(testtools.TestCase):
    def test_settings_that_change_during_the_imports_are_read(self):
        # Guards against SIGHUP ending a process that is starting.
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "vm.ini"
            path.write_text(self.text())
            trio.run(self.check, path)

    def text(self, first_peers=""):
        """Return settings with ports that are free."""
        text = entry_settings.text(first_peers)
        for port in ("8144", "8140", "8143", "8146", "7660"):
            text = text.replace(
                f":{port}", f":{users_platform.free_port()}", 1
            )
        return text

    async def check(self, path):
        process = await trio.lowlevel.open_process(
            [
                *(sys.executable, "-m", "primrosemill.cli"),
                *("entry", "--settings", str(path)),
            ],
            stdout=subprocess.PIPE,
        )
        try:
            with trio.fail_after(START_TIMEOUT):
                await self.wait_until_importing(process)
                changed = path.read_text().replace(
                    "first = ", "first = 127.0.0.9:8146"
                )
                path.write_text(changed)
                process.send_signal(signal.SIGHUP)
                await self.wait_until_following(process)
                process.send_signal(signal.SIGHUP)
                output = b""
                while b"settings_reloaded" not in output:
                    data = await process.stdout.receive_some()
                    self.assertNotEqual(b"", data, process.poll())
                    output += data
                self.assertIn(b"127.0.0.9:8146", output)
        finally:
            process.kill()
            await process.wait()

    async def wait_until_following(self, process):
        """Wait until a process handles SIGHUP."""
        while not self.handled_signals(process) & SIGHUP_BIT:
            self.assertIsNone(process.poll())
            await trio.sleep(0.01)

    def handled_signals(self, process):
        status = pathlib.Path("/proc") / str(process.pid) / "status"
        for line in status.read_text().splitlines():
            if line.startswith("SigCgt:"):
                return int(line.split()[1], 16)
        return 0

    async def wait_until_importing(self, process):
        maps = pathlib.Path("/proc") / str(process.pid) / "maps"
        while LOADED_AMID_IMPORTS not in maps.read_text():
            self.assertIsNone(process.poll())
            await trio.sleep(0.001)
