"""Tracks the instances of a service that one VM has out of rotation."""

import typing

from primrosemill.decisions import removal_history
from primrosemill.decisions import standings

# Seconds; later removals are undone when the VM suspects a local fault.
UNDO_WINDOW = 3.0


class Removal(typing.NamedTuple):
    """The removal of an instance from rotation, or a proposal for one.

    ``state`` is AVOIDED or EJECTED; that of a proposal may be TRIAL or
    RANKED_LAST as well. ``score`` is the instance's score at the removal. If
    ``decided_by_owner``, the owner of ejections decides on the return.
    """

    state: standings.State
    score: float
    reason: str
    decided_by_owner: bool = False


class Rotation:
    """Removes instances from rotation and restores them."""

    def __init__(self) -> None:
        self.removals_by_id: dict[str, Removal] = {}
        self._histories_by_id: dict[str, removal_history.RemovalHistory] = {}

    def history(self, instance_id: str) -> removal_history.RemovalHistory:
        """Return the removal history of an instance."""
        return self._histories_by_id.get(
            instance_id, removal_history.NEVER_REMOVED
        )

    def keep_only(self, instance_ids: typing.Collection[str]) -> None:
        """Drop the state of all other instances."""
        for instance_id in list(self._histories_by_id):
            if instance_id not in instance_ids:
                del self._histories_by_id[instance_id]
                self.removals_by_id.pop(instance_id, None)

    def remove(self, instance_id: str, removal: Removal, now: float) -> None:
        """Remove an instance, or update the removal of a removed one."""
        if instance_id not in self.removals_by_id:
            history = removal_history.record_removal(
                self.history(instance_id), now
            )
            self._histories_by_id[instance_id] = history
        self.removals_by_id[instance_id] = removal

    def restore(self, instance_id: str, now: float) -> None:
        """Restore an instance; its share of slots ramps up."""
        del self.removals_by_id[instance_id]
        history = removal_history.record_return(self.history(instance_id), now)
        self._histories_by_id[instance_id] = history

    def restore_in_full(self, instance_id: str, now: float) -> None:
        """Restore an instance at its full share, as the floor requires it."""
        del self.removals_by_id[instance_id]
        history = removal_history.record_full_return(
            self.history(instance_id), now
        )
        self._histories_by_id[instance_id] = history

    def undo_recent_removals(self, now: float) -> tuple[str, ...]:
        """Restore what this VM alone removed in the last ``UNDO_WINDOW``.

        Called while the VM suspects a local fault. Returns the instances.
        """
        restored = []
        for instance_id, removal in list(self.removals_by_id.items()):
            history = self.history(instance_id)
            if (
                removal.decided_by_owner
                or now - history.changed_at > UNDO_WINDOW
            ):
                continue
            if (
                removal.state is not standings.State.AVOIDED
                or history.in_trial
            ):
                continue
            del self.removals_by_id[instance_id]
            self._histories_by_id[instance_id] = removal_history.undo_removal(
                history, now
            )
            restored.append(instance_id)
        return tuple(restored)

    def in_trial(self, instance_id: str) -> bool:
        """Return whether an instance is in its trial."""
        return self.history(instance_id).in_trial

    def begin_trials(self, now: float) -> tuple[str, ...]:
        """Start the trials that are due; return their instances."""
        started = []
        for instance_id, removal in self.removals_by_id.items():
            history = self.history(instance_id)
            if (
                removal.decided_by_owner
                or history.in_trial
                or now < history.trial_not_before
            ):
                continue
            self._histories_by_id[instance_id] = removal_history.begin_trial(
                history, now
            )
            self.removals_by_id[instance_id] = removal._replace(score=0.0)
            started.append(instance_id)
        return tuple(started)

    def record_trial_evidence(self, instance_id: str, ratio: float) -> None:
        """Record the evidence of a trial request, in nats."""
        history = self.history(instance_id)
        self._histories_by_id[instance_id] = (
            removal_history.record_trial_evidence(history, ratio)
        )

    def end_trial(
        self, instance_id: str, age_evidence: float, now: float
    ) -> removal_history.TrialResult | None:
        """End a trial that has passed or failed, and return its result.

        ``age_evidence`` is the evidence of trial requests still in flight,
        in nats. None means that the trial goes on.
        """
        history = self.history(instance_id)
        result = removal_history.trial_result(history, age_evidence, now)
        if result is None:
            return None
        if result.passed:
            self.restore(instance_id, now)
        else:
            updated = removal_history.record_removal(history, now)
            self._histories_by_id[instance_id] = updated
        return result

    def due_trial_request(self, now: float) -> str | None:
        """Return an instance whose next trial request is due, if any."""
        for instance_id in self.removals_by_id:
            history = self.history(instance_id)
            if not history.in_trial or now < history.next_trial_request:
                continue
            next_request = now + removal_history.TRIAL_INTERVAL
            self._histories_by_id[instance_id] = history._replace(
                next_trial_request=next_request
            )
            return instance_id
        return None
