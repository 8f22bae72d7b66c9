"""Measure instance selection without each of its mechanisms.

The load patterns run once for each mechanism, which is disabled by overriding
constants in this process. Usage: ``python -m tools.ablation --seeds 2``.
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


PROHIBITIVE_COST = 99.0  # higher than any sum of other costs


class ConstantOverride(typing.NamedTuple):
    """A constant of a module and the value that disables a mechanism."""

    module: typing.Any
    name: str
    value: float


OVERRIDES_BY_MECHANISM: dict[str, tuple[ConstantOverride, ...]] = {
    "all on": (),
    "cost of crossing": (
        ConstantOverride(instance_selection, "CROSSING_COST", 0.0),
    ),
    "cost of another VM's lead": (
        ConstantOverride(instance_selection, "BORROWING_COST", 0.0),
    ),
    "cost of a full instance": (
        ConstantOverride(instance_selection, "FULL_COST", 0.0),
    ),
    "waiting for a better one": (
        ConstantOverride(allocation, "FIRST_WAIT_COST", PROHIBITIVE_COST),
        ConstantOverride(allocation, "LATE_COST", PROHIBITIVE_COST),
    ),
    "repeats cheaper than a loss": (
        ConstantOverride(dispatch, "REPEAT_COST", 1.0),
    ),
    "borrowed slots": (
        ConstantOverride(instance_usage, "BORROWED_SLOTS", 99),
    ),
    "stalled instances": (
        ConstantOverride(instance_selection, "STALLED_CHANCE_FACTOR", 1.0),
    ),
    "the floor in trouble": (
        ConstantOverride(coverage, "MIN_LOST_SHARE", math.inf),
    ),
    "learning of rates": (
        ConstantOverride(spells, "MAX_LEARNED_WEIGHT", 1.0),
    ),
    "pause after shedding": (
        ConstantOverride(instance_selection, "SHED_PAUSE", 0.0),
    ),
}


@click.command()
@click.option("--seeds", default=2, help="Number of seeds, counted from 1.")
@click.option("--seconds", default=30.0, help="Duration of each run.")
@click.option(
    "--only",
    default="",
    help="Run only mechanisms whose name contains this text.",
)
def main(seeds: int, seconds: float, only: str) -> None:
    """Print the results without each mechanism, for each pattern."""
    click.echo(
        "| without | pattern | served | in target | refused | failed "
        "| crossings | repeats |"
    )
    click.echo("| --- " * 8 + "|")
    for mechanism, overrides in OVERRIDES_BY_MECHANISM.items():
        if only not in mechanism:
            continue
        for name in PATTERNS:
            result = run_pattern(name, overrides, seeds, seconds)
            cells = " | ".join(f"{value:.3f}" for value in result[:6])
            click.echo(f"| {mechanism} | {name} | {cells} |")


def run_pattern(
    name: str,
    overrides: tuple[ConstantOverride, ...],
    seeds: int,
    seconds: float,
) -> load.Row:
    """Run a load pattern with overridden constants."""
    patterns_by_name = {each.name: each for each in load_patterns.PATTERNS}
    pattern = patterns_by_name[name]._replace(
        seconds=seconds, incident_start=seconds / 3.0
    )
    patcher = monkey.MonkeyPatcher()
    for override in overrides:
        patcher.add_patch(*override)
    return patcher.run_with_patches(
        load.measure, pattern, "belief", range(1, seeds + 1)
    )


if __name__ == "__main__":
    main()
