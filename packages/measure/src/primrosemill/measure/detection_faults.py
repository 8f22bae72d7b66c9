"""Lists the faults and the harmless troubles that traces are made with."""

import typing

import numpy

from primrosemill.measure import detection_traces as traces

PERIODS = (0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 20.0)  # seconds, of flapping
SICK = 4  # the instance that turns gray in the traces of faults
COLD_SECONDS = 10.0
Fault = typing.Callable[
    [traces.Trace, numpy.ndarray, numpy.random.Generator], traces.Trace
]
Change = typing.Callable[[traces.Trace, numpy.random.Generator], traces.Trace]


def sick_after(trace: traces.Trace, onset: float) -> numpy.ndarray:
    """Return which attempts meet the sick instance after the onset."""
    return (trace.instance == SICK) & (trace.start >= onset)


def stall(
    trace: traces.Trace,
    sick: numpy.ndarray,
    generator: numpy.random.Generator,
) -> traces.Trace:
    """Answer nothing any more."""
    return traces.with_stall(trace, sick, trace.length * 2)


def half_speed(
    trace: traces.Trace,
    sick: numpy.ndarray,
    generator: numpy.random.Generator,
) -> traces.Trace:
    """Take twice the time."""
    return traces.with_latency(trace, sick, 2.0)


def ten_times_slow(
    trace: traces.Trace,
    sick: numpy.ndarray,
    generator: numpy.random.Generator,
) -> traces.Trace:
    """Take ten times the time."""
    return traces.with_latency(trace, sick, 10.0)


def some_errors(
    trace: traces.Trace,
    sick: numpy.ndarray,
    generator: numpy.random.Generator,
) -> traces.Trace:
    """Answer a fifth of the requests with an error."""
    failing = sick & (generator.random(len(sick)) < 0.2)
    return traces.with_kind(trace, failing, traces.ERROR, traces.HOP)


def flapping(
    trace: traces.Trace, sick: numpy.ndarray, onset: float, period: float
) -> traces.Trace:
    """Take ten times the time in the first half of each period."""
    phase = (trace.start - onset) % period
    return traces.with_latency(trace, sick & (phase < period / 2), 10.0)


def steady(
    trace: traces.Trace, generator: numpy.random.Generator
) -> traces.Trace:
    """Change nothing."""
    return trace


def load_bursts(
    trace: traces.Trace, generator: numpy.random.Generator
) -> traces.Trace:
    """Triple every latency for 5 s in each 30 s."""
    burst = trace.start % 30.0 < 5.0
    return traces.with_latency(trace, burst, 3.0)


def cold_starts(
    trace: traces.Trace, generator: numpy.random.Generator
) -> traces.Trace:
    """Restart one instance a minute: down for 2 s, then warming up.

    A cold instance takes four times as long at first, and the extra time
    falls off over 10 s.
    """
    changed = trace
    unwell = []
    for begin in numpy.arange(30.0, trace.length - 20.0, 60.0):
        number = generator.integers(0, traces.INSTANCES)
        since = changed.start - begin
        of_it = changed.instance == number
        down = of_it & (since >= 0.0) & (since < 2.0)
        warming = of_it & (since >= 2.0) & (since < 2.0 + COLD_SECONDS)
        factor = 1.0 + 3.0 * (1.0 - (since - 2.0) / COLD_SECONDS)
        changed = traces.with_latency(changed, warming, factor)
        changed = traces.with_kind(changed, down, traces.REFUSED, traces.HOP)
        end = float(begin) + 2.0 + COLD_SECONDS
        unwell.append(
            traces.Unwell(int(number), traces.ANY_VM, float(begin), end)
        )
    return changed._replace(unwell=tuple(unwell))


def sheds(
    trace: traces.Trace, generator: numpy.random.Generator
) -> traces.Trace:
    """Shed half of all attempts for 10 s in each 40 s."""
    shedding = (trace.start % 40.0 < 10.0) & (
        generator.random(len(trace.start)) < 0.5
    )
    return traces.with_kind(trace, shedding, traces.SHED, traces.HOP)


def broken_path(
    trace: traces.Trace, generator: numpy.random.Generator
) -> traces.Trace:
    """Break the path of one VM to one instance for 20 s in each minute."""
    broken_vm = numpy.full(len(trace.start), -1)
    unwell = []
    for begin in numpy.arange(20.0, trace.length - 20.0, 60.0).tolist():
        number = int(generator.integers(0, traces.INSTANCES))
        vm = int(generator.integers(0, traces.VMS))
        since = trace.start - begin
        there = trace.instance == number
        broken_vm[there & (since >= 0.0) & (since < 20.0)] = vm
        unwell.append(traces.Unwell(number, vm, begin, begin + 20.0))
    changed = traces.with_stall(trace, trace.vm == broken_vm, trace.length * 2)
    return changed._replace(
        broken_vm=broken_vm,
        finish_elsewhere=trace.finish,
        unwell=tuple(unwell),
    )


def paused_vm(
    trace: traces.Trace, generator: numpy.random.Generator
) -> traces.Trace:
    """Pause one VM every 30 s, for 0.3 to 8 s."""
    changed = trace
    begins = numpy.arange(15.0, trace.length - 15.0, 30.0)
    for vm in range(traces.VMS):
        pauses = [
            traces.Pause(begin, begin + float(generator.uniform(0.3, 8.0)))
            for begin in begins[vm :: traces.VMS].tolist()
        ]
        changed = traces.with_pauses(changed, vm, pauses)
    return changed


def slow_service(
    trace: traces.Trace, generator: numpy.random.Generator
) -> traces.Trace:
    """Slow the whole service down five times for 20 s in each minute."""
    slow = trace.start % 60.0 >= 40.0
    return traces.with_latency(trace, slow, 5.0)


TROUBLES: typing.Final[dict[str, Change]] = {
    "steady": steady,
    "load bursts": load_bursts,
    "cold starts": cold_starts,
    "sheds": sheds,
    "one VM's broken path": broken_path,
    "paused VM": paused_vm,
    "slow service": slow_service,
}
FAULTS: typing.Final[dict[str, Fault]] = {
    "stall": stall,
    "half speed": half_speed,
    "10x slow": ten_times_slow,
    "20 % errors": some_errors,
}
