"""Defines the ``primrosemill`` command, which loads subcommands lazily.

A subcommand's module is imported only when the subcommand is used, so that a
VM that restarts after a power loss does not import the libraries of the
others.
"""

import importlib

import click

from primrosemill.cli import exits
from primrosemill.cli import startup

MODULES_BY_COMMAND = {
    "proxy": "primrosemill.cli.proxy",
    "entry": "primrosemill.cli.entry",
    "check": "primrosemill.cli.check",
    "status": "primrosemill.cli.status",
    "addresses": "primrosemill.cli.addresses",
    "release": "primrosemill.cli.release",
    "explain": "primrosemill.cli.explain",
    "losses": "primrosemill.cli.losses",
    "version": "primrosemill.cli.version",
}
# They read their settings again on SIGHUP.
COMMANDS_FOLLOWING_SETTINGS = ("entry",)


class _LazyGroup(click.Group):
    """Group that imports the module of a subcommand on first use."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all subcommands."""
        return sorted(MODULES_BY_COMMAND)

    def get_command(
        self, ctx: click.Context, cmd_name: str
    ) -> click.Command | None:
        """Return a subcommand, or None if the name is unknown."""
        module_name = MODULES_BY_COMMAND.get(cmd_name)
        if module_name is None:
            return None
        return importlib.import_module(module_name).command


@click.group(cls=_LazyGroup, epilog=exits.HELP)
@click.pass_context
def main(context: click.Context) -> None:
    """Run and inspect a primrosemill proxy fleet."""
    if context.invoked_subcommand not in COMMANDS_FOLLOWING_SETTINGS:
        startup.hangups.restore()
