import os
import pathlib
import signal
import socket
import subprocess
import sys

import fixtures
import httpcore
import msgspec
import testtools
import trio

from primrosemill.proxy import status
from primrosemill.standins import asgi
from primrosemill.standins import platform
from tests.builders import configuration
from tests.builders import fleet as builders
from tests.builders import settings as settings_builders

TEST_TIMEOUT = 60  # seconds; a hang ends as a failure.
VM_COUNT = 3


def ip(number):
    return f"127.0.4.{number + 1}"


def free_ports():
    """Return two ports that were free on the address of the first VM."""
    sockets = []
    for _ in range(2):
        held = socket.create_server((ip(0), 0))
        sockets.append(held)
    ports = [held.getsockname()[1] for held in sockets]
    for held in sockets:
        held.close()
    return ports


class ProcessesTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.folder = pathlib.Path(self.useFixture(fixtures.TempDir()).path)
        self.admin_port, self.peer_port = free_ports()

    def test_processes_join_pull_a_version_and_leave(self):
        trio.run(self.run_fleet)

    def write_settings(self, number, platform_address):
        text = settings_builders.text(
            vm={
                "id": builders.vm_id(number),
                "ip": ip(number),
                "domain": builders.entry(number).domain,
            },
            platform={"address": platform_address},
            ports={
                "admin": str(self.admin_port),
                "peer": str(self.peer_port),
            },
            peers={"first": f"{ip(0)}:{self.peer_port}"},
        )
        path = self.folder / f"{number}.ini"
        path.write_text(text)
        return path

    async def start(self, nursery, number, address):
        command = [sys.executable, "-m", "primrosemill.cli", "proxy"]
        command += ["--settings", str(self.write_settings(number, address))]
        process = await trio.lowlevel.open_process(
            command, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL
        )
        nursery.start_soon(process.wait)
        self.addCleanup(process.kill)
        return process

    async def fetch_status(self, number):
        url = f"http://{ip(number)}:{self.admin_port}/status"
        try:
            async with httpcore.AsyncConnectionPool() as pool:
                answer = await pool.request("GET", url)
        except (httpcore.NetworkError, httpcore.ProtocolError):
            return None
        return msgspec.json.decode(answer.content, type=status.Status)

    async def wait_until_status(self, number, condition):
        while True:
            vm_status = await self.fetch_status(number)
            if vm_status is not None and condition(vm_status):
                return
            await trio.sleep(0.05)

    async def run_fleet(self):
        with trio.fail_after(TEST_TIMEOUT):
            async with trio.open_nursery() as nursery:
                store = platform.PlatformStandin()
                store.publish(configuration.published())
                listener = await nursery.start(asgi.serve, store, "127.0.0.1")
                await self.start(nursery, 0, listener.address)
                await self.wait_until_status(
                    0, lambda vm_status: version_in_force(vm_status) == 1
                )
                store.reachable = False
                last_process = None
                for number in range(1, VM_COUNT):
                    last_process = await self.start(
                        nursery, number, listener.address
                    )
                for number in range(VM_COUNT):
                    await self.wait_until_status(number, has_whole_fleet)
                os.kill(last_process.pid, signal.SIGTERM)
                await self.wait_until_status(0, has_leaving_vm)
                os.kill(last_process.pid, signal.SIGTERM)
                await last_process.wait()
                await self.wait_until_status(1, has_gone_vm)
                nursery.cancel_scope.cancel()


def version_in_force(vm_status):
    return vm_status["configuration"]["version"]


def member_states(vm_status):
    return sorted(member["state"] for member in vm_status["members"])


def has_whole_fleet(vm_status):
    versions = {member["version"] for member in vm_status["members"]}
    return (
        version_in_force(vm_status) == 1
        and versions == {1}
        and member_states(vm_status) == ["live"] * (VM_COUNT - 1)
    )


def has_leaving_vm(vm_status):
    return "leaving" in member_states(vm_status)


def has_gone_vm(vm_status):
    return "gone" in member_states(vm_status)
