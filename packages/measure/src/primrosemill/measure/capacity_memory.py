"""Measures the resident memory of a VM that holds the target's document.

It takes two runs, so that the process measured is not the one that built
the document: ``--write FILE`` first, then ``--read FILE``.
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
RESIDENT_FIELD = "VmRSS:"
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
        found = vm.peers.document
        click.echo(
            f"resident with {len(found.services_by_name)} services and "
            f"{len(found.limits_by_caller)} limits in force: "
            f"{resident_memory():.1f} MB"
        )
        nursery.cancel_scope.cancel()


@click.command()
@click.option("--write", "written", type=click.Path(path_type=pathlib.Path))
@click.option("--read", "read", type=click.Path(path_type=pathlib.Path))
@click.option("--seed", default=1, show_default=True)
def main(
    written: pathlib.Path | None, read: pathlib.Path | None, seed: int
) -> None:
    """Write the target's document, or hold it and print the memory."""
    if written is not None:
        plan = document.build_plan(random.Random(seed))
        published = publication.prepare(plan).ok.values_by_key
        written.write_bytes(msgspec.msgpack.encode(published))
    if read is not None:
        click.echo(f"resident at the start: {resident_memory():.1f} MB")
        values_by_key = msgspec.msgpack.decode(
            read.read_bytes(), type=dict[str, bytes]
        )
        trio.run(_run_vm, values_by_key)
