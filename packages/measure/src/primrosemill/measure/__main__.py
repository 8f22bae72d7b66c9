"""Dispatches ``python -m primrosemill.measure NAME`` to its module.

Each public module of this package that defines a click command ``main`` is a
subcommand with the module's name. A module is imported when its command runs,
so that a measurement does not load the libraries of the others.
"""

import importlib
import importlib.util
import pkgutil
import types

import click

from primrosemill import measure

COMMAND_ATTRIBUTE = "main"


class ModuleGroup(click.Group):
    """A group whose subcommands are the modules of a package."""

    def __init__(self, package: types.ModuleType) -> None:
        super().__init__("measure", help="Measure parts of primrosemill.")
        self._package = package

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all public modules that have a command."""
        names = []
        for module in pkgutil.iter_modules(self._package.__path__):
            if module.name.startswith("_"):
                continue
            if self.get_command(ctx, module.name) is not None:
                names.append(module.name)
        return sorted(names)

    def get_command(
        self, ctx: click.Context, cmd_name: str
    ) -> click.Command | None:
        """Return the command of a module, or None if it has none."""
        full_name = f"{self._package.__name__}.{cmd_name}"
        if importlib.util.find_spec(full_name) is None:
            return None
        command = getattr(
            importlib.import_module(full_name), COMMAND_ATTRIBUTE, None
        )
        return command if isinstance(command, click.Command) else None


if __name__ == "__main__":
    ModuleGroup(measure)()
