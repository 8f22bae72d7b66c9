"""Scores the instances of one service by what their attempts met.

Three kinds of evidence add up for each instance: errors, latencies against
the rest of the service, and the ages of attempts still in flight, by which a
stall shows before anything completes. What all instances do together is the
load or the service, so it is subtracted, and a VM to which most instances
look sick doubts itself.
"""

import bisect
import typing

from primrosemill.decisions import ages
from primrosemill.decisions import alive_time
from primrosemill.decisions import latency
from primrosemill.decisions import outcomes
from primrosemill.decisions import records
from primrosemill.decisions import scores
from primrosemill.decisions import signs
from primrosemill.decisions import thresholds

REFRESH_INTERVAL = 1.0  # seconds
FOLDED_AGE_CAP = 6.0  # nats; an attempt's age once it is given up.
WELL = -3.0  # nats; a sequential test accepts an instance's health.
# Latencies come in runs, which a likelihood of independent ones overrates.
LATENCY_WEIGHT = 0.5
DOUBT_SHARE = 0.5
DOUBT_MIN_SICK = 3
# While all latencies rise together, ages may rise as well: how much longer
# they may be for each nat of the common shift beyond its usual noise.
STRETCH_FROM = 0.15  # nats
STRETCH_SLOPE = 3.0
# What the middle instance shows is the service or this VM; more than that is
# taken off, because trouble does not reach all instances at one instant.
COMMON_FACTOR = 1.5
RECENT_KEPT = 0.97  # share of the recent count that a tick keeps.
RECENT_MIN = 1.0  # attempts
WELL_USED = 0.3  # of the recent count of the busiest instance
RECENT_LEAST = 0.01  # attempts


class Ended(typing.NamedTuple):
    """An attempt that is over, as seen by the score; ``age`` in seconds.

    ``ratio`` is the evidence in nats, negative where it speaks for health.
    """

    instance_id: str
    sign: signs.Sign
    age: float
    ratio: float


class _Attempt(typing.NamedTuple):
    record: records.Record
    started: float


class Scoreboard:
    """Keeps the scores of one service's instances on one VM."""

    def __init__(self, limits: thresholds.Thresholds, now: float) -> None:
        self._limits = limits
        self._clock = alive_time.AliveClock(now)
        self._baseline = latency.Baseline()
        self._errors = scores.ErrorBaseline()
        self._latency_shift = scores.CommonShift()
        self._error_shift = scores.CommonShift()
        self._stretch = 1.0
        self._attempts: dict[str, _Attempt] = {}
        self._touched: dict[str, records.Record] = {}
        self._next_refresh = 0.0
        self._cold_start = 0.0
        self._cold_ids: set[str] = set()
        self.records_by_id: dict[str, records.Record] = {}
        self.doubting = False
        self._paused = False

    @property
    def baseline(self) -> latency.Baseline:
        """Return the latencies that the service usually shows."""
        return self._baseline

    def configure(
        self, limits: thresholds.Thresholds, cold_start: float
    ) -> None:
        """Judge by these thresholds; a start counts as cold for a while."""
        self._limits = limits
        self._cold_start = cold_start

    def set_instances(self, instance_ids: typing.Iterable[str]) -> None:
        """Keep the records of these instances and no others."""
        self.records_by_id = {
            each: self.records_by_id.get(each) or records.Record(each)
            for each in instance_ids
        }
        for instance_id in list(self._touched):
            if instance_id not in self.records_by_id:
                del self._touched[instance_id]

    def take_pause(self) -> bool:
        """Tell once that this process had paused."""
        paused = self._paused
        self._paused = False
        return paused

    def scoring(self, least: float) -> list[str]:
        """Return the instances with at least this score."""
        return [
            instance_id
            for instance_id, record in self._touched.items()
            if record.score >= least
        ]

    def cold(self) -> frozenset[str]:
        """Return the instances that started lately."""
        alive = self._clock.time
        self._cold_ids = {
            instance_id
            for instance_id in self._cold_ids & self.records_by_id.keys()
            if self.records_by_id[instance_id].cold_until > alive
        }
        return frozenset(self._cold_ids)

    def warm_up(self, instance_id: str) -> None:
        """Judge an instance as one that starts now."""
        record = self.records_by_id[instance_id]
        record.cold_until = self._clock.time + self._cold_start
        self._cold_ids.add(instance_id)

    def warmth(self, instance_id: str) -> float:
        """Return how far a start has gone, from 0 to 1 when it is over."""
        left = self.records_by_id[instance_id].cold_until - self._clock.time
        if left <= 0.0:
            return 1.0
        return 1.0 - left / self._cold_start

    def is_reachable(self, instance_id: str) -> bool:
        """Tell whether the last connections were not all refused."""
        return self.records_by_id[instance_id].reachable

    def abandon(self, instance_id: str) -> None:
        """Drop what is known of an instance, with its attempts in flight."""
        record = self.records_by_id[instance_id]
        for attempt_id in record.in_flight:
            del self._attempts[attempt_id]
        record.in_flight.clear()
        record.reset()

    def started(self, instance_id: str, attempt_id: str, now: float) -> None:
        """Note an attempt in flight."""
        self._advance(now)
        record = self.records_by_id.get(instance_id)
        if record is None:
            return
        self._touched[instance_id] = record
        started = self._clock.time
        record.in_flight[attempt_id] = started
        self._attempts[attempt_id] = _Attempt(record, started)

    def finished(
        self, attempt_id: str, outcome: outcomes.Outcome, now: float
    ) -> Ended | None:
        """Take in how an attempt ended; None if it was dropped before."""
        self._advance(now)
        attempt = self._attempts.pop(attempt_id, None)
        if attempt is None:
            return None
        record, started = attempt
        del record.in_flight[attempt_id]
        sign = signs.read(outcome)
        age = self._clock.time - started
        ratio = self._weigh(record, sign, age)
        record.health = max(WELL, record.health + ratio)
        return Ended(record.id, sign, age, ratio)

    def failed_probe(self, instance_id: str) -> None:
        """Count a failed probe as one error; a good one says nothing."""
        record = self.records_by_id.get(instance_id)
        if record is None:
            return
        self._touched[instance_id] = record
        record.errors.add(self._errors.error_ratio)

    def tick(self, now: float) -> None:
        """Work out every score at this time."""
        self._advance(now)
        alive = self._clock.time
        self._settle()
        busiest = 0.0
        for record in self._touched.values():
            record.recent *= RECENT_KEPT
            busiest = max(busiest, record.recent)
            record.score = (
                LATENCY_WEIGHT * record.latencies.score
                + record.errors.score
                + self._weigh_ages(record)
            )
        least = max(RECENT_MIN, WELL_USED * busiest)
        self._doubt(
            [
                record.score
                for record in self._touched.values()
                if record.recent >= least
            ]
        )
        self._forget_quiet()
        if alive >= self._next_refresh:
            self._next_refresh = alive + REFRESH_INTERVAL
            self._baseline.refresh(alive)
            self._errors.refresh(alive)

    def restart_opinion(self, instance_id: str) -> None:
        """Form an opinion on an instance anew from now."""
        record = self.records_by_id.get(instance_id)
        if record is not None:
            record.health = 0.0

    def finds_well(self, instance_id: str) -> bool:
        """Tell whether a sequential test accepted the instance's health."""
        record = self.records_by_id[instance_id]
        return record.health <= WELL and record.score < self._limits.clear

    def age_evidence(self, instance_id: str) -> float:
        """Return the evidence of the attempts in flight, in nats."""
        record = self.records_by_id[instance_id]
        return self._weigh_ages(record)

    def _settle(self) -> None:
        records = self._touched.values()
        latencies = [record.latencies for record in records]
        errors = [record.errors for record in records]
        shift = self._latency_shift.take(
            latencies, self._baseline.expected_ratio
        )
        raised = max(0.0, self._latency_shift.level - STRETCH_FROM)
        self._stretch = 1.0 + STRETCH_SLOPE * raised
        error_shift = self._error_shift.take(
            errors, self._errors.expected_ratio
        )
        for record in records:
            record.latencies.settle(shift)
            record.errors.settle(error_shift)

    def _doubt(self, seen: list[float]) -> None:
        """Take off what all instances show, and doubt a general sickness."""
        if len(seen) < DOUBT_MIN_SICK:
            self.doubting = False
            return
        seen.sort()
        sick = len(seen) - bisect.bisect_left(seen, self._limits.support)
        self.doubting = sick >= DOUBT_MIN_SICK and (
            sick > DOUBT_SHARE * len(seen)
        )
        if self.doubting:
            self._baseline.forget()
            for record in self._touched.values():
                record.reset()
            return
        common = COMMON_FACTOR * seen[len(seen) // 2]
        if common <= 0.0:
            return
        for record in self._touched.values():
            record.score = max(0.0, record.score - common)

    def _forget_quiet(self) -> None:
        """Stop working on instances about which there is nothing to say."""
        self._touched = {
            instance_id: record
            for instance_id, record in self._touched.items()
            if record.recent >= RECENT_LEAST
            or record.in_flight
            or record.score > 0.0
        }

    def _advance(self, now: float) -> None:
        if not self._clock.advance(now):
            return
        self._paused = True
        for attempt in self._attempts.values():
            attempt.record.in_flight.clear()
        self._attempts.clear()
        for record in self.records_by_id.values():
            record.reset()

    def _weigh(
        self, record: records.Record, sign: signs.Sign, age: float
    ) -> float:
        if sign is signs.Sign.NONE:
            return 0.0
        record.recent += 1.0
        if sign is not signs.Sign.UNREACHABLE:
            self._note_reached(record)
        healthy = record.score < self._limits.support
        if sign is signs.Sign.GOOD:
            return self._weigh_answer(record, age, healthy)
        if sign is signs.Sign.LATE and self._baseline.known:
            return self._weigh_end(record, age)
        if sign is signs.Sign.ABANDONED:
            return self._weigh_end(record, age)
        if sign is signs.Sign.UNREACHABLE:
            record.refused += 1
        if healthy:
            self._errors.add(error=True)
        record.errors.add(self._errors.error_ratio)
        return self._errors.error_ratio

    def _weigh_end(self, record: records.Record, age: float) -> float:
        """Weigh an attempt given up unanswered, for whatever reason.

        A deadline may be short for reasons of the caller's own, so only the
        age counts and not that there was an end to it.
        """
        ratio = min(FOLDED_AGE_CAP, self._baseline.weigh_age(age))
        record.latencies.add(ratio)
        return ratio

    def _note_reached(self, record: records.Record) -> None:
        if not record.reachable:
            # Nothing listened before, so the instance has just started.
            self.warm_up(record.id)
        record.refused = 0

    def _weigh_answer(
        self, record: records.Record, age: float, healthy: bool
    ) -> float:
        errors = self._errors
        record.last_good = self._clock.time
        record.errors.add(errors.success_ratio)
        if record.cold_until > self._clock.time:
            return errors.success_ratio
        bucket = latency.bucket_of(age)
        ratio = self._baseline.ratios[bucket]
        record.latencies.add(ratio)
        if healthy:
            errors.add(error=False)
            self._baseline.add(bucket)
        return ratio + errors.success_ratio

    def _weigh_ages(self, record: records.Record) -> float:
        return ages.weigh(
            record,
            self._baseline,
            self._limits.act,
            self._stretch,
            self._clock.time,
        )
