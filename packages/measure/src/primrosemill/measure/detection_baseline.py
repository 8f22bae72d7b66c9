"""Implements the fixed rules that serve as the baseline of detection.

A sweep every 10 s ejects instances with five consecutive errors, each for
30 s multiplied by the number of its ejections. At most 10 % of the instances
are ejected at once.
"""

from primrosemill.decisions import health_signals
from primrosemill.decisions import outcomes

CONSECUTIVE_ERRORS = 5
SWEEP_INTERVAL = 10.0  # seconds
BASE_EJECTION_TIME = 30.0  # seconds
MAX_EJECTED_SHARE = 0.1  # share of the instances
FAILURE_SIGNALS = frozenset(
    {
        health_signals.HealthSignal.ERROR,
        health_signals.HealthSignal.UNREACHABLE,
        health_signals.HealthSignal.LATE,
    }
)


class FixedRules:
    """Fixed ejection rules on one VM."""

    def __init__(self, instance_ids: list[str], first_sweep: float) -> None:
        self._errors_by_id = dict.fromkeys(instance_ids, 0)
        self._ejections_by_id = dict.fromkeys(instance_ids, 0)
        self._ejected_until_by_id: dict[str, float] = {}
        self._instance_id_by_attempt: dict[int, str] = {}
        self._next_sweep = first_sweep

    @property
    def ejected_ids(self) -> frozenset[str]:
        """Return the ids of the ejected instances."""
        return frozenset(self._ejected_until_by_id)

    def record_start(self, instance_id: str, attempt: int, now: float) -> None:
        """Record the instance of an attempt."""
        self._instance_id_by_attempt[attempt] = instance_id

    def record_outcome(
        self, attempt: int, outcome: outcomes.Outcome, now: float
    ) -> None:
        """Update the number of consecutive errors of the instance."""
        instance_id = self._instance_id_by_attempt.pop(attempt)
        signal = health_signals.classify(outcome)
        if signal in FAILURE_SIGNALS:
            self._errors_by_id[instance_id] += 1
        elif signal is health_signals.HealthSignal.GOOD:
            self._errors_by_id[instance_id] = 0

    def tick(self, now: float) -> None:
        """Restore and eject instances if the next sweep is due."""
        if now < self._next_sweep:
            return
        self._next_sweep = now + SWEEP_INTERVAL
        for instance_id, until in list(self._ejected_until_by_id.items()):
            if until <= now:
                del self._ejected_until_by_id[instance_id]
                self._errors_by_id[instance_id] = 0
        max_ejected = max(1, int(MAX_EJECTED_SHARE * len(self._errors_by_id)))
        for instance_id, errors in self._errors_by_id.items():
            if errors < CONSECUTIVE_ERRORS:
                continue
            if instance_id in self._ejected_until_by_id:
                continue
            if len(self._ejected_until_by_id) >= max_ejected:
                return
            self._ejections_by_id[instance_id] += 1
            ejections = self._ejections_by_id[instance_id]
            self._ejected_until_by_id[instance_id] = (
                now + BASE_EJECTION_TIME * ejections
            )
