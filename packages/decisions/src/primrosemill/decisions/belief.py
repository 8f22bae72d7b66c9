"""Says how likely the next request at each instance is to succeed.

What an instance does is believed apart from whether this VM reaches it:
peers tell of answers, but their paths are not this VM's. Both follow the
model of :mod:`.spells`; docs/design/belief.md. Times are in seconds.
"""

import enum
import math
import typing

from primrosemill.decisions import spells

# A path fails hardly ever, and once broken it stays so until a link is
# mended or the instance is listed as gone; both take seconds.
PATH_RATES = spells.Rates(0.002, 0.95, 1.0 / 300.0, 1.0 / 4.0)
SLOW_RATIO = 2.5  # times the usual; an average above it counts as a failure
RATIO_WEIGHT = 0.4  # of the latest answer in the average
# A chance below which operators see an instance as doubted, and one below
# which it gets requests only where nothing better is left.
DOUBTED_BELOW = 0.75
AVOIDED_BELOW = 0.4


class Trust(enum.IntEnum):
    """How well an instance is thought of, for the log and operators."""

    TRUSTED = 0
    DOUBTED = 1
    AVOIDED = 2


def trust_of(chance: float) -> Trust:
    """Return the trust that a chance of success stands for."""
    if chance < AVOIDED_BELOW:
        return Trust.AVOIDED
    return Trust.DOUBTED if chance < DOUBTED_BELOW else Trust.TRUSTED


class Change(typing.NamedTuple):
    """The chance of an instance before and after some evidence."""

    instance_id: str
    before: float
    after: float

    @property
    def trust_changed(self) -> bool:
        """Tell whether operators should hear of it."""
        return trust_of(self.before) is not trust_of(self.after)


class _Record:
    """What is believed of one instance, as of some times."""

    __slots__ = (
        "at",
        "failed_at",
        "heard_at",
        "path_at",
        "path_spell",
        "ratio",
        "spell",
    )

    def __init__(self, spell: float, now: float) -> None:
        self.spell = spell
        self.at = now
        self.path_spell = PATH_RATES.usual
        self.path_at = now
        self.failed_at = -math.inf
        self.heard_at = -math.inf
        self.ratio = 1.0


class Belief:
    """What one VM believes of the instances of one service."""

    def __init__(self) -> None:
        self.learner = spells.Learner()
        self._records_by_id: dict[str, _Record] = {}

    def chance(self, instance_id: str, now: float) -> float:
        """Return the probability that a request sent now succeeds."""
        rates = self.learner.rates
        record = self._records_by_id.get(instance_id)
        if record is None:
            return spells.chance(rates.usual, rates)
        spell = spells.later(record.spell, now - record.at, rates)
        found = spells.chance(spell, rates)
        if record.path_spell > PATH_RATES.usual:
            path = spells.later(
                record.path_spell, now - record.path_at, PATH_RATES
            )
            found *= spells.chance(path, PATH_RATES)
        return found

    def trust(self, instance_id: str, now: float) -> Trust:
        """Return how well an instance is thought of."""
        return trust_of(self.chance(instance_id, now))

    def heard_at(self, instance_id: str) -> float:
        """Return when it was last known to have got a request, or -inf."""
        record = self._records_by_id.get(instance_id)
        return -math.inf if record is None else record.heard_at

    def failed_at(self, instance_id: str) -> float:
        """Return when it was last known to fail one, or -inf."""
        record = self._records_by_id.get(instance_id)
        return -math.inf if record is None else record.failed_at

    def failed(self, instance_id: str, now: float) -> Change:
        """Note that a request failed at an instance, here or at a peer."""
        before = self.chance(instance_id, now)
        record = self._record(instance_id, now)
        self._weigh(record, True, now)
        record.failed_at = now
        record.heard_at = now
        return Change(instance_id, before, self.chance(instance_id, now))

    def succeeded(
        self, instance_id: str, started: float, now: float
    ) -> Change:
        """Note a good answer, here or at a peer.

        An instance fails a request when it takes it up, so the answer shows
        how the instance was when the request ``started``. One from before
        the latest evidence shows nothing new.
        """
        before = self.chance(instance_id, now)
        record = self._record(instance_id, started)
        record.heard_at = max(record.heard_at, started)
        if started >= record.at:
            self._weigh(record, False, started)
        return Change(instance_id, before, self.chance(instance_id, now))

    def is_slow(self, instance_id: str, ratio: float, now: float) -> bool:
        """Note how long an answer took; ``ratio`` is to the usual time.

        Returns whether its answers are slow for long enough to count as a
        failure; then the count starts anew.
        """
        record = self._record(instance_id, now)
        record.ratio += RATIO_WEIGHT * (ratio - record.ratio)
        if record.ratio <= SLOW_RATIO:
            return False
        record.ratio = 1.0
        return True

    def no_path(self, instance_id: str, now: float) -> Change:
        """Note that this VM could not reach an instance."""
        before = self.chance(instance_id, now)
        self._weigh_path(self._record(instance_id, now), True, now)
        return Change(instance_id, before, self.chance(instance_id, now))

    def reached(self, instance_id: str, now: float) -> None:
        """Note that this VM got an answer of an instance."""
        record = self._records_by_id.get(instance_id)
        if record is not None and record.path_spell > PATH_RATES.usual:
            self._weigh_path(record, False, now)

    def keep(self, instance_ids: typing.Container[str]) -> None:
        """Forget all instances but these."""
        for instance_id in list(self._records_by_id):
            if instance_id not in instance_ids:
                del self._records_by_id[instance_id]

    def forget(self, instance_id: str) -> None:
        """Forget an instance, as another process has its id now."""
        self._records_by_id.pop(instance_id, None)

    def _weigh(self, record: _Record, failed: bool, at: float) -> None:
        gap = max(0.0, at - record.at)
        before = record.spell
        rates = self.learner.rates
        expected = spells.later(before, gap, rates)
        record.spell = spells.weigh(expected, failed, rates)
        record.at = max(record.at, at)
        self.learner.note(before, record.spell, failed, gap)

    def _weigh_path(self, record: _Record, failed: bool, now: float) -> None:
        gap = now - record.path_at
        expected = spells.later(record.path_spell, gap, PATH_RATES)
        record.path_spell = spells.weigh(expected, failed, PATH_RATES)
        record.path_at = now

    def _record(self, instance_id: str, now: float) -> _Record:
        record = self._records_by_id.get(instance_id)
        if record is None:
            usual = self.learner.rates.usual
            record = self._records_by_id[instance_id] = _Record(usual, now)
        return record
