"""Decides until when the caller of one request may be kept waiting.

A caller waits for the VM and what it has asked (customers' keys and caps, a
slot, instances, hedges, retries, other VMs), or for itself: its own body, or
an answer that the VM holds and that the caller does not read. The first ends
at the time limit of the request, whatever an instance sends meanwhile; only
the second may last longer.
"""

import enum
import math
import typing

import trio

from primrosemill.decisions import outcomes
from primrosemill.decisions import planned_stop
from primrosemill.fleet import awake_clock
from primrosemill.proxy import request_policies


class Stage(enum.StrEnum):
    """What the caller waits for."""

    ADMISSION = "admission"  # its route and the time limit aren't known yet
    RESULT = "result"  # instances, or what has to come before them
    ANSWER = "answer"  # the rest of an answer that has begun
    READING = "reading"  # the caller's own reading of an answer held here


class ReadTimes(typing.NamedTuple):
    """How long a caller may take to read, in seconds.

    ``stall`` is the longest time without progress, and ``total`` the longest
    from the start of the answer.
    """

    stall: float
    total: float


class RequestDeadline:
    """The end of one request; all times are trio times in seconds.

    The cancel scope of what is done for the request now follows :attr:`end`,
    and only this object writes its deadline.
    """

    def __init__(
        self, stop: planned_stop.PlannedStop, read_times: ReadTimes
    ) -> None:
        self._stop = stop
        self._read_times = read_times
        self._deadline: awake_clock.Deadline | None = None
        self._began_at = math.inf
        self._write_since: float | None = None
        self.stage = Stage.ADMISSION
        self.time_limit = math.inf

    @property
    def end(self) -> float:
        """Return when the current stage ends at the latest."""
        if self.stage is Stage.READING:
            return min(
                self._began_at + self._read_times.total,
                max(self._stalled_at(), self.time_limit),
            )
        if self.stage is Stage.ANSWER:
            return min(self.time_limit, self._stalled_at())
        return self._stop.latest_end(self.time_limit)

    def open(self) -> awake_clock.Deadline:
        """Return the context manager of the next part of the work.

        It yields its cancel scope.
        """
        self._deadline = awake_clock.deadline(self.end)
        return self._deadline

    def limit(self, time: float) -> None:
        """Set the time limit; a later one than before is ignored."""
        self.time_limit = min(self.time_limit, time)
        if self.stage is Stage.ADMISSION:
            self.stage = Stage.RESULT
        self._update()

    def begin_answer(self) -> None:
        """Begin to relay an answer; a planned stop lets it go on."""
        self.stage = Stage.ANSWER
        self._began_at = trio.current_time()
        self._update()

    def begin_write(self) -> None:
        """Begin to write a part of the answer to the caller."""
        self._write_since = trio.current_time()
        self._update()

    def end_write(self) -> None:
        """End writing a part: the caller has taken it."""
        self._write_since = None
        self._update()

    def hold_answer(self) -> None:
        """Wait for nobody but the caller: the whole answer is held here."""
        self.stage = Stage.READING
        self._update()

    def follow_stop(self) -> None:
        """Follow a planned stop of the VM that has begun."""
        self._update()

    def refuse_late(self) -> request_policies.Refused:
        """Return the refusal of a request at its end."""
        if self._stop.shortens(self.time_limit):
            return request_policies.STOPPING
        return request_policies.Refused(outcomes.RefusalReason.DEADLINE)

    def _stalled_at(self) -> float:
        """Return when the caller has taken too long to read one part."""
        if self._write_since is None:
            return math.inf
        return self._write_since + self._read_times.stall

    def _update(self) -> None:
        if self._deadline is not None:
            self._deadline.scope.deadline = self.end
