"""Runs a small fleet in one process, on loopback addresses.

The stand-in platform, the instances and the VMs speak over real sockets;
only the processes are left out.
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
ANSWER_LIFETIME = 2.0  # seconds that callers keep their addresses
PLATFORM_IP = "127.0.0.1"
ANY_PORT = 0


class Fleet(typing.NamedTuple):
    """The parts of a running fleet; VMs in the order of their addresses.

    Every VM has a view of the platform of its own, so that one of them can
    lose it; what is published to one view is seen in all.
    """

    views_by_id: dict[str, platform.PlatformStandin]
    instances_by_id: dict[str, instance.InstanceStandin]
    instance_addresses: tuple[str, ...]
    vms_by_id: dict[str, daemon.Daemon]
    caller_addresses: tuple[str, ...]
    published: assembly.Assembled


class StartedVm(typing.NamedTuple):
    """A VM that serves callers, and where."""

    vm: daemon.Daemon
    caller_address: str


async def start(nursery: trio.Nursery, seed: int) -> Fleet:
    """Start a fleet and return once every VM serves callers."""
    instances_by_id = _make_instances()
    instance_addresses = []
    for number, standin in enumerate(instances_by_id.values()):
        served = await nursery.start(
            asgi.serve, standin, f"127.0.1.{number + 1}"
        )
        instance_addresses.append(served.address)
    vms_ips = [f"127.0.2.{number + 1}" for number in range(VMS)]
    store = platform.PlatformStandin()
    store.vms.extend(_vm_lines(vms_ips))
    first = prepare(instance_addresses, DEMAND)
    store.publish(first.values_by_key)
    views = [store.view() for _ in vms_ips]
    started_by_id = await _start_vms(nursery, seed, vms_ips, views)
    vm_ids = sorted(started_by_id)
    return Fleet(
        dict(zip(vm_ids, views, strict=True)),
        instances_by_id,
        tuple(instance_addresses),
        {vm_id: started_by_id[vm_id].vm for vm_id in vm_ids},
        tuple(started_by_id[vm_id].caller_address for vm_id in vm_ids),
        first.assembled,
    )


async def _start_vms(
    nursery: trio.Nursery,
    seed: int,
    ips: list[str],
    views: list[platform.PlatformStandin],
) -> dict[str, StartedVm]:
    """Start VMs together, since each waits a while for the others."""
    caller_port = _free_port(ips)
    peer_port = _free_port(ips)
    started_by_id: dict[str, StartedVm] = {}

    async def start_vm(made: settings.Settings) -> None:
        generator = random.Random(f"{seed}/{made.vm_id}")
        vm = daemon.Daemon(made, generator, answer_lifetime=ANSWER_LIFETIME)
        ports = await nursery.start(vm.run)
        address = f"{made.ip}:{ports.caller_port}"
        started_by_id[made.vm_id] = StartedVm(vm, address)

    async with trio.open_nursery() as starting:
        for number, ip in enumerate(ips):
            at = await nursery.start(asgi.serve, views[number], PLATFORM_IP)
            made = settings.Settings(
                FLEET,
                f"entry-{number}",
                ip,
                _domain(number),
                at.address,
                caller_port,
                ANY_PORT,
                peer_port,
            )
            starting.start_soon(start_vm, made)
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


def prepare(
    addresses: typing.Sequence[str],
    demand: float,
    published: assembly.Assembled | None = None,
) -> publication.Publication:
    """Build a version with the instances at some addresses."""
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


def _vm_lines(ips: list[str]) -> list[dict[str, str]]:
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
    """Return a port that is free on every address.

    All VMs of a fleet have the same ports, so none can take any it likes.
    """
    with socket.socket() as probe:
        probe.bind((ips[0], ANY_PORT))
        return probe.getsockname()[1]
