"""Measures the processor time that detection takes on one VM."""

import random
import time
import typing

import click

from primrosemill.configuration import document as documents
from primrosemill.decisions import detector
from primrosemill.decisions import home_vms
from primrosemill.decisions import outcomes
from primrosemill.measure import detection_replay as runs

REQUEST_RATE = 142.0  # requests a second on one VM
MAX_CONTROL_SHARE = 0.018  # of a core
INSTANCE_COUNTS = (20, 200, 2000)  # instances that a VM watches
LATENCY = 0.05  # seconds
ANSWERED = outcomes.Answered(200, LATENCY)


class Cost(typing.NamedTuple):
    """Processor time in seconds for one attempt and for one tick."""

    attempt: float
    tick: float


def measure(instances: int, seconds: float, seed: int) -> Cost:
    """Feed one VM's traffic to a detector and time its calls."""
    generator = random.Random(seed)
    instance_ids = [f"res-{number}" for number in range(instances)]
    service = runs.make_service(0.9)._replace(
        instances=tuple(
            documents.Instance(instance_id, "127.0.1.1", 9000, runs.DOMAINS[0])
            for instance_id in instance_ids
        )
    )
    measured_detector = detector.Detector(
        home_vms.Vm("vm-0", runs.DOMAINS[0]), service, 0.0
    )
    ticks = round(seconds / detector.TICK_INTERVAL)
    attempts_per_tick = round(REQUEST_RATE * detector.TICK_INTERVAL)
    attempt_seconds = 0.0
    tick_seconds = 0.0
    for tick in range(ticks):
        now = tick * detector.TICK_INTERVAL
        chosen_ids = generator.choices(instance_ids, k=attempts_per_tick)
        started = time.perf_counter()
        for number, instance_id in enumerate(chosen_ids):
            measured_detector.record_start(instance_id, number, now)
        for number in range(attempts_per_tick):
            measured_detector.record_outcome(number, ANSWERED, now + LATENCY)
        attempts_done = time.perf_counter()
        measured_detector.tick(now + LATENCY)
        attempt_seconds += attempts_done - started
        tick_seconds += time.perf_counter() - attempts_done
    return Cost(
        attempt_seconds / (ticks * attempts_per_tick), tick_seconds / ticks
    )


@click.command()
@click.option("--seed", default=1, show_default=True)
@click.option("--seconds", default=60.0, show_default=True)
def main(seed: int, seconds: float) -> None:
    """Measure the processor time for several numbers of instances."""
    click.echo(
        "| instances | an attempt | a tick | of a core | of the bound |"
    )
    click.echo("| --- | --- | --- | --- | --- |")
    for instances in INSTANCE_COUNTS:
        cost = measure(instances, seconds, seed)
        share = REQUEST_RATE * cost.attempt
        share += cost.tick / detector.TICK_INTERVAL
        click.echo(
            f"| {instances} | {cost.attempt * 1e6:.1f} us "
            f"| {cost.tick * 1e6:.0f} us | {share:.2%} "
            f"| {share / MAX_CONTROL_SHARE:.0%} |"
        )
