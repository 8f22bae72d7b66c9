"""Measures an entry VM beside instances that send bytes without end.

The VM, the instances and their callers are processes; the other stand-ins and
the ordinary callers run in this one. See :mod:`.clients` for what counts as
the VM's memory.
"""

import contextlib
import enum
import random
import subprocess
import sys
import typing

import click
import msgspec
import trio

from primrosemill.measure import clients
from primrosemill.standins import endless_instances
from primrosemill.standins import users_platform

SERVICE = "endless"
PATH = "/endless/one"
SLOTS = 6
INSTANCE_COUNT = 6
CALLER_COUNT = 48
SETTLE_TIME = 1.0  # seconds until the VM knows the instances
Shape = endless_instances.Shape


class Place(enum.StrEnum):
    """What sends without end."""

    INSTANCES = "instances"
    STORE = "store"


@contextlib.asynccontextmanager
async def _running(*arguments: str) -> typing.AsyncIterator[trio.Process]:
    process = await trio.lowlevel.open_process(
        [
            *(sys.executable, "-m"),
            "primrosemill.standins.endless_instances",
            *arguments,
        ],
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
    )
    try:
        yield process
    finally:
        process.kill()
        with trio.CancelScope(shield=True):
            await process.wait()


@contextlib.asynccontextmanager
async def _running_instances(
    vm: clients.Vm, shape: Shape
) -> typing.AsyncIterator[None]:
    """Run endless instances, and callers of their service."""
    async with _running("serve", shape, str(INSTANCE_COUNT)) as process:
        addresses = msgspec.json.decode(await process.stdout.receive_some())
        _publish(vm, addresses)
        await trio.sleep(SETTLE_TIME)
        address = vm.address("callers")
        async with _running("call", address, PATH, str(CALLER_COUNT)):
            yield


def _publish(vm: clients.Vm, addresses: typing.Sequence[str]) -> None:
    """Add a service of these instances to the platform's store."""
    store = vm.platform.store
    for number, address in enumerate(addresses):
        entry = users_platform.instance_entry(address, 100 + number, SLOTS)
        store.put_json(f"servers/e-{number}", entry | {"service": SERVICE})
    configuration = users_platform.configuration()
    configuration["version"] += 1
    first_route, first_service = (
        configuration["routes"][0],
        configuration["services"][0],
    )
    configuration["routes"].append(
        first_route
        | {"name": "endless", "prefix": "/endless/", "service": SERVICE}
    )
    configuration["services"].append(first_service | {"name": SERVICE})
    store.put_json(users_platform.CONFIGURATION_KEY, configuration)


@contextlib.asynccontextmanager
async def _running_store(
    vm: clients.Vm, shape: Shape
) -> typing.AsyncIterator[None]:
    """Run an endless stand-in in place of the platform's store."""
    vm.platform.store_scope.cancel()
    await trio.sleep(0.2)
    port = vm.platform.store_address.rpartition(":")[2]
    async with _running("serve", shape, "1", "--port", port) as process:
        await process.stdout.receive_some()
        yield


RUNNING_BY_PLACE = {
    Place.INSTANCES: _running_instances,
    Place.STORE: _running_store,
}


async def play(
    place: Place,
    shape: Shape,
    seconds: float,
    time_left: float = clients.TIME_LEFT,
    min_requests: int = 0,
) -> clients.Result:
    """Return what a VM of the smallest kind does beside endless bytes.

    ``time_left`` is what its ordinary callers wait, in seconds. On a busy
    machine it goes on until ``min_requests`` of them have ended.
    """
    async with clients.running_vm() as vm:
        watch = clients.Watch(vm, random.Random(1), time_left)
        async with RUNNING_BY_PLACE[place](vm, shape):
            return await watch.run(seconds, min_requests)


@click.command()
@click.option("--seconds", default=6.0, help="Length of a run.")
@click.option("--shape", default="each", help="One shape, or 'each'.")
@click.option(
    "--place",
    default=Place.INSTANCES.value,
    type=click.Choice([each.value for each in Place]),
)
def main(seconds: float, shape: str, place: str) -> None:
    """Measure a VM's memory and service beside endless answers."""
    shapes = [Shape(shape)] if shape != "each" else list(Shape)
    click.echo(clients.HEADING)
    for each in shapes:
        result = trio.run(play, Place(place), each, seconds)
        click.echo(clients.format_result(f"{each} at {place}", result))
