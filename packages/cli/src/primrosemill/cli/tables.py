"""Formats tables with aligned columns."""

import typing

COLUMN_GAP = "  "


def format_table(
    headers: typing.Sequence[str], rows: typing.Iterable[typing.Sequence[str]]
) -> list[str]:
    """Return a header line and a line per row, with aligned columns."""
    lines = [headers, *rows]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return [
        COLUMN_GAP.join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    ]
