"""Reads the logs of VMs, which have one JSON object on each line.

The name of the VM may precede the object.
"""

import pathlib
import typing

import click
import msgspec

files_argument = click.argument(
    "paths",
    metavar="[FILE]...",
    nargs=-1,
    type=click.Path(
        exists=True, dir_okay=False, allow_dash=True, path_type=pathlib.Path
    ),
)


class Record(typing.NamedTuple):
    """One event of a log; the time is in seconds since the epoch."""

    time: float
    vm: str
    event: str
    fields: dict[str, typing.Any]


class LogContent(typing.NamedTuple):
    """Records of one or more logs, with counts of damaged and all lines."""

    records: tuple[Record, ...]
    damaged_count: int
    line_count: int = 0


def parse_lines(
    lines: typing.Iterable[str], file_name: str, search_text: str = ""
) -> LogContent:
    """Return the records of a log whose JSON contains ``search_text``.

    A line that names no VM belongs to the VM that the file is named after.
    """
    records = []
    damaged_count = 0
    for text in lines:
        prefix, brace, rest = text.partition("{")
        if not brace or search_text not in rest:
            continue
        try:
            fields = msgspec.json.decode(brace + rest, type=dict)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
            damaged_count += 1
            continue
        prefix_words = prefix.split()
        records.append(
            Record(
                fields.get("timestamp", 0.0),
                prefix_words[-1] if prefix_words else file_name,
                fields.get("event", ""),
                fields,
            )
        )
    return LogContent(tuple(records), damaged_count)


def read_files(
    paths: typing.Sequence[pathlib.Path], search_text: str = ""
) -> LogContent:
    """Return the records of all files sorted by time.

    Without files, standard input is read. The number of damaged lines is
    printed on standard error.
    """
    records: list[Record] = []
    damaged_count, line_count = 0, 0
    for path in paths or (pathlib.Path("-"),):
        with click.open_file(str(path), errors="replace") as log:
            lines = log.read().splitlines()
        content = parse_lines(lines, path.stem, search_text)
        records += content.records
        damaged_count += content.damaged_count
        line_count += len(lines)
    if damaged_count:
        click.echo(f"{damaged_count} damaged lines were left out", err=True)
    records.sort(key=lambda record: (record.time, record.vm))
    return LogContent(tuple(records), damaged_count, line_count)
