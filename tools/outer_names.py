"""Collect the names that leave a process, from the code itself.

Run it as ``python -m tools.outer_names``; it prints one name a line, as
docs/outer-names.txt has them. A name on the list may not change with the
wording of the code: other processes, operators and their tools read it.
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
from primrosemill.platform import entries
from primrosemill.platform import names
from primrosemill.platform import store
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

# Their typed fields are JSON keys, of which some are private to the module.
JSON_MODULES = (
    *(values, entries, store, endpoints, over_http, address_endpoint, status),
)
# Their types are logged or printed with the name of the class and its fields.
PRINTED_MODULES = (
    *(faults, settings_faults, publish_faults, interfaces, feed),
)
# Their class names in lower case are values of log fields.
LOGGED_UNIONS = (exchange.Result, messages.Message)
# The names of their members in lower case are values of log fields.
LOGGED_ENUMS = (belief.Trust, verdicts.Verdict)
# Commands print these as JSON.
PRINTED_TYPES = (losses.Loss, explain.Line, explain.UnknownRequest)
# Modules whose constants are headers, paths and words of other systems.
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
# Documents of users call the public functions of these.
CALLED_MODULES = (builders, publication, script)
PACKAGES = pathlib.Path("packages")
DEPLOYMENT = pathlib.Path("deploy/system.toml")
DOCUMENT = pathlib.Path("docs/outer-names.txt")


def collect() -> set[str]:
    """Return every name that leaves a process; bare numbers are left out."""
    found = {
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
    return {name for name in found if not name.isdigit()}


def _own(module: types.ModuleType) -> list[typing.Any]:
    """Return what a module defines itself."""
    return [
        each
        for each in vars(module).values()
        if getattr(each, "__module__", "") == module.__name__
    ]


def _json_fields() -> set[str]:
    found = set()
    for module in JSON_MODULES:
        for each in _own(module):
            if typing.is_typeddict(each):
                found.update(each.__annotations__)
    return found


def _printed_types() -> set[str]:
    found = set()
    for module in PRINTED_MODULES:
        for each in _own(module):
            if hasattr(each, "_fields"):
                found.update((each.__name__, *each._fields))
    for union in LOGGED_UNIONS:
        for each in typing.get_args(union):
            found.update((each.__name__, each.__name__.lower()))
    for each in LOGGED_ENUMS:
        found.update(member.name.lower() for member in each)
    for printed in PRINTED_TYPES:
        found.update((printed.__name__, *printed._fields))
    found.update(address_endpoint.Question._fields)
    return found


def _event_names() -> set[str]:
    found = {*logs.Record._fields}
    for each in vars(events).values():
        if isinstance(each, events.Event):
            found.update((each.number, each.name, *each.fields))
    return found


def _setting_names() -> set[str]:
    found = set()
    for key in (*settings_schema.KEYS, *entry_settings.KEYS):
        found.update((key.section, key.name))
    return found


def _constants() -> set[str]:
    found = set()
    for module in CONSTANT_MODULES:
        for name, value in vars(module).items():
            if name.isupper():
                found.update(_texts(value))
    return found


def _texts(value: typing.Any) -> set[str]:
    """Return the texts in a constant, without those that hold blanks."""
    if isinstance(value, bytes):
        return _texts(value.decode("latin-1"))
    if isinstance(value, str):
        return {value} if len(value.split()) == 1 else set()
    found = set()
    if isinstance(value, list | tuple | frozenset):
        for each in value:
            found |= _texts(each)
    return found


def _metric_names() -> set[str]:
    found = set()
    for metric in counters.Counters().registry.collect():
        found.add(metric.name)
        for sample in metric.samples:
            found.update((sample.name, *sample.labels))
    return found


def _enum_values() -> set[str]:
    """Return the values of all enumerations of texts."""
    found = set()
    for folder in sorted(PACKAGES.iterdir()):
        for module in _modules(f"primrosemill.{folder.name}"):
            for each in _own(module):
                if isinstance(each, type) and issubclass(each, enum.StrEnum):
                    found.update(member.value for member in each)
    return found


def _modules(package: str) -> list[types.ModuleType]:
    paths = importlib.import_module(package).__path__
    return [
        importlib.import_module(f"{package}.{info.name}")
        for info in pkgutil.iter_modules(paths)
    ]


def _commands() -> set[str]:
    found = set()
    waiting: list[click.Command] = [cli_main.main, standins_main.main]
    for module in _modules(measure_main.__package__):
        command = getattr(module, measure_main.COMMAND, None)
        if isinstance(command, click.Command):
            waiting.append(command)
            found.add(module.__name__.rpartition(".")[2])
    while waiting:
        command = waiting.pop()
        for parameter in command.params:
            found.update(parameter.opts)
            if isinstance(parameter.envvar, str):
                found.add(parameter.envvar)
        if isinstance(command, click.Group):
            context = click.Context(command)
            for name in command.list_commands(context):
                found.add(name)
                waiting.append(command.get_command(context, name))
    return found


def _import_paths() -> set[str]:
    """Return the modules that files outside the code name."""
    found = {module.__name__ for module in CALLED_MODULES}
    for module in CALLED_MODULES:
        for each in _own(module):
            public = not getattr(each, "__name__", "_").startswith("_")
            if public and isinstance(each, types.FunctionType):
                found.add(each.__name__)
    found.update(
        word
        for role in tomllib.loads(DEPLOYMENT.read_text())["roles"].values()
        for word in role["run"].split()
    )
    for path in sorted(PACKAGES.glob("*/pyproject.toml")):
        project = tomllib.loads(path.read_text())["project"]
        for name, entry in project.get("scripts", {}).items():
            found.update((name, entry))
    return found


def main() -> None:
    """Print the names, one a line, in order."""
    for name in sorted(collect()):
        print(name)


if __name__ == "__main__":
    main()
