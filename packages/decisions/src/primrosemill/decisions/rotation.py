"""Keeps the instances of a service that one VM has out of rotation."""

import typing

from primrosemill.decisions import returns
from primrosemill.decisions import standings

DOUBT_WINDOW = 3.0  # seconds; how far back a doubt reaches.


class Case(typing.NamedTuple):
    """An instance that is out, and what took it out.

    ``state`` is AVOIDED or EJECTED, ``score`` what it had when it left.
    ``followed`` tells that the owner of ejections decides on its return.
    """

    state: standings.State
    score: float
    reason: str
    followed: bool = False


class Rotation:
    """Moves instances out of rotation and back."""

    def __init__(self) -> None:
        self.cases_by_id: dict[str, Case] = {}
        self._records_by_id: dict[str, returns.Record] = {}

    def record(self, instance_id: str) -> returns.Record:
        """Return how often and since when an instance was out."""
        return self._records_by_id.get(instance_id, returns.NEVER_OUT)

    def keep(self, instance_ids: typing.Collection[str]) -> None:
        """Forget every other instance."""
        for instance_id in list(self._records_by_id):
            if instance_id not in instance_ids:
                del self._records_by_id[instance_id]
                self.cases_by_id.pop(instance_id, None)

    def take_out(self, instance_id: str, case: Case, now: float) -> None:
        """Take an instance out, or change why it is out."""
        if instance_id not in self.cases_by_id:
            record = returns.leave(self.record(instance_id), now)
            self._records_by_id[instance_id] = record
        self.cases_by_id[instance_id] = case

    def bring_back(self, instance_id: str, now: float) -> None:
        """Put an instance back, at a small share at first."""
        del self.cases_by_id[instance_id]
        record = returns.come_back(self.record(instance_id), now)
        self._records_by_id[instance_id] = record

    def call_back(self, instance_id: str, now: float) -> None:
        """Put an instance back at once and whole; the floor needs it."""
        del self.cases_by_id[instance_id]
        record = returns.call_back(self.record(instance_id), now)
        self._records_by_id[instance_id] = record

    def undo_recent(self, now: float) -> tuple[str, ...]:
        """Put back what this VM alone took out just before it doubted."""
        undone = []
        for instance_id, case in list(self.cases_by_id.items()):
            record = self.record(instance_id)
            if case.followed or now - record.since > DOUBT_WINDOW:
                continue
            if case.state is not standings.State.AVOIDED or record.in_trial:
                continue
            del self.cases_by_id[instance_id]
            self._records_by_id[instance_id] = returns.undo(record, now)
            undone.append(instance_id)
        return tuple(undone)

    def in_trial(self, instance_id: str) -> bool:
        """Tell whether trial requests may go to an instance."""
        return self.record(instance_id).in_trial

    def begin_trials(self, now: float) -> tuple[str, ...]:
        """Start the trials whose time has come; returns the instances."""
        begun = []
        for instance_id, case in self.cases_by_id.items():
            record = self.record(instance_id)
            if case.followed or record.in_trial or now < record.wait_until:
                continue
            self._records_by_id[instance_id] = returns.begin_trial(record, now)
            self.cases_by_id[instance_id] = case._replace(score=0.0)
            begun.append(instance_id)
        return tuple(begun)

    def note_trial(self, instance_id: str, ratio: float) -> None:
        """Take in the evidence of a trial request, in nats."""
        record = self.record(instance_id)
        self._records_by_id[instance_id] = returns.note_trial(record, ratio)

    def settle_trial(
        self, instance_id: str, age_evidence: float, now: float
    ) -> returns.TrialEnd | None:
        """End a trial that is decided, one way or the other."""
        record = self.record(instance_id)
        end = returns.end_of_trial(record, age_evidence, now)
        if end is None:
            return None
        if end.passed:
            self.bring_back(instance_id, now)
        else:
            left = returns.leave(record, now)
            self._records_by_id[instance_id] = left
        return end

    def next_trial(self, now: float) -> str | None:
        """Return an instance whose next trial request is due."""
        for instance_id in self.cases_by_id:
            record = self.record(instance_id)
            if not record.in_trial or now < record.next_trial:
                continue
            next_time = now + returns.TRIAL_INTERVAL
            self._records_by_id[instance_id] = record._replace(
                next_trial=next_time
            )
            return instance_id
        return None
