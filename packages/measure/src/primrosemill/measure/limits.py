"""Measures what limits of instances cost a VM: messages and decisions.

Processor times are those of this machine.
"""

import random
import time
import typing

import click

from primrosemill.configuration import document as documents
from primrosemill.decisions import entry_points
from primrosemill.decisions import home_vms
from primrosemill.decisions import instance_limits
from primrosemill.decisions import instance_selection
from primrosemill.decisions import limit_shares
from primrosemill.fleet import messages
from primrosemill.fleet import wire
from primrosemill.measure import membership_network as networks

DOMAIN = "domain-0"
CRITERIA = instance_selection.Criteria(True)
ROUNDS = 2_000
POINT_COUNT = 2
RATE = 2.0  # requests per second of each limit
INSTANCE_COUNTS = (20, 200, 2_000)
REPORTED_COUNTS = (1, 8, 16)
MICROSECONDS_PER_SECOND = 1_000_000


def _instance(number: int) -> documents.Instance:
    return documents.Instance(
        f"i-{number:010x}", "10.0.0.1", 8_080, DOMAIN, slots=4, boot=1
    )


def _report_size(count: int) -> int:
    """Return the bytes of a datagram with limits of some instances."""
    sealer = wire.Sealer(wire.Sender("target", "vm-123", 1), b"k" * 32)
    message = messages.Limits(
        tuple(
            messages.InstanceLimit(
                "reservations",
                _instance(number).id,
                1_796_000_000_000,
                round(RATE * 1_000),
                2_000,
                1_800,
            )
            for number in range(count)
        )
    )
    return len(sealer.seal(message)) + networks.UDP_HEADER_SIZE


def _choice_time(count: int, limited_count: int) -> float:
    """Return the processor time of a choice and its release, in us.

    The time advances by 10 ms per choice, so that some limited instances may
    get a request.
    """
    points = tuple(
        home_vms.Vm(f"vm-{number}", DOMAIN) for number in range(POINT_COUNT)
    )
    instances = [_instance(number) for number in range(count)]
    shares = limit_shares.LimitShares(points[0].id)
    shares.set_view(limit_shares.View({DOMAIN: points}, POINT_COUNT), 0.0)
    selector = instance_selection.InstanceSelector(
        DOMAIN, random.Random(1), shares=shares
    )
    selector.set_instances(instances, 0.0)
    selector.set_led_ids(entry_points.led_ids(points[0], points, instances))
    for instance in instances[:limited_count]:
        selector.limits.record(
            instance, instance_limits.Statement(RATE, 0.0, 0.0)
        )
    now = limit_shares.VIEW_SETTLE_TIME
    started = time.process_time()
    for _ in range(ROUNDS):
        now += 0.01
        chosen = selector.choose(CRITERIA, now)
        if chosen is not None:
            selector.release(chosen.id, now)
    elapsed = time.process_time() - started
    return elapsed / ROUNDS * MICROSECONDS_PER_SECOND


def _print_row(name: str, values: typing.Iterable[str]) -> None:
    click.echo(f"{name:34}" + "".join(f"{value:>14}" for value in values))


@click.command()
def main() -> None:
    """Print the size of a report and the time of a choice with limits."""
    _print_row("limits in a report", map(str, REPORTED_COUNTS))
    _print_row(
        "  bytes of its datagram",
        (str(_report_size(count)) for count in REPORTED_COUNTS),
    )
    _print_row("instances of the own domain", map(str, INSTANCE_COUNTS))
    for name, share in (("none", 0.0), ("a tenth", 0.1), ("all", 1.0)):
        _print_row(
            f"  a choice, {name} limited",
            (
                f"{_choice_time(count, int(share * count)):.0f} us"
                for count in INSTANCE_COUNTS
            ),
        )
