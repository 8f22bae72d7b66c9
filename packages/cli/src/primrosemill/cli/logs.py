"""Reads the logs of VMs: a JSON object a line, perhaps behind a VM's name."""

import typing

import msgspec


class Record(typing.NamedTuple):
    """One line of a log; the time is in seconds since the epoch."""

    time: float
    vm: str
    event: str
    fields: dict[str, typing.Any]


class Content(typing.NamedTuple):
    """The records of a log, and how many lines could not be read."""

    records: tuple[Record, ...]
    damaged: int


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
