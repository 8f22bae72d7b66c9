"""Plays the load patterns on today's choice, two baselines and an oracle.

The oracle chooses as the product does, but knows each spell and loss from its
start; the distance to it is what a better belief could still win.
"""

import pathlib
import typing

import click
from matplotlib import pyplot

from primrosemill.measure import load_patterns
from primrosemill.measure import load_play
from primrosemill.measure import load_ways


class Row(typing.NamedTuple):
    """Shares of the requests of one route, or of all attempts."""

    served: float
    in_target: float
    refused: float
    failed: float
    crossings: float
    repeats: float
    into_spells: float


def measure(
    pattern: load_patterns.Pattern, way: str, seeds: typing.Sequence[int]
) -> Row:
    """Play a pattern with some seeds and return the mean."""
    rows = []
    for seed in seeds:
        play = load_play.Play(pattern, load_ways.WAYS_BY_NAME[way], seed)
        rows.append(_row_of(play, play.run()))
    return Row(
        *(sum(column) / len(rows) for column in zip(*rows, strict=True))
    )


def _row_of(play: load_play.Play, outcomes: list[load_play.Outcome]) -> Row:
    count = len(outcomes)
    served = [each for each in outcomes if each.served]
    in_target = [
        each
        for each in served
        if each.ended - each.arrived <= each.route.patience
    ]
    failed = sum(each.failed for each in outcomes)
    return Row(
        len(served) / count,
        len(in_target) / count,
        (count - len(served) - failed) / count,
        failed / count,
        play.crossings / play.attempts,
        play.repeats / play.attempts,
        play.into_spells / play.attempts,
    )


@click.command()
@click.option("--seeds", default=3, help="How many seeds, from 1 on.")
@click.option("--only", default="", help="Patterns whose name has this.")
@click.option("--plot", type=click.Path(path_type=pathlib.Path), default=None)
def main(seeds: int, only: str, plot: pathlib.Path | None) -> None:
    """Print a row for each pattern and way of choosing."""
    click.echo(
        "| pattern | way | served | in target | refused | failed "
        "| crossings | repeats | into spells |"
    )
    click.echo("| --- " * 9 + "|")
    failed_by_way: dict[str, list[float]] = {}
    names = []
    for pattern in load_patterns.PATTERNS:
        if only not in pattern.name:
            continue
        names.append(pattern.name)
        for way in load_ways.WAYS_BY_NAME:
            row = measure(pattern, way, range(1, seeds + 1))
            failed_by_way.setdefault(way, []).append(1.0 - row.served)
            cells = " | ".join(f"{value:.3f}" for value in row)
            click.echo(f"| {pattern.name} | {way} | {cells} |")
    if plot is not None:
        _draw(names, failed_by_way, plot)


def _draw(
    names: list[str], failed_by_way: dict[str, list[float]], path: pathlib.Path
) -> None:
    """Draw what was not served, a group of bars for each pattern."""
    figure, axes = pyplot.subplots(figsize=(8.0, 5.0))
    height = 0.8 / len(failed_by_way)
    for number, (way, values) in enumerate(failed_by_way.items()):
        places = [place + number * height for place in range(len(names))]
        axes.barh(places, values, height, label=way)
    axes.set_yticks([place + 0.3 for place in range(len(names))], names)
    axes.set_xlabel("share of requests not served")
    axes.set_xscale("log")
    axes.invert_yaxis()
    axes.legend()
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
