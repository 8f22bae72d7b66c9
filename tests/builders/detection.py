"""Builds detectors, evidence and simulated traffic for tests."""

import hypothesis

from primrosemill.configuration import document as documents
from primrosemill.decisions import detector
from primrosemill.decisions import evidence
from primrosemill.decisions import home_vms
from primrosemill.decisions import outcomes
from primrosemill.decisions import standings
from tests.builders import decisions_routing as routing

DOMAINS = routing.DOMAINS
# Without time limits, so that tests do not fail on a busy machine.
PROPERTIES = {
    "derandomize": True,
    "deadline": None,
    "suppress_health_check": [hypothesis.HealthCheck.too_slow],
}
GOOD = outcomes.Answered(200, 0.0)
ERROR = outcomes.Answered(500, 0.0)
SHED = outcomes.NotRun(outcomes.NotRunReason.SHED)
REFUSED = outcomes.NotRun(outcomes.NotRunReason.CONNECT_REFUSED)
TIMED_OUT = outcomes.Unknown(outcomes.UnknownReason.TIMEOUT)


def service(count: int = 10, **changes) -> documents.Service:
    """Build a service with a floor of 70 % of its instances."""
    floor = {"floor": count * 7 // 10}
    return routing.service(count, **(floor | changes))


def home(number: int) -> home_vms.Vm:
    """Build a home VM, one assigned to the service, in one of the domains."""
    return home_vms.Vm(f"vm-{number}", DOMAINS[number % len(DOMAINS)])


def report(
    number: int, *entries: evidence.InstanceEvidence
) -> evidence.Report:
    """Build the report of one home VM."""
    sender = home(number)
    return evidence.Report(sender.id, sender.domain, "reservations", entries)


def entry(instance_id: str, **changes) -> evidence.InstanceEvidence:
    """Build the evidence about one instance."""
    instance_evidence = evidence.InstanceEvidence(
        instance_id, 0.0, 0, standings.State.IN_ROTATION
    )
    return instance_evidence._replace(**changes)


class Driver:
    """Simulates regular traffic through one detector, with its own clock."""

    def __init__(
        self, service: documents.Service, number: int = 0, home_count: int = 1
    ) -> None:
        self.now = 100.0
        self.detector = detector.Detector(home(number), service, self.now)
        self.detector.set_homes(
            [home(each) for each in range(home_count)], (), self.now
        )
        self.instance_ids = [each.id for each in service.instances]
        self._attempt_count = 0
        self._pending_ends: list[tuple[float, str, outcomes.Outcome]] = []

    def start_attempt(self, instance_id: str) -> str:
        """Start an attempt without an end and return its id."""
        self._attempt_count += 1
        attempt_id = f"a{self._attempt_count}"
        self.detector.record_start(instance_id, attempt_id, self.now)
        return attempt_id

    def attempt(
        self,
        instance_id: str,
        latency: float = 0.05,
        outcome: outcomes.Outcome = GOOD,
    ) -> None:
        """Start an attempt that ends after a latency."""
        attempt_id = self.start_attempt(instance_id)
        self._pending_ends.append((self.now + latency, attempt_id, outcome))

    def run(
        self, seconds: float, faults_by_id=None, requests_per_tick: int = 1
    ) -> None:
        """Simulate requests and ticks for some seconds.

        A value of ``faults_by_id`` is the latency and outcome of a faulty
        instance's requests, or None if it does not answer them.
        """
        faults_by_id = faults_by_id or {}
        for _ in range(round(seconds / detector.TICK_INTERVAL)):
            self._step(faults_by_id, requests_per_tick)

    def _step(self, faults_by_id, requests_per_tick: int) -> None:
        for instance_id in self.instance_ids:
            if not self.gets_requests(instance_id):
                continue
            for number in range(requests_per_tick):
                if instance_id not in faults_by_id:
                    self.attempt(instance_id, 0.04 + 0.01 * (number % 3))
                elif faults_by_id[instance_id] is None:
                    self.start_attempt(instance_id)
                else:
                    self.attempt(instance_id, *faults_by_id[instance_id])
        self.now += detector.TICK_INTERVAL
        self.finish_due_attempts()
        self.detector.tick(self.now)

    def finish_due_attempts(self) -> None:
        """Record the outcomes of the attempts that have ended by now."""
        due_ends = sorted(
            end for end in self._pending_ends if end[0] <= self.now
        )
        self._pending_ends = [
            end for end in self._pending_ends if end[0] > self.now
        ]
        for finish, attempt_id, outcome in due_ends:
            self.detector.record_outcome(attempt_id, outcome, finish)

    def gets_requests(self, instance_id: str) -> bool:
        """Tell whether an instance gets ordinary requests."""
        return self.detector.standings_by_id[instance_id].share > 0.0

    def state(self, number: int) -> standings.State:
        """Return the state of an instance."""
        return self.detector.standings_by_id[f"res-{number}"].state
