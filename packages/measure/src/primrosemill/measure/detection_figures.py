"""Runs traces through detectors and condenses what became of them."""

import math
import typing

import numpy

from primrosemill.decisions import standings
from primrosemill.measure import detection_faults as faults
from primrosemill.measure import detection_runs as runs
from primrosemill.measure import detection_traces as traces

FAULT_RATE = 30.0  # requests a second and instance
FAULT_LENGTH = 60.0  # seconds
ONSET = 10.0  # seconds
FLAP_LENGTH = 300.0  # seconds
TROUBLE_RATE = 10.0  # requests a second and instance
TROUBLE_LENGTH = 600.0  # seconds
SAME_EJECTION = 2.0  # seconds within which VMs eject for one cause
SEED_STRIDE = 1000


class Times(typing.NamedTuple):
    """Seconds from the onset of a fault until an instance is out.

    ``lead`` is when the VM that sends it 85 % of its requests stopped,
    ``fleet`` when every home VM had stopped; infinite if that never came.
    """

    lead: float
    fleet: float


class Flaps(typing.NamedTuple):
    """How an instance that flaps was treated.

    ``first`` is the detection time, ``late_share`` the part of the requests
    of its sick phases that it still got after it was taken out three times,
    ``share`` the same from the beginning.
    """

    first: float
    late_share: float
    share: float


class Mistakes(typing.NamedTuple):
    """Removals of healthy instances: by the fleet, and by one VM alone."""

    ejections: int
    avoidances: int
    hours: float


def watcher(
    weight: float | None, generator: numpy.random.Generator
) -> runs.Detectors | runs.Rules:
    """Return detectors of a weight, or the fixed rules for None."""
    if weight is None:
        return runs.Rules(generator)
    return runs.Detectors(weight)


def time_fault(name: str, weight: float | None, seed: int) -> Times:
    """Return the detection times of one episode of a fault."""
    generator = numpy.random.default_rng(seed)
    onset = ONSET + float(generator.random())
    load = traces.Load(FAULT_RATE, FAULT_LENGTH)
    trace = traces.generate(load, generator)
    sick = faults.sick_after(trace, onset)
    trace = faults.FAULTS[name](trace, sick, generator)
    replay = runs.Replay(trace, watcher(weight, generator))
    replay.run(lambda each: all(each.out_at(faults.SICK)))
    return Times(
        _out_after(replay, onset, lead_only=True),
        _out_after(replay, onset, lead_only=False),
    )


def _out_after(replay: runs.Replay, onset: float, lead_only: bool) -> float:
    """Return when an instance was out, counted from the onset."""
    lead = faults.SICK % traces.VMS
    unused = [False] * traces.VMS
    for change in replay.changes:
        if change.instance != faults.SICK:
            continue
        unused[change.vm] = change.state in runs.UNUSED_STATES
        if change.time < onset:
            continue
        if all(unused) or (lead_only and unused[lead]):
            return change.time - onset
    return math.inf


def follow_flaps(period: float, weight: float | None, seed: int) -> Flaps:
    """Return how one flapping instance was treated."""
    generator = numpy.random.default_rng(seed)
    load = traces.Load(FAULT_RATE, FLAP_LENGTH)
    trace = traces.generate(load, generator)
    healthy = trace
    sick = faults.sick_after(trace, ONSET)
    trace = faults.flapping(trace, sick, ONSET, period)
    run = runs.Replay(trace, watcher(weight, generator)).run()
    outs = _times_out(run.changes)
    in_phase = sick & (trace.finish != healthy.finish)
    made = run.admitted & ~run.trial
    if not outs:
        return Flaps(math.inf, math.nan, _share(made, in_phase))
    first = outs[0] - ONSET
    whole = _share(made, in_phase)
    if len(outs) < 3:
        return Flaps(first, math.nan, whole)
    later = in_phase & (trace.start > outs[2])
    return Flaps(first, _share(made, later), whole)


def _share(made: numpy.ndarray, offered: numpy.ndarray) -> float:
    return float((made & offered).sum() / max(1, offered.sum()))


def _times_out(changes: list[runs.Change]) -> list[float]:
    """Return when a VM took the sick instance out, or a trial failed.

    What several VMs do within a moment is one event.
    """
    outs = []
    out_states = (standings.State.AVOIDED, standings.State.EJECTED)
    state_by_vm: dict[int, standings.State] = {}
    for change in changes:
        if change.instance != faults.SICK or change.time < ONSET:
            continue
        before = state_by_vm.get(change.vm)
        state_by_vm[change.vm] = change.state
        if change.state not in out_states or before in out_states:
            continue
        if not outs or change.time - outs[-1] > SAME_EJECTION:
            outs.append(change.time)
    return outs


def count_mistakes(name: str, weight: float | None, seed: int) -> Mistakes:
    """Count the removals of healthy instances in one harmless trouble."""
    generator = numpy.random.default_rng(seed)
    load = traces.Load(TROUBLE_RATE, TROUBLE_LENGTH)
    trace = traces.generate(load, generator)
    trace = faults.TROUBLES[name](trace, generator)
    run = runs.Replay(trace, watcher(weight, generator)).run()
    ejections = 0
    avoidances = 0
    state_by_place: dict[tuple[int, int], standings.State] = {}
    ejected_by_id: dict[int, float] = {}
    for change in run.changes:
        place = (change.vm, change.instance)
        before = state_by_place.get(place, standings.State.IN_ROTATION)
        state_by_place[place] = change.state
        if _is_unwell(trace, change):
            continue
        if change.state is standings.State.EJECTED:
            if before in (standings.State.EJECTED, standings.State.TRIAL):
                continue
            last = ejected_by_id.get(change.instance, -math.inf)
            ejected_by_id[change.instance] = change.time
            ejections += change.time - last > SAME_EJECTION
        elif change.state is standings.State.AVOIDED:
            avoidances += before not in runs.OUT_STATES
    hours = TROUBLE_LENGTH * traces.INSTANCES / 3600.0
    return Mistakes(ejections, avoidances, hours)


def _is_unwell(trace: traces.Trace, change: runs.Change) -> bool:
    for each in trace.unwell:
        if each.instance != change.instance:
            continue
        if each.vm not in (traces.ANY_VM, change.vm):
            continue
        # What the VM met until the end may take it a moment to judge.
        if each.start <= change.time <= each.end + SAME_EJECTION:
            return True
    return False
