"""Times how long an instance stays removed, and how it returns.

A removed instance first gets no requests for a time that doubles with each
removal. Its trial follows: it gets a few idempotent requests, and a
sequential test (A. Wald, 1945) of their latencies decides between another,
longer removal and a gradual return.
"""

import typing

FIRST_REMOVAL_PERIOD = 3.0  # seconds, doubled by each further removal
MAX_REMOVAL_PERIOD = 300.0  # seconds
FLAP_EXPIRY = 600.0  # seconds in rotation that cancel one earlier removal
TRIAL_INTERVAL = 0.25  # seconds between two trial requests
TRIAL_PASS_SCORE = -2.0  # nats
TRIAL_FAIL_SCORE = 3.0  # nats
TRIAL_MIN_RESULTS = 4  # trial requests that must end before a trial passes
# Seconds that a trial must last for each removal before it passes.
TRIAL_MIN_DURATION_PER_FLAP = 1.0
# Without idempotent requests nothing can be tried. The instance then returns
# after this time, in seconds, so that its capacity isn't lost; if it is still
# sick it is soon removed again, for longer.
UNUSED_TRIAL_TIMEOUT = 30.0
MAX_TRIAL_MIN_DURATION = 10.0  # seconds, for any number of removals
RAMP_DURATION = 5.0  # seconds from the initial share to the full one
INITIAL_SHARE = 0.2  # of the slots
RAMP_STEPS = 5


class RemovalHistory(typing.NamedTuple):
    """The removals of an instance, and the state of its trial.

    ``flaps`` counts the removals, ``changed_at`` is the time of the last
    removal or return, ``trial_not_before`` when the trial may begin.
    ``trial_score`` is in nats. The trial's fields are zero outside a trial.
    """

    flaps: int = 0
    changed_at: float = -RAMP_DURATION
    trial_not_before: float = 0.0
    in_trial: bool = False
    trial_started_at: float = 0.0
    trial_score: float = 0.0
    trial_results: int = 0
    next_trial_request: float = 0.0


NEVER_REMOVED = RemovalHistory()


class TrialResult(typing.NamedTuple):
    """The result of a trial that has ended."""

    passed: bool


def removal_period(flaps: int) -> float:
    """Return the duration of the ``flaps``-th removal, in seconds."""
    return min(
        MAX_REMOVAL_PERIOD, FIRST_REMOVAL_PERIOD * 2.0 ** max(0, flaps - 1)
    )


def record_removal(history: RemovalHistory, now: float) -> RemovalHistory:
    """Return the history after a removal."""
    expired = int((now - history.changed_at) / FLAP_EXPIRY)
    flaps = max(0, history.flaps - expired) + 1
    return RemovalHistory(flaps, now, now + removal_period(flaps))


def undo_removal(history: RemovalHistory, now: float) -> RemovalHistory:
    """Return the history after a removal that turned out to be unfounded."""
    return RemovalHistory(max(0, history.flaps - 1), now - RAMP_DURATION)


def begin_trial(history: RemovalHistory, now: float) -> RemovalHistory:
    """Return the history at the start of a trial."""
    return history._replace(
        in_trial=True,
        trial_started_at=now,
        trial_score=0.0,
        trial_results=0,
        next_trial_request=now,
    )


def record_trial_evidence(
    history: RemovalHistory, ratio: float
) -> RemovalHistory:
    """Return the history with the evidence of a trial request, in nats."""
    return history._replace(
        trial_score=history.trial_score + ratio,
        trial_results=history.trial_results + 1,
    )


def trial_result(
    history: RemovalHistory, age_evidence: float, now: float
) -> TrialResult | None:
    """Return the result of the trial, or None while it goes on.

    ``age_evidence`` is the evidence of trial requests still in flight, in
    nats.
    """
    if history.trial_score + age_evidence >= TRIAL_FAIL_SCORE:
        return TrialResult(False)
    elapsed = now - history.trial_started_at
    if history.trial_results == 0 and age_evidence <= 0.0:
        return TrialResult(True) if elapsed >= UNUSED_TRIAL_TIMEOUT else None
    min_duration = min(
        MAX_TRIAL_MIN_DURATION, TRIAL_MIN_DURATION_PER_FLAP * history.flaps
    )
    if (
        history.trial_score <= TRIAL_PASS_SCORE
        and history.trial_results >= TRIAL_MIN_RESULTS
        and elapsed >= min_duration
    ):
        return TrialResult(True)
    return None


def record_return(history: RemovalHistory, now: float) -> RemovalHistory:
    """Return the history after a return whose share of slots ramps up."""
    return RemovalHistory(history.flaps, now)


def record_full_return(history: RemovalHistory, now: float) -> RemovalHistory:
    """Return the history after a return at full share, without a trial."""
    return RemovalHistory(history.flaps, now - RAMP_DURATION)


def slot_share(history: RemovalHistory, now: float) -> float:
    """Return the share of its slots that an instance gets after a return."""
    if history.flaps == 0:
        return 1.0
    progress = (now - history.changed_at) / RAMP_DURATION
    if progress >= 1.0:
        return 1.0
    step = max(0, int(progress * RAMP_STEPS))
    return INITIAL_SHARE + (1.0 - INITIAL_SHARE) * step / RAMP_STEPS
