"""Converts what is known of suspected requests to and from messages."""

import math
import typing

from primrosemill.decisions import fingerprints
from primrosemill.decisions import quarantine
from primrosemill.fleet import messages

# A message has to fit into a datagram with its envelope. A suspicion has at
# most 32 bytes of digests, 8 crashes of 14 bytes, and 24 more.
MAX_SUSPICIONS = 8  # in one message
MAX_BYTES = 1_150
BYTES_OF_CRASH = 14
BYTES_OF_REST = 56
MILLISECONDS_PER_SECOND = 1_000


def to_report(suspicion: messages.Suspicion, now: float) -> quarantine.Report:
    """Return what a peer knows of a request, in this VM's time."""
    cleared_at = -math.inf
    if suspicion.cleared_age_ms is not None:
        cleared_at = _time_of(suspicion.cleared_age_ms, now)
    return quarantine.Report(
        fingerprints.Fingerprint(suspicion.head, suspicion.body),
        tuple(
            quarantine.Crash(each.crash_id, _time_of(each.age_ms, now))
            for each in suspicion.crashes
        ),
        cleared_at,
        _time_of(suspicion.arrived_age_ms, now),
    )


def build_messages(
    reports: typing.Iterable[quarantine.Report], now: float
) -> list[messages.Suspicions]:
    """Return messages with reports that each fit into a datagram."""
    batches: list[list[messages.Suspicion]] = []
    bytes_left = 0
    for report in reports:
        size = BYTES_OF_REST + BYTES_OF_CRASH * len(report.crashes)
        bytes_left -= size
        if bytes_left < 0 or len(batches[-1]) == MAX_SUSPICIONS:
            batches.append([])
            bytes_left = MAX_BYTES - size
        batches[-1].append(_to_suspicion(report, now))
    return [messages.Suspicions(tuple(batch)) for batch in batches]


def _to_suspicion(report: quarantine.Report, now: float) -> messages.Suspicion:
    cleared_age_ms = None
    if math.isfinite(report.cleared_at):
        cleared_age_ms = _age_ms(report.cleared_at, now)
    return messages.Suspicion(
        report.fingerprint.head,
        report.fingerprint.body,
        tuple(
            messages.SuspectedCrash(crash.id, _age_ms(crash.at, now))
            for crash in report.crashes
        ),
        cleared_age_ms,
        _age_ms(report.arrived_at, now),
    )


def _time_of(age_ms: int, now: float) -> float:
    return now - age_ms / MILLISECONDS_PER_SECOND


def _age_ms(time: float, now: float) -> int:
    return max(0, round((now - time) * MILLISECONDS_PER_SECOND))
