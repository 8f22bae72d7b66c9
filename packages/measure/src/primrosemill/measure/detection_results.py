"""Replays traces through detectors and summarizes the results."""

import math
import typing

import numpy

from primrosemill.decisions import standings
from primrosemill.measure import detection_faults as faults
from primrosemill.measure import detection_replay as runs
from primrosemill.measure import detection_traces as traces

FAULT_RATE = 30.0  # requests a second and instance
FAULT_DURATION = 60.0  # seconds
ONSET = 10.0  # seconds
FLAP_DURATION = 300.0  # seconds
DISTURBANCE_RATE = 10.0  # requests a second and instance
DISTURBANCE_DURATION = 600.0  # seconds
# Removals by several VMs within this window are counted as one event.
SAME_EVENT_WINDOW = 2.0  # seconds
SEED_STRIDE = 1000


class DetectionTimes(typing.NamedTuple):
    """Seconds from the onset of a fault until VMs stop sending requests.

    ``lead`` is the time until the instance's lead has stopped, the VM that
    sends it 85 % of its requests; ``fleet`` the time until every home VM has
    stopped. A time is infinite if that did not happen.
    """

    lead: float
    fleet: float


class FlappingResult(typing.NamedTuple):
    """Detection of a flapping instance and the requests it received.

    ``detection_time`` is in seconds from the onset. ``sick_share`` is the
    share of the requests in its sick phases that it received, and
    ``late_sick_share`` the same after its third removal (NaN with fewer
    removals).
    """

    detection_time: float
    late_sick_share: float
    sick_share: float


class FalseRemovals(typing.NamedTuple):
    """Removals of healthy instances, and the hours that were measured.

    The fleet ejects an instance; a single VM avoids it.
    """

    ejections: int
    avoidances: int
    hours: float


def make_detectors(
    weight: float | None, generator: numpy.random.Generator
) -> runs.Detectors | runs.FixedRuleDetectors:
    """Return detectors with a weight, or the fixed rules for None."""
    if weight is None:
        return runs.FixedRuleDetectors(generator)
    return runs.Detectors(weight)


def time_fault(name: str, weight: float | None, seed: int) -> DetectionTimes:
    """Return the detection times of one episode of a fault."""
    generator = numpy.random.default_rng(seed)
    onset = ONSET + float(generator.random())
    load = traces.Load(FAULT_RATE, FAULT_DURATION)
    trace = traces.generate(load, generator)
    affected = faults.affected_attempts(trace, onset)
    trace = faults.FAULTS[name](trace, affected, generator)
    replay = runs.Replay(trace, make_detectors(weight, generator))
    replay.run(lambda running: all(running.out_by_vm(faults.GRAY_INSTANCE)))
    return DetectionTimes(
        _time_until_out(replay, onset, lead_only=True),
        _time_until_out(replay, onset, lead_only=False),
    )


def _time_until_out(
    replay: runs.Replay, onset: float, lead_only: bool
) -> float:
    """Return the seconds from the onset until the gray instance was out."""
    lead = faults.GRAY_INSTANCE % traces.VMS
    unused_by_vm = [False] * traces.VMS
    for change in replay.changes:
        if change.instance != faults.GRAY_INSTANCE:
            continue
        unused_by_vm[change.vm] = change.state in runs.UNUSED_STATES
        if change.time < onset:
            continue
        if all(unused_by_vm) or (lead_only and unused_by_vm[lead]):
            return change.time - onset
    return math.inf


def measure_flapping(
    period: float, weight: float | None, seed: int
) -> FlappingResult:
    """Replay a trace in which one instance flaps."""
    generator = numpy.random.default_rng(seed)
    load = traces.Load(FAULT_RATE, FLAP_DURATION)
    trace = traces.generate(load, generator)
    healthy = trace
    affected = faults.affected_attempts(trace, ONSET)
    trace = faults.flapping(trace, affected, ONSET, period)
    result = runs.Replay(trace, make_detectors(weight, generator)).run()
    removals = _removal_times(result.changes)
    in_sick_phase = affected & (trace.finish != healthy.finish)
    sent = result.admitted & ~result.trial
    if not removals:
        return FlappingResult(
            math.inf, math.nan, _share_of(sent, in_sick_phase)
        )
    detection_time = removals[0] - ONSET
    sick_share = _share_of(sent, in_sick_phase)
    if len(removals) < 3:
        return FlappingResult(detection_time, math.nan, sick_share)
    late_attempts = in_sick_phase & (trace.start > removals[2])
    return FlappingResult(
        detection_time, _share_of(sent, late_attempts), sick_share
    )


def _share_of(sent: numpy.ndarray, offered: numpy.ndarray) -> float:
    return float((sent & offered).sum() / max(1, offered.sum()))


def _removal_times(changes: list[runs.StateChange]) -> list[float]:
    """Return when VMs removed the gray instance or a trial of it failed.

    Changes on several VMs within SAME_EVENT_WINDOW are one event.
    """
    removals = []
    out_states = (standings.State.AVOIDED, standings.State.EJECTED)
    state_by_vm: dict[int, standings.State] = {}
    for change in changes:
        if change.instance != faults.GRAY_INSTANCE or change.time < ONSET:
            continue
        previous = state_by_vm.get(change.vm)
        state_by_vm[change.vm] = change.state
        if change.state not in out_states or previous in out_states:
            continue
        if not removals or change.time - removals[-1] > SAME_EVENT_WINDOW:
            removals.append(change.time)
    return removals


def count_false_removals(
    name: str, weight: float | None, seed: int
) -> FalseRemovals:
    """Count the removals of healthy instances in one disturbance."""
    generator = numpy.random.default_rng(seed)
    load = traces.Load(DISTURBANCE_RATE, DISTURBANCE_DURATION)
    trace = traces.generate(load, generator)
    trace = faults.DISTURBANCES[name](trace, generator)
    result = runs.Replay(trace, make_detectors(weight, generator)).run()
    ejections = 0
    avoidances = 0
    state_by_vm_and_instance: dict[tuple[int, int], standings.State] = {}
    last_ejection_by_instance: dict[int, float] = {}
    for change in result.changes:
        key = (change.vm, change.instance)
        previous = state_by_vm_and_instance.get(
            key, standings.State.IN_ROTATION
        )
        state_by_vm_and_instance[key] = change.state
        if _is_justified(trace, change):
            continue
        if change.state is standings.State.EJECTED:
            if previous in (standings.State.EJECTED, standings.State.TRIAL):
                continue
            last = last_ejection_by_instance.get(change.instance, -math.inf)
            last_ejection_by_instance[change.instance] = change.time
            ejections += change.time - last > SAME_EVENT_WINDOW
        elif change.state is standings.State.AVOIDED:
            avoidances += previous not in runs.OUT_STATES
    hours = DISTURBANCE_DURATION * traces.INSTANCES / 3600.0
    return FalseRemovals(ejections, avoidances, hours)


def _is_justified(trace: traces.Trace, change: runs.StateChange) -> bool:
    for interval in trace.unhealthy:
        if interval.instance != change.instance:
            continue
        if interval.vm not in (traces.ANY_VM, change.vm):
            continue
        # Detectors may still react shortly after the interval has ended.
        if interval.start <= change.time <= interval.end + SAME_EVENT_WINDOW:
            return True
    return False
