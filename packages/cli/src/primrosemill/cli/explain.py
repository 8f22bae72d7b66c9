"""Collects the events of one request from the logs of several VMs."""

import pathlib
import typing

import click
import msgspec

from primrosemill.cli import exits
from primrosemill.cli import logs
from primrosemill.cli import tables

HEADERS = ("SECONDS", "VM", "EVENT", "DETAILS")
# Fields that every event has, or that other columns show.
OMITTED_FIELDS = frozenset(
    {
        *("timestamp", "task_uuid", "task_level", "message_type"),
        *("event", "level", "request_id"),
    }
)


class Line(typing.NamedTuple):
    """One event of the request; the time is in seconds since the epoch."""

    time: float
    vm: str
    event: str
    details: dict[str, typing.Any]


class UnknownRequest(typing.NamedTuple):
    """The logs hold no event of the request."""

    request_id: str
    lines_read: int


@click.command("explain", epilog=exits.HELP)
@click.argument("request_id")
@logs.files_argument
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def command(
    request_id: str, paths: tuple[pathlib.Path, ...], as_json: bool
) -> None:
    """Show all that logs say of the request REQUEST_ID, in order.

    Each FILE is the log of one VM, whose name is that of the file, or of
    several with the VM's name before each line. Without one, or for "-",
    standard input is read. Lines that are no whole JSON object are counted.
    """
    content = logs.read_files(paths, request_id)
    lines = find_events(request_id, content.records)
    if not lines:
        fault = UnknownRequest(request_id, content.line_count)
        exits.fail(exits.Status.BAD_INPUT, [_describe(fault)])
    if as_json:
        click.echo(msgspec.json.encode(lines))
        return
    for text in format_lines(lines):
        click.echo(text)


def find_events(
    request_id: str, records: typing.Iterable[logs.Record]
) -> list[Line]:
    """Return the events of a request, in the order of the records."""
    lines = []
    for record in records:
        if record.fields.get("request_id") != request_id:
            continue
        details = {
            key: value
            for key, value in record.fields.items()
            if key not in OMITTED_FIELDS
        }
        lines.append(Line(record.time, record.vm, record.event, details))
    return lines


def format_lines(lines: list[Line]) -> list[str]:
    """Return a table of events, with seconds since the first one."""
    rows = [
        (
            f"{line.time - lines[0].time:.4f}",
            line.vm,
            line.event,
            ", ".join(f"{key}={value}" for key, value in line.details.items()),
        )
        for line in lines
    ]
    return tables.format_table(HEADERS, rows)


def _describe(fault: UnknownRequest) -> str:
    return (
        f"{type(fault).__name__}: request_id={fault.request_id!r} "
        f"lines_read={fault.lines_read}"
    )
