"""Measures the resident memory of a VM with a document of the target size.

It takes two runs, ``--write FILE`` first and then ``--read FILE``, so that the
measured process is not the one that built the document.
"""

import pathlib
import random

import click
import msgspec
import trio

from primrosemill.measure import document
from primrosemill.measure import spread_store
from primrosemill.proxy import daemon
from primrosemill.proxy import settings
from primrosemill.publish import publication

STATUS = pathlib.Path("/proc/self/status")
RESIDENT_FIELD = "VmRSS:"  # in KiB
KILOBYTES_PER_MB = 1_000
FLEET = "target"


def resident_memory() -> float:
    """Return this process's resident memory in MB."""
    for line in STATUS.read_text().splitlines():
        if line.startswith(RESIDENT_FIELD):
            return int(line.split()[1]) * 1.024 / KILOBYTES_PER_MB
    return 0.0


async def _run_vm(values_by_key: dict[str, bytes]) -> None:
    store = spread_store.MemoryStore()
    store.publish(values_by_key)
    vm = daemon.Daemon(
        settings.Settings(
            FLEET, "vm-0", "127.0.0.1", document.DOMAINS[0], "", 0, 0, 0
        ),
        random.Random(1),
        store,
    )
    async with trio.open_nursery() as nursery:
        await nursery.start(vm.run)
        await trio.sleep(1.0)
        in_force = vm.peers.document
        click.echo(
            f"resident with {len(in_force.services_by_name)} services and "
            f"{len(in_force.limits_by_caller)} limits in force: "
            f"{resident_memory():.1f} MB"
        )
        nursery.cancel_scope.cancel()


@click.command()
@click.option("--write", "write_path", type=click.Path(path_type=pathlib.Path))
@click.option("--read", "read_path", type=click.Path(path_type=pathlib.Path))
@click.option("--seed", default=1, show_default=True)
def main(
    write_path: pathlib.Path | None, read_path: pathlib.Path | None, seed: int
) -> None:
    """Write a document of the target size, or load it and print the memory."""
    if write_path is not None:
        plan = document.build_plan(random.Random(seed))
        published = publication.prepare(plan).ok.values_by_key
        write_path.write_bytes(msgspec.msgpack.encode(published))
    if read_path is not None:
        click.echo(f"resident at the start: {resident_memory():.1f} MB")
        values_by_key = msgspec.msgpack.decode(
            read_path.read_bytes(), type=dict[str, bytes]
        )
        trio.run(_run_vm, values_by_key)
