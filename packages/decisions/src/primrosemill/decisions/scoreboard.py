"""Scores the instances of one service by the outcomes of their attempts.

Three kinds of evidence add up for each instance: errors, latencies compared
with the rest of the service, and the ages of attempts in flight, which show
a stall before any attempt ends. A change that all instances have in common
is due to load or to the service as a whole, so it is subtracted. If most
instances look sick, the VM suspects a fault of its own.
"""

import bisect
import typing

from primrosemill.decisions import age_evidence
from primrosemill.decisions import cumulative_scores
from primrosemill.decisions import health_signals
from primrosemill.decisions import instance_records
from primrosemill.decisions import latency
from primrosemill.decisions import outcomes
from primrosemill.decisions import running_clock
from primrosemill.decisions import thresholds

REFRESH_INTERVAL = 1.0  # seconds
# Nats; the limit of the evidence of an attempt that ended without an answer.
MAX_UNANSWERED_EVIDENCE = 6.0
# Nats at which the sequential test accepts that an instance is healthy.
HEALTH_ACCEPTED_AT = -3.0
# Successive latencies are correlated, and likelihood ratios that are summed
# as if they were independent overrate them.
LATENCY_WEIGHT = 0.5
# A VM suspects a local fault if more than this share of the instances that it
# uses, and at least this many, look sick to it.
LOCAL_FAULT_SHARE = 0.5
LOCAL_FAULT_MIN_SICK = 3
# While all latencies rise together, the ages of attempts may rise as well: the
# factor, usually 1, grows by the slope for each nat of the common shift above
# its usual noise.
SLOWDOWN_MIN_SHIFT = 0.15  # nats
SLOWDOWN_SLOPE = 3.0  # per nat
# The median score is attributed to the service or to this VM. More than that
# is subtracted, as a disturbance doesn't reach all instances at once.
COMMON_SCORE_FACTOR = 1.5
RECENT_RETAINED_PER_TICK = 0.97  # share of the count of recent attempts
# Recent attempts that an instance needs, so that its score counts for the
# common score and for a local fault.
MIN_RECENT_ATTEMPTS = 1.0
MIN_SHARE_OF_BUSIEST = 0.3  # of the recent attempts at the busiest instance
# Recent attempts below which an instance without attempts in flight and with
# a score of 0 is skipped until its next attempt.
ACTIVE_RECENT_ATTEMPTS = 0.01


class AttemptResult(typing.NamedTuple):
    """The evidence of an attempt that ended; ``age`` is in seconds.

    ``ratio`` is the log likelihood ratio in nats, negative if the instance
    looks healthy.
    """

    instance_id: str
    signal: health_signals.HealthSignal
    age: float
    ratio: float


class _Attempt(typing.NamedTuple):
    record: instance_records.InstanceRecord
    started_at: float


class Scoreboard:
    """Keeps the scores of one service's instances on one VM."""

    def __init__(
        self, score_thresholds: thresholds.Thresholds, now: float
    ) -> None:
        self._thresholds = score_thresholds
        self._clock = running_clock.RunningClock(now)
        self._baseline = latency.Baseline()
        self._errors = cumulative_scores.ErrorBaseline()
        self._latency_shift = cumulative_scores.CommonShift()
        self._error_shift = cumulative_scores.CommonShift()
        self._slowdown = 1.0
        self._attempts: dict[str, _Attempt] = {}
        self._active_by_id: dict[str, instance_records.InstanceRecord] = {}
        self._next_refresh = 0.0
        self._cold_start = 0.0
        self._cold_ids: set[str] = set()
        self.records_by_id: dict[str, instance_records.InstanceRecord] = {}
        self.suspects_local_fault = False
        self._pause_pending = False

    @property
    def baseline(self) -> latency.Baseline:
        """Return the baseline of the service's latencies."""
        return self._baseline

    def configure(
        self, score_thresholds: thresholds.Thresholds, cold_start: float
    ) -> None:
        """Set the thresholds and the seconds for which a start is cold."""
        self._thresholds = score_thresholds
        self._cold_start = cold_start

    def set_instances(self, instance_ids: typing.Iterable[str]) -> None:
        """Set the instances; drop the records of all others."""
        self.records_by_id = {
            each: self.records_by_id.get(each)
            or instance_records.InstanceRecord(each)
            for each in instance_ids
        }
        for instance_id in list(self._active_by_id):
            if instance_id not in self.records_by_id:
                del self._active_by_id[instance_id]

    def consume_pause(self) -> bool:
        """Return whether this process paused since the last call."""
        paused = self._pause_pending
        self._pause_pending = False
        return paused

    def ids_with_score(self, min_score: float) -> list[str]:
        """Return the instances with at least this score."""
        return [
            instance_id
            for instance_id, record in self._active_by_id.items()
            if record.score >= min_score
        ]

    def cold_ids(self) -> frozenset[str]:
        """Return the instances that started recently."""
        running_time = self._clock.time
        self._cold_ids = {
            instance_id
            for instance_id in self._cold_ids & self.records_by_id.keys()
            if self.records_by_id[instance_id].cold_until > running_time
        }
        return frozenset(self._cold_ids)

    def mark_cold(self, instance_id: str) -> None:
        """Treat an instance as one that starts now."""
        record = self.records_by_id[instance_id]
        record.cold_until = self._clock.time + self._cold_start
        self._cold_ids.add(instance_id)

    def cold_start_progress(self, instance_id: str) -> float:
        """Return the elapsed share of a cold start, from 0 to 1."""
        left = self.records_by_id[instance_id].cold_until - self._clock.time
        if left <= 0.0:
            return 1.0
        return 1.0 - left / self._cold_start

    def is_reachable(self, instance_id: str) -> bool:
        """Return whether the last connections were not all refused."""
        return self.records_by_id[instance_id].reachable

    def discard_evidence(self, instance_id: str) -> None:
        """Drop the evidence on an instance and its attempts in flight."""
        record = self.records_by_id[instance_id]
        for attempt_id in record.in_flight:
            del self._attempts[attempt_id]
        record.in_flight.clear()
        record.reset()

    def record_start(
        self, instance_id: str, attempt_id: str, now: float
    ) -> None:
        """Record the start of an attempt."""
        self._advance(now)
        record = self.records_by_id.get(instance_id)
        if record is None:
            return
        self._active_by_id[instance_id] = record
        started = self._clock.time
        record.in_flight[attempt_id] = started
        self._attempts[attempt_id] = _Attempt(record, started)

    def record_end(
        self, attempt_id: str, outcome: outcomes.Outcome, now: float
    ) -> AttemptResult | None:
        """Record the outcome of an attempt, and return its evidence.

        None means that the attempt is not known, or was dropped before.
        """
        self._advance(now)
        attempt = self._attempts.pop(attempt_id, None)
        if attempt is None:
            return None
        record, started = attempt
        del record.in_flight[attempt_id]
        signal = health_signals.classify(outcome)
        age = self._clock.time - started
        ratio = self._weigh_outcome(record, signal, age)
        record.health_evidence = max(
            HEALTH_ACCEPTED_AT, record.health_evidence + ratio
        )
        return AttemptResult(record.id, signal, age, ratio)

    def record_failed_probe(self, instance_id: str) -> None:
        """Count a failed probe as one error; a good one is no evidence."""
        record = self.records_by_id.get(instance_id)
        if record is None:
            return
        self._active_by_id[instance_id] = record
        record.errors.add(self._errors.error_ratio)

    def tick(self, now: float) -> None:
        """Update the scores of all active instances."""
        self._advance(now)
        running_time = self._clock.time
        self._apply_observations()
        busiest = 0.0
        for record in self._active_by_id.values():
            record.recent_attempts *= RECENT_RETAINED_PER_TICK
            busiest = max(busiest, record.recent_attempts)
            record.score = (
                LATENCY_WEIGHT * record.latencies.score
                + record.errors.score
                + self._in_flight_evidence(record)
            )
        min_recent = max(MIN_RECENT_ATTEMPTS, MIN_SHARE_OF_BUSIEST * busiest)
        self._discount_common_score(
            [
                record.score
                for record in self._active_by_id.values()
                if record.recent_attempts >= min_recent
            ]
        )
        self._drop_inactive()
        if running_time >= self._next_refresh:
            self._next_refresh = running_time + REFRESH_INTERVAL
            self._baseline.refresh(running_time)
            self._errors.refresh(running_time)

    def restart_health_test(self, instance_id: str) -> None:
        """Restart the sequential test of an instance's health."""
        record = self.records_by_id.get(instance_id)
        if record is not None:
            record.health_evidence = 0.0

    def accepts_health(self, instance_id: str) -> bool:
        """Return whether the health test accepts an instance as healthy."""
        record = self.records_by_id[instance_id]
        return (
            record.health_evidence <= HEALTH_ACCEPTED_AT
            and record.score < self._thresholds.clear
        )

    def age_evidence(self, instance_id: str) -> float:
        """Return the evidence of the attempts in flight, in nats."""
        record = self.records_by_id[instance_id]
        return self._in_flight_evidence(record)

    def _apply_observations(self) -> None:
        active = self._active_by_id.values()
        latencies = [record.latencies for record in active]
        errors = [record.errors for record in active]
        shift = self._latency_shift.update(
            latencies, self._baseline.expected_ratio
        )
        excess = max(0.0, self._latency_shift.level - SLOWDOWN_MIN_SHIFT)
        self._slowdown = 1.0 + SLOWDOWN_SLOPE * excess
        error_shift = self._error_shift.update(
            errors, self._errors.expected_ratio
        )
        for record in active:
            record.latencies.apply_pending(shift)
            record.errors.apply_pending(error_shift)

    def _discount_common_score(self, used_scores: list[float]) -> None:
        """Subtract the common score, or suspect a local fault.

        ``used_scores`` are the scores of the instances with enough attempts.
        """
        if len(used_scores) < LOCAL_FAULT_MIN_SICK:
            self.suspects_local_fault = False
            return
        used_scores.sort()
        sick_count = len(used_scores) - bisect.bisect_left(
            used_scores, self._thresholds.confirmation
        )
        self.suspects_local_fault = sick_count >= LOCAL_FAULT_MIN_SICK and (
            sick_count > LOCAL_FAULT_SHARE * len(used_scores)
        )
        if self.suspects_local_fault:
            self._baseline.halve_weights()
            for record in self._active_by_id.values():
                record.reset()
            return
        common_score = COMMON_SCORE_FACTOR * used_scores[len(used_scores) // 2]
        if common_score <= 0.0:
            return
        for record in self._active_by_id.values():
            record.score = max(0.0, record.score - common_score)

    def _drop_inactive(self) -> None:
        """Skip instances without evidence until their next attempt."""
        self._active_by_id = {
            instance_id: record
            for instance_id, record in self._active_by_id.items()
            if record.recent_attempts >= ACTIVE_RECENT_ATTEMPTS
            or record.in_flight
            or record.score > 0.0
        }

    def _advance(self, now: float) -> None:
        if not self._clock.advance(now):
            return
        self._pause_pending = True
        for attempt in self._attempts.values():
            attempt.record.in_flight.clear()
        self._attempts.clear()
        for record in self.records_by_id.values():
            record.reset()

    def _weigh_outcome(
        self,
        record: instance_records.InstanceRecord,
        signal: health_signals.HealthSignal,
        age: float,
    ) -> float:
        if signal is health_signals.HealthSignal.NONE:
            return 0.0
        record.recent_attempts += 1.0
        if signal is not health_signals.HealthSignal.UNREACHABLE:
            self._record_reached(record)
        healthy = record.score < self._thresholds.confirmation
        if signal is health_signals.HealthSignal.GOOD:
            return self._weigh_answer(record, age, healthy)
        if (
            signal is health_signals.HealthSignal.LATE
            and self._baseline.has_data
        ):
            return self._weigh_unanswered(record, age)
        if signal is health_signals.HealthSignal.ABANDONED:
            return self._weigh_unanswered(record, age)
        if signal is health_signals.HealthSignal.UNREACHABLE:
            record.refusals_in_a_row += 1
        if healthy:
            self._errors.add(error=True)
        record.errors.add(self._errors.error_ratio)
        return self._errors.error_ratio

    def _weigh_unanswered(
        self, record: instance_records.InstanceRecord, age: float
    ) -> float:
        """Weigh an attempt that ended without an answer, by its age alone.

        That it was cancelled is no evidence, since a caller may set a short
        deadline for reasons of its own.
        """
        ratio = min(MAX_UNANSWERED_EVIDENCE, self._baseline.age_evidence(age))
        record.latencies.add(ratio)
        return ratio

    def _record_reached(self, record: instance_records.InstanceRecord) -> None:
        if not record.reachable:
            # It refused connections before, so it has just started.
            self.mark_cold(record.id)
        record.refusals_in_a_row = 0

    def _weigh_answer(
        self,
        record: instance_records.InstanceRecord,
        age: float,
        healthy: bool,
    ) -> float:
        errors = self._errors
        record.last_answer = self._clock.time
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

    def _in_flight_evidence(
        self, record: instance_records.InstanceRecord
    ) -> float:
        return age_evidence.in_flight_evidence(
            record,
            self._baseline,
            self._thresholds.removal,
            self._slowdown,
            self._clock.time,
        )
