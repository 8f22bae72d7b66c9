"""Types of what this VM thinks of an instance, and why."""

import enum
import typing


class State(enum.StrEnum):
    """How far an instance may be used by this VM."""

    IN_ROTATION = "in_rotation"
    COLD = "cold"  # Started lately; its share of work ramps up.
    RANKED_LAST = "ranked_last"  # Suspect, but the floor keeps it in.
    AVOIDED = "avoided"  # Only this VM's path to it seems broken.
    EJECTED = "ejected"
    TRIAL = "trial"  # On the way back: a trickle of idempotent requests.
    DRAINING = "draining"  # It is leaving: no new work.


class Standing(typing.NamedTuple):
    """An instance's state, the score behind it and the reason in words.

    ``share`` is the fraction of its slots that may be used, from 0 to 1.
    """

    state: State
    score: float = 0.0
    reason: str = ""
    share: float = 1.0


HEALTHY = Standing(State.IN_ROTATION)
