"""Decides what becomes of each request while a VM stops.

docs/design/planned-stop.md states what callers are promised. All times are
seconds on one clock, the caller's time limit included.
"""

import math
import typing

# Longest time after the signal in which requests are passed on that may
# outlast the VM. The users' platform counts those that are cut off as lost if
# they were sent later than 3 s after its signal, which may be handled late.
MAX_OPEN_TIME = 2.75  # seconds
# The VM's own answers begin so long before connections are cut off, but in a
# short stop only a part of its time.
MAX_ANSWER_TIME = 0.2  # seconds
ANSWER_SHARE = 0.04  # of the time until connections are cut off


class Times(typing.NamedTuple):
    """The times of one planned stop.

    Until ``open_until`` a request is passed on if its answer is expected by
    ``answers_by``, when the requests that are left get an answer of the VM.
    At ``cuts_off_at`` connections are cut off.
    """

    open_until: float
    answers_by: float
    cuts_off_at: float


NO_STOP = Times(math.inf, math.inf, math.inf)


def plan(began: float, open_until: float, cuts_off_at: float) -> Times:
    """Return the times of a stop that began with a signal at ``began``."""
    answer_time = min(MAX_ANSWER_TIME, ANSWER_SHARE * (cuts_off_at - began))
    return Times(open_until, cuts_off_at - answer_time, cuts_off_at)


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
