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

LIMIT = 60  # seconds; a hang ends as a failure.
COUNT = 3


def ip(number):
    return f"127.0.4.{number + 1}"


def free_ports():
    """Return two ports that are free on the address of every VM."""
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

    def test_processes_join_spread_and_leave(self):
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

    async def told(self, number):
        url = f"http://{ip(number)}:{self.admin_port}/status"
        try:
            async with httpcore.AsyncConnectionPool() as pool:
                answer = await pool.request("GET", url)
        except (httpcore.NetworkError, httpcore.ProtocolError):
            return None
        return msgspec.json.decode(answer.content, type=status.Status)

    async def until_told(self, number, condition):
        while True:
            told = await self.told(number)
            if told is not None and condition(told):
                return
            await trio.sleep(0.05)

    async def run_fleet(self):
        with trio.fail_after(LIMIT):
            async with trio.open_nursery() as nursery:
                store = platform.PlatformStandin()
                store.publish(configuration.published())
                at = await nursery.start(asgi.serve, store, "127.0.0.1")
                await self.start(nursery, 0, at.address)
                await self.until_told(0, lambda told: in_force(told) == 1)
                store.reachable = False
                last = None
                for number in range(1, COUNT):
                    last = await self.start(nursery, number, at.address)
                for number in range(COUNT):
                    await self.until_told(number, has_whole_fleet)
                os.kill(last.pid, signal.SIGTERM)
                await self.until_told(0, has_leaving_vm)
                os.kill(last.pid, signal.SIGTERM)
                await last.wait()
                await self.until_told(1, has_gone_vm)
                nursery.cancel_scope.cancel()


def in_force(told):
    return told["configuration"]["version"]


def states(told):
    return sorted(member["state"] for member in told["members"])


def has_whole_fleet(told):
    versions = {member["version"] for member in told["members"]}
    return (
        in_force(told) == 1
        and versions == {1}
        and states(told) == ["live"] * (COUNT - 1)
    )


def has_leaving_vm(told):
    return "leaving" in states(told)


def has_gone_vm(told):
    return "gone" in states(told)
