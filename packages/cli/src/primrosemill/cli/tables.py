"""Lays rows out in columns for people."""

import typing

GAP = "  "


def lay_out(
    heads: typing.Sequence[str], rows: typing.Iterable[typing.Sequence[str]]
) -> list[str]:
    """Return a line for the heads and one for each row, aligned."""
    lines = [heads, *rows]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return [
        GAP.join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    ]
