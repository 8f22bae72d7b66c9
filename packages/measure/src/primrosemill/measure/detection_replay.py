"""Replays a trace through the detectors of all home VMs of a service.

The home VMs of a service are the few entry VMs assigned to it. Each of them is
the lead of some instances and sends those most of their requests.
"""

import heapq
import typing

import numpy

from primrosemill.configuration import document as documents
from primrosemill.decisions import detector
from primrosemill.decisions import home_vms
from primrosemill.decisions import outcomes
from primrosemill.decisions import standings
from primrosemill.measure import detection_baseline
from primrosemill.measure import detection_traces as traces

DOMAINS = ("ain-sebaa", "hay-riad", "sidi-maarouf")
EXCHANGE_TICKS = 2  # ticks between two exchanges of reports
# How an attempt was admitted: by the VM of the trace, or by another VM with
# another finish.
ADMITTED, ADMITTED_REDIRECTED = 1, 2
FLOOR = 14  # instances of 20
INSTANCE_IDS = [f"res-{number}" for number in range(traces.INSTANCES)]
OUTCOMES: dict[int, outcomes.Outcome] = {
    traces.GOOD: outcomes.Answered(200, 0.0),
    traces.ERROR: outcomes.Answered(500, 0.0),
    traces.SHED: outcomes.NotRun(outcomes.NotRunReason.SHED),
    traces.REFUSED: outcomes.NotRun(outcomes.NotRunReason.CONNECT_REFUSED),
    traces.TIMEOUT: outcomes.Unknown(outcomes.UnknownReason.TIMEOUT),
}


class StateChange(typing.NamedTuple):
    """A change of an instance's state on one VM.

    ``state`` is the new state.
    """

    time: float
    vm: int
    instance: int
    state: standings.State


class ReplayResult(typing.NamedTuple):
    """The outcome of a replay.

    ``admitted`` masks the attempts that were sent, ``trial`` those of them
    that were trial requests.
    """

    changes: list[StateChange]
    admitted: numpy.ndarray
    trial: numpy.ndarray


def make_service(weight: float) -> documents.Service:
    """Return the service of the traces with the given detection weight."""
    instances = tuple(
        documents.Instance(name, "127.0.1.1", 9000, DOMAINS[number % 3])
        for number, name in enumerate(INSTANCE_IDS)
    )
    return documents.Service(
        name="reservations",
        revision=1,
        instances=instances,
        routes=(),
        slots=traces.SLOTS,
        connections=300,
        floor=FLOOR,
        detection_weight=weight,
        demand=600.0,
        cold_start=10.0,
        probe_path="/health",
        probe_interval=10.0,
    )


class Detectors:
    """One detector for each VM, with the exchange of their reports."""

    def __init__(self, weight: float) -> None:
        service = make_service(weight)
        home_vm_records = [
            home_vms.Vm(f"vm-{number}", DOMAINS[number % 3])
            for number in range(traces.VMS)
        ]
        self.detectors = [
            detector.Detector(home_vm, service, 0.0)
            for home_vm in home_vm_records
        ]
        self._number_by_id = {
            name: number for number, name in enumerate(INSTANCE_IDS)
        }
        for vm, each in enumerate(self.detectors):
            each.set_homes(
                home_vm_records, INSTANCE_IDS[vm :: traces.VMS], 0.0
            )

    def record_start(
        self, vm: int, instance: int, attempt: int, now: float
    ) -> None:
        """Record the start of an attempt in the VM's detector."""
        self.detectors[vm].record_start(INSTANCE_IDS[instance], attempt, now)

    def record_outcome(
        self, vm: int, attempt: int, outcome_code: int, now: float
    ) -> None:
        """Record the outcome of an attempt in the VM's detector."""
        self.detectors[vm].record_outcome(attempt, OUTCOMES[outcome_code], now)

    def tick(self, vm: int, now: float) -> list[StateChange]:
        """Tick the detector of one VM and return the state changes."""
        changed = self.detectors[vm].tick(now)
        return [
            StateChange(now, vm, self._number_by_id[name], standing.state)
            for name, standing in changed.items()
        ]

    def exchange_reports(self, now: float, running: list[int]) -> None:
        """Deliver the reports of all running VMs to each other."""
        for vm in running:
            report = self.detectors[vm].report()
            for other in running:
                if other != vm:
                    self.detectors[other].receive_report(report, now)

    def next_trial_instance(self, vm: int, now: float) -> int | None:
        """Return the instance that needs a trial request from a VM, if any."""
        name = self.detectors[vm].next_trial_instance(now)
        return None if name is None else self._number_by_id[name]


class FixedRuleDetectors:
    """The fixed rules on each VM, with the interface of Detectors."""

    def __init__(self, generator: numpy.random.Generator) -> None:
        phases = generator.random(traces.VMS)
        self._rules = [
            detection_baseline.FixedRules(
                INSTANCE_IDS, float(phase) * detection_baseline.SWEEP_INTERVAL
            )
            for phase in phases
        ]
        self._ejected_by_vm: list[frozenset[str]] = [frozenset()] * traces.VMS

    def record_start(
        self, vm: int, instance: int, attempt: int, now: float
    ) -> None:
        """Record the start of an attempt in the VM's rules."""
        self._rules[vm].record_start(INSTANCE_IDS[instance], attempt, now)

    def record_outcome(
        self, vm: int, attempt: int, outcome_code: int, now: float
    ) -> None:
        """Record the outcome of an attempt in the VM's rules."""
        self._rules[vm].record_outcome(attempt, OUTCOMES[outcome_code], now)

    def tick(self, vm: int, now: float) -> list[StateChange]:
        """Tick the rules of one VM and return the state changes."""
        rules = self._rules[vm]
        rules.tick(now)
        ejected = rules.ejected_ids
        previous = self._ejected_by_vm[vm]
        if ejected == previous:
            return []
        self._ejected_by_vm[vm] = ejected
        changes = []
        for number, name in enumerate(INSTANCE_IDS):
            if (name in ejected) == (name in previous):
                continue
            state = standings.State.IN_ROTATION
            if name in ejected:
                state = standings.State.EJECTED
            changes.append(StateChange(now, vm, number, state))
        return changes

    def exchange_reports(self, now: float, running: list[int]) -> None:
        """Do nothing; the fixed rules exchange no reports."""

    def next_trial_instance(self, vm: int, now: float) -> int | None:
        """Return None; the fixed rules send no trial requests."""
        return None


OUT_STATES = frozenset(
    {
        standings.State.AVOIDED,
        standings.State.EJECTED,
        standings.State.TRIAL,
        standings.State.DRAINING,
    }
)
# An instance that is ranked last gets no requests while others have a free
# slot.
UNUSED_STATES = OUT_STATES | {standings.State.RANKED_LAST}


class Replay:
    """A replay of one trace."""

    def __init__(
        self, trace: traces.Trace, detectors: Detectors | FixedRuleDetectors
    ) -> None:
        self._trace = trace
        self._detectors = detectors
        self._out_by_vm = [
            [False] * traces.INSTANCES for _ in range(traces.VMS)
        ]
        self._in_flight = [0] * traces.INSTANCES
        self._trial_vm_by_instance: dict[int, int] = {}
        self._redirected_finishes: list[tuple[float, int]] = []
        self._tick_count = 0
        self.changes: list[StateChange] = []
        attempt_count = len(trace.start)
        self._admitted = bytearray(attempt_count)
        self._trial = bytearray(attempt_count)
        self._vm = trace.vm.tolist()

    def run(
        self, should_stop: typing.Callable[["Replay"], bool] | None = None
    ) -> ReplayResult:
        """Replay to the end, or until ``should_stop`` is true after a tick."""
        trace = self._trace
        attempt_count = len(trace.start)
        times = numpy.concatenate([trace.start, trace.finish])
        order = numpy.argsort(times, kind="stable")
        ordered_times = times[order].tolist()
        instances = trace.instance.tolist()
        outcome_codes = trace.outcome_code.tolist()
        vms = self._vm
        next_tick = detector.TICK_INTERVAL
        record_outcome = self._detectors.record_outcome
        in_flight = self._in_flight
        admitted = self._admitted
        redirected_finishes = self._redirected_finishes
        for event, now in zip(order.tolist(), ordered_times, strict=True):
            while redirected_finishes and redirected_finishes[0][0] <= now:
                end, attempt = heapq.heappop(redirected_finishes)
                in_flight[instances[attempt]] -= 1
                record_outcome(vms[attempt], attempt, traces.GOOD, end)
            while now >= next_tick:
                self._tick(next_tick)
                if should_stop is not None and should_stop(self):
                    return self._result()
                next_tick += detector.TICK_INTERVAL
            if event < attempt_count:
                self._start(event, instances[event], now)
                continue
            attempt = event - attempt_count
            if admitted[attempt] == ADMITTED:
                in_flight[instances[attempt]] -= 1
                record_outcome(
                    vms[attempt], attempt, outcome_codes[attempt], now
                )
        return self._result()

    def out_by_vm(self, instance: int) -> list[bool]:
        """Return for each VM whether it sends an instance no requests."""
        return [out[instance] for out in self._out_by_vm]

    def _result(self) -> ReplayResult:
        return ReplayResult(
            self.changes,
            numpy.frombuffer(bytes(self._admitted), dtype=numpy.uint8) > 0,
            numpy.frombuffer(bytes(self._trial), dtype=numpy.uint8) > 0,
        )

    def _start(self, attempt: int, instance: int, now: float) -> None:
        if self._in_flight[instance] >= traces.SLOTS:
            return
        vm = self._vm[attempt]
        admission = ADMITTED
        trial_vm = self._trial_vm_by_instance.get(instance)
        if trial_vm is not None and self._can_redirect(attempt, trial_vm):
            del self._trial_vm_by_instance[instance]
            admission = self._redirect(attempt, trial_vm)
            vm = self._vm[attempt] = trial_vm
            self._trial[attempt] = 1
        elif self._out_by_vm[vm][instance]:
            return
        self._admitted[attempt] = admission
        self._in_flight[instance] += 1
        self._detectors.record_start(vm, instance, attempt, now)

    def _can_redirect(self, attempt: int, vm: int) -> bool:
        """Tell whether the trace has the outcome of an attempt from a VM."""
        broken_path_vm = self._trace.broken_path_vm
        if broken_path_vm is None or self._vm[attempt] == vm:
            return True
        return bool(broken_path_vm[attempt] != vm)

    def _redirect(self, attempt: int, vm: int) -> int:
        """Schedule the finish of an attempt that another VM sends."""
        finishes = self._trace.finish_from_other_vm
        if finishes is None or self._vm[attempt] == vm:
            return ADMITTED
        heapq.heappush(
            self._redirected_finishes, (float(finishes[attempt]), attempt)
        )
        return ADMITTED_REDIRECTED

    def _tick(self, now: float) -> None:
        self._tick_count += 1
        running = []
        for vm in range(traces.VMS):
            if any(
                pause.start <= now < pause.end
                for pause in self._trace.pauses[vm]
            ):
                continue
            running.append(vm)
            for change in self._detectors.tick(vm, now):
                self.changes.append(change)
                out = change.state in UNUSED_STATES
                self._out_by_vm[vm][change.instance] = out
            instance = self._detectors.next_trial_instance(vm, now)
            if instance is not None:
                self._trial_vm_by_instance[instance] = vm
        if self._tick_count % EXCHANGE_TICKS == 0:
            self._detectors.exchange_reports(now, running)
