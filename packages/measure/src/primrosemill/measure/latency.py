"""Measures what one hop through the proxy adds to a request.

A proxy, two stand-in instances, a platform and a load generator run as
processes of their own. The same generator calls the instances directly and
through the proxy at the same time, so that both meet the same machine.
"""

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
PROXIED = "proxied"


class Measured(typing.NamedTuple):
    """The result of one run; processor time in milliseconds a request."""

    direct: _load.TargetResult
    proxied: _load.TargetResult
    processor: float
    peak_resident: int


def measure(
    rate: float, seconds: float, seed: int, profile: str = ""
) -> Measured:
    """Run once; the warm-up comes on top of the given seconds."""
    backend = {"slots": SLOTS, "service_time": 0.0}
    with (
        _children.child("backend", backend | {"id": "i-0"}) as first,
        _children.child("backend", backend | {"id": "i-1"}) as second,
    ):
        addresses = [each.read_line()["address"] for each in (first, second)]
        platform = {"addresses": addresses, "slots": SLOTS}
        with _children.child("platform", platform) as store:
            at = store.read_line()["address"]
            proxy = {"platform": at, "profile": profile}
            with _children.child("proxy", proxy) as vm:
                return _load_both(vm, addresses, rate, seconds, seed)


def _load_both(
    vm: _children.Child,
    addresses: list[str],
    rate: float,
    seconds: float,
    seed: int,
) -> Measured:
    port = vm.read_line()["port"]
    arguments: _load.LoadArguments = {
        "addresses_by_target": {
            DIRECT: addresses,
            PROXIED: [f"127.0.0.1:{port}"],
        },
        "rate": rate,
        "seconds": seconds + _load.WARM_UP,
        "seed": seed,
    }
    with _children.child("load", arguments) as load:
        time.sleep(_load.WARM_UP)
        before = vm.usage()
        result = load.read_line()
        after = vm.usage()
    processor = (after.processor - before.processor) * 1000
    return Measured(
        result[DIRECT],
        result[PROXIED],
        processor / result[PROXIED]["requests"],
        after.peak_resident,
    )


@click.command()
@click.option("--rate", default=TARGET_RATE, help="Requests a second.")
@click.option("--seconds", default=20.0, help="Length of each run.")
@click.option("--runs", default=3, help="Runs; each prints a line.")
@click.option("--seed", default=1, help="Seed of the arrivals.")
@click.option("--profile", default="", help="Write a profile of the proxy.")
def main(
    rate: float, seconds: float, runs: int, seed: int, profile: str
) -> None:
    """Measure the latency and processor time that a hop adds."""
    click.echo(
        f"{rate:.0f} requests/s, {seconds:.0f} s a run, seed {seed}; "
        f"milliseconds; target: {TARGET_ADDED} added at p99"
    )
    click.echo(
        "run  direct p50   p99  proxied p50   p99  "
        "added p50   p99  cpu/request  resident MB  failures"
    )
    for number in range(runs):
        found = measure(rate, seconds, seed + number, profile)
        direct, proxied = found.direct, found.proxied
        click.echo(
            f"{number + 1:3} {direct['p50']:11.2f} {direct['p99']:5.2f} "
            f"{proxied['p50']:12.2f} {proxied['p99']:5.2f} "
            f"{proxied['p50'] - direct['p50']:10.2f} "
            f"{proxied['p99'] - direct['p99']:5.2f} "
            f"{found.processor:12.2f} {found.peak_resident / 1e6:12.1f} "
            f"{direct['failures'] + proxied['failures']:9}"
        )
