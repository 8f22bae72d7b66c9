"""Dispatches ``python -m primrosemill.measure NAME`` to its module.

Each module of this package that defines a click command ``main`` is a
subcommand of the module's name. Modules load when they are called, so that
one measurement does not pay for the libraries of another.
"""

import importlib
import importlib.util
import pkgutil
import types

import click

from primrosemill import measure

COMMAND = "main"


class ModuleGroup(click.Group):
    """Finds the subcommands among the modules of a package."""

    def __init__(self, package: types.ModuleType) -> None:
        super().__init__("measure", help="Measure parts of primrosemill.")
        self._package = package

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all public modules with a command."""
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
        command = getattr(importlib.import_module(full_name), COMMAND, None)
        return command if isinstance(command, click.Command) else None


if __name__ == "__main__":
    ModuleGroup(measure)()
