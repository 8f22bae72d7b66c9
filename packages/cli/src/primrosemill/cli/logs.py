"""Reads the logs of VMs: a JSON object a line, perhaps behind a VM's name."""

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
    """One line of a log; the time is in seconds since the epoch."""

    time: float
    vm: str
    event: str
    fields: dict[str, typing.Any]


class Content(typing.NamedTuple):
    """The records of logs, and how many of their lines are damaged."""

    records: tuple[Record, ...]
    damaged: int
    lines: int = 0


def read(
    lines: typing.Iterable[str], file_name: str, wanted: str = ""
) -> Content:
    """Return the records of one log whose text contains ``wanted``.

    A line without the name of a VM before it is of the VM that the file is
    named after.
    """
    records = []
    damaged = 0
    for text in lines:
        prefix, brace, rest = text.partition("{")
        if not brace or wanted not in rest:
            continue
        try:
            fields = msgspec.json.decode(brace + rest, type=dict)
        except (msgspec.DecodeError, UnicodeDecodeError):
            damaged += 1
            continue
        words = prefix.split()
        records.append(
            Record(
                fields.get("timestamp", 0.0),
                words[-1] if words else file_name,
                fields.get("event", ""),
                fields,
            )
        )
    return Content(tuple(records), damaged)


def read_files(
    paths: typing.Sequence[pathlib.Path], wanted: str = ""
) -> Content:
    """Return the records of all files, or of standard input, by time.

    Damaged lines are counted on standard error.
    """
    records: list[Record] = []
    damaged, lines = 0, 0
    for path in paths or (pathlib.Path("-"),):
        with click.open_file(str(path), errors="replace") as log:
            texts = log.read().splitlines()
        content = read(texts, path.stem, wanted)
        records += content.records
        damaged += content.damaged
        lines += len(texts)
    if damaged:
        click.echo(f"{damaged} damaged lines were left out", err=True)
    records.sort(key=lambda record: (record.time, record.vm))
    return Content(tuple(records), damaged, lines)
