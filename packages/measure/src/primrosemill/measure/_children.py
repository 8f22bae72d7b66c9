"""Starts the processes of a measurement and reads what they cost.

Measurements start processes; the product never does.
"""

import contextlib
import os
import pathlib
import subprocess
import sys
import typing

import msgspec

ROLES_MODULE = "primrosemill.measure._roles"
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
UTIME_FIELD = 11  # after the closing bracket of the command's name
STIME_FIELD = 12


class Usage(typing.NamedTuple):
    """What a process spent; processor time in seconds, memory in bytes."""

    processor: float
    peak_resident: int


class Child:
    """A process in one role; it prints one line of JSON once it serves."""

    def __init__(self, role: str, arguments: dict[str, typing.Any]) -> None:
        self._process = subprocess.Popen(
            [sys.executable, "-m", ROLES_MODULE, role],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        self._process.stdin.write(msgspec.json.encode(arguments) + b"\n")
        self._process.stdin.flush()

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self._process.pid

    def read_line(self) -> dict[str, typing.Any]:
        """Wait for the next line that the process prints."""
        return msgspec.json.decode(self._process.stdout.readline())

    def usage(self) -> Usage:
        """Read the processor time and peak memory so far."""
        folder = pathlib.Path("/proc") / str(self.pid)
        stat = (folder / "stat").read_text().rpartition(") ")[2].split()
        ticks = int(stat[UTIME_FIELD]) + int(stat[STIME_FIELD])
        peak = 0
        for line in (folder / "status").read_text().splitlines():
            if line.startswith("VmHWM:"):
                peak = int(line.split()[1]) * 1024
        return Usage(ticks / TICKS_PER_SECOND, peak)

    def stop(self) -> None:
        """End the process."""
        self._process.kill()
        self._process.wait()
        self._process.stdin.close()
        self._process.stdout.close()


@contextlib.contextmanager
def child(
    role: str, arguments: dict[str, typing.Any]
) -> typing.Iterator[Child]:
    """Run a process for the time of a block."""
    started = Child(role, arguments)
    try:
        yield started
    finally:
        started.stop()
