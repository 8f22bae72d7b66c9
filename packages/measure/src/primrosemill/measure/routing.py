"""Measures ways of routing to instances with few slots."""

import functools
import typing

import click

from primrosemill.measure import routing_model
from primrosemill.measure import routing_ways

SEED = 1
WARM_UP = 3.0  # seconds
PROXIES = 12
FLEETS = (
    routing_model.Fleet("atlas", 20, 3, 0.05, 0.0015, 0.0015),
    routing_model.Fleet("guild", 25, 2, 0.05, 0.001, 0.001),
)
SHARES = (0.5, 0.8, 0.95)
LOCAL_HOP = 0.00025  # seconds
Build = typing.Callable[[routing_model.Model, int, int], routing_model.Way]


class Row(typing.NamedTuple):
    """A way to measure: its name, the homes, and how its VMs are built."""

    name: str
    homes: int
    build: Build


def _own_counts(
    pick: routing_ways.Pick,
    model: routing_model.Model,
    home: int,
    count: int,
) -> routing_model.Way:
    return routing_ways.OwnCounts(model, home, pick)


def list_rows() -> list[Row]:
    """Return the ways in the order of the table."""
    rows = [
        Row(
            "round robin",
            PROXIES,
            functools.partial(_own_counts, routing_ways.pick_round_robin),
        ),
        Row(
            "random",
            PROXIES,
            functools.partial(_own_counts, routing_ways.pick_random),
        ),
        Row(
            "two choices",
            PROXIES,
            functools.partial(_own_counts, routing_ways.pick_of_two),
        ),
    ]
    for name, build in (
        ("lead, spill", routing_ways.LeadFirst),
        ("lead, borrow", routing_ways.Borrow),
        ("lead, relay", routing_ways.Relay),
    ):
        for homes in (PROXIES, 6, 3):
            rows.append(Row(name, homes, build))
    rows.append(Row("one queue", 1, routing_ways.OwnLeads))
    return rows


def measure(
    row: Row,
    fleet: routing_model.Fleet,
    load: routing_model.Load,
) -> routing_model.Figures:
    """Run one way under one load."""
    model = routing_model.Model(fleet, load, SEED)
    ways = [row.build(model, home, row.homes) for home in range(row.homes)]
    return model.run(ways)


def print_row(
    row: Row,
    fleet: routing_model.Fleet,
    share: float,
    figures: routing_model.Figures,
) -> None:
    """Print one line of the table."""
    click.echo(
        f"{fleet.name:<6} {share:>4.0%} {row.name:<13}{row.homes:>3}"
        f"{figures.sheds:>9.3f}{figures.attempts:>10.2f}"
        f"{figures.messages:>10.2f}{figures.median:>8.1f}"
        f"{figures.high:>8.1f}{figures.left:>7}"
    )


@click.command()
@click.option("--seconds", default=30.0, help="Simulated seconds a run.")
@click.option("--local", is_flag=True, help="Hops in a domain are shorter.")
@click.option("--skew", is_flag=True, help="One home gets a double share.")
@click.option("--only", default="", help="Only ways with this in the name.")
def main(seconds: float, local: bool, skew: bool, only: str) -> None:
    """Compare ways of routing at 50, 80 and 95 % of the slot time."""
    click.echo(f"seed {SEED}, {seconds:g} s after {WARM_UP:g} s of warm-up")
    click.echo(
        "fleet  load way       homes  sheds/rq attempts  messages   p50 ms"
        "  p99 ms  left"
    )
    for fleet in FLEETS:
        if local:
            fleet = fleet._replace(local_hop=LOCAL_HOP)
        for share in SHARES:
            for row in list_rows():
                if only not in row.name:
                    continue
                weights = [1.0] * row.homes
                if skew:
                    weights[0] = 2.0
                load = routing_model.Load(
                    share, tuple(weights), seconds, WARM_UP
                )
                print_row(row, fleet, share, measure(row, fleet, load))
