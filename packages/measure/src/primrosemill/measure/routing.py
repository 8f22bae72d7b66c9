"""Measures strategies of routing to instances with few slots.

The home VMs of a service are the entry VMs to which its callers are directed.
The lead of an instance is the home that fills its slots first.
"""

import functools
import typing

import click

from primrosemill.measure import routing_model
from primrosemill.measure import routing_strategies

SEED = 1
WARM_UP = 3.0  # seconds
VM_COUNT = 12  # entry VMs
FLEETS = (
    routing_model.Fleet("atlas", 20, 3, 0.05, 0.0015, 0.0015),
    routing_model.Fleet("guild", 25, 2, 0.05, 0.001, 0.001),
)
UTILIZATIONS = (0.5, 0.8, 0.95)
LOCAL_HOP_TIME = 0.00025  # seconds, one way
# Takes the model, the number of the home VM and the number of homes.
StrategyFactory = typing.Callable[
    [routing_model.Model, int, int], routing_model.Strategy
]


class Variant(typing.NamedTuple):
    """A strategy to measure, and the number of home VMs that use it."""

    name: str
    home_count: int
    make_strategy: StrategyFactory


def _own_counts(
    picker: routing_strategies.Picker,
    model: routing_model.Model,
    home: int,
    home_count: int,
) -> routing_model.Strategy:
    return routing_strategies.OwnCounts(model, home, picker)


def list_variants() -> list[Variant]:
    """Return the variants in the order of the table."""
    variants = [
        Variant(
            "round robin",
            VM_COUNT,
            functools.partial(
                _own_counts, routing_strategies.pick_round_robin
            ),
        ),
        Variant(
            "random",
            VM_COUNT,
            functools.partial(_own_counts, routing_strategies.pick_random),
        ),
        Variant(
            "two choices",
            VM_COUNT,
            functools.partial(_own_counts, routing_strategies.pick_of_two),
        ),
    ]
    for name, make_strategy in (
        ("lead, spill", routing_strategies.LeadFirst),
        ("lead, borrow", routing_strategies.Borrowing),
        ("lead, relay", routing_strategies.Relaying),
    ):
        for home_count in (VM_COUNT, 6, 3):
            variants.append(Variant(name, home_count, make_strategy))
    variants.append(Variant("one queue", 1, routing_strategies.LedOnly))
    return variants


def measure(
    variant: Variant,
    fleet: routing_model.Fleet,
    load: routing_model.Load,
) -> routing_model.Result:
    """Run one variant under one load."""
    model = routing_model.Model(fleet, load, SEED)
    strategies = [
        variant.make_strategy(model, home, variant.home_count)
        for home in range(variant.home_count)
    ]
    return model.run(strategies)


def print_row(
    variant: Variant,
    fleet: routing_model.Fleet,
    utilization: float,
    result: routing_model.Result,
) -> None:
    """Print one row of the table."""
    click.echo(
        f"{fleet.name:<6} {utilization:>4.0%} {variant.name:<13}"
        f"{variant.home_count:>3}"
        f"{result.sheds:>9.3f}{result.attempts:>10.2f}"
        f"{result.messages:>10.2f}{result.p50:>8.1f}"
        f"{result.p99:>8.1f}{result.unfinished:>7}"
    )


@click.command()
@click.option("--seconds", default=30.0, help="Simulated seconds a run.")
@click.option("--local", is_flag=True, help="Hops in a domain are shorter.")
@click.option("--skew", is_flag=True, help="One home gets a double share.")
@click.option(
    "--only", default="", help="Only strategies with this name part."
)
def main(seconds: float, local: bool, skew: bool, only: str) -> None:
    """Compare routing strategies at 50, 80 and 95 % of the slot time."""
    click.echo(f"seed {SEED}, {seconds:g} s after {WARM_UP:g} s of warm-up")
    click.echo(
        "fleet  load way       homes  sheds/rq attempts  messages   p50 ms"
        "  p99 ms  left"
    )
    for fleet in FLEETS:
        if local:
            fleet = fleet._replace(local_hop_time=LOCAL_HOP_TIME)
        for utilization in UTILIZATIONS:
            for variant in list_variants():
                if only not in variant.name:
                    continue
                weights = [1.0] * variant.home_count
                if skew:
                    weights[0] = 2.0
                load = routing_model.Load(
                    utilization, tuple(weights), seconds, WARM_UP
                )
                print_row(
                    variant, fleet, utilization, measure(variant, fleet, load)
                )
