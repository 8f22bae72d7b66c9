"""Starts the processes of a measurement and reads their resource usage.

Only measurements start processes; the proxy itself never does.
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
# Fields of /proc/PID/stat, counted after the command's name.
UTIME_FIELD = 11
STIME_FIELD = 12


class Usage(typing.NamedTuple):
    """Processor time in seconds and peak resident memory in bytes."""

    processor: float
    peak_resident: int


class Child:
    """A process in one role, which prints lines of JSON."""

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
        """Wait for the next line that the process prints and decode it."""
        return msgspec.json.decode(self._process.stdout.readline())

    def read_usage(self) -> Usage:
        """Return the processor time and peak memory so far."""
        folder = pathlib.Path("/proc") / str(self.pid)
        stat = (folder / "stat").read_text().rpartition(") ")[2].split()
        ticks = int(stat[UTIME_FIELD]) + int(stat[STIME_FIELD])
        peak = 0
        for line in (folder / "status").read_text().splitlines():
            if line.startswith("VmHWM:"):
                peak = int(line.split()[1]) * 1024
        return Usage(ticks / TICKS_PER_SECOND, peak)

    def stop(self) -> None:
        """Kill the process and wait for its end."""
        self._process.kill()
        self._process.wait()
        self._process.stdin.close()
        self._process.stdout.close()


@contextlib.contextmanager
def running_child(
    role: str, arguments: dict[str, typing.Any]
) -> typing.Iterator[Child]:
    """Run a process until the end of a with block."""
    started = Child(role, arguments)
    try:
        yield started
    finally:
        started.stop()
