"""Generates seeded traces of attempts for measuring detection.

A trace fixes the outcome of each attempt in advance, so that all detectors
are measured with the same traffic. Times are in seconds.
"""

import typing

import numpy

INSTANCES = 20
VMS = 3
SLOTS = 3
# Share of an instance's attempts that are sent by its lead, the home VM that
# prefers this instance.
LEAD_SHARE = 0.85
MEDIAN_LATENCY = 0.035
LATENCY_SIGMA = 0.8  # of the lognormal; the mean is 48 ms
HOP_LATENCY = 0.003
ATTEMPT_TIMEOUT = 2.0
HEALTHY_ERROR_SHARE = 0.001  # share of attempts

# Codes of the outcomes of attempts.
GOOD, ERROR, SHED, REFUSED, TIMEOUT = range(5)


class Trace(typing.NamedTuple):
    """Attempts in the order of their start; all arrays have equal length.

    ``finish`` is the time at which the VM learns the outcome of an attempt,
    and ``outcome_code`` the code of that outcome. ``pauses`` lists the
    pauses of each VM. ``broken_path_vm`` is the VM whose path to the
    instance is broken at the start of the attempt, or -1;
    ``finish_from_other_vm`` is the finish of the attempt if another VM
    sends it. ``unhealthy`` lists the intervals in which removing an
    instance is justified.
    """

    start: numpy.ndarray
    vm: numpy.ndarray
    instance: numpy.ndarray
    finish: numpy.ndarray
    outcome_code: numpy.ndarray
    duration: float
    pauses: tuple[tuple["Pause", ...], ...] = ((), (), ())
    broken_path_vm: numpy.ndarray | None = None
    finish_from_other_vm: numpy.ndarray | None = None
    unhealthy: tuple["UnhealthyInterval", ...] = ()


class Pause(typing.NamedTuple):
    """An interval during which a VM does not run."""

    start: float
    end: float


class UnhealthyInterval(typing.NamedTuple):
    """An interval in which an instance fails for one VM, or all (ANY_VM)."""

    instance: int
    vm: int
    start: float
    end: float


ANY_VM = -1


class Load(typing.NamedTuple):
    """The arrival rate per instance, in 1/s, and the duration of a trace."""

    rate: float
    duration: float


def generate(load: Load, generator: numpy.random.Generator) -> Trace:
    """Return a trace in which all instances are healthy."""
    count = generator.poisson(load.rate * INSTANCES * load.duration)
    start = numpy.sort(generator.random(count)) * load.duration
    instance = generator.integers(0, INSTANCES, count)
    lead = instance % VMS
    other_vm = (lead + generator.integers(1, VMS, count)) % VMS
    by_lead = generator.random(count) < LEAD_SHARE
    vm = numpy.where(by_lead, lead, other_vm)
    latency = HOP_LATENCY + MEDIAN_LATENCY * numpy.exp(
        LATENCY_SIGMA * generator.standard_normal(count)
    )
    failed = generator.random(count) < HEALTHY_ERROR_SHARE
    outcome_code = numpy.where(failed, ERROR, GOOD)
    finish = start + latency
    return _apply_timeout(
        Trace(start, vm, instance, finish, outcome_code, load.duration)
    )


def with_latency(
    trace: Trace, selected: numpy.ndarray, factor: numpy.ndarray | float
) -> Trace:
    """Multiply the latencies of the selected attempts."""
    stretched = trace.start + (trace.finish - trace.start) * factor
    finish = numpy.where(selected, stretched, trace.finish)
    return _apply_timeout(trace._replace(finish=finish))


def with_outcome(
    trace: Trace, selected: numpy.ndarray, outcome_code: int, latency: float
) -> Trace:
    """Set the outcome and the latency of the selected attempts."""
    finish = numpy.where(selected, trace.start + latency, trace.finish)
    outcome_codes = numpy.where(selected, outcome_code, trace.outcome_code)
    return trace._replace(finish=finish, outcome_code=outcome_codes)


def with_stall(
    trace: Trace, selected: numpy.ndarray, until: numpy.ndarray | float
) -> Trace:
    """Delay the selected attempts until a time, or until they time out."""
    finish = numpy.where(
        selected, numpy.maximum(trace.finish, until), trace.finish
    )
    return _apply_timeout(trace._replace(finish=finish))


def with_pauses(
    trace: Trace, vm: int, pauses: typing.Sequence[Pause]
) -> Trace:
    """Pause one VM; it starts no attempts and learns outcomes afterwards."""
    finish = trace.finish.copy()
    outside_pauses = numpy.ones(len(finish), dtype=bool)
    of_vm = trace.vm == vm
    for pause in pauses:
        delayed = of_vm & (finish >= pause.start) & (finish < pause.end)
        finish[delayed] = pause.end
        outside_pauses &= ~(
            of_vm & (trace.start >= pause.start) & (trace.start < pause.end)
        )
    pauses_by_vm = list(trace.pauses)
    pauses_by_vm[vm] = tuple(pauses)
    return trace._replace(
        start=trace.start[outside_pauses],
        vm=trace.vm[outside_pauses],
        instance=trace.instance[outside_pauses],
        finish=finish[outside_pauses],
        outcome_code=trace.outcome_code[outside_pauses],
        pauses=tuple(pauses_by_vm),
    )


def _apply_timeout(trace: Trace) -> Trace:
    timed_out = trace.finish - trace.start >= ATTEMPT_TIMEOUT
    finish = numpy.where(
        timed_out, trace.start + ATTEMPT_TIMEOUT, trace.finish
    )
    outcome_code = numpy.where(timed_out, TIMEOUT, trace.outcome_code)
    return trace._replace(finish=finish, outcome_code=outcome_code)
