"""Collect the names in the code that are visible outside of a process.

Usage: ``python -m tools.outer_names``. It prints one name a line, as in
docs/outer-names.txt. Names on that list must not change when the code is
reworded, as other processes, operators and their tools depend on them.
"""

import enum
import importlib
import pathlib
import pkgutil
import tomllib
import types
import typing

import click

from primrosemill.cli import explain
from primrosemill.cli import logs
from primrosemill.cli import losses
from primrosemill.cli import main as cli_main
from primrosemill.configuration import faults
from primrosemill.configuration import values
from primrosemill.decisions import belief
from primrosemill.decisions import verdicts
from primrosemill.fleet import feed
from primrosemill.fleet import interfaces
from primrosemill.fleet import messages
from primrosemill.measure import __main__ as measure_main
from primrosemill.platform import endpoints
from primrosemill.platform import names
from primrosemill.platform import store
from primrosemill.platform import store_values
from primrosemill.proxy import address_endpoint
from primrosemill.proxy import belief_updates
from primrosemill.proxy import counters
from primrosemill.proxy import entry_settings
from primrosemill.proxy import exchange
from primrosemill.proxy import headers
from primrosemill.proxy import instance_observations
from primrosemill.proxy import settings_faults
from primrosemill.proxy import settings_schema
from primrosemill.proxy import status
from primrosemill.publish import builders
from primrosemill.publish import faults as publish_faults
from primrosemill.publish import publication
from primrosemill.publish import script
from primrosemill.published import over_http
from primrosemill.standins import __main__ as standins_main
from primrosemill.telemetry import events

# Modules whose typed dicts have JSON keys as fields; some of the dicts are
# private to the module.
JSON_MODULES = (
    *(
        values,
        store_values,
        store,
        endpoints,
        over_http,
        address_endpoint,
        status,
    ),
)
# Modules whose types are logged or printed with class and field names.
PRINTED_MODULES = (
    *(faults, settings_faults, publish_faults, interfaces, feed),
)
# Unions whose class names are values of log fields, in lower case.
LOGGED_UNIONS = (exchange.Result, messages.Message)
# Enumerations whose member names are values of log fields, in lower case.
LOGGED_ENUMS = (belief.Trust, verdicts.Verdict)
# Types that commands print as JSON.
PRINTED_TYPES = (losses.Loss, explain.Line, explain.UnknownRequest)
# Modules whose constants are headers, paths and keywords of other systems.
CONSTANT_MODULES = (
    *(
        names,
        headers,
        address_endpoint,
        instance_observations,
        belief_updates,
        over_http,
        standins_main,
    ),
)
# Modules whose public functions are called by users' scripts.
SCRIPT_MODULES = (builders, publication, script)
PACKAGES = pathlib.Path("packages")
DEPLOYMENT = pathlib.Path("deploy/system.toml")
DOCUMENT = pathlib.Path("docs/outer-names.txt")


def collect() -> set[str]:
    """Return all names visible outside of a process, except plain numbers."""
    names_found = {
        *_json_fields(),
        *_printed_types(),
        *_event_names(),
        *_setting_names(),
        *_constants(),
        *_metric_names(),
        *_enum_values(),
        *_commands(),
        *_import_paths(),
    }
    return {name for name in names_found if not name.isdigit()}


def _own_definitions(module: types.ModuleType) -> list[typing.Any]:
    """Return the objects that a module defines itself."""
    return [
        each
        for each in vars(module).values()
        if getattr(each, "__module__", "") == module.__name__
    ]


def _json_fields() -> set[str]:
    names_found = set()
    for module in JSON_MODULES:
        for each in _own_definitions(module):
            if typing.is_typeddict(each):
                names_found.update(each.__annotations__)
    return names_found


def _printed_types() -> set[str]:
    names_found = set()
    for module in PRINTED_MODULES:
        for each in _own_definitions(module):
            if hasattr(each, "_fields"):
                names_found.update((each.__name__, *each._fields))
    for union in LOGGED_UNIONS:
        for each in typing.get_args(union):
            names_found.update((each.__name__, each.__name__.lower()))
    for each in LOGGED_ENUMS:
        names_found.update(member.name.lower() for member in each)
    for printed in PRINTED_TYPES:
        names_found.update((printed.__name__, *printed._fields))
    names_found.update(address_endpoint.AddressQuery._fields)
    return names_found


def _event_names() -> set[str]:
    names_found = {*logs.Record._fields}
    for each in vars(events).values():
        if isinstance(each, events.Event):
            names_found.update((each.number, each.name, *each.fields))
    return names_found


def _setting_names() -> set[str]:
    names_found = set()
    for key in (*settings_schema.KEYS, *entry_settings.KEYS):
        names_found.update((key.section, key.name))
    return names_found


def _constants() -> set[str]:
    names_found = set()
    for module in CONSTANT_MODULES:
        for name, value in vars(module).items():
            if name.isupper():
                names_found.update(_words(value))
    return names_found


def _words(value: typing.Any) -> set[str]:
    """Return the strings in a constant that consist of a single word."""
    if isinstance(value, bytes):
        return _words(value.decode("latin-1"))
    if isinstance(value, str):
        return {value} if len(value.split()) == 1 else set()
    names_found = set()
    if isinstance(value, list | tuple | frozenset):
        for each in value:
            names_found |= _words(each)
    return names_found


def _metric_names() -> set[str]:
    names_found = set()
    for metric in counters.Counters().registry.collect():
        names_found.add(metric.name)
        for sample in metric.samples:
            names_found.update((sample.name, *sample.labels))
    return names_found


def _enum_values() -> set[str]:
    """Return the values of all string enumerations."""
    names_found = set()
    for folder in sorted(PACKAGES.iterdir()):
        for module in _modules(f"primrosemill.{folder.name}"):
            for each in _own_definitions(module):
                if isinstance(each, type) and issubclass(each, enum.StrEnum):
                    names_found.update(member.value for member in each)
    return names_found


def _modules(package: str) -> list[types.ModuleType]:
    paths = importlib.import_module(package).__path__
    return [
        importlib.import_module(f"{package}.{info.name}")
        for info in pkgutil.iter_modules(paths)
    ]


def _commands() -> set[str]:
    names_found = set()
    pending: list[click.Command] = [cli_main.main, standins_main.main]
    for module in _modules(measure_main.__package__):
        command = getattr(module, measure_main.COMMAND_ATTRIBUTE, None)
        if isinstance(command, click.Command):
            pending.append(command)
            names_found.add(module.__name__.rpartition(".")[2])
    while pending:
        command = pending.pop()
        for parameter in command.params:
            names_found.update(parameter.opts)
            if isinstance(parameter.envvar, str):
                names_found.add(parameter.envvar)
        if isinstance(command, click.Group):
            context = click.Context(command)
            for name in command.list_commands(context):
                names_found.add(name)
                pending.append(command.get_command(context, name))
    return names_found


def _import_paths() -> set[str]:
    """Return the modules and functions that files outside the code name."""
    names_found = {module.__name__ for module in SCRIPT_MODULES}
    for module in SCRIPT_MODULES:
        for each in _own_definitions(module):
            public = not getattr(each, "__name__", "_").startswith("_")
            if public and isinstance(each, types.FunctionType):
                names_found.add(each.__name__)
    names_found.update(
        word
        for role in tomllib.loads(DEPLOYMENT.read_text())["roles"].values()
        for word in role["run"].split()
    )
    for path in sorted(PACKAGES.glob("*/pyproject.toml")):
        project = tomllib.loads(path.read_text())["project"]
        for name, entry in project.get("scripts", {}).items():
            names_found.update((name, entry))
    return names_found


def main() -> None:
    """Print the sorted names, one a line."""
    for name in sorted(collect()):
        print(name)


if __name__ == "__main__":
    main()
