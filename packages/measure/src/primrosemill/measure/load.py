"""Simulates the load patterns with several strategies of choosing instances.

The product's strategy is compared with two baselines and an oracle. The
oracle chooses as the product does, but knows each spell and loss from its
start; the distance to it is what a better estimate could still gain.
"""

import pathlib
import typing

import click
from matplotlib import pyplot

from primrosemill.measure import load_patterns
from primrosemill.measure import load_simulation
from primrosemill.measure import load_strategies

# What an answer of some kilobytes that crosses costs, as a share of the worth
# of an ordinary request.
CROSSING_PRICE = 0.035
LATE_WORTH = 1.0 / 3.0  # share of its worth that a late answer earns


class Row(typing.NamedTuple):
    """Results of a pattern under one strategy.

    The first four are shares of the requests; ``in_target`` counts those
    served within the target of their route. The others are shares of the
    attempts: to another failure domain, after the first attempt of a request,
    and to an instance during one of its spells. ``worth`` is the share of
    the worth of all requests that is earned, less the price of crossings, and
    ``worst_kind`` the served share of the kind that is served least.
    """

    served: float
    in_target: float
    refused: float
    failed: float
    crossings: float
    repeats: float
    into_spells: float
    worth: float
    worst_kind: float


def measure(
    pattern: load_patterns.Pattern,
    strategy: str,
    seeds: typing.Sequence[int],
) -> Row:
    """Simulate a pattern once per seed and return the mean results."""
    rows = []
    for seed in seeds:
        simulation = load_simulation.Simulation(
            pattern, load_strategies.FACTORIES_BY_STRATEGY[strategy], seed
        )
        rows.append(_build_row(simulation, simulation.run()))
    return Row(
        *(sum(column) / len(rows) for column in zip(*rows, strict=True))
    )


def _build_row(
    simulation: load_simulation.Simulation,
    outcomes: list[load_simulation.Outcome],
) -> Row:
    count = len(outcomes)
    served = [outcome for outcome in outcomes if outcome.served]
    in_target = [outcome for outcome in served if _is_in_target(outcome)]
    failed = sum(outcome.failed for outcome in outcomes)
    return Row(
        len(served) / count,
        len(in_target) / count,
        (count - len(served) - failed) / count,
        failed / count,
        simulation.crossings / simulation.attempts,
        simulation.repeats / simulation.attempts,
        simulation.into_spells / simulation.attempts,
        _earned_worth(simulation, outcomes),
        min(served_by_kind(outcomes).values()),
    )


def served_by_kind(
    outcomes: list[load_simulation.Outcome],
) -> dict[str, float]:
    """Return the served share of each kind of request, by route name."""
    served_flags_by_name: dict[str, list[bool]] = {}
    for outcome in outcomes:
        flags = served_flags_by_name.setdefault(outcome.route.name, [])
        flags.append(outcome.served)
    return {
        name: sum(flags) / len(flags)
        for name, flags in served_flags_by_name.items()
    }


def _is_in_target(outcome: load_simulation.Outcome) -> bool:
    elapsed = outcome.ended_at - outcome.arrived_at
    return outcome.served and elapsed <= outcome.route.effective_target_time


def _earned_worth(
    simulation: load_simulation.Simulation,
    outcomes: list[load_simulation.Outcome],
) -> float:
    worth_by_route = simulation.pattern.worth_by_route
    earned = -CROSSING_PRICE * simulation.crossings
    total = 0.0
    for outcome in outcomes:
        worth = worth_by_route.get(outcome.route.name, 1.0)
        total += worth
        if _is_in_target(outcome):
            earned += worth
        elif outcome.served:
            earned += LATE_WORTH * worth
    return earned / total


@click.command()
@click.option("--seeds", default=3, help="How many seeds, from 1 on.")
@click.option("--only", default="", help="Patterns whose name has this.")
@click.option("--plot", type=click.Path(path_type=pathlib.Path), default=None)
def main(seeds: int, only: str, plot: pathlib.Path | None) -> None:
    """Print a row for each pattern and strategy."""
    click.echo(
        "| pattern | way | served | in target | refused | failed "
        "| crossings | repeats | into spells | worth | worst kind |"
    )
    click.echo("| --- " * 11 + "|")
    unserved_by_strategy: dict[str, list[float]] = {}
    names = []
    for pattern in load_patterns.PATTERNS:
        if only not in pattern.name:
            continue
        names.append(pattern.name)
        for strategy in load_strategies.FACTORIES_BY_STRATEGY:
            row = measure(pattern, strategy, range(1, seeds + 1))
            unserved_by_strategy.setdefault(strategy, []).append(
                1.0 - row.served
            )
            cells = " | ".join(f"{value:.3f}" for value in row)
            click.echo(f"| {pattern.name} | {strategy} | {cells} |")
    if plot is not None:
        _plot(names, unserved_by_strategy, plot)


def _plot(
    names: list[str],
    unserved_by_strategy: dict[str, list[float]],
    path: pathlib.Path,
) -> None:
    """Plot the shares of requests not served, a group of bars per pattern."""
    figure, axes = pyplot.subplots(figsize=(8.0, 5.0))
    height = 0.8 / len(unserved_by_strategy)
    for number, (strategy, shares) in enumerate(unserved_by_strategy.items()):
        positions = [group + number * height for group in range(len(names))]
        axes.barh(positions, shares, height, label=strategy)
    axes.set_yticks([group + 0.3 for group in range(len(names))], names)
    axes.set_xlabel("share of requests not served")
    axes.set_xscale("log")
    axes.invert_yaxis()
    axes.legend()
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
