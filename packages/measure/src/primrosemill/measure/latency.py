"""Measures what one hop through the proxy adds to a request.

A proxy, two stand-in instances, a platform and a load generator run as
processes of their own, and as a baseline a hop made of the libraries alone.
The same generator calls the instances directly and through both hops at the
same time, so that all meet the same machine.
"""

import contextlib
import time
import typing

import click

from primrosemill.measure import _children
from primrosemill.measure import _load

TARGET_ADDED = 2.5  # milliseconds for 99 in 100
TARGET_RATE = 142.0  # requests a second on one VM
INSTANCES = 2
SLOTS = 300
DIRECT = "direct"
BARE = "bare"
PROXIED = "proxied"


class Hop(typing.NamedTuple):
    """What one hop cost; processor time in milliseconds a request."""

    result: _load.TargetResult
    processor: float
    peak_resident: int


class Measured(typing.NamedTuple):
    """The results of one run."""

    direct: _load.TargetResult
    hops_by_name: dict[str, Hop]


def measure(
    rate: float, seconds: float, seed: int, profile: str = ""
) -> Measured:
    """Run once; the warm-up comes on top of the given seconds."""
    with contextlib.ExitStack() as stack:

        def start(role: str, arguments: typing.Any) -> _children.Child:
            return stack.enter_context(_children.child(role, arguments))

        backend = {"slots": SLOTS, "service_time": 0.0}
        instances = [
            start("backend", backend | {"id": f"i-{number}"})
            for number in range(INSTANCES)
        ]
        addresses = [each.read_line()["address"] for each in instances]
        store = start("platform", {"addresses": addresses, "slots": SLOTS})
        at = store.read_line()["address"]
        hops_by_name = {
            BARE: start("bare", {"addresses": addresses}),
            PROXIED: start("proxy", {"platform": at, "profile": profile}),
        }
        arguments: _load.LoadArguments = {
            "addresses_by_target": {DIRECT: addresses}
            | {
                name: [f"127.0.0.1:{hop.read_line()['port']}"]
                for name, hop in hops_by_name.items()
            },
            "rate": rate,
            "seconds": seconds + _load.WARM_UP,
            "seed": seed,
        }
        return _load_all(start("load", arguments), hops_by_name)


def _load_all(
    load: _children.Child, hops_by_name: dict[str, _children.Child]
) -> Measured:
    time.sleep(_load.WARM_UP)
    before = {name: hop.usage() for name, hop in hops_by_name.items()}
    result = load.read_line()
    measured = {}
    for name, hop in hops_by_name.items():
        after = hop.usage()
        spent = (after.processor - before[name].processor) * 1000
        measured[name] = Hop(
            result[name],
            spent / result[name]["requests"],
            after.peak_resident,
        )
    return Measured(result[DIRECT], measured)


def _report(number: int, found: Measured) -> None:
    direct = found.direct
    click.echo(
        f"{number:3}  {DIRECT:8} {direct['p50']:6.2f} {direct['p99']:6.2f}"
        f"{'':38}{direct['failures']:9}"
    )
    for name, hop in found.hops_by_name.items():
        result = hop.result
        click.echo(
            f"{number:3}  {name:8} {result['p50']:6.2f} {result['p99']:6.2f} "
            f"{result['p50'] - direct['p50']:9.2f} "
            f"{result['p99'] - direct['p99']:6.2f} "
            f"{hop.processor:9.2f} {hop.peak_resident / 1e6:10.1f} "
            f"{result['failures']:9}"
        )


@click.command()
@click.option("--rate", default=TARGET_RATE, help="Requests a second.")
@click.option("--seconds", default=20.0, help="Length of each run.")
@click.option("--runs", default=3, help="Runs; each prints three lines.")
@click.option("--seed", default=1, help="Seed of the arrivals.")
@click.option("--profile", default="", help="Write a profile of the proxy.")
def main(
    rate: float, seconds: float, runs: int, seed: int, profile: str
) -> None:
    """Measure the latency and processor time that a hop adds."""
    click.echo(
        f"{rate:.0f} requests/s to each target, {seconds:.0f} s a run, "
        f"seed {seed}; milliseconds; target: {TARGET_ADDED} added at p99"
    )
    click.echo(
        "run  target      p50    p99  added p50    p99  cpu/req."
        "  resident MB  failures"
    )
    for number in range(runs):
        _report(number + 1, measure(rate, seconds, seed + number, profile))
