"""Implements the fixed rules that detection is measured against.

Five errors in a row mark an instance; a sweep every 10 s takes marked ones
out for 30 s times the number of its ejections, at most 10 % of them at once.
"""

from primrosemill.decisions import health_signals
from primrosemill.decisions import outcomes

CONSECUTIVE_ERRORS = 5
SWEEP_INTERVAL = 10.0  # seconds
EJECTION_TIME = 30.0  # seconds
MOST_OUT = 0.1  # share of the instances
BAD_SIGNS = frozenset(
    {
        health_signals.HealthSignal.ERROR,
        health_signals.HealthSignal.UNREACHABLE,
        health_signals.HealthSignal.LATE,
    }
)


class FixedRules:
    """Ejects instances on one VM by fixed rules."""

    def __init__(self, instance_ids: list[str], first_sweep: float) -> None:
        self._errors_by_id = dict.fromkeys(instance_ids, 0)
        self._ejections_by_id = dict.fromkeys(instance_ids, 0)
        self._out_until_by_id: dict[str, float] = {}
        self._attempts: dict[int, str] = {}
        self._next_sweep = first_sweep

    @property
    def out(self) -> frozenset[str]:
        """Return the instances that are out."""
        return frozenset(self._out_until_by_id)

    def record_start(self, instance_id: str, attempt: int, now: float) -> None:
        """Note an attempt."""
        self._attempts[attempt] = instance_id

    def record_outcome(
        self, attempt: int, outcome: outcomes.Outcome, now: float
    ) -> None:
        """Count errors in a row."""
        instance_id = self._attempts.pop(attempt)
        sign = health_signals.classify(outcome)
        if sign in BAD_SIGNS:
            self._errors_by_id[instance_id] += 1
        elif sign is health_signals.HealthSignal.GOOD:
            self._errors_by_id[instance_id] = 0

    def tick(self, now: float) -> None:
        """Sweep when it is time."""
        if now < self._next_sweep:
            return
        self._next_sweep = now + SWEEP_INTERVAL
        for instance_id, until in list(self._out_until_by_id.items()):
            if until <= now:
                del self._out_until_by_id[instance_id]
                self._errors_by_id[instance_id] = 0
        room = max(1, int(MOST_OUT * len(self._errors_by_id)))
        for instance_id, errors in self._errors_by_id.items():
            if errors < CONSECUTIVE_ERRORS:
                continue
            if instance_id in self._out_until_by_id:
                continue
            if len(self._out_until_by_id) >= room:
                return
            self._ejections_by_id[instance_id] += 1
            times = self._ejections_by_id[instance_id]
            self._out_until_by_id[instance_id] = now + EJECTION_TIME * times
