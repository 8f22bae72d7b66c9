"""Defines the faults and harmless disturbances that modify a trace."""

import typing

import numpy

from primrosemill.measure import detection_traces as traces

FLAP_PERIODS = (0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 20.0)  # seconds, of flapping
# The instance that turns gray in the traces of faults.
GRAY_INSTANCE = 4
WARM_UP_SECONDS = 10.0
Fault = typing.Callable[
    [traces.Trace, numpy.ndarray, numpy.random.Generator], traces.Trace
]
Disturbance = typing.Callable[
    [traces.Trace, numpy.random.Generator], traces.Trace
]


def affected_attempts(trace: traces.Trace, onset: float) -> numpy.ndarray:
    """Return a mask of the attempts at the gray instance from the onset on."""
    return (trace.instance == GRAY_INSTANCE) & (trace.start >= onset)


def stall(
    trace: traces.Trace,
    affected: numpy.ndarray,
    generator: numpy.random.Generator,
) -> traces.Trace:
    """Leave all affected requests without an answer."""
    return traces.with_stall(trace, affected, trace.duration * 2)


def half_speed(
    trace: traces.Trace,
    affected: numpy.ndarray,
    generator: numpy.random.Generator,
) -> traces.Trace:
    """Double the latency."""
    return traces.with_latency(trace, affected, 2.0)


def ten_times_slow(
    trace: traces.Trace,
    affected: numpy.ndarray,
    generator: numpy.random.Generator,
) -> traces.Trace:
    """Multiply the latency by ten."""
    return traces.with_latency(trace, affected, 10.0)


def some_errors(
    trace: traces.Trace,
    affected: numpy.ndarray,
    generator: numpy.random.Generator,
) -> traces.Trace:
    """Answer a fifth of the affected requests with an error."""
    failing = affected & (generator.random(len(affected)) < 0.2)
    return traces.with_outcome(
        trace, failing, traces.ERROR, traces.HOP_LATENCY
    )


def flapping(
    trace: traces.Trace, affected: numpy.ndarray, onset: float, period: float
) -> traces.Trace:
    """Multiply the latency by ten in the first half of each period."""
    phase = (trace.start - onset) % period
    return traces.with_latency(trace, affected & (phase < period / 2), 10.0)


def steady(
    trace: traces.Trace, generator: numpy.random.Generator
) -> traces.Trace:
    """Return the trace unchanged."""
    return trace


def load_bursts(
    trace: traces.Trace, generator: numpy.random.Generator
) -> traces.Trace:
    """Triple all latencies for 5 s in every 30 s."""
    burst = trace.start % 30.0 < 5.0
    return traces.with_latency(trace, burst, 3.0)


def cold_starts(
    trace: traces.Trace, generator: numpy.random.Generator
) -> traces.Trace:
    """Restart one instance every minute: down for 2 s, then warming up.

    A cold instance starts at four times its latency and returns to normal
    linearly over 10 s.
    """
    changed = trace
    unhealthy = []
    for start in numpy.arange(30.0, trace.duration - 20.0, 60.0):
        instance = generator.integers(0, traces.INSTANCES)
        since = changed.start - start
        at_instance = changed.instance == instance
        down = at_instance & (since >= 0.0) & (since < 2.0)
        warming = (
            at_instance & (since >= 2.0) & (since < 2.0 + WARM_UP_SECONDS)
        )
        factor = 1.0 + 3.0 * (1.0 - (since - 2.0) / WARM_UP_SECONDS)
        changed = traces.with_latency(changed, warming, factor)
        changed = traces.with_outcome(
            changed, down, traces.REFUSED, traces.HOP_LATENCY
        )
        end = float(start) + 2.0 + WARM_UP_SECONDS
        unhealthy.append(
            traces.UnhealthyInterval(
                int(instance), traces.ANY_VM, float(start), end
            )
        )
    return changed._replace(unhealthy=tuple(unhealthy))


def shed_requests(
    trace: traces.Trace, generator: numpy.random.Generator
) -> traces.Trace:
    """Shed half of all attempts for 10 s in every 40 s."""
    shedding = (trace.start % 40.0 < 10.0) & (
        generator.random(len(trace.start)) < 0.5
    )
    return traces.with_outcome(
        trace, shedding, traces.SHED, traces.HOP_LATENCY
    )


def broken_path(
    trace: traces.Trace, generator: numpy.random.Generator
) -> traces.Trace:
    """Break the path from one VM to one instance for 20 s every minute."""
    broken_path_vm = numpy.full(len(trace.start), -1)
    unhealthy = []
    for start in numpy.arange(20.0, trace.duration - 20.0, 60.0).tolist():
        instance = int(generator.integers(0, traces.INSTANCES))
        vm = int(generator.integers(0, traces.VMS))
        since = trace.start - start
        at_instance = trace.instance == instance
        broken_path_vm[at_instance & (since >= 0.0) & (since < 20.0)] = vm
        unhealthy.append(
            traces.UnhealthyInterval(instance, vm, start, start + 20.0)
        )
    changed = traces.with_stall(
        trace, trace.vm == broken_path_vm, trace.duration * 2
    )
    return changed._replace(
        broken_path_vm=broken_path_vm,
        finish_from_other_vm=trace.finish,
        unhealthy=tuple(unhealthy),
    )


def paused_vm(
    trace: traces.Trace, generator: numpy.random.Generator
) -> traces.Trace:
    """Pause one VM every 30 s, for 0.3 to 8 s."""
    changed = trace
    starts = numpy.arange(15.0, trace.duration - 15.0, 30.0)
    for vm in range(traces.VMS):
        pauses = [
            traces.Pause(start, start + float(generator.uniform(0.3, 8.0)))
            for start in starts[vm :: traces.VMS].tolist()
        ]
        changed = traces.with_pauses(changed, vm, pauses)
    return changed


def slow_service(
    trace: traces.Trace, generator: numpy.random.Generator
) -> traces.Trace:
    """Multiply the latency of all instances by five for 20 s every minute."""
    slow = trace.start % 60.0 >= 40.0
    return traces.with_latency(trace, slow, 5.0)


DISTURBANCES: typing.Final[dict[str, Disturbance]] = {
    "steady": steady,
    "load bursts": load_bursts,
    "cold starts": cold_starts,
    "sheds": shed_requests,
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
