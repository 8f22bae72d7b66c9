"""Switch off each mechanism of the choice and play the load patterns.

Each is switched off by a constant, in this process only. Run it with the
project's interpreter: ``python -m tools.ablation --seeds 2``.
"""

import math
import typing

import click
from testtools import monkey

from primrosemill.decisions import allocation
from primrosemill.decisions import coverage
from primrosemill.decisions import dispatch
from primrosemill.decisions import instance_selection
from primrosemill.decisions import instance_usage
from primrosemill.decisions import spells
from primrosemill.measure import load
from primrosemill.measure import load_patterns

PATTERNS = (
    "spells, once only",
    "spells, repeatable",
    "spells, both kinds",
    "burst on a nearly full service",
    "all instances shed half",
    "a quarter is lost",
    "a quarter is silent",
    "a quarter is slow",
    "unequal domains",
)


NEVER = 99.0  # a cost that nothing outweighs


class Change(typing.NamedTuple):
    """A constant, and the value that switches a mechanism off."""

    module: typing.Any
    name: str
    value: float


MECHANISMS: dict[str, tuple[Change, ...]] = {
    "all on": (),
    "cost of crossing": (Change(instance_selection, "CROSSING_COST", 0.0),),
    "cost of another VM's lead": (
        Change(instance_selection, "BORROWING_COST", 0.0),
    ),
    "cost of a full instance": (Change(instance_selection, "FULL_COST", 0.0),),
    "waiting for a better one": (
        Change(allocation, "FIRST_WAIT_COST", NEVER),
        Change(allocation, "LATE_COST", NEVER),
    ),
    "repeats cheaper than a loss": (Change(dispatch, "REPEAT_COST", 1.0),),
    "borrowed slots": (Change(instance_usage, "BORROWED_SLOTS", 99),),
    "stalled instances": (
        Change(instance_selection, "STALLED_CHANCE_FACTOR", 1.0),
    ),
    "the floor in trouble": (Change(coverage, "MIN_LOST_SHARE", math.inf),),
    "learning of rates": (Change(spells, "MAX_LEARNED_WEIGHT", 1.0),),
    "pause after shedding": (Change(instance_selection, "SHED_PAUSE", 0.0),),
}


@click.command()
@click.option("--seeds", default=2, help="How many seeds, from 1 on.")
@click.option("--seconds", default=30.0, help="Length of each play.")
@click.option("--only", default="", help="Mechanisms whose name has this.")
def main(seeds: int, seconds: float, only: str) -> None:
    """Print, for each mechanism and pattern, what is served without it."""
    click.echo(
        "| without | pattern | served | in target | refused | failed "
        "| crossings | repeats |"
    )
    click.echo("| --- " * 8 + "|")
    for mechanism, changes in MECHANISMS.items():
        if only not in mechanism:
            continue
        for name in PATTERNS:
            row = play(name, changes, seeds, seconds)
            cells = " | ".join(f"{value:.3f}" for value in row[:6])
            click.echo(f"| {mechanism} | {name} | {cells} |")


def play(
    name: str, changes: tuple[Change, ...], seeds: int, seconds: float
) -> load.Row:
    """Play a pattern with some constants changed."""
    patterns_by_name = {each.name: each for each in load_patterns.PATTERNS}
    pattern = patterns_by_name[name]._replace(
        seconds=seconds, strikes=seconds / 3.0
    )
    patcher = monkey.MonkeyPatcher()
    for change in changes:
        patcher.add_patch(*change)
    return patcher.run_with_patches(
        load.measure, pattern, "belief", range(1, seeds + 1)
    )


if __name__ == "__main__":
    main()
