"""Generates seeded traces of attempts for the measurement of detection.

A trace says what each attempt would meet at each instant, so every detector
is measured on the same one. Times are in seconds.
"""

import typing

import numpy

INSTANCES = 20
VMS = 3
SLOTS = 3
LEAD_SHARE = 0.85  # share of an instance's attempts that its lead sends
MEDIAN_LATENCY = 0.035
LATENCY_SIGMA = 0.8  # of the lognormal; the mean is 48 ms
HOP = 0.003
ATTEMPT_TIMEOUT = 2.0
HEALTHY_ERRORS = 0.001  # share of attempts

GOOD, ERROR, SHED, REFUSED, TIMEOUT = range(5)


class Trace(typing.NamedTuple):
    """Attempts in the order of their start; all arrays are as long.

    ``finish`` is when the VM learns of the end, ``kind`` how it ended.
    ``pauses`` holds the start and end of each pause of each VM. ``broken_vm``
    is the VM whose path to the instance is broken just then, or -1, and
    ``finish_elsewhere`` how the attempt would end from another VM. ``unwell``
    lists when removing an instance is no mistake.
    """

    start: numpy.ndarray
    vm: numpy.ndarray
    instance: numpy.ndarray
    finish: numpy.ndarray
    kind: numpy.ndarray
    length: float
    pauses: tuple[tuple["Pause", ...], ...] = ((), (), ())
    broken_vm: numpy.ndarray | None = None
    finish_elsewhere: numpy.ndarray | None = None
    unwell: tuple["Unwell", ...] = ()


class Pause(typing.NamedTuple):
    """A time during which a VM does not run."""

    start: float
    end: float


class Unwell(typing.NamedTuple):
    """A time in which an instance fails for one VM, or for all (ANY_VM)."""

    instance: int
    vm: int
    start: float
    end: float


ANY_VM = -1


class Load(typing.NamedTuple):
    """The arrivals of a trace, a second and instance, and its length."""

    rate: float
    length: float


def generate(load: Load, generator: numpy.random.Generator) -> Trace:
    """Return a trace in which every instance is healthy."""
    count = generator.poisson(load.rate * INSTANCES * load.length)
    start = numpy.sort(generator.random(count)) * load.length
    instance = generator.integers(0, INSTANCES, count)
    lead = instance % VMS
    other = (lead + generator.integers(1, VMS, count)) % VMS
    by_lead = generator.random(count) < LEAD_SHARE
    vm = numpy.where(by_lead, lead, other)
    latency = HOP + MEDIAN_LATENCY * numpy.exp(
        LATENCY_SIGMA * generator.standard_normal(count)
    )
    errors = generator.random(count) < HEALTHY_ERRORS
    kind = numpy.where(errors, ERROR, GOOD)
    finish = start + latency
    return _timed_out(Trace(start, vm, instance, finish, kind, load.length))


def with_latency(
    trace: Trace, chosen: numpy.ndarray, factor: numpy.ndarray | float
) -> Trace:
    """Stretch the latencies of the chosen attempts."""
    stretched = trace.start + (trace.finish - trace.start) * factor
    finish = numpy.where(chosen, stretched, trace.finish)
    return _timed_out(trace._replace(finish=finish))


def with_kind(
    trace: Trace, chosen: numpy.ndarray, kind: int, latency: float
) -> Trace:
    """End the chosen attempts another way, after a given latency."""
    finish = numpy.where(chosen, trace.start + latency, trace.finish)
    kinds = numpy.where(chosen, kind, trace.kind)
    return trace._replace(finish=finish, kind=kinds)


def with_stall(
    trace: Trace, chosen: numpy.ndarray, until: numpy.ndarray | float
) -> Trace:
    """Let the chosen attempts hang until a time, or until they time out."""
    finish = numpy.where(
        chosen, numpy.maximum(trace.finish, until), trace.finish
    )
    return _timed_out(trace._replace(finish=finish))


def with_pauses(
    trace: Trace, vm: int, pauses: typing.Sequence[Pause]
) -> Trace:
    """Stop one VM for some times; it learns of ends when it runs again."""
    finish = trace.finish.copy()
    running = numpy.ones(len(finish), dtype=bool)
    at_vm = trace.vm == vm
    for pause in pauses:
        late = at_vm & (finish >= pause.start) & (finish < pause.end)
        finish[late] = pause.end
        running &= ~(
            at_vm & (trace.start >= pause.start) & (trace.start < pause.end)
        )
    of_vms = list(trace.pauses)
    of_vms[vm] = tuple(pauses)
    return trace._replace(
        start=trace.start[running],
        vm=trace.vm[running],
        instance=trace.instance[running],
        finish=finish[running],
        kind=trace.kind[running],
        pauses=tuple(of_vms),
    )


def _timed_out(trace: Trace) -> Trace:
    late = trace.finish - trace.start >= ATTEMPT_TIMEOUT
    finish = numpy.where(late, trace.start + ATTEMPT_TIMEOUT, trace.finish)
    kind = numpy.where(late, TIMEOUT, trace.kind)
    return trace._replace(finish=finish, kind=kind)
