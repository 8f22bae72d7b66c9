"""Defines the primrosemill command from its subcommands.

The module of a subcommand is loaded when it is called: a VM that starts after
a loss of power does not pay for the libraries of the others.
"""

import importlib

import click

from primrosemill.cli import exits

MODULES_BY_COMMAND = {
    "proxy": "primrosemill.cli.proxy",
    "entry": "primrosemill.cli.entry",
    "check": "primrosemill.cli.check",
    "status": "primrosemill.cli.status",
    "addresses": "primrosemill.cli.addresses",
    "explain": "primrosemill.cli.explain",
    "losses": "primrosemill.cli.losses",
    "version": "primrosemill.cli.version",
}


class _Commands(click.Group):
    """Finds each subcommand in the module of its name."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all subcommands."""
        return sorted(MODULES_BY_COMMAND)

    def get_command(
        self, ctx: click.Context, cmd_name: str
    ) -> click.Command | None:
        """Return a subcommand, or None where there is none."""
        module = MODULES_BY_COMMAND.get(cmd_name)
        if module is None:
            return None
        return importlib.import_module(module).command


@click.group(cls=_Commands, epilog=exits.HELP)
def main() -> None:
    """Run and inspect a primrosemill proxy fleet."""
