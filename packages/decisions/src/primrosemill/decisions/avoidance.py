"""Keeps requests off instances that have just failed one.

An instance in a spell of errors fails most of its requests, a well one
hardly any, so a single failure makes a spell more likely than not. The
instance is then avoided for a short time that doubles with each further
failure. After it, one repeatable request at a time tries the instance until
enough answers show that it is well again.
"""

import enum
import math
import typing

FIRST_AVOIDANCE = 1.0  # seconds after a single failure; docs/design/balancing
LONGEST_AVOIDANCE = 5.0  # seconds, so that a recovered instance is used soon
FORGET_TIME = 10.0  # seconds in which the weight of a failure falls by e
SUCCESS_CREDIT = 0.25  # failures that a success makes up for
SLOW_RATIO = 2.5  # times the usual; an average above it counts as a failure
RATIO_WEIGHT = 0.4  # of the latest answer in the average
LEAST_MEMORY = 0.05  # failures; an instance with less is forgotten
# Successes that a trial takes beside one for each failure: an instance that
# fails half of its requests often answers one of them.
TRIALS = 1.0
MOST_TRIALS = 3.0
TRIAL_TIME = 3.0  # seconds after which an instance is trusted untried


class Trust(enum.IntEnum):
    """How willingly an instance is used; lower goes first."""

    TRUSTED = 0
    ON_TRIAL = 1
    LAST = 2  # Suspect, but too many are.
    AVOIDED = 3


class Verdict(typing.NamedTuple):
    """A change of trust: how long it holds, and the failures behind it."""

    instance_id: str
    trust: Trust
    seconds: float
    failures: float


class _Record:
    """What is held against one instance."""

    __slots__ = (
        "failed_at",
        "failures",
        "noted",
        "on_trial",
        "passed",
        "ratio",
        "until",
    )

    def __init__(self, now: float) -> None:
        self.failures = 0.0
        self.failed_at = now
        self.noted = now
        self.until = -math.inf
        self.on_trial = False
        self.passed = 0
        self.ratio = 1.0

    def decay(self, now: float) -> None:
        """Let time take weight off the failures."""
        self.failures *= math.exp((self.noted - now) / FORGET_TIME)
        self.noted = now


class Avoidance:
    """Decides which instances of one service a VM should keep off."""

    def __init__(self) -> None:
        self._records_by_id: dict[str, _Record] = {}

    def trust(self, instance_id: str, now: float) -> Trust:
        """Return how willingly to use an instance now."""
        record = self._records_by_id.get(instance_id)
        if record is None:
            return Trust.TRUSTED
        if now < record.until:
            return Trust.AVOIDED
        if record.on_trial and now < record.until + TRIAL_TIME:
            return Trust.ON_TRIAL
        return Trust.TRUSTED

    def suspects(self, now: float) -> dict[str, Trust]:
        """Return the instances that are not trusted now, and how far."""
        trust_by_id = {}
        for instance_id in self._records_by_id:
            trust = self.trust(instance_id, now)
            if trust is not Trust.TRUSTED:
                trust_by_id[instance_id] = trust
        return trust_by_id

    def failures(self, instance_id: str) -> float:
        """Return the weight of what is held against an instance."""
        record = self._records_by_id.get(instance_id)
        return 0.0 if record is None else record.failures

    def failed(self, instance_id: str, now: float) -> Verdict:
        """Note a failure; returns for how long the instance is avoided."""
        record = self._record(instance_id, now)
        record.decay(now)
        record.failures += 1.0
        seconds = min(
            LONGEST_AVOIDANCE,
            FIRST_AVOIDANCE * 2 ** (max(0.0, record.failures - 1.0)),
        )
        record.until = max(record.until, now + seconds)
        record.failed_at = now
        record.on_trial = True
        record.passed = 0
        return Verdict(instance_id, Trust.AVOIDED, seconds, record.failures)

    def told(
        self, instance_id: str, seconds: float, now: float
    ) -> Verdict | None:
        """Take the word of a peer that avoids an instance.

        It weighs as much as this VM's own first failure, but is not added
        up with others, as several peers may tell of one spell.
        """
        seconds = min(seconds, LONGEST_AVOIDANCE)
        record = self._record(instance_id, now)
        if now + seconds <= record.until:
            return None
        record.decay(now)
        record.failures = max(record.failures, 1.0)
        record.until = now + seconds
        record.failed_at = now
        record.on_trial = True
        record.passed = 0
        return Verdict(instance_id, Trust.AVOIDED, seconds, record.failures)

    def succeeded(
        self,
        instance_id: str,
        ratio: float | None,
        now: float,
        started: float = math.inf,
    ) -> Verdict | None:
        """Note an answer; ``ratio`` is its time over the usual time.

        Only requests that ``started`` after the last failure show that the
        instance is well again. Returns a verdict where the trust in the
        instance changed.
        """
        record = self._records_by_id.get(instance_id)
        if record is None and (ratio is None or ratio < SLOW_RATIO):
            return None
        record = self._record(instance_id, now)
        record.decay(now)
        if ratio is not None:
            record.ratio += RATIO_WEIGHT * (ratio - record.ratio)
        if record.ratio > SLOW_RATIO:
            record.ratio = 1.0
            return self.failed(instance_id, now)
        if record.on_trial and started < record.failed_at:
            return None
        if not record.on_trial:
            record.failures = max(0.0, record.failures - SUCCESS_CREDIT)
            self._forget_if_clean(instance_id, record)
            return None
        record.passed += 1
        if record.passed < min(MOST_TRIALS, TRIALS + record.failures):
            return None
        record.on_trial = False
        record.until = min(record.until, now)
        failures = record.failures
        self._forget_if_clean(instance_id, record)
        return Verdict(instance_id, Trust.TRUSTED, 0.0, failures)

    def keep(self, instance_ids: typing.Container[str]) -> None:
        """Forget all instances but these."""
        for instance_id in list(self._records_by_id):
            if instance_id not in instance_ids:
                del self._records_by_id[instance_id]

    def forget(self, instance_id: str) -> None:
        """Forget an instance, as another process has its id now."""
        self._records_by_id.pop(instance_id, None)

    def _record(self, instance_id: str, now: float) -> _Record:
        record = self._records_by_id.get(instance_id)
        if record is None:
            record = self._records_by_id[instance_id] = _Record(now)
        return record

    def _forget_if_clean(self, instance_id: str, record: _Record) -> None:
        if record.failures < LEAST_MEMORY and record.ratio < SLOW_RATIO / 2:
            del self._records_by_id[instance_id]
