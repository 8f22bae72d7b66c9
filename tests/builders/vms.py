"""Runs complete VMs on loopback addresses in one process."""

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
    """A VM that serves callers."""

    id: str
    ip: str
    daemon: daemon.Daemon
    ports: daemon.Ports

    @property
    def caller_address(self) -> str:
        """Return the address for callers."""
        return f"{self.ip}:{self.ports.caller_port}"

    @property
    def peer_address(self) -> str:
        """Return the address for other VMs."""
        return f"{self.ip}:{self.ports.peer_port}"


class Fleet:
    """Starts VMs on one platform; all of them use the ports of the first."""

    def __init__(self, nursery: trio.Nursery, **options: typing.Any) -> None:
        self.platform = platform.PlatformStandin()
        self.vms_by_id: dict[str, RunningVm] = {}
        self._nursery = nursery
        self._options = options
        self._platform_address = ""

    async def start_platform(self, values_by_key: dict[str, bytes]) -> None:
        """Start the platform with a first version."""
        self.platform.publish(values_by_key)
        served = await self._nursery.start(asgi.serve, self.platform, IP)
        self._platform_address = served.address

    async def start_vm(self, number: int) -> RunningVm:
        """Start a VM, whose number determines its failure domain."""
        first = next(iter(self.vms_by_id.values()), None)
        ports = first.ports if first else daemon.Ports(0, 0, 0)
        settings = proxy_settings.Settings(
            fleet=configuration.FLEET,
            vm_id=f"vm-{number}",
            ip=f"127.20.0.{number + 1}",
            domain=configuration.DOMAINS[number % 3],
            platform_address=self._platform_address,
            caller_port=ports.caller_port,
            admin_port=ports.admin_port,
            peer_port=ports.peer_port,
            first_peers=(first.peer_address,) if first else (),
            peer_key=SECRET,
        )
        vm_daemon = daemon.Daemon(
            settings,
            random.Random(number),
            **({"answer_lifetime": ANSWER_LIFETIME} | self._options),
        )
        bound_ports = await self._nursery.start(vm_daemon.run)
        vm = RunningVm(settings.vm_id, settings.ip, vm_daemon, bound_ports)
        self.vms_by_id[vm.id] = vm
        return vm

    async def start_all(self, count: int) -> list[RunningVm]:
        """Start several VMs and wait until they agree on the home VMs.

        The home VMs of a service are the VMs assigned to it.
        """
        vms = [await self.start_vm(number) for number in range(count)]
        for vm in vms:
            while len(vm.daemon.read_status()["members"]) < count - 1:
                await trio.sleep(0.02)
        while len(set(map(_home_vm_ids, vms))) > 1 or not _home_vm_ids(vms[0]):
            await trio.sleep(0.02)
        return vms


def _home_vm_ids(vm: RunningVm) -> tuple[str, ...]:
    """Return the ids of the home VMs of all services, as a VM knows them."""
    services = vm.daemon.read_status()["services"]
    return tuple(home for each in services for home in each["homes"])


async def get(address: str, target: str, **headers: str) -> httpcore.Response:
    """Send one request on a new connection."""
    async with httpcore.AsyncConnectionPool() as pool:
        return await pool.request(
            "GET", f"http://{address}{target}", headers=headers
        )


async def resolve_addresses(
    vm: RunningVm, service: str, caller: str = "", domain: str = ""
) -> list[str]:
    """Ask a VM for the addresses that a caller should use."""
    response = await get(
        vm.caller_address,
        "/.well-known/primrosemill/addresses"
        f"?service={service}&caller={caller}&domain={domain}",
    )
    return msgspec.json.decode(response.content)["addresses"]
