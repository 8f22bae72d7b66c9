"""Decides what becomes of each request while a VM stops.

docs/design/planned-stop.md states what callers are promised. All times are
seconds on one clock, the caller's time limit included.
"""

import math
import typing

# Fraction of the time to stop in which connections are still accepted, because
# callers may hold older directions, and the one reserved for the process to
# exit.
ACCEPT_FRACTION = 0.5
EXIT_FRACTION = 0.08
# Longest time after the signal in which requests are passed on that may
# outlast the VM. The users' platform counts those that are cut off as lost if
# they were sent later than 3 s after its signal, which may be handled late.
MAX_OPEN_TIME = 2.75  # seconds
# The VM's own answers begin so long before connections are cut off, but in a
# short stop only a part of its time.
MAX_ANSWER_TIME = 0.4  # seconds; a busy VM answers late
ANSWER_SHARE = 0.08  # of the time until connections are cut off


class Times(typing.NamedTuple):
    """The times of one planned stop.

    Until ``open_until`` a request is passed on if its answer is expected by
    ``answers_by``, when the requests that are left get an answer of the VM.
    No connection is accepted from ``accepts_until`` on, and at ``cuts_off_at``
    all are cut off.
    """

    open_until: float
    accepts_until: float
    answers_by: float
    cuts_off_at: float


NO_STOP = Times(math.inf, math.inf, math.inf, math.inf)


def plan_within(began: float, stop_time: float) -> Times:
    """Return the times of a stop whose process is killed after a time.

    ``began`` is the time of the signal, ``stop_time`` is in seconds.
    """
    accept_time = ACCEPT_FRACTION * stop_time
    return _plan(
        began,
        began + min(accept_time, MAX_OPEN_TIME),
        began + accept_time,
        began + (1.0 - EXIT_FRACTION) * stop_time,
    )


def plan_after(began: float, lifetime: float, stop_time: float) -> Times:
    """Return the times of a stop that serves callers for a lifetime first.

    ``lifetime`` is how long callers may use the VM's address after the signal
    at ``began``, ``stop_time`` what requests have after that, both in seconds.
    """
    open_until = began + lifetime
    return _plan(began, open_until, open_until, open_until + stop_time)


def _plan(
    began: float, open_until: float, accepts_until: float, cuts_off_at: float
) -> Times:
    answer_time = min(MAX_ANSWER_TIME, ANSWER_SHARE * (cuts_off_at - began))
    return Times(
        open_until, accepts_until, cuts_off_at - answer_time, cuts_off_at
    )


class PlannedStop:
    """The planned stop of a VM, which may not have begun."""

    def __init__(self) -> None:
        self._times = NO_STOP

    @property
    def has_begun(self) -> bool:
        """Return whether the VM is stopping."""
        return self._times is not NO_STOP

    @property
    def answers_by(self) -> float:
        """Return when the VM answers the requests that are left."""
        return self._times.answers_by

    def begin(self, times: Times) -> None:
        """Begin to stop."""
        self._times = times

    def latest_end(self, deadline: float) -> float:
        """Return when a request with this time limit has its answer."""
        return min(deadline, self._times.answers_by)

    def shortens(self, deadline: float) -> bool:
        """Return whether the VM stops before a request's time limit."""
        return self._times.answers_by < deadline

    def admits(self, deadline: float, now: float, certain: bool) -> bool:
        """Return whether a request that arrives now may be worked on.

        With ``certain`` it must end in time whatever its instance does.
        """
        if not self.shortens(deadline):
            return True
        return not certain and now <= self._times.open_until

    def can_end(
        self, deadline: float, response_time: float, now: float
    ) -> bool:
        """Return whether a request that is passed on now ends in time.

        ``response_time`` is what few answers exceed, in seconds.
        """
        if not self.shortens(deadline):
            return True
        return now + response_time <= self._times.answers_by
