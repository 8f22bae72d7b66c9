"""Measures the latency and cost that one hop through the proxy adds.

A proxy, two stand-in instances, a platform and a load generator run in
separate processes. A baseline hop uses the HTTP libraries alone. The load
generator calls the instances directly and through both hops at the same time,
so that all are measured under the same conditions of the machine.
"""

import contextlib
import time
import typing

import click

from primrosemill.measure import _load_generator
from primrosemill.measure import _processes

MAX_ADDED_P99 = 2.5  # milliseconds at the 99th percentile; the target
TARGET_RATE = 142.0  # requests a second on one VM
INSTANCES = 2
SLOTS = 300
DIRECT = "direct"
BARE = "bare"
PROXIED = "proxied"


class Hop(typing.NamedTuple):
    """The results and costs of one hop.

    ``processor`` is in milliseconds per request, ``peak_resident`` in bytes.
    """

    result: _load_generator.TargetResult
    processor: float
    peak_resident: int


class Run(typing.NamedTuple):
    """The results of one run; ``direct`` is without a hop."""

    direct: _load_generator.TargetResult
    hops_by_name: dict[str, Hop]


def measure(rate: float, seconds: float, seed: int, profile: str = "") -> Run:
    """Run once, for the warm-up and then for the given seconds."""
    with contextlib.ExitStack() as stack:

        def start(role: str, arguments: typing.Any) -> _processes.Child:
            return stack.enter_context(
                _processes.running_child(role, arguments)
            )

        backend = {"slots": SLOTS, "service_time": 0.0}
        instances = [
            start("backend", backend | {"id": f"i-{number}"})
            for number in range(INSTANCES)
        ]
        addresses = [each.read_line()["address"] for each in instances]
        store = start("platform", {"addresses": addresses, "slots": SLOTS})
        platform_address = store.read_line()["address"]
        children_by_name = {
            BARE: start("bare", {"addresses": addresses}),
            PROXIED: start(
                "proxy", {"platform": platform_address, "profile": profile}
            ),
        }
        arguments: _load_generator.LoadArguments = {
            "addresses_by_target": {DIRECT: addresses}
            | {
                name: [f"127.0.0.1:{child.read_line()['port']}"]
                for name, child in children_by_name.items()
            },
            "rate": rate,
            "seconds": seconds + _load_generator.WARM_UP,
            "seed": seed,
        }
        return _measure_hops(start("load", arguments), children_by_name)


def _measure_hops(
    load: _processes.Child, children_by_name: dict[str, _processes.Child]
) -> Run:
    time.sleep(_load_generator.WARM_UP)
    before = {
        name: child.read_usage() for name, child in children_by_name.items()
    }
    result = load.read_line()
    hops = {}
    for name, child in children_by_name.items():
        after = child.read_usage()
        processor = (after.processor - before[name].processor) * 1000
        hops[name] = Hop(
            result[name],
            processor / result[name]["requests"],
            after.peak_resident,
        )
    return Run(result[DIRECT], hops)


def _print_run(number: int, run: Run) -> None:
    direct = run.direct
    click.echo(
        f"{number:3}  {DIRECT:8} {direct['p50']:6.2f} {direct['p99']:6.2f}"
        f"{'':38}{direct['failures']:9}"
    )
    for name, hop in run.hops_by_name.items():
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
        f"seed {seed}; milliseconds; target: {MAX_ADDED_P99} added at p99"
    )
    click.echo(
        "run  target      p50    p99  added p50    p99  cpu/req."
        "  resident MB  failures"
    )
    for number in range(runs):
        _print_run(number + 1, measure(rate, seconds, seed + number, profile))
