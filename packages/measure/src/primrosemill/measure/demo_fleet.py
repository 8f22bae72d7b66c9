"""Runs a small fleet in one process on loopback addresses.

The stand-in platform, the instances and the VMs communicate over real
sockets, but share one process.
"""

import random
import socket
import typing

import trio

from primrosemill.configuration import assembly
from primrosemill.proxy import daemon
from primrosemill.proxy import settings
from primrosemill.publish import builders
from primrosemill.publish import publication
from primrosemill.standins import asgi
from primrosemill.standins import instance
from primrosemill.standins import platform

FLEET = "atlas"
SERVICE = "reservations"
DOMAINS = ("ain-sebaa", "hay-riad", "sidi-maarouf")
INSTANCES = 6
SLOTS = 3
FLOOR = 4
VMS = 3
SERVICE_TIME = 0.02  # seconds
DEADLINE = 5.0  # seconds
DEMAND = 100.0  # requests a second
DETECTION_WEIGHT = 0.9
NEXT_DEMAND = 120.0  # requests a second, in the second version
ANSWER_LIFETIME = 2.0  # seconds that callers may use their addresses
PLATFORM_IP = "127.0.0.1"
ANY_PORT = 0


class Fleet(typing.NamedTuple):
    """The parts of a running fleet, VMs in the order of their ids.

    Each VM has its own view of the platform, so that a single VM can lose its
    connection; a version published to one view is visible in all of them.
    """

    views_by_id: dict[str, platform.PlatformStandin]
    instances_by_id: dict[str, instance.InstanceStandin]
    instance_addresses: tuple[str, ...]
    vms_by_id: dict[str, daemon.Daemon]
    caller_addresses: tuple[str, ...]
    published: assembly.AssembledVersion


class StartedVm(typing.NamedTuple):
    """A running VM and its address for callers."""

    vm: daemon.Daemon
    caller_address: str


async def start(nursery: trio.Nursery, seed: int) -> Fleet:
    """Start a fleet and return when all VMs serve callers."""
    instances_by_id = _make_instances()
    instance_addresses = []
    for number, instance_standin in enumerate(instances_by_id.values()):
        served = await nursery.start(
            asgi.serve, instance_standin, f"127.0.1.{number + 1}"
        )
        instance_addresses.append(served.address)
    vm_ips = [f"127.0.2.{number + 1}" for number in range(VMS)]
    store = platform.PlatformStandin()
    store.vms.extend(_vm_entries(vm_ips))
    first_publication = prepare_version(instance_addresses, DEMAND)
    store.publish(first_publication.values_by_key)
    views = [store.view() for _ in vm_ips]
    started_by_id = await _start_vms(nursery, seed, vm_ips, views)
    vm_ids = sorted(started_by_id)
    return Fleet(
        dict(zip(vm_ids, views, strict=True)),
        instances_by_id,
        tuple(instance_addresses),
        {vm_id: started_by_id[vm_id].vm for vm_id in vm_ids},
        tuple(started_by_id[vm_id].caller_address for vm_id in vm_ids),
        first_publication.assembled,
    )


async def _start_vms(
    nursery: trio.Nursery,
    seed: int,
    ips: list[str],
    views: list[platform.PlatformStandin],
) -> dict[str, StartedVm]:
    """Start all VMs concurrently, as each waits a while for the others."""
    caller_port = _free_port(ips)
    peer_port = _free_port(ips)
    started_by_id: dict[str, StartedVm] = {}

    async def start_vm(vm_settings: settings.Settings) -> None:
        generator = random.Random(f"{seed}/{vm_settings.vm_id}")
        vm = daemon.Daemon(
            vm_settings, generator, answer_lifetime=ANSWER_LIFETIME
        )
        ports = await nursery.start(vm.run)
        address = f"{vm_settings.ip}:{ports.caller_port}"
        started_by_id[vm_settings.vm_id] = StartedVm(vm, address)

    async with trio.open_nursery() as start_nursery:
        for number, ip in enumerate(ips):
            served = await nursery.start(
                asgi.serve, views[number], PLATFORM_IP
            )
            vm_settings = settings.Settings(
                FLEET,
                f"entry-{number}",
                ip,
                _domain(number),
                served.address,
                caller_port,
                ANY_PORT,
                peer_port,
            )
            start_nursery.start_soon(start_vm, vm_settings)
    return started_by_id


def _make_instances() -> dict[str, instance.InstanceStandin]:
    return {
        _instance_id(number): instance.InstanceStandin(
            _instance_id(number), SLOTS, SERVICE_TIME
        )
        for number in range(INSTANCES)
    }


def _instance_id(number: int) -> str:
    return f"{SERVICE}-{number}"


def _domain(number: int) -> str:
    return DOMAINS[number % len(DOMAINS)]


def prepare_version(
    addresses: typing.Sequence[str],
    demand: float,
    published: assembly.AssembledVersion | None = None,
) -> publication.Publication:
    """Prepare a version whose instances have the given addresses."""
    instances = []
    for number, address in enumerate(addresses):
        ip, _, port = address.rpartition(":")
        instances.append(
            builders.instance(
                _instance_id(number), ip, int(port), _domain(number)
            )
        )
    service = builders.service(
        SERVICE,
        instances,
        [
            builders.route(
                "/slots", methods=["GET"], idempotent=True, deadline=DEADLINE
            ),
            builders.route(
                "/bookings",
                methods=["POST"],
                idempotent=False,
                deadline=DEADLINE,
            ),
        ],
        floor=FLOOR,
        slots=SLOTS,
        demand=demand,
        detection_weight=DETECTION_WEIGHT,
        cold_start=0.0,
        probe_interval=1.0,
    )
    plan = publication.Plan(
        FLEET, DOMAINS, (service,), builders.limit(1_000.0, 1_000), {}
    )
    return publication.prepare(plan, published).ok


def _vm_entries(ips: list[str]) -> list[dict[str, str]]:
    return [
        {
            "id": f"entry-{number}",
            "ip": ip,
            "domain": _domain(number),
            "state": "live",
        }
        for number, ip in enumerate(ips)
    ]


def _free_port(ips: list[str]) -> int:
    """Return a port that is free on all addresses.

    All VMs of a fleet use the same ports, so a VM cannot choose its own.
    """
    with socket.socket() as probe:
        probe.bind((ips[0], ANY_PORT))
        return probe.getsockname()[1]
