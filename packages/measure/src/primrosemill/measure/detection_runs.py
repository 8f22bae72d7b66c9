"""Replays a trace through the detectors of all home VMs of a service."""

import heapq
import typing

import numpy

from primrosemill.configuration import document as documents
from primrosemill.decisions import detector
from primrosemill.decisions import home_vms
from primrosemill.decisions import outcomes
from primrosemill.decisions import standings
from primrosemill.measure import detection_rules
from primrosemill.measure import detection_traces as traces

DOMAINS = ("ain-sebaa", "hay-riad", "sidi-maarouf")
EXCHANGE_TICKS = 2  # ticks between two reports
MADE, MADE_ELSEWHERE = 1, 2
FLOOR = 14  # of 20 instances
IDS = [f"res-{number}" for number in range(traces.INSTANCES)]
OUTCOMES: dict[int, outcomes.Outcome] = {
    traces.GOOD: outcomes.Answered(200, 0.0),
    traces.ERROR: outcomes.Answered(500, 0.0),
    traces.SHED: outcomes.NotRun(outcomes.NotRunReason.SHED),
    traces.REFUSED: outcomes.NotRun(outcomes.NotRunReason.CONNECT_REFUSED),
    traces.TIMEOUT: outcomes.Unknown(outcomes.UnknownReason.TIMEOUT),
}


class Change(typing.NamedTuple):
    """An instance that went out of or into a VM's rotation.

    ``state`` is the state it changed to.
    """

    time: float
    vm: int
    instance: int
    state: standings.State


class Run(typing.NamedTuple):
    """What became of a trace.

    ``admitted`` marks the attempts that were made, ``trial`` those of them
    that were made to try an instance.
    """

    changes: list[Change]
    admitted: numpy.ndarray
    trial: numpy.ndarray


def service_with(weight: float) -> documents.Service:
    """Return the service of the traces with a detection weight."""
    instances = tuple(
        documents.Instance(name, "127.0.1.1", 9000, DOMAINS[number % 3])
        for number, name in enumerate(IDS)
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
    """Runs one detector on each VM and carries the reports."""

    def __init__(self, weight: float) -> None:
        service = service_with(weight)
        homes = [
            home_vms.Vm(f"vm-{number}", DOMAINS[number % 3])
            for number in range(traces.VMS)
        ]
        self.detectors = [
            detector.Detector(home, service, 0.0) for home in homes
        ]
        self._number_by_id = {name: number for number, name in enumerate(IDS)}
        for vm, each in enumerate(self.detectors):
            each.set_homes(homes, IDS[vm :: traces.VMS], 0.0)

    def started(
        self, vm: int, instance: int, attempt: int, now: float
    ) -> None:
        """Tell the VM's detector."""
        self.detectors[vm].record_start(IDS[instance], attempt, now)

    def finished(self, vm: int, attempt: int, kind: int, now: float) -> None:
        """Tell the VM's detector."""
        self.detectors[vm].record_outcome(attempt, OUTCOMES[kind], now)

    def tick(self, vm: int, now: float) -> list[Change]:
        """Tick one VM."""
        changed = self.detectors[vm].tick(now)
        return [
            Change(now, vm, self._number_by_id[name], standing.state)
            for name, standing in changed.items()
        ]

    def exchange(self, now: float, running: list[int]) -> None:
        """Carry the reports between the VMs that run."""
        for vm in running:
            report = self.detectors[vm].report()
            for other in running:
                if other != vm:
                    self.detectors[other].receive_report(report, now)

    def wants(self, vm: int, now: float) -> int | None:
        """Return the instance that a VM's next request should try."""
        name = self.detectors[vm].next_trial_instance(now)
        return None if name is None else self._number_by_id[name]


class Rules:
    """Runs the fixed rules on each VM."""

    def __init__(self, generator: numpy.random.Generator) -> None:
        phases = generator.random(traces.VMS)
        self._rules = [
            detection_rules.FixedRules(
                IDS, float(phase) * detection_rules.SWEEP_INTERVAL
            )
            for phase in phases
        ]
        self._out: list[frozenset[str]] = [frozenset()] * traces.VMS

    def started(
        self, vm: int, instance: int, attempt: int, now: float
    ) -> None:
        """Tell the VM's rules."""
        self._rules[vm].record_start(IDS[instance], attempt, now)

    def finished(self, vm: int, attempt: int, kind: int, now: float) -> None:
        """Tell the VM's rules."""
        self._rules[vm].record_outcome(attempt, OUTCOMES[kind], now)

    def tick(self, vm: int, now: float) -> list[Change]:
        """Sweep one VM."""
        rules = self._rules[vm]
        rules.tick(now)
        out = rules.out
        before = self._out[vm]
        if out == before:
            return []
        self._out[vm] = out
        changes = []
        for number, name in enumerate(IDS):
            if (name in out) == (name in before):
                continue
            state = standings.State.IN_ROTATION
            if name in out:
                state = standings.State.EJECTED
            changes.append(Change(now, vm, number, state))
        return changes

    def exchange(self, now: float, running: list[int]) -> None:
        """Do nothing; fixed rules share nothing."""

    def wants(self, vm: int, now: float) -> int | None:
        """Return None; fixed rules try nothing."""
        return None


OUT_STATES = frozenset(
    {
        standings.State.AVOIDED,
        standings.State.EJECTED,
        standings.State.TRIAL,
        standings.State.DRAINING,
    }
)
# An instance that is ranked last gets no request while others have a slot.
UNUSED_STATES = OUT_STATES | {standings.State.RANKED_LAST}


class Replay:
    """Replays one trace."""

    def __init__(
        self, trace: traces.Trace, watcher: Detectors | Rules
    ) -> None:
        self._trace = trace
        self._watcher = watcher
        self._out = [[False] * traces.INSTANCES for _ in range(traces.VMS)]
        self._in_flight = [0] * traces.INSTANCES
        self._wanted: dict[int, int] = {}
        self._redirected: list[tuple[float, int]] = []
        self._tick_count = 0
        self.changes: list[Change] = []
        count = len(trace.start)
        self._admitted = bytearray(count)
        self._trial = bytearray(count)
        self._vm = trace.vm.tolist()

    def run(
        self, stop: typing.Callable[["Replay"], bool] | None = None
    ) -> Run:
        """Replay until the end, or until ``stop`` says so after a tick."""
        trace = self._trace
        count = len(trace.start)
        times = numpy.concatenate([trace.start, trace.finish])
        order = numpy.argsort(times, kind="stable")
        ordered = times[order].tolist()
        instances = trace.instance.tolist()
        kinds = trace.kind.tolist()
        vms = self._vm
        next_tick = detector.TICK_INTERVAL
        finished = self._watcher.finished
        in_flight = self._in_flight
        admitted = self._admitted
        redirected = self._redirected
        for event, now in zip(order.tolist(), ordered, strict=True):
            while redirected and redirected[0][0] <= now:
                end, attempt = heapq.heappop(redirected)
                in_flight[instances[attempt]] -= 1
                finished(vms[attempt], attempt, traces.GOOD, end)
            while now >= next_tick:
                self._tick(next_tick)
                if stop is not None and stop(self):
                    return self._result()
                next_tick += detector.TICK_INTERVAL
            if event < count:
                self._start(event, instances[event], now)
                continue
            attempt = event - count
            if admitted[attempt] == MADE:
                in_flight[instances[attempt]] -= 1
                finished(vms[attempt], attempt, kinds[attempt], now)
        return self._result()

    def out_at(self, instance: int) -> list[bool]:
        """Return by VM whether an instance is out."""
        return [out[instance] for out in self._out]

    def _result(self) -> Run:
        return Run(
            self.changes,
            numpy.frombuffer(bytes(self._admitted), dtype=numpy.uint8) > 0,
            numpy.frombuffer(bytes(self._trial), dtype=numpy.uint8) > 0,
        )

    def _start(self, attempt: int, instance: int, now: float) -> None:
        if self._in_flight[instance] >= traces.SLOTS:
            return
        vm = self._vm[attempt]
        made = MADE
        wanting = self._wanted.get(instance)
        if wanting is not None and self._may_try(attempt, wanting):
            del self._wanted[instance]
            made = self._redirect(attempt, wanting)
            vm = self._vm[attempt] = wanting
            self._trial[attempt] = 1
        elif self._out[vm][instance]:
            return
        self._admitted[attempt] = made
        self._in_flight[instance] += 1
        self._watcher.started(vm, instance, attempt, now)

    def _may_try(self, attempt: int, vm: int) -> bool:
        """Tell whether the trace knows what the attempt meets from a VM."""
        broken_vm = self._trace.broken_vm
        if broken_vm is None or self._vm[attempt] == vm:
            return True
        return bool(broken_vm[attempt] != vm)

    def _redirect(self, attempt: int, vm: int) -> int:
        """Let an attempt end as it does from another VM."""
        ends = self._trace.finish_elsewhere
        if ends is None or self._vm[attempt] == vm:
            return MADE
        heapq.heappush(self._redirected, (float(ends[attempt]), attempt))
        return MADE_ELSEWHERE

    def _tick(self, now: float) -> None:
        self._tick_count += 1
        running = []
        for vm in range(traces.VMS):
            if any(p.start <= now < p.end for p in self._trace.pauses[vm]):
                continue
            running.append(vm)
            for change in self._watcher.tick(vm, now):
                self.changes.append(change)
                out = change.state in UNUSED_STATES
                self._out[vm][change.instance] = out
            wanted = self._watcher.wants(vm, now)
            if wanted is not None:
                self._wanted[wanted] = vm
        if self._tick_count % EXCHANGE_TICKS == 0:
            self._watcher.exchange(now, running)
