"""Measures detection time against false ejections, beside fixed rules.

Every detector meets the same seeded traces. The tables go to the standard
output in the form in which they stand in docs/measurements/detection.md.
"""

import math
import pathlib
import typing

import click
from matplotlib import pyplot
import numpy

from primrosemill.measure import detection_faults as faults
from primrosemill.measure import detection_figures as figures

ATLAS_WEIGHT = 0.9
GUILD_WEIGHT = 0.2
DETECTORS: typing.Final[dict[str, float | None]] = {
    "fixed rules": None,
    "Guild, weight 0.2": GUILD_WEIGHT,
    "Atlas, weight 0.9": ATLAS_WEIGHT,
}
CURVE_WEIGHTS = (0.0, 0.2, 0.5, 0.9, 1.0)


class Point(typing.NamedTuple):
    """One weight on the curve; seconds, and removals in 1,000 hours."""

    weight: float
    stall: float
    half_speed: float
    ejections: float
    avoidances: float


@click.group(invoke_without_command=True)
@click.option("--seed", default=1, show_default=True)
@click.option("--episodes", default=100, show_default=True)
@click.option(
    "--hours",
    default=70.0,
    show_default=True,
    help="Healthy instance-hours for each detector.",
)
@click.pass_context
def main(
    context: click.Context, seed: int, episodes: int, hours: float
) -> None:
    """Measure detection; without a subcommand, all of it."""
    if context.invoked_subcommand is not None:
        return
    context.invoke(fault_times, seed=seed, episodes=episodes)
    context.invoke(flapping, seed=seed, episodes=max(1, episodes // 20))
    context.invoke(mistakes, seed=seed, hours=hours, weight=None)


@main.command("faults")
@click.option("--seed", default=1, show_default=True)
@click.option("--episodes", default=100, show_default=True)
def fault_times(seed: int, episodes: int) -> None:
    """Time the detection of lasting faults."""
    click.echo("| fault | detector | lead median, 99 % | fleet median, 99 % |")
    click.echo("| --- | --- | --- | --- |")
    for name in faults.FAULTS:
        for label, weight in DETECTORS.items():
            times = [
                figures.time_fault(name, weight, seed + number)
                for number in range(episodes)
            ]
            lead = _quantiles([each.lead for each in times])
            fleet = _quantiles([each.fleet for each in times])
            click.echo(f"| {name} | {label} | {lead} | {fleet} |")


@main.command()
@click.option("--seed", default=1, show_default=True)
@click.option("--episodes", default=5, show_default=True)
def flapping(seed: int, episodes: int) -> None:
    """Follow instances that flap for five minutes."""
    click.echo(
        "| period | detector | first detection "
        "| share when sick | after the third flap |"
    )
    click.echo("| --- | --- | --- | --- | --- |")
    for period in faults.PERIODS:
        for label, weight in DETECTORS.items():
            flaps = [
                figures.follow_flaps(period, weight, seed + number)
                for number in range(episodes)
            ]
            click.echo(_flaps_row(period, label, flaps))


def _flaps_row(period: float, label: str, flaps: list[figures.Flaps]) -> str:
    first = _quantiles([each.first for each in flaps])
    share = max(each.share for each in flaps)
    late = [
        each.late_share for each in flaps if not math.isnan(each.late_share)
    ]
    highest = "under three flaps"
    if late:
        highest = f"{max(late):.1%} at most, {len(late)} runs"
    return f"| {period} s | {label} | {first} | {share:.1%} | {highest} |"


@main.command()
@click.option("--seed", default=1, show_default=True)
@click.option("--hours", default=70.0, show_default=True)
@click.option(
    "--weight",
    type=float,
    help="Measure the detectors of this weight alone.",
)
def mistakes(seed: int, hours: float, weight: float | None) -> None:
    """Count the removals of healthy instances in harmless troubles."""
    detectors = DETECTORS
    if weight is not None:
        detectors = {f"weight {weight}": weight}
    click.echo("| trouble | detector | hours | ejections | avoidances |")
    click.echo("| --- | --- | --- | --- | --- |")
    for label, each_weight in detectors.items():
        total = figures.Mistakes(0, 0, 0.0)
        for name in faults.TROUBLES:
            found = _count(name, each_weight, seed, hours)
            total = _add(total, found)
            click.echo(_mistakes_row(name, label, found))
        click.echo(_mistakes_row("**all**", label, total))


@main.command()
@click.option("--seed", default=1, show_default=True)
@click.option("--episodes", default=50, show_default=True)
@click.option("--hours", default=40.0, show_default=True)
@click.option("--plot", type=click.Path(path_type=pathlib.Path), default=None)
def curve(
    seed: int, episodes: int, hours: float, plot: pathlib.Path | None
) -> None:
    """Trace detection time against mistakes over the weights."""
    points = []
    click.echo(
        "| weight | stall 99 % | half speed 99 % "
        "| ejections, avoidances in 1,000 h |"
    )
    click.echo("| --- | --- | --- | --- |")
    for weight in CURVE_WEIGHTS:
        point = _measure_point(weight, seed, episodes, hours)
        points.append(point)
        click.echo(
            f"| {weight} | {point.stall:.2f} s | {point.half_speed:.2f} s "
            f"| {point.ejections:.0f}, {point.avoidances:.0f} |"
        )
    if plot is not None:
        _draw(points, plot)


def _measure_point(
    weight: float, seed: int, episodes: int, hours: float
) -> Point:
    slowest = []
    for name in ("stall", "half speed"):
        times = [
            figures.time_fault(name, weight, seed + number).lead
            for number in range(episodes)
        ]
        slowest.append(_percentile(times, 99))
    total = figures.Mistakes(0, 0, 0.0)
    for name in faults.TROUBLES:
        total = _add(total, _count(name, weight, seed, hours))
    scale = 1000.0 / total.hours
    return Point(
        weight,
        slowest[0],
        slowest[1],
        total.ejections * scale,
        total.avoidances * scale,
    )


def _count(
    name: str, weight: float | None, seed: int, hours: float
) -> figures.Mistakes:
    """Count one trouble's mistakes over its part of the hours."""
    total = figures.Mistakes(0, 0, 0.0)
    number = 0
    while total.hours < hours / len(faults.TROUBLES):
        each_seed = seed + number * figures.SEED_STRIDE
        found = figures.count_mistakes(name, weight, each_seed)
        total = _add(total, found)
        number += 1
    return total


def _add(total: figures.Mistakes, found: figures.Mistakes) -> figures.Mistakes:
    return figures.Mistakes(
        total.ejections + found.ejections,
        total.avoidances + found.avoidances,
        total.hours + found.hours,
    )


def _mistakes_row(name: str, label: str, found: figures.Mistakes) -> str:
    return (
        f"| {name} | {label} | {found.hours:.0f} "
        f"| {found.ejections} | {found.avoidances} |"
    )


def _percentile(values: list[float], percent: float) -> float:
    return float(numpy.percentile(values, percent, method="higher"))


def _quantiles(values: list[float]) -> str:
    median = _seconds(_percentile(values, 50))
    return f"{median}, {_seconds(_percentile(values, 99))}"


def _seconds(value: float) -> str:
    return "never" if math.isinf(value) else f"{value:.2f} s"


def _draw(points: list[Point], path: pathlib.Path) -> None:
    figure, axes = pyplot.subplots(figsize=(6.4, 4.0))
    removals = [point.ejections + point.avoidances for point in points]
    axes.plot([point.stall for point in points], removals, "o-", label="stall")
    axes.plot(
        [point.half_speed for point in points],
        removals,
        "s--",
        label="half speed",
    )
    for point, removal in zip(points, removals, strict=True):
        axes.annotate(
            f"{point.weight}",
            (point.stall, removal),
            textcoords="offset points",
            xytext=(6, 4),
        )
    axes.set_xscale("log")
    axes.set_yscale("symlog", linthresh=1.0)
    axes.set_xlabel("99 % detection time in seconds, by the lead")
    axes.set_ylabel("removals of healthy instances in 1,000 hours")
    axes.legend()
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    pyplot.close(figure)
