"""Faults that can be injected into a stand-in instance."""

import enum
import random
import typing


class Mode(enum.StrEnum):
    """How an instance handles requests; health checks succeed in all modes."""

    HEALTHY = "healthy"
    STALL = "stall"  # Accepts requests and never responds.
    SLOW = "slow"  # Ten times its service time.
    HALF_SPEED = "half_speed"  # Twice its service time.
    ERRORS = "errors"  # Responds with status 500.
    TRUNCATE = "truncate"  # Closes within the response body.
    CLOSE_ON_REUSE = "close_on_reuse"  # Closes a connection on its reuse.
    ANSWER_TWICE = "answer_twice"  # Sends each response twice.
    CLOSE_AFTER_RUN = "close_after_run"  # Runs the request, then closes.


SLOWDOWN_BY_MODE = {Mode.SLOW: 10.0, Mode.HALF_SPEED: 2.0}


class InjectedFault(typing.NamedTuple):
    """A failure mode, the share of requests it affects and its flapping.

    With a ``period`` in seconds, the instance is healthy in the first half
    of each period and faulty in the second.
    """

    mode: Mode = Mode.HEALTHY
    share: float = 1.0
    period: float = 0.0


def choose_mode(
    fault: InjectedFault, elapsed: float, generator: random.Random
) -> Mode:
    """Choose the mode of a request ``elapsed`` seconds after the injection."""
    if fault.period and elapsed % fault.period < fault.period / 2:
        return Mode.HEALTHY
    if fault.share < 1.0 and generator.random() >= fault.share:
        return Mode.HEALTHY
    return fault.mode
