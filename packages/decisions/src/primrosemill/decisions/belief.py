"""Estimates of how likely the next request at each instance is to succeed.

The health of an instance is estimated separately from this VM's network path
to it: peers report how their requests ended, but they use other paths. Both
estimates follow the model of :mod:`.spells`. See docs/design/belief.md. Times
are in seconds.
"""

import enum
import math
import typing

from primrosemill.decisions import spells

# A path rarely fails, and once broken it stays so until the link is repaired
# or the instance is listed as gone; both take seconds.
PATH_RATES = spells.Rates(0.002, 0.95, 1.0 / 300.0, 1.0 / 4.0)
# An average response time above this multiple of the mean counts as a failure.
SLOW_RATIO = 2.5
RATIO_WEIGHT = 0.4  # of the latest answer in the average ratio
# Below this chance of success an instance is reported as doubted.
DOUBTED_BELOW = 0.75
# Below this chance it is reported as avoided: it gets requests only if nothing
# better is left.
AVOIDED_BELOW = 0.4


class Trust(enum.IntEnum):
    """A coarse level of an instance's chance, for the log and operators."""

    TRUSTED = 0
    DOUBTED = 1
    AVOIDED = 2


def trust_of(chance: float) -> Trust:
    """Return the trust level of a chance of success."""
    if chance < AVOIDED_BELOW:
        return Trust.AVOIDED
    return Trust.DOUBTED if chance < DOUBTED_BELOW else Trust.TRUSTED


class Change(typing.NamedTuple):
    """An instance's chance of success before and after new evidence."""

    instance_id: str
    before: float
    after: float

    @property
    def trust_changed(self) -> bool:
        """Return whether the trust level changed, which is reported."""
        return trust_of(self.before) is not trust_of(self.after)


class _Record:
    """The estimates of one instance and the times that they refer to."""

    __slots__ = (
        "updated_at",
        "last_failed_at",
        "last_used_at",
        "path_updated_at",
        "path_fault_probability",
        "time_ratio",
        "spell_probability",
    )

    def __init__(self, spell_probability: float, now: float) -> None:
        self.spell_probability = spell_probability
        self.updated_at = now
        self.path_fault_probability = PATH_RATES.stationary
        self.path_updated_at = now
        self.last_failed_at = -math.inf
        self.last_used_at = -math.inf
        self.time_ratio = 1.0


def _path_chance(record: _Record, now: float) -> float:
    path_fault_probability = spells.predict(
        record.path_fault_probability,
        now - record.path_updated_at,
        PATH_RATES,
    )
    return spells.chance(path_fault_probability, PATH_RATES)


class Belief:
    """One VM's estimates of the health of a service's instances."""

    def __init__(self) -> None:
        self.learner = spells.Learner()
        self._records_by_id: dict[str, _Record] = {}

    def chance(self, instance_id: str, now: float) -> float:
        """Return the probability that a request sent now succeeds."""
        rates = self.learner.rates
        record = self._records_by_id.get(instance_id)
        if record is None:
            return spells.chance(rates.stationary, rates)
        spell_probability = spells.predict(
            record.spell_probability, now - record.updated_at, rates
        )
        success = spells.chance(spell_probability, rates)
        if record.path_fault_probability > PATH_RATES.stationary:
            success *= _path_chance(record, now)
        return success

    def path_chance(self, instance_id: str, now: float) -> float:
        """Return the probability that this VM reaches an instance now."""
        record = self._records_by_id.get(instance_id)
        if record is None:
            return spells.chance(PATH_RATES.stationary, PATH_RATES)
        return _path_chance(record, now)

    def trust(self, instance_id: str, now: float) -> Trust:
        """Return the current trust level of an instance."""
        return trust_of(self.chance(instance_id, now))

    def last_used_at(self, instance_id: str) -> float:
        """Return when any VM is known to have last used it, or -inf."""
        record = self._records_by_id.get(instance_id)
        return -math.inf if record is None else record.last_used_at

    def last_failed_at(self, instance_id: str) -> float:
        """Return when it is known to have last failed a request, or -inf."""
        record = self._records_by_id.get(instance_id)
        return -math.inf if record is None else record.last_failed_at

    def record_failure(self, instance_id: str, now: float) -> Change:
        """Record that a request of this VM or a peer failed."""
        before = self.chance(instance_id, now)
        record = self._record(instance_id, now)
        self._update(record, True, now)
        record.last_failed_at = now
        record.last_used_at = now
        return Change(instance_id, before, self.chance(instance_id, now))

    def record_success(
        self, instance_id: str, started: float, now: float
    ) -> Change:
        """Record a good answer to a request of this VM or a peer.

        Whether a request fails is decided when the instance accepts it, so
        the answer is evidence for the time at which the request ``started``.
        It is ignored if that precedes the latest evidence.
        """
        before = self.chance(instance_id, now)
        record = self._record(instance_id, started)
        record.last_used_at = max(record.last_used_at, started)
        if started >= record.updated_at:
            self._update(record, False, started)
        return Change(instance_id, before, self.chance(instance_id, now))

    def record_time_ratio(
        self, instance_id: str, ratio: float, now: float
    ) -> bool:
        """Record the ratio of a response time to the mean.

        Returns whether the average ratio is high enough to count as a
        failure; if so, the average is reset.
        """
        record = self._record(instance_id, now)
        record.time_ratio += RATIO_WEIGHT * (ratio - record.time_ratio)
        if record.time_ratio <= SLOW_RATIO:
            return False
        record.time_ratio = 1.0
        return True

    def record_unreachable(self, instance_id: str, now: float) -> Change:
        """Record that this VM could not reach an instance."""
        before = self.chance(instance_id, now)
        self._update_path(self._record(instance_id, now), True, now)
        return Change(instance_id, before, self.chance(instance_id, now))

    def record_reached(self, instance_id: str, now: float) -> None:
        """Record that this VM got an answer from an instance."""
        record = self._records_by_id.get(instance_id)
        if (
            record is not None
            and record.path_fault_probability > PATH_RATES.stationary
        ):
            self._update_path(record, False, now)

    def retain(self, instance_ids: typing.Container[str]) -> None:
        """Drop the estimates of all other instances."""
        for instance_id in list(self._records_by_id):
            if instance_id not in instance_ids:
                del self._records_by_id[instance_id]

    def forget(self, instance_id: str) -> None:
        """Drop the estimates of an instance whose id has a new process."""
        self._records_by_id.pop(instance_id, None)

    def _update(self, record: _Record, failed: bool, at: float) -> None:
        gap = max(0.0, at - record.updated_at)
        before = record.spell_probability
        rates = self.learner.rates
        predicted = spells.predict(before, gap, rates)
        record.spell_probability = spells.update(predicted, failed, rates)
        record.updated_at = max(record.updated_at, at)
        self.learner.learn(before, record.spell_probability, failed, gap)

    def _update_path(self, record: _Record, failed: bool, now: float) -> None:
        gap = now - record.path_updated_at
        predicted = spells.predict(
            record.path_fault_probability, gap, PATH_RATES
        )
        record.path_fault_probability = spells.update(
            predicted, failed, PATH_RATES
        )
        record.path_updated_at = now

    def _record(self, instance_id: str, now: float) -> _Record:
        record = self._records_by_id.get(instance_id)
        if record is None:
            stationary = self.learner.rates.stationary
            record = self._records_by_id[instance_id] = _Record(
                stationary, now
            )
        return record
