"""Names the ways in which a stand-in instance can be sick."""

import enum
import random
import typing


class Mode(enum.StrEnum):
    """How an instance treats requests; its health endpoint stays good."""

    HEALTHY = "healthy"
    STALL = "stall"  # Takes requests and never answers.
    SLOW = "slow"  # Ten times its service time.
    HALF_SPEED = "half_speed"  # Twice its service time.
    ERRORS = "errors"  # Answers a share of requests with status 500.
    TRUNCATE = "truncate"  # Closes within the body of its answer.
    CLOSE_ON_REUSE = "close_on_reuse"  # Closes when a connection is reused.
    ANSWER_TWICE = "answer_twice"  # Sends each answer two times over.
    CLOSE_AFTER_RUN = "close_after_run"  # Runs the request, then closes.


SLOWDOWN_BY_MODE = {Mode.SLOW: 10.0, Mode.HALF_SPEED: 2.0}


class Sickness(typing.NamedTuple):
    """A mode, the share of requests it meets and its flapping.

    With a ``period`` in seconds the instance is healthy for half of each
    period and sick for the other half.
    """

    mode: Mode = Mode.HEALTHY
    share: float = 1.0
    period: float = 0.0


def mode_at(
    sickness: Sickness, elapsed: float, generator: random.Random
) -> Mode:
    """Return the mode that a request meets, seconds after it was set."""
    if sickness.period and elapsed % sickness.period < sickness.period / 2:
        return Mode.HEALTHY
    if sickness.share < 1.0 and generator.random() >= sickness.share:
        return Mode.HEALTHY
    return sickness.mode
