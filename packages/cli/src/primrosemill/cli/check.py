"""Checks settings files and configuration documents."""

import functools
import pathlib
import typing

import click
import expression

from primrosemill.cli import exits
from primrosemill.configuration import assembly
from primrosemill.configuration import document as documents
from primrosemill.configuration import faults
from primrosemill.configuration import files
from primrosemill.configuration import unknown_fields
from primrosemill.configuration import values
from primrosemill.proxy import entry_settings
from primrosemill.proxy import settings as proxy_settings
from primrosemill.proxy import settings_faults

SECTION_PREFIX = b"["
ENTRY_SECTION = b"[listen]"  # Only the settings of an entry VM have it.
COMMENT_PREFIXES = (b"#", b";")


class Report(typing.NamedTuple):
    """Result of checking a file; a valid one has no ``fault_lines``."""

    summary: str
    fault_lines: tuple[str, ...]


@click.command("check", epilog=exits.HELP)
@click.argument(
    "paths",
    metavar="FILE...",
    nargs=-1,
    required=True,
    type=click.Path(path_type=pathlib.Path),
)
def command(paths: tuple[pathlib.Path, ...]) -> None:
    """Check settings files and configuration documents.

    A file that begins with a section is one of settings; a document has a
    key, a tab and a JSON value on each line. Every fault is printed with
    its file and line.
    """
    fault_lines: list[str] = []
    for path in paths:
        report = check_file(path)
        fault_lines += report.fault_lines
        if not report.fault_lines:
            click.echo(f"{path}: {report.summary}")
    if fault_lines:
        exits.fail(exits.Status.BAD_INPUT, fault_lines)


def check_file(path: pathlib.Path) -> Report:
    """Check a settings file or a configuration document."""
    try:
        content = path.read_bytes()
    except OSError as error:
        fault = settings_faults.UnreadableFile(str(path), str(error))
        return Report("", (settings_faults.describe(fault),))
    if is_settings(content):
        return _check_settings(path, content)
    return _check_document(path, content)


def is_settings(content: bytes) -> bool:
    """Tell whether a file holds settings rather than a document.

    The first line that is neither blank nor a comment decides: settings start
    with a section, and only documents have the separator in it.
    """
    for line in content.splitlines():
        stripped = line.strip()
        if not stripped or stripped.startswith(COMMENT_PREFIXES):
            continue
        return (
            stripped.startswith(SECTION_PREFIX) or files.SEPARATOR not in line
        )
    return True


def _check_settings(path: pathlib.Path, content: bytes) -> Report:
    """Check the settings of a VM of the fleet or of an entry VM."""
    read_settings = proxy_settings.read
    if ENTRY_SECTION in content:
        read_settings = entry_settings.read
    result = read_settings(path)
    if result.is_error():
        lines = tuple(map(settings_faults.describe, result.error))
        return Report("", lines)
    return Report(f"settings of VM {result.ok.vm_id} are fine", ())


def _check_document(path: pathlib.Path, content: bytes) -> Report:
    decoded = files.decode(content)
    if decoded.is_error():
        return _report_faults(path, decoded.error, {})
    result = _assemble(decoded.ok.values_by_key)
    if result.is_error():
        return _report_faults(
            path, result.error, decoded.ok.line_numbers_by_key
        )
    unknown = unknown_fields.find_unknown_fields(result.ok.values_by_key)
    if unknown:
        return _report_faults(
            path, tuple(unknown), decoded.ok.line_numbers_by_key
        )
    return Report(_summarize(result.ok.document), ())


def _assemble(values_by_key: dict[str, bytes]) -> assembly.AssemblyResult:
    index_value = values_by_key.get(values.INDEX_KEY)
    if index_value is None:
        return expression.Error((faults.MissingPart(values.INDEX_KEY),))
    return assembly.assemble(index_value, values_by_key)


def _summarize(document: documents.Document) -> str:
    instance_count = sum(
        len(service.instances)
        for service in document.services_by_name.values()
    )
    return (
        f"version {document.version} of {document.fleet} is fine: "
        f"{len(document.services_by_name)} services, "
        f"{instance_count} instances, "
        f"{len(document.limits_by_caller)} callers with limits"
    )


def _report_faults(
    path: pathlib.Path,
    found_faults: tuple[faults.Fault, ...],
    line_numbers_by_key: dict[str, int],
) -> Report:
    lines = tuple(
        f"{path}:{line_of(fault, line_numbers_by_key)}: "
        f"{faults.describe(fault)}"
        for fault in found_faults
    )
    return Report("", lines)


@functools.singledispatch
def line_of(fault: faults.Fault, line_numbers_by_key: dict[str, int]) -> int:
    """Return the number of the line that holds the faulty value.

    If the value is missing, return the line of the index.
    """
    index_line = line_numbers_by_key.get(values.INDEX_KEY, 1)
    return line_numbers_by_key.get(fault.key, index_line)


@line_of.register(faults.MalformedLine)
@line_of.register(faults.DuplicateLine)
def _line_of_malformed_line(
    fault: faults.MalformedLine | faults.DuplicateLine,
    line_numbers_by_key: dict[str, int],
) -> int:
    return fault.line
