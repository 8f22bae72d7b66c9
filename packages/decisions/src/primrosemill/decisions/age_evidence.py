"""Derives evidence from the ages of attempts in flight.

It shows a stalled instance before any of its attempts ends.
"""

from primrosemill.decisions import instance_records
from primrosemill.decisions import latency

# Limits of the evidence of a single attempt, as shares of the score at which
# the VM acts. An attempt may be slow for reasons of its own, the more so while
# the instance answers others.
MAX_AGE_SHARE = 0.5
MAX_AGE_SHARE_ANSWERING = 0.15
# While an instance answers nothing, its attempts are one event. So the
# allowance for usual slow attempts is made once for all of them: each gets the
# bonus, and bonus and allowance are subtracted from the sum.
SILENT_BONUS = 2.5  # nats
SILENT_ALLOWANCE = 2.5  # nats
# Times the 99th percentile of the latency; an attempt as old as this may
# suffice by itself while the instance answers nothing.
LONG_SILENCE_FACTOR = 4.0
COLD_AGE_FACTOR = 5.0  # times as slow as usual that a cold instance may be


def weigh(
    record: instance_records.InstanceRecord,
    baseline: latency.Baseline,
    act: float,
    slowdown: float,
    now: float,
) -> float:
    """Return the evidence of an instance's attempts in flight, in nats.

    ``act`` is the score at which the VM acts, ``slowdown`` the factor by
    which all instances are slower than usual, ``now`` the running time.
    """
    if not record.in_flight:
        return 0.0
    factor = slowdown
    if record.is_cold(now):
        factor *= COLD_AGE_FACTOR
    max_silent = MAX_AGE_SHARE * act + SILENT_BONUS
    max_answering = MAX_AGE_SHARE_ANSWERING * act
    silence = now - record.last_answer + baseline.median
    min_age = baseline.min_evidence_age
    long_silence = LONG_SILENCE_FACTOR * baseline.p99
    evidence = 0.0
    silent_evidence = 0.0
    for started in record.in_flight.values():
        age = (now - started) / factor
        if age <= min_age:
            continue
        evidence += min(max_answering, baseline.age_evidence(age))
        silent_age = min(age, silence)
        if silent_age <= min_age:
            continue
        nats = baseline.age_evidence(silent_age) + SILENT_BONUS
        silent_evidence += (
            nats if age >= long_silence else min(max_silent, nats)
        )
    return max(evidence, silent_evidence - SILENT_BONUS - SILENT_ALLOWANCE)
