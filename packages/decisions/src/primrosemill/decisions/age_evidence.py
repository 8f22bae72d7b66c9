"""Derives evidence from the ages of attempts in flight.

This evidence reveals a stalled instance before any of its attempts ends.
"""

from primrosemill.decisions import instance_records
from primrosemill.decisions import latency

# Limits of the evidence of a single attempt, as shares of the removal
# threshold. A single request may be slow for reasons of its own, more likely
# so while the instance answers others.
MAX_SILENT_SHARE = 0.5
MAX_ANSWERING_SHARE = 0.15
# While an instance answers nothing, the ages of its attempts have one common
# cause. So ordinary slow attempts are allowed for once, not for each of them:
# each attempt gets the bonus, and bonus and allowance are subtracted from the
# sum.
SILENT_BONUS = 2.5  # nats
SILENT_ALLOWANCE = 2.5  # nats
# Multiple of the latency's 99th percentile. While the instance answers
# nothing, the evidence of an attempt this old is not limited by a share, so it
# may suffice by itself.
LONG_SILENCE_FACTOR = 4.0
COLD_AGE_FACTOR = 5.0  # how many times slower a cold instance may be


def in_flight_evidence(
    record: instance_records.InstanceRecord,
    baseline: latency.Baseline,
    removal_threshold: float,
    slowdown: float,
    now: float,
) -> float:
    """Return the evidence of an instance's attempts in flight, in nats.

    ``removal_threshold`` is the score at which a VM removes an instance,
    ``slowdown`` the factor by which all instances are slower than usual, and
    ``now`` the time of the running clock.
    """
    if not record.in_flight:
        return 0.0
    factor = slowdown
    if record.is_cold(now):
        factor *= COLD_AGE_FACTOR
    max_silent_nats = MAX_SILENT_SHARE * removal_threshold + SILENT_BONUS
    max_answering_nats = MAX_ANSWERING_SHARE * removal_threshold
    silence = now - record.last_answer + baseline.median
    min_age = baseline.min_evidence_age
    long_silence_age = LONG_SILENCE_FACTOR * baseline.p99
    evidence = 0.0
    silent_evidence = 0.0
    for started_at in record.in_flight.values():
        age = (now - started_at) / factor
        if age <= min_age:
            continue
        evidence += min(max_answering_nats, baseline.age_evidence(age))
        silent_age = min(age, silence)
        if silent_age <= min_age:
            continue
        nats = baseline.age_evidence(silent_age) + SILENT_BONUS
        silent_evidence += (
            nats if age >= long_silence_age else min(max_silent_nats, nats)
        )
    return max(evidence, silent_evidence - SILENT_BONUS - SILENT_ALLOWANCE)
