"""Runs a VM of the fleet until it is stopped."""

import pathlib
import random
import sys

import click
import eliot
import trio

from primrosemill.cli import exits
from primrosemill.cli import port_checks
from primrosemill.configuration import faults
from primrosemill.proxy import daemon
from primrosemill.proxy import settings as proxy_settings
from primrosemill.proxy import settings_faults


@click.command("proxy", epilog=exits.HELP)
@click.option(
    "--settings",
    "path",
    required=True,
    type=click.Path(path_type=pathlib.Path),
    help="The VM's INI file; see docs/settings.md.",
)
def command(path: pathlib.Path) -> None:
    """Run a VM of the fleet in the foreground.

    Its addresses go to standard output once it serves callers; its log
    goes to standard error, one JSON object a line. A first SIGTERM or
    SIGINT stops it gracefully, a second one at once.
    """
    result = proxy_settings.read(path)
    if result.is_error():
        exits.fail(
            exits.Status.BAD_INPUT, map(settings_faults.describe, result.error)
        )
    port_faults = port_checks.check_ports(result.ok)
    if port_faults:
        exits.fail(exits.Status.FAILURE, map(faults.describe, port_faults))
    eliot.to_file(sys.stderr)
    trio.run(_run, result.ok)


async def _run(settings: proxy_settings.Settings) -> None:
    vm = daemon.Daemon(settings, random.Random())
    async with trio.open_nursery() as nursery:
        ports = await nursery.start(vm.run_until_signalled)
        click.echo(f"callers: {settings.ip}:{ports.caller_port}")
        click.echo(f"admin: {settings.ip}:{ports.admin_port}")
