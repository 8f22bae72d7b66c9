"""Builds whole VMs on loopback addresses in one process."""

import random
import typing

import httpcore
import msgspec
import trio

from primrosemill.proxy import daemon
from primrosemill.proxy import settings as proxy_settings
from primrosemill.standins import asgi
from primrosemill.standins import platform
from tests.builders import configuration

IP = "127.0.0.1"
SECRET = b"k" * 32
ANSWER_LIFETIME = 0.2  # seconds


class RunningVm(typing.NamedTuple):
    """A VM that serves."""

    id: str
    ip: str
    daemon: daemon.Daemon
    ports: daemon.Ports

    @property
    def callers(self) -> str:
        """Return the address that callers reach."""
        return f"{self.ip}:{self.ports.caller_port}"

    @property
    def peers(self) -> str:
        """Return the address that other VMs reach."""
        return f"{self.ip}:{self.ports.peer_port}"


class Fleet:
    """Starts VMs that share a platform; all use the ports of the first."""

    def __init__(self, nursery: trio.Nursery, **options: typing.Any) -> None:
        self.platform = platform.PlatformStandin()
        self.vms_by_id: dict[str, RunningVm] = {}
        self._nursery = nursery
        self._options = options
        self._address = ""

    async def open(self, values_by_key: dict[str, bytes]) -> None:
        """Serve the platform with a first version."""
        self.platform.publish(values_by_key)
        served = await self._nursery.start(asgi.serve, self.platform, IP)
        self._address = served.address

    async def start(self, number: int) -> RunningVm:
        """Start a VM; its failure domain follows from its number."""
        first = next(iter(self.vms_by_id.values()), None)
        ports = first.ports if first else daemon.Ports(0, 0, 0)
        settings = proxy_settings.Settings(
            fleet=configuration.FLEET,
            vm_id=f"vm-{number}",
            ip=f"127.20.0.{number + 1}",
            domain=configuration.DOMAINS[number % 3],
            platform_address=self._address,
            caller_port=ports.caller_port,
            admin_port=ports.admin_port,
            peer_port=ports.peer_port,
            first_peers=(first.peers,) if first else (),
            peer_key=SECRET,
        )
        made = daemon.Daemon(
            settings,
            random.Random(number),
            **({"answer_lifetime": ANSWER_LIFETIME} | self._options),
        )
        bound = await self._nursery.start(made.run)
        vm = RunningVm(settings.vm_id, settings.ip, made, bound)
        self.vms_by_id[vm.id] = vm
        return vm

    async def start_all(self, count: int) -> list[RunningVm]:
        """Start several VMs and wait until all agree on the homes."""
        vms = [await self.start(number) for number in range(count)]
        for vm in vms:
            while len(vm.daemon.read_status()["members"]) < count - 1:
                await trio.sleep(0.02)
        while len(set(map(_homes, vms))) > 1 or not _homes(vms[0]):
            await trio.sleep(0.02)
        return vms


def _homes(vm: RunningVm) -> tuple[str, ...]:
    """Return the home VMs that a VM knows, by service."""
    services = vm.daemon.read_status()["services"]
    return tuple(home for each in services for home in each["homes"])


async def get(address: str, target: str, **headers: str) -> httpcore.Response:
    """Send one request on a connection of its own."""
    async with httpcore.AsyncConnectionPool() as pool:
        return await pool.request(
            "GET", f"http://{address}{target}", headers=headers
        )


async def ask(
    vm: RunningVm, service: str, caller: str = "", domain: str = ""
) -> list[str]:
    """Ask a VM which addresses to use."""
    response = await get(
        vm.callers,
        "/.well-known/primrosemill/addresses"
        f"?service={service}&caller={caller}&domain={domain}",
    )
    return msgspec.json.decode(response.content)["addresses"]
