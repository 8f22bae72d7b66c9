"""Runs an entry VM that discovers its instances, until it is stopped."""

import pathlib
import random
import sys

import click
import eliot
import trio

from primrosemill.cli import exits
from primrosemill.platform import adapter
from primrosemill.proxy import entry_settings
from primrosemill.proxy import entry_vm
from primrosemill.proxy import settings_faults
from primrosemill.proxy import settings_reloading
from primrosemill.proxy import shutdown
from primrosemill.telemetry import output


@click.command("entry", epilog=exits.HELP)
@click.option(
    "--settings",
    "path",
    required=True,
    envvar="PRIMROSEMILL_SETTINGS",
    type=click.Path(path_type=pathlib.Path),
    help="The VM's INI file; see docs/deploy.md.",
)
def command(path: pathlib.Path) -> None:
    """Run an entry VM whose instances are discovered.

    Its log goes to standard output, one JSON object a line. A first SIGTERM
    or SIGINT stops it gracefully, a second one at once; SIGHUP reads the
    settings again.
    """
    stamp = settings_reloading.read_stamp(path)
    result = entry_settings.read(path)
    if result.is_error():
        exits.fail(
            exits.Status.BAD_INPUT, map(settings_faults.describe, result.error)
        )
    eliot.add_destinations(output.BoundedOutput(sys.stdout.fileno()))
    trio.run(_run, path, stamp, result.ok)


async def _run(
    path: pathlib.Path,
    stamp: settings_reloading.Stamp | None,
    settings: entry_settings.EntrySettings,
) -> None:
    vm = entry_vm.EntryVm(
        settings, adapter.make_adapter(settings.feed_address), random.Random()
    )
    async with trio.open_nursery() as nursery:
        await nursery.start(shutdown.stop_on_signals, vm)
        nursery.start_soon(settings_reloading.follow, path, stamp, vm.reload)
        await vm.run()
        nursery.cancel_scope.cancel()
