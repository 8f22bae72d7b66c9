"""Weighs the ages of attempts in flight, by which a stall shows early."""

from primrosemill.decisions import latency
from primrosemill.decisions import records

# A single attempt may take long for reasons of its own, the more so while
# the instance answers others. Shares are of the score at which the VM acts.
ONE_AGE_SHARE = 0.5
ONE_AGE_SHARE_ANSWERING = 0.15
# While an instance answers nothing, its attempts are one event: what makes a
# slow one usual is taken off once for all of them and not for each.
SILENT_BONUS = 2.5  # nats
SILENT_ALLOWANCE = 2.5  # nats
LONG_SILENCE = 4.0  # times the 99th percentile; then one is enough.
COLD_AGE_FACTOR = 5.0  # A cold instance may be this much slower.


def weigh(
    record: records.Record,
    baseline: latency.Baseline,
    act: float,
    stretch: float,
    alive: float,
) -> float:
    """Return the evidence of an instance's attempts in flight, in nats.

    ``act`` is the score at which the VM acts, ``stretch`` how much longer
    than usual all instances take, ``alive`` the time spent running.
    """
    if not record.in_flight:
        return 0.0
    factor = stretch
    if record.is_cold(alive):
        factor *= COLD_AGE_FACTOR
    most = ONE_AGE_SHARE * act + SILENT_BONUS
    most_answering = ONE_AGE_SHARE_ANSWERING * act
    silence = alive - record.last_good + baseline.usual
    quiet_age = baseline.no_evidence_before
    long = LONG_SILENCE * baseline.high
    total = 0.0
    silent = 0.0
    for started in record.in_flight.values():
        age = (alive - started) / factor
        if age <= quiet_age:
            continue
        total += min(most_answering, baseline.weigh_age(age))
        silent_age = min(age, silence)
        if silent_age <= quiet_age:
            continue
        nats = baseline.weigh_age(silent_age) + SILENT_BONUS
        silent += nats if age >= long else min(most, nats)
    return max(total, silent - SILENT_BONUS - SILENT_ALLOWANCE)
