"""Measures detection times and false ejections against fixed rules.

All detectors replay the same seeded traces. The tables on the standard output
are formatted as in docs/measurements/detection.md.
"""

import math
import pathlib
import typing

import click
from matplotlib import pyplot
import numpy

from primrosemill.measure import detection_faults as faults
from primrosemill.measure import detection_results as figures

ATLAS_WEIGHT = 0.9
GUILD_WEIGHT = 0.2
DETECTORS: typing.Final[dict[str, float | None]] = {
    "fixed rules": None,
    "Guild, weight 0.2": GUILD_WEIGHT,
    "Atlas, weight 0.9": ATLAS_WEIGHT,
}
CURVE_WEIGHTS = (0.0, 0.2, 0.5, 0.9, 1.0)


class CurvePoint(typing.NamedTuple):
    """Results for one detection weight.

    The times are 99th percentiles of the detection time by the lead, the VM
    that sends most requests to an instance. The rates count removals of
    healthy instances in 1,000 instance-hours.
    """

    weight: float
    stall_seconds: float
    half_speed_seconds: float
    ejection_rate: float
    avoidance_rate: float


@click.group(invoke_without_command=True)
@click.option("--seed", default=1, show_default=True)
@click.option("--episodes", default=100, show_default=True)
@click.option(
    "--hours",
    default=70.0,
    show_default=True,
    help="Instance-hours of harmless disturbances for each detector.",
)
@click.pass_context
def main(
    context: click.Context, seed: int, episodes: int, hours: float
) -> None:
    """Run all detection measurements but the curve, or one subcommand."""
    if context.invoked_subcommand is not None:
        return
    context.invoke(fault_times, seed=seed, episodes=episodes)
    context.invoke(flapping, seed=seed, episodes=max(1, episodes // 20))
    context.invoke(mistakes, seed=seed, hours=hours, weight=None)


@main.command("faults")
@click.option("--seed", default=1, show_default=True)
@click.option("--episodes", default=100, show_default=True)
def fault_times(seed: int, episodes: int) -> None:
    """Measure the detection times of permanent faults."""
    click.echo("| fault | detector | lead median, 99 % | fleet median, 99 % |")
    click.echo("| --- | --- | --- | --- |")
    for name in faults.FAULTS:
        for label, weight in DETECTORS.items():
            times = [
                figures.time_fault(name, weight, seed + number)
                for number in range(episodes)
            ]
            lead = _format_quantiles([each.lead for each in times])
            fleet = _format_quantiles([each.fleet for each in times])
            click.echo(f"| {name} | {label} | {lead} | {fleet} |")


@main.command()
@click.option("--seed", default=1, show_default=True)
@click.option("--episodes", default=5, show_default=True)
def flapping(seed: int, episodes: int) -> None:
    """Measure the requests sent to instances that flap for five minutes."""
    click.echo(
        "| period | detector | first detection "
        "| share when sick | after the third flap |"
    )
    click.echo("| --- | --- | --- | --- | --- |")
    for period in faults.FLAP_PERIODS:
        for label, weight in DETECTORS.items():
            results = [
                figures.measure_flapping(period, weight, seed + number)
                for number in range(episodes)
            ]
            click.echo(_format_flapping(period, label, results))


def _format_flapping(
    period: float, label: str, results: list[figures.FlappingResult]
) -> str:
    detection_times = _format_quantiles(
        [each.detection_time for each in results]
    )
    sick_share = max(each.sick_share for each in results)
    late_shares = [
        each.late_sick_share
        for each in results
        if not math.isnan(each.late_sick_share)
    ]
    late_text = "under three flaps"
    if late_shares:
        late_text = f"{max(late_shares):.1%} at most, {len(late_shares)} runs"
    return (
        f"| {period} s | {label} | {detection_times} "
        f"| {sick_share:.1%} | {late_text} |"
    )


@main.command()
@click.option("--seed", default=1, show_default=True)
@click.option("--hours", default=70.0, show_default=True)
@click.option(
    "--weight",
    type=float,
    help="Measure only detectors with this weight.",
)
def mistakes(seed: int, hours: float, weight: float | None) -> None:
    """Count removals of healthy instances in harmless disturbances."""
    detectors = DETECTORS
    if weight is not None:
        detectors = {f"weight {weight}": weight}
    click.echo("| trouble | detector | hours | ejections | avoidances |")
    click.echo("| --- | --- | --- | --- | --- |")
    for label, each_weight in detectors.items():
        total = figures.FalseRemovals(0, 0, 0.0)
        for name in faults.DISTURBANCES:
            counts = _count_false_removals(name, each_weight, seed, hours)
            total = _add(total, counts)
            click.echo(_format_false_removals(name, label, counts))
        click.echo(_format_false_removals("**all**", label, total))


@main.command()
@click.option("--seed", default=1, show_default=True)
@click.option("--episodes", default=50, show_default=True)
@click.option("--hours", default=40.0, show_default=True)
@click.option("--plot", type=click.Path(path_type=pathlib.Path), default=None)
def curve(
    seed: int, episodes: int, hours: float, plot: pathlib.Path | None
) -> None:
    """Measure detection times and false removals for several weights."""
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
            f"| {weight} | {point.stall_seconds:.2f} s "
            f"| {point.half_speed_seconds:.2f} s "
            f"| {point.ejection_rate:.0f}, {point.avoidance_rate:.0f} |"
        )
    if plot is not None:
        _plot_curve(points, plot)


def _measure_point(
    weight: float, seed: int, episodes: int, hours: float
) -> CurvePoint:
    detection_times = []
    for name in ("stall", "half speed"):
        times = [
            figures.time_fault(name, weight, seed + number).lead
            for number in range(episodes)
        ]
        detection_times.append(_percentile(times, 99))
    total = figures.FalseRemovals(0, 0, 0.0)
    for name in faults.DISTURBANCES:
        total = _add(total, _count_false_removals(name, weight, seed, hours))
    rate_scale = 1000.0 / total.hours
    return CurvePoint(
        weight,
        detection_times[0],
        detection_times[1],
        total.ejections * rate_scale,
        total.avoidances * rate_scale,
    )


def _count_false_removals(
    name: str, weight: float | None, seed: int, hours: float
) -> figures.FalseRemovals:
    """Count false removals in one disturbance for its share of the hours."""
    total = figures.FalseRemovals(0, 0, 0.0)
    number = 0
    while total.hours < hours / len(faults.DISTURBANCES):
        each_seed = seed + number * figures.SEED_STRIDE
        counts = figures.count_false_removals(name, weight, each_seed)
        total = _add(total, counts)
        number += 1
    return total


def _add(
    total: figures.FalseRemovals, counts: figures.FalseRemovals
) -> figures.FalseRemovals:
    return figures.FalseRemovals(
        total.ejections + counts.ejections,
        total.avoidances + counts.avoidances,
        total.hours + counts.hours,
    )


def _format_false_removals(
    name: str, label: str, counts: figures.FalseRemovals
) -> str:
    return (
        f"| {name} | {label} | {counts.hours:.0f} "
        f"| {counts.ejections} | {counts.avoidances} |"
    )


def _percentile(values: list[float], percent: float) -> float:
    return float(numpy.percentile(values, percent, method="higher"))


def _format_quantiles(values: list[float]) -> str:
    median = _format_seconds(_percentile(values, 50))
    return f"{median}, {_format_seconds(_percentile(values, 99))}"


def _format_seconds(value: float) -> str:
    return "never" if math.isinf(value) else f"{value:.2f} s"


def _plot_curve(points: list[CurvePoint], path: pathlib.Path) -> None:
    figure, axes = pyplot.subplots(figsize=(6.4, 4.0))
    removal_rates = [
        point.ejection_rate + point.avoidance_rate for point in points
    ]
    axes.plot(
        [point.stall_seconds for point in points],
        removal_rates,
        "o-",
        label="stall",
    )
    axes.plot(
        [point.half_speed_seconds for point in points],
        removal_rates,
        "s--",
        label="half speed",
    )
    for point, removal_rate in zip(points, removal_rates, strict=True):
        axes.annotate(
            f"{point.weight}",
            (point.stall_seconds, removal_rate),
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
