"""Reads and writes a whole version as one file.

Each line contains one published value: its key, a tab, and the JSON value.
The lines are in the order of publishing, the index last.
"""

import typing

import expression

from primrosemill.configuration import faults

SEPARATOR = b"\t"
LINE_END = b"\n"


class FileContent(typing.NamedTuple):
    """The values of a file, and the line number of each key."""

    values_by_key: dict[str, bytes]
    line_numbers_by_key: dict[str, int]


def encode(values_by_key: dict[str, bytes]) -> bytes:
    """Return the content of a file with the values in the given order.

    The publisher's JSON contains no unescaped tabs or line ends.
    """
    return b"".join(
        key.encode() + SEPARATOR + value + LINE_END
        for key, value in values_by_key.items()
    )


def decode(
    content: bytes,
) -> expression.Result[FileContent, tuple[faults.Fault, ...]]:
    """Return the values of a file, or the faults of all its lines."""
    file_content = FileContent({}, {})
    line_faults: list[faults.Fault] = []
    for number, line in enumerate(content.split(LINE_END), 1):
        if not line.strip():
            continue
        key_bytes, separator, value = line.partition(SEPARATOR)
        key = key_bytes.decode("utf-8", "replace")
        if not separator:
            line_faults.append(faults.MalformedLine(number))
        elif key in file_content.values_by_key:
            line_faults.append(faults.DuplicateLine(key, number))
        else:
            file_content.values_by_key[key] = value
            file_content.line_numbers_by_key[key] = number
    if line_faults:
        return expression.Error(tuple(line_faults))
    return expression.Ok(file_content)
