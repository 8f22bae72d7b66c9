"""Defines the primrosemill command from its subcommands."""

import click

from primrosemill.cli import addresses
from primrosemill.cli import check
from primrosemill.cli import entry
from primrosemill.cli import exits
from primrosemill.cli import explain
from primrosemill.cli import losses
from primrosemill.cli import proxy
from primrosemill.cli import status
from primrosemill.cli import version

COMMANDS = (
    proxy.command,
    entry.command,
    check.command,
    status.command,
    addresses.command,
    explain.command,
    losses.command,
    version.command,
)


@click.group(epilog=exits.HELP)
def main() -> None:
    """Run and inspect a primrosemill proxy fleet."""


for command in COMMANDS:
    main.add_command(command)
