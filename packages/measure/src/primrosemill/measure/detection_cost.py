"""Measures the processor time of detection on one VM."""

import random
import time
import typing

import click

from primrosemill.configuration import document as documents
from primrosemill.decisions import detector
from primrosemill.decisions import home_vms
from primrosemill.decisions import outcomes
from primrosemill.measure import detection_runs as runs

REQUEST_RATE = 142.0  # requests a second of one VM
CONTROL_BOUND = 0.018  # of a core
SIZES = (20, 200, 2000)  # instances that a VM watches
LATENCY = 0.05  # seconds
ANSWERED = outcomes.Answered(200, LATENCY)


class Cost(typing.NamedTuple):
    """Processor time in seconds: of an attempt, and of a tick."""

    attempt: float
    tick: float


def measure(instances: int, seconds: float, seed: int) -> Cost:
    """Run a VM's traffic through a detector and take the times."""
    generator = random.Random(seed)
    names = [f"res-{number}" for number in range(instances)]
    service = runs.service_with(0.9)._replace(
        instances=tuple(
            documents.Instance(name, "127.0.1.1", 9000, runs.DOMAINS[0])
            for name in names
        )
    )
    watching = detector.Detector(
        home_vms.Vm("vm-0", runs.DOMAINS[0]), service, 0.0
    )
    ticks = round(seconds / detector.TICK_INTERVAL)
    per_tick = round(REQUEST_RATE * detector.TICK_INTERVAL)
    in_attempts = 0.0
    in_ticks = 0.0
    for tick in range(ticks):
        now = tick * detector.TICK_INTERVAL
        chosen = generator.choices(names, k=per_tick)
        begin = time.perf_counter()
        for number, name in enumerate(chosen):
            watching.record_start(name, number, now)
        for number in range(per_tick):
            watching.record_outcome(number, ANSWERED, now + LATENCY)
        middle = time.perf_counter()
        watching.tick(now + LATENCY)
        in_attempts += middle - begin
        in_ticks += time.perf_counter() - middle
    return Cost(in_attempts / (ticks * per_tick), in_ticks / ticks)


@click.command()
@click.option("--seed", default=1, show_default=True)
@click.option("--seconds", default=60.0, show_default=True)
def main(seed: int, seconds: float) -> None:
    """Measure the processor time of detection at several sizes."""
    click.echo(
        "| instances | an attempt | a tick | of a core | of the bound |"
    )
    click.echo("| --- | --- | --- | --- | --- |")
    for instances in SIZES:
        cost = measure(instances, seconds, seed)
        share = REQUEST_RATE * cost.attempt
        share += cost.tick / detector.TICK_INTERVAL
        click.echo(
            f"| {instances} | {cost.attempt * 1e6:.1f} us "
            f"| {cost.tick * 1e6:.0f} us | {share:.2%} "
            f"| {share / CONTROL_BOUND:.0%} |"
        )
