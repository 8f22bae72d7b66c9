"""Runs a VM as a process of its own before a stand-in instance."""

import contextlib
import os
import pathlib
import subprocess
import typing

import httpcore
import trio

from primrosemill.standins import asgi
from primrosemill.standins import instance
from primrosemill.standins import platform
from tests.builders import configuration as builders
from tests.builders import settings as settings_builders

IP = "127.0.0.1"
PATIENCE = 60.0  # seconds until a VM that does not start fails the test


class RunningVm(typing.NamedTuple):
    """A VM's process, its callers' and admin ports, and its instance."""

    process: trio.Process
    address: str
    admin_address: str
    backend: instance.InstanceStandin

    async def get(self, path: str, tag: str) -> bytes:
        """Send a tagged request and return the answer's content."""
        async with httpcore.AsyncConnectionPool() as pool:
            response = await pool.request(
                "GET",
                f"http://{self.address}{path}",
                headers={"x-request-id": tag},
            )
        return response.content


async def _read_addresses(process: trio.Process) -> list[str]:
    """Read the two lines that the command prints once it serves."""
    printed = b""
    while printed.count(b"\n") < 2:
        printed += await process.stdout.receive_some()
    return [line.split()[-1] for line in printed.decode().splitlines()]


@contextlib.asynccontextmanager
async def running_vm(
    command: typing.Sequence[str],
    settings_path: pathlib.Path,
    variables: dict[str, str] | None = None,
) -> typing.AsyncIterator[RunningVm]:
    """Start ``command proxy`` with stand-ins; kill it at the end."""
    async with trio.open_nursery() as nursery:
        backend = instance.InstanceStandin("res-0", 3, 0.0)
        served = await nursery.start(asgi.serve, backend, IP)
        instances = [builders.instance_value(0, address=served.address)]
        service = builders.service_value(instances=instances, floor=1)
        store = platform.PlatformStandin()
        store.publish(builders.published(service))
        at = await nursery.start(asgi.serve, store, IP)
        text = settings_builders.text(platform={"address": at.address})
        await trio.Path(settings_path).write_text(text)
        process = await trio.lowlevel.open_process(
            [*command, "proxy", "--settings", str(settings_path)],
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            env=os.environ | (variables or {}),
        )
        try:
            with trio.fail_after(PATIENCE):
                addresses = await _read_addresses(process)
                yield RunningVm(process, *addresses, backend)
        finally:
            process.kill()
            await process.wait()
        nursery.cancel_scope.cancel()
