"""Shows operators the requests under suspicion, and releases them."""

import expression
import trio

from primrosemill.decisions import fingerprints
from primrosemill.proxy import request_guard
from primrosemill.proxy import status

MAX_LISTED = 200  # requests in one status document
HELD = "held"
SUSPECTED = "suspected"


def describe(
    guard: request_guard.RequestGuard,
) -> list[status.SuspectStatus]:
    """Return the suspected requests, those with most crashes first."""
    now = trio.current_time()
    quarantine = guard.quarantine
    rows = []
    for fingerprint in quarantine.suspected():
        suspect = quarantine.suspect(fingerprint)
        is_held = quarantine.is_held(fingerprint, now)
        rows.append(
            status.SuspectStatus(
                fingerprint=str(fingerprint),
                target=guard.target(fingerprint),
                state=HELD if is_held else SUSPECTED,
                crashes=len(suspect.crashed_at_by_id),
                probability=round(quarantine.probability(fingerprint, now), 4),
                last_crash_age=round(now - suspect.crashed_at, 1),
                last_arrival_age=round(now - suspect.arrived_at, 1),
            )
        )
    rows.sort(key=lambda row: row["crashes"], reverse=True)
    return rows[:MAX_LISTED]


def release(
    guard: request_guard.RequestGuard, text: str
) -> expression.Result[str, status.ReleaseFault]:
    """Release the request with a fingerprint on all VMs of the fleet."""
    fingerprint = fingerprints.parse(text)
    if fingerprint is None:
        return expression.Error(
            status.ReleaseFault(fault="InvalidFingerprint", value=text[:80])
        )
    if not guard.release(fingerprint):
        return expression.Error(
            status.ReleaseFault(fault="NotSuspected", value=text)
        )
    return expression.Ok(text)
