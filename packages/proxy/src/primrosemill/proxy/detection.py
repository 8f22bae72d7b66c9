"""Carries attempts and peers' reports to the detectors, and back standings.

Each service has a detector. What an attempt meets is told as it happens, the
detectors tick some ten times a second, and the exchange between the VMs gets
this VM's reports and gives those of its peers.
"""

import typing

import trio

from primrosemill.configuration import document as documents
from primrosemill.decisions import detector
from primrosemill.decisions import evidence
from primrosemill.decisions import homes as home_vms
from primrosemill.decisions import outcomes
from primrosemill.decisions import standings
from primrosemill.proxy import assignments
from primrosemill.proxy import plugs
from primrosemill.proxy import probes

EXCHANGE_TICKS = 2  # ticks between two looks at the peers' reports
OnStanding = typing.Callable[[str, str, standings.Standing], None]
OnAnswer = typing.Callable[[str, float, float], None]


class Exchange(typing.Protocol):
    """Carries reports between the home VMs."""

    def put_report(self, report: evidence.Report) -> None:
        """Take this VM's newest report on a service."""
        ...

    def reports(self, service: str) -> list[evidence.Report]:
        """Return what the other home VMs report on a service."""
        ...


class Target(typing.NamedTuple):
    """An instance to probe, and at which path."""

    service: str
    instance: documents.Instance
    path: str


class Detection:
    """Runs the detectors of all services of one VM."""

    def __init__(
        self,
        own: home_vms.Vm,
        on_standing: OnStanding,
        on_answer: OnAnswer,
    ) -> None:
        self._own = own
        self._on_standing = on_standing
        self._on_answer = on_answer
        self._detectors_by_service: dict[str, detector.Detector] = {}
        self._document = documents.empty_document("")
        self._tick_count = 0

    def attempt_started(self, start: plugs.AttemptStart) -> None:
        """Note an attempt in flight, whose age is evidence of a stall."""
        watching = self._detectors_by_service.get(start.service)
        if watching is not None:
            watching.started(start.instance_id, _key(start), _now())

    def attempt_answered(self, start: plugs.AttemptStart, status: int) -> None:
        """Note the start of an answer; what follows is the caller's pace."""
        now = _now()
        self._finish(start, outcomes.Answered(status, now - start.started))
        self._on_answer(start.service, now - start.started, now)

    def attempt_ended(self, end: plugs.AttemptEnd) -> None:
        """Note how an attempt ended."""
        start = end.start
        outcome = end.outcome
        answered = isinstance(outcome, outcomes.Answered)
        if end.first_byte is None:
            self._finish(start, outcome)
        elif not answered:
            # The answer broke off: its start was good news, this is not.
            self.attempt_started(start)
            self._finish(start, outcome)
        if end.draining:
            self._see_draining(start)

    def due_trial(self, service: str) -> str | None:
        """Return the instance that an idempotent request should try now."""
        watching = self._detectors_by_service.get(service)
        return None if watching is None else watching.due_trial(_now())

    def set_document(self, document: documents.Document) -> None:
        """Put a new version in force."""
        now = _now()
        self._document = document
        before = self._detectors_by_service
        self._detectors_by_service = {}
        for name, service in document.services_by_name.items():
            watching = before.get(name)
            if watching is None:
                watching = detector.Detector(self._own, service, now)
            else:
                watching.set_service(service, now)
            self._detectors_by_service[name] = watching

    def set_assignment(self, assignment: assignments.Assignment) -> None:
        """Take the home VMs of a service."""
        watching = self._detectors_by_service.get(assignment.service)
        if watching is not None:
            watching.set_homes(assignment.homes, assignment.led, _now())

    def standing(
        self, service: str, instance: documents.Instance
    ) -> standings.Standing:
        """Return what this VM thinks of an instance."""
        watching = self._detectors_by_service.get(service)
        if watching is None:
            return standings.HEALTHY
        return watching.standings_by_id.get(instance.id, standings.HEALTHY)

    async def run(self, exchange: Exchange) -> None:
        """Decide, exchange reports and probe until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                self.tick(exchange)
                for target in self._due_probes():
                    nursery.start_soon(self._probe, target)
                await trio.sleep(detector.TICK_INTERVAL)

    def tick(self, exchange: Exchange) -> None:
        """Decide once, and exchange reports when it is time."""
        now = _now()
        self._tick_count += 1
        exchanging = self._tick_count % EXCHANGE_TICKS == 0
        for name, watching in self._detectors_by_service.items():
            if exchanging:
                for report in exchange.reports(name):
                    watching.heard(report, now)
            changed = watching.tick(now)
            for instance_id, standing in changed.items():
                self._on_standing(name, instance_id, standing)
            if exchanging or changed:
                exchange.put_report(watching.report())

    def _due_probes(self) -> list[Target]:
        """Return what to probe now, with each service's probe path."""
        now = _now()
        targets = []
        for service in self._document.services_by_name.values():
            due = self._detectors_by_service[service.name].due_probes(now)
            if not due:
                continue
            instances_by_id = {each.id: each for each in service.instances}
            for each in due:
                instance = instances_by_id.get(each.instance_id)
                if instance is not None:
                    targets.append(Target(service.name, instance, each.path))
        return targets

    async def _probe(self, target: Target) -> None:
        result = await probes.probe(target.instance, target.path)
        watching = self._detectors_by_service.get(target.service)
        if watching is not None:
            watching.probed(
                target.instance.id, result.healthy, result.draining, _now()
            )

    def _finish(
        self, start: plugs.AttemptStart, outcome: outcomes.Outcome
    ) -> None:
        watching = self._detectors_by_service.get(start.service)
        if watching is not None:
            watching.finished(_key(start), outcome, _now())

    def _see_draining(self, start: plugs.AttemptStart) -> None:
        """Stop new work at once, before the next tick."""
        watching = self._detectors_by_service.get(start.service)
        if watching is None:
            return
        watching.saw_draining(start.instance_id, _now())
        standing = watching.standings_by_id.get(start.instance_id)
        if standing is not None:
            self._on_standing(start.service, start.instance_id, standing)


def _key(start: plugs.AttemptStart) -> int:
    # Two attempts may start at one time with equal fields.
    return id(start)


def _now() -> float:
    return trio.current_time()
