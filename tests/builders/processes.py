"""Runs a VM in its own process, with a stand-in platform and instance."""

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
START_TIMEOUT = 60.0  # seconds after which a VM that has not started fails


class RunningVm(typing.NamedTuple):
    """A VM's process, its addresses for callers and admin, its instance."""

    process: trio.Process
    address: str
    admin_address: str
    backend: instance.InstanceStandin

    async def get(self, path: str, tag: str) -> bytes:
        """Send a request with a request id and return the content."""
        async with httpcore.AsyncConnectionPool() as pool:
            response = await pool.request(
                "GET",
                f"http://{self.address}{path}",
                headers={"x-request-id": tag},
            )
        return response.content


async def _read_addresses(process: trio.Process) -> list[str]:
    """Read the addresses in the two lines printed when the VM serves."""
    output = b""
    while output.count(b"\n") < 2:
        output += await process.stdout.receive_some()
    return [line.split()[-1] for line in output.decode().splitlines()]


@contextlib.asynccontextmanager
async def running_vm(
    command: typing.Sequence[str],
    settings_path: pathlib.Path,
    variables: dict[str, str] | None = None,
) -> typing.AsyncIterator[RunningVm]:
    """Run ``command proxy`` with stand-ins until the end of the block."""
    async with trio.open_nursery() as nursery:
        backend = instance.InstanceStandin("res-0", 3, 0.0)
        served = await nursery.start(asgi.serve, backend, IP)
        instances = [builders.instance_value(0, address=served.address)]
        service = builders.service_value(instances=instances, floor=1)
        store = platform.PlatformStandin()
        store.publish(builders.published(service))
        store_endpoint = await nursery.start(asgi.serve, store, IP)
        settings_text = settings_builders.text(
            platform={"address": store_endpoint.address}
        )
        await trio.Path(settings_path).write_text(settings_text)
        process = await trio.lowlevel.open_process(
            [*command, "proxy", "--settings", str(settings_path)],
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            env=os.environ | (variables or {}),
        )
        try:
            with trio.fail_after(START_TIMEOUT):
                addresses = await _read_addresses(process)
                yield RunningVm(process, *addresses, backend)
        finally:
            process.kill()
            await process.wait()
        nursery.cancel_scope.cancel()
