"""Times how long an instance stays out, and how it comes back.

Out of rotation, an instance waits, then gets a trickle of idempotent
requests, and a sequential test (A. Wald, 1945) of their latencies decides
between another, longer wait and a gradual return.
"""

import typing

FIRST_WAIT = 3.0  # seconds
LONGEST_WAIT = 300.0  # seconds
FORGET_AFTER = 600.0  # seconds in rotation that undo one earlier flap
TRIAL_INTERVAL = 0.25  # seconds between two trial requests
TRIAL_PASS = -2.0  # nats
TRIAL_FAIL = 3.0  # nats
TRIAL_MIN = 4  # answers before a trial passes
TRIAL_SPAN = 1.0  # seconds that a trial lasts at least, for each flap
# Where no idempotent request comes, nothing can be tried; the capacity then
# comes back by itself, and what is still sick is soon out for longer.
TRIAL_PATIENCE = 30.0  # seconds
TRIAL_LONGEST_SPAN = 10.0  # seconds
RAMP = 5.0  # seconds from the first share to the whole
FIRST_SHARE = 0.2
RAMP_STEPS = 5


class Record(typing.NamedTuple):
    """How often an instance left and since when it is where it is.

    ``flaps`` counts the times it was taken out, ``since`` is when it last
    left or came back, ``wait_until`` when its trial may begin. The trial's
    fields are zero outside a trial.
    """

    flaps: int = 0
    since: float = -RAMP
    wait_until: float = 0.0
    in_trial: bool = False
    trial_start: float = 0.0
    trial_sum: float = 0.0
    trial_count: int = 0
    next_trial: float = 0.0


NEVER_OUT = Record()


class TrialEnd(typing.NamedTuple):
    """A trial that is over."""

    passed: bool


def wait_of(flaps: int) -> float:
    """Return how long an instance stays out the ``flaps``-th time."""
    return min(LONGEST_WAIT, FIRST_WAIT * 2.0 ** max(0, flaps - 1))


def leave(record: Record, now: float) -> Record:
    """Take an instance out of rotation."""
    forgotten = int((now - record.since) / FORGET_AFTER)
    flaps = max(0, record.flaps - forgotten) + 1
    return Record(flaps, now, now + wait_of(flaps))


def undo(record: Record, now: float) -> Record:
    """Put an instance back that was taken out without good cause."""
    return Record(max(0, record.flaps - 1), now - RAMP)


def begin_trial(record: Record, now: float) -> Record:
    """Let trial requests through."""
    return record._replace(
        in_trial=True,
        trial_start=now,
        trial_sum=0.0,
        trial_count=0,
        next_trial=now,
    )


def note_trial(record: Record, ratio: float) -> Record:
    """Take the evidence of one trial request, in nats."""
    return record._replace(
        trial_sum=record.trial_sum + ratio,
        trial_count=record.trial_count + 1,
    )


def end_of_trial(
    record: Record, age_evidence: float, now: float
) -> TrialEnd | None:
    """Return how the trial ended, or None while it goes on.

    ``age_evidence`` is that of trial requests still in flight, in nats.
    """
    if record.trial_sum + age_evidence >= TRIAL_FAIL:
        return TrialEnd(False)
    lasted = now - record.trial_start
    if record.trial_count == 0 and age_evidence <= 0.0:
        return TrialEnd(True) if lasted >= TRIAL_PATIENCE else None
    span = min(TRIAL_LONGEST_SPAN, TRIAL_SPAN * record.flaps)
    if (
        record.trial_sum <= TRIAL_PASS
        and record.trial_count >= TRIAL_MIN
        and lasted >= span
    ):
        return TrialEnd(True)
    return None


def come_back(record: Record, now: float) -> Record:
    """Put an instance back into rotation, at a small share at first."""
    return Record(record.flaps, now)


def call_back(record: Record, now: float) -> Record:
    """Put an instance back whole, though nothing speaks for it."""
    return Record(record.flaps, now - RAMP)


def share_at(record: Record, now: float) -> float:
    """Return the share of slots that an instance gets after its return."""
    if record.flaps == 0:
        return 1.0
    done = (now - record.since) / RAMP
    if done >= 1.0:
        return 1.0
    step = max(0, int(done * RAMP_STEPS))
    return FIRST_SHARE + (1.0 - FIRST_SHARE) * step / RAMP_STEPS
