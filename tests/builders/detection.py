"""Builds detectors, evidence and traffic for tests."""

import hypothesis

from primrosemill.configuration import document as documents
from primrosemill.decisions import detector
from primrosemill.decisions import evidence
from primrosemill.decisions import home_vms
from primrosemill.decisions import outcomes
from primrosemill.decisions import standings
from tests.builders import decisions_routing as routing

DOMAINS = routing.DOMAINS
# A busy machine must not change a verdict, so nothing here is timed.
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
    """Build a service of ``count`` instances that leaves some above floor."""
    floor = {"floor": count * 7 // 10}
    return routing.service(count, **(floor | changes))


def home(number: int) -> home_vms.Vm:
    """Build one home VM; they spread over the failure domains."""
    return home_vms.Vm(f"vm-{number}", DOMAINS[number % len(DOMAINS)])


def report(
    number: int, *entries: evidence.InstanceEvidence
) -> evidence.Report:
    """Build the report of one home VM."""
    sender = home(number)
    return evidence.Report(sender.id, sender.domain, "reservations", entries)


def entry(instance_id: str, **changes) -> evidence.InstanceEvidence:
    """Build the evidence about one instance."""
    built = evidence.InstanceEvidence(
        instance_id, 0.0, 0, standings.State.IN_ROTATION
    )
    return built._replace(**changes)


class Driver:
    """Runs regular traffic through one detector under its own clock."""

    def __init__(
        self, watched: documents.Service, number: int = 0, homes: int = 1
    ) -> None:
        self.now = 100.0
        self.detector = detector.Detector(home(number), watched, self.now)
        self.detector.set_homes(
            [home(each) for each in range(homes)], (), self.now
        )
        self.instance_ids = [each.id for each in watched.instances]
        self._attempts = 0
        self._ends: list[tuple[float, str, outcomes.Outcome]] = []

    def begin(self, instance_id: str) -> str:
        """Start an attempt that nothing ends yet."""
        self._attempts += 1
        attempt_id = f"a{self._attempts}"
        self.detector.record_start(instance_id, attempt_id, self.now)
        return attempt_id

    def attempt(
        self,
        instance_id: str,
        latency: float = 0.05,
        outcome: outcomes.Outcome = GOOD,
    ) -> None:
        """Start an attempt that ends after its latency."""
        attempt_id = self.begin(instance_id)
        self._ends.append((self.now + latency, attempt_id, outcome))

    def run(self, seconds: float, sick=None, each_tick: int = 1) -> None:
        """Tick for a while; ``sick`` maps instances to what they do.

        A value is a latency with an outcome, or None for a stall.
        """
        sick = sick or {}
        for _ in range(round(seconds / detector.TICK_INTERVAL)):
            self._step(sick, each_tick)

    def _step(self, sick, each_tick: int) -> None:
        for instance_id in self.instance_ids:
            if not self.takes_work(instance_id):
                continue
            for number in range(each_tick):
                if instance_id not in sick:
                    self.attempt(instance_id, 0.04 + 0.01 * (number % 3))
                elif sick[instance_id] is None:
                    self.begin(instance_id)
                else:
                    self.attempt(instance_id, *sick[instance_id])
        self.now += detector.TICK_INTERVAL
        self.end_due()
        self.detector.tick(self.now)

    def end_due(self) -> None:
        """Finish the attempts whose time has come."""
        due = sorted(end for end in self._ends if end[0] <= self.now)
        self._ends = [end for end in self._ends if end[0] > self.now]
        for finish, attempt_id, outcome in due:
            self.detector.record_outcome(attempt_id, outcome, finish)

    def takes_work(self, instance_id: str) -> bool:
        """Tell whether ordinary requests go to an instance."""
        return self.detector.standings_by_id[instance_id].share > 0.0

    def state(self, number: int) -> standings.State:
        """Return the state of an instance."""
        return self.detector.standings_by_id[f"res-{number}"].state
