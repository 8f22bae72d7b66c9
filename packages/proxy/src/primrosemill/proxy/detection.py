"""Feeds attempts and peers' reports to the detectors of gray failures.

Each service in use has a detector, which turns them into standings of the
instances. Events of an attempt are passed on as they happen, the detectors
tick about ten times a second, and the exchange between the VMs receives this
VM's reports and returns those of its peers.

The home VMs of a service are the VMs that callers should use for it; only they
report on its instances.
"""

import typing

import trio

from primrosemill.configuration import document as documents
from primrosemill.decisions import detector
from primrosemill.decisions import evidence
from primrosemill.decisions import home_vms
from primrosemill.decisions import outcomes
from primrosemill.decisions import standings
from primrosemill.proxy import assignments
from primrosemill.proxy import probes
from primrosemill.proxy import request_policies

IDLE_LIFETIME = 60.0  # seconds for which an unused service stays watched
EXCHANGE_TICKS = 2  # ticks between exchanges of reports with peers
OnStanding = typing.Callable[[str, str, standings.Standing], None]
OnAnswer = typing.Callable[[str, float, float], None]


class Exchange(typing.Protocol):
    """Exchanges reports between the home VMs."""

    def put_report(self, report: evidence.Report) -> None:
        """Set this VM's newest report on a service."""
        ...

    def reports(self, service: str) -> list[evidence.Report]:
        """Return what the other home VMs report on a service."""
        ...

    def is_live(self, vm_id: str) -> bool:
        """Return whether a VM is live in the membership."""
        ...


class ProbeTarget(typing.NamedTuple):
    """An instance to probe, and the path to request."""

    service: str
    instance: documents.Instance
    path: str


class _Watch:
    """The detector of one service, and when this VM last used it."""

    def __init__(
        self, service_detector: detector.Detector, now: float
    ) -> None:
        self.detector = service_detector
        self.is_home = False
        self.in_flight = 0
        self.last_used = now

    def is_idle(self, now: float) -> bool:
        """Return whether the VM has not used the service for a long time."""
        if self.is_home or self.in_flight:
            return False
        return now - self.last_used > IDLE_LIFETIME


class Detection:
    """Runs the detectors of the services that this VM handles.

    A service is watched while this VM is one of its home VMs or has requests
    for it, so the cost grows with the work of the VM and not with the size of
    the configuration.
    """

    def __init__(
        self,
        own_vm: home_vms.Vm,
        on_standing: OnStanding,
        on_answer: OnAnswer,
    ) -> None:
        self._own_vm = own_vm
        self._on_standing = on_standing
        self._on_answer = on_answer
        self._watches_by_service: dict[str, _Watch] = {}
        self._assignments_by_service: dict[str, assignments.Assignment] = {}
        self._document = documents.empty_document("")
        self._tick_count = 0

    @property
    def watched_count(self) -> int:
        """Return the number of watched services."""
        return len(self._watches_by_service)

    def next_trial_instance(self, service: str, now: float) -> str | None:
        """Return the instance that an idempotent request should try now."""
        watch = self._watches_by_service.get(service)
        return (
            None if watch is None else watch.detector.next_trial_instance(now)
        )

    def attempt_started(self, start: request_policies.AttemptStart) -> None:
        """Record an attempt in flight, whose age is evidence of a stall."""
        watch = self._watches_by_service.get(start.service)
        if watch is None:
            if start.service not in self._document.services_by_name:
                return
            watch = self._watch(start.service, _now())
        watch.in_flight += 1
        watch.last_used = start.started
        watch.detector.record_start(start.instance_id, _key(start), _now())

    def attempt_answered(
        self, start: request_policies.AttemptStart, status: int
    ) -> None:
        """Record the start of an answer.

        The rest is left out of the latency, as the caller sets its pace.
        """
        now = _now()
        self._finish_attempt(
            start, outcomes.Answered(status, now - start.started)
        )
        self._on_answer(start.service, now - start.started, now)

    def limit_read(self, reading: request_policies.LimitReading) -> None:
        """Ignore the limit: the project's own headers name none."""

    def attempt_ended(self, end: request_policies.AttemptEnd) -> None:
        """Record how an attempt ended."""
        start = end.start
        watch = self._watches_by_service.get(start.service)
        if watch is None:
            return
        watch.in_flight = max(0, watch.in_flight - 1)
        now = _now()
        answered = isinstance(end.outcome, outcomes.Answered)
        if end.first_byte is None:
            watch.detector.record_outcome(_key(start), end.outcome, now)
        elif not answered:
            # The answer broke off: count a failure after the good start.
            watch.detector.record_start(start.instance_id, _key(start), now)
            watch.detector.record_outcome(_key(start), end.outcome, now)
        if end.draining:
            self._apply_drain_sign(start, watch.detector)

    def set_document(self, document: documents.Document) -> None:
        """Apply a new version of the configuration."""
        now = _now()
        before = self._document
        self._document = document
        for name, watch in list(self._watches_by_service.items()):
            service = document.services_by_name.get(name)
            if service is None:
                del self._watches_by_service[name]
            elif service is not before.services_by_name.get(name):
                watch.detector.set_service(service, now)

    def set_assignment(self, assignment: assignments.Assignment) -> None:
        """Set the home VMs of a service; watch it if this VM is one."""
        name = assignment.service
        self._assignments_by_service[name] = assignment
        watch = self._watches_by_service.get(name)
        if watch is not None:
            self._assign(watch, assignment)
        elif self._own_vm in assignment.homes:
            self._watch(name, _now())

    def standing(
        self, service: str, instance: documents.Instance
    ) -> standings.Standing:
        """Return the standing of an instance in the view of this VM."""
        watch = self._watches_by_service.get(service)
        if watch is not None:
            known = watch.detector.standings_by_id.get(instance.id)
            return known or standings.HEALTHY
        if instance.leaving:
            return standings.Standing(standings.State.DRAINING)
        return standings.HEALTHY

    async def run(self, exchange: Exchange) -> None:
        """Tick the detectors and probe instances until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                self.tick(exchange)
                for target in self._due_probes():
                    nursery.start_soon(self._probe, target)
                await trio.sleep(detector.TICK_INTERVAL)

    def tick(self, exchange: Exchange) -> None:
        """Tick each detector once, and exchange reports if they are due."""
        now = _now()
        self._tick_count += 1
        exchanging = self._tick_count % EXCHANGE_TICKS == 0
        for name, watch in list(self._watches_by_service.items()):
            if watch.is_idle(now):
                self._forget(name, watch)
                continue
            service_detector = watch.detector
            if exchanging:
                for report in self._reports(name, exchange):
                    service_detector.receive_report(report, now)
            changed_by_id = service_detector.tick(now)
            for instance_id, standing in changed_by_id.items():
                self._on_standing(name, instance_id, standing)
            if watch.is_home and (exchanging or changed_by_id):
                exchange.put_report(service_detector.report())

    def _watch(self, name: str, now: float) -> _Watch:
        service = self._document.services_by_name[name]
        service_detector = detector.Detector(self._own_vm, service, now)
        watch = self._watches_by_service[name] = _Watch(service_detector, now)
        assignment = self._assignments_by_service.get(name)
        if assignment is not None:
            self._assign(watch, assignment)
        return watch

    def _assign(
        self, watch: _Watch, assignment: assignments.Assignment
    ) -> None:
        watch.is_home = self._own_vm in assignment.homes
        watch.detector.set_homes(assignment.homes, assignment.led_ids, _now())

    def _forget(self, name: str, watch: _Watch) -> None:
        """Stop watching a service and reset its instances to healthy."""
        del self._watches_by_service[name]
        for instance_id, standing in watch.detector.standings_by_id.items():
            if standing != standings.HEALTHY:
                self._on_standing(name, instance_id, standings.HEALTHY)

    def _reports(
        self, service: str, exchange: Exchange
    ) -> list[evidence.Report]:
        """Return the reports of all live home VMs.

        An empty report stands for a live VM that sent none: it has nothing to
        report.
        """
        reports = exchange.reports(service)
        reporting_ids = {report.vm_id for report in reports}
        assignment = self._assignments_by_service.get(service)
        for home in assignment.homes if assignment is not None else ():
            if home.id in reporting_ids or home.id == self._own_vm.id:
                continue
            if exchange.is_live(home.id):
                reports.append(
                    evidence.Report(home.id, home.domain, service, ())
                )
        return reports

    def _due_probes(self) -> list[ProbeTarget]:
        """Return the instances to probe now, with their probe paths."""
        now = _now()
        targets = []
        for name, watch in self._watches_by_service.items():
            due = watch.detector.due_probes(now)
            if not due:
                continue
            service = self._document.services_by_name[name]
            instances_by_id = {each.id: each for each in service.instances}
            for each in due:
                instance = instances_by_id.get(each.instance_id)
                if instance is not None:
                    targets.append(ProbeTarget(name, instance, each.path))
        return targets

    async def _probe(self, target: ProbeTarget) -> None:
        result = await probes.probe(target.instance, target.path)
        watch = self._watches_by_service.get(target.service)
        if watch is not None:
            watch.detector.record_probe(
                target.instance.id, result.healthy, result.draining, _now()
            )

    def _finish_attempt(
        self, start: request_policies.AttemptStart, outcome: outcomes.Outcome
    ) -> None:
        watch = self._watches_by_service.get(start.service)
        if watch is not None:
            watch.detector.record_outcome(_key(start), outcome, _now())

    def _apply_drain_sign(
        self,
        start: request_policies.AttemptStart,
        service_detector: detector.Detector,
    ) -> None:
        """Stop sending requests at once, without waiting for the tick."""
        service_detector.record_draining(start.instance_id, _now())
        standing = service_detector.standings_by_id.get(start.instance_id)
        if standing is not None:
            self._on_standing(start.service, start.instance_id, standing)


def _key(start: request_policies.AttemptStart) -> int:
    # Two attempts may start at the same time with equal fields.
    return id(start)


def _now() -> float:
    return trio.current_time()
