"""Counts the time in which this process could act.

A process that is suspended, or busy for long, reads nothing meanwhile. By the
usual clock its peers then seem slow, though their bytes have arrived. This
clock counts a pass of the event loop as :data:`MAX_PASS` at most, and a wait
of the loop as what was asked for. Use it to judge others by time; what others
measure themselves, such as the time limit of a request, needs the usual one.
"""

import math
import types
import typing

import trio

# Longest time that one pass of the event loop counts. A pass of a process that
# is merely busy is shorter.
MAX_PASS = 0.1  # seconds
# Time after a pause in which what has arrived is read before deadlines end.
READ_TIME = 0.1  # seconds
# A process whose passes are all too long still ends its deadlines.
POSTPONE_INTERVAL = 1.0  # seconds


class Deadline:
    """Cancels a block at a trio time, but not before what arrived is read.

    After a pause of the process its time is at least :data:`READ_TIME` off.
    """

    def __init__(self, clock: "AwakeClock", time: float) -> None:
        self._clock = clock
        self._next_postponement = -math.inf
        self.scope = trio.CancelScope(deadline=time)

    def postpone(self, now: float) -> None:
        """Leave time to read what has arrived."""
        earliest = now + READ_TIME
        if self.scope.deadline >= earliest or now < self._next_postponement:
            return
        self._next_postponement = now + POSTPONE_INTERVAL
        self.scope.deadline = earliest

    def __enter__(self) -> trio.CancelScope:
        self._clock.deadlines.add(self)
        return self.scope.__enter__()

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> bool | None:
        self._clock.deadlines.discard(self)
        return self.scope.__exit__(kind, error, traceback)


def _ignore_pause(seconds: float) -> None:
    pass


class AwakeClock(trio.abc.Instrument):
    """The clock of one event loop; times are in seconds.

    ``paused`` is the time that it has left out. ``on_pause`` is called with
    the seconds of each pause, before any task runs again.
    """

    def __init__(self) -> None:
        self._awake = self._mark = trio.current_time()
        self.paused = 0.0
        self.on_pause: typing.Callable[[float], None] = _ignore_pause
        self.deadlines: set[Deadline] = set()

    def current_time(self) -> float:
        """Return the trio time less all pauses since the clock's start."""
        return self._awake + min(trio.current_time() - self._mark, MAX_PASS)

    def before_io_wait(self, timeout: float) -> None:
        """Count the pass that ends; called by trio."""
        self._count(MAX_PASS)

    def after_io_wait(self, timeout: float) -> None:
        """Count the wait that ends; called by trio.

        trio ends deadlines right after this.
        """
        self._count(timeout + MAX_PASS)

    def _count(self, most: float) -> None:
        """Count the time since the mark, at most as much as given."""
        now = trio.current_time()
        elapsed, self._mark = now - self._mark, now
        if elapsed <= most:
            self._awake += elapsed
            return
        self._awake += most
        self.paused += elapsed - most
        for each in self.deadlines:
            each.postpone(now)
        self.on_pause(elapsed - most)


_clock: trio.lowlevel.RunVar[AwakeClock] = trio.lowlevel.RunVar("awake_clock")


def current() -> AwakeClock:
    """Return the clock of the running event loop, which starts it if new."""
    try:
        return _clock.get()
    except LookupError:
        clock = AwakeClock()
        trio.lowlevel.add_instrument(clock)
        _clock.set(clock)
        return clock


def now() -> float:
    """Return the time of the current clock, in seconds."""
    return current().current_time()


def deadline(time: float) -> Deadline:
    """Return a context manager that cancels its block at a trio time.

    It yields the cancel scope.
    """
    return Deadline(current(), time)


def move_on_after(seconds: float) -> typing.ContextManager[trio.CancelScope]:
    """Return a context manager that cancels its block after some seconds."""
    return deadline(trio.current_time() + seconds)
