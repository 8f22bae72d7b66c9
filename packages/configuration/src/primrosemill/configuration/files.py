"""Reads and writes a whole version as one file.

Each line holds one published value: its key, a tab, and the JSON value.
The lines stand in the order of publishing, the index last.
"""

import typing

import expression

from primrosemill.configuration import faults

SEPARATOR = b"\t"
LINE_END = b"\n"


class FileContent(typing.NamedTuple):
    """The values of a file, with the line at which each key stands."""

    values_by_key: dict[str, bytes]
    lines_by_key: dict[str, int]


def encode(values_by_key: dict[str, bytes]) -> bytes:
    """Return the file of published values, in the order given.

    JSON as the publisher writes it holds no raw tab and no line end.
    """
    return b"".join(
        key.encode() + SEPARATOR + value + LINE_END
        for key, value in values_by_key.items()
    )


def decode(
    content: bytes,
) -> expression.Result[FileContent, tuple[faults.Fault, ...]]:
    """Return the values of a file, or every fault of its lines."""
    decoded = FileContent({}, {})
    found: list[faults.Fault] = []
    for number, line in enumerate(content.split(LINE_END), 1):
        if not line.strip():
            continue
        key_bytes, separator, value = line.partition(SEPARATOR)
        key = key_bytes.decode("utf-8", "replace")
        if not separator:
            found.append(faults.MalformedLine(number))
        elif key in decoded.values_by_key:
            found.append(faults.DuplicateLine(key, number))
        else:
            decoded.values_by_key[key] = value
            decoded.lines_by_key[key] = number
    if found:
        return expression.Error(tuple(found))
    return expression.Ok(decoded)
