"""Counts every request that ended and logs what is unusual about some."""

import functools

from primrosemill.decisions import outcomes
from primrosemill.proxy import counters
from primrosemill.proxy import exchange
from primrosemill.proxy import plugs
from primrosemill.telemetry import events
from primrosemill.telemetry import limiter


class Reports:
    """Keeps the log short: one line an interval for each reason."""

    def __init__(self, counts: counters.Counters) -> None:
        self._counters = counts
        self._limiter = limiter.Limiter()

    def note_ending(
        self, ending: exchange.Ending, started: float, now: float
    ) -> None:
        """Count a request and log its first occurrence of trouble."""
        self._counters.count_ending(ending, now - started)
        event = _event_of(ending)
        if event is None:
            return
        left_out = self._limiter.admit((event.number, ending.reason), now)
        if left_out is not None:
            events.emit(event, reason=ending.reason.value, left_out=left_out)

    def note_failure(self, error: Exception) -> None:
        """Log a fault of the proxy itself."""
        self._counters.failures.inc()
        events.emit(events.REQUEST_FAILED, error=repr(error))


@functools.singledispatch
def _event_of(ending: exchange.Ending) -> events.Event | None:
    return None


@_event_of.register
def _event_of_refusal(ending: plugs.Refused) -> events.Event:
    return events.REQUEST_REFUSED


@_event_of.register
def _event_of_unknown(ending: outcomes.Unknown) -> events.Event:
    return events.REQUEST_UNKNOWN


@_event_of.register
def _event_of_abort(ending: exchange.Aborted) -> events.Event:
    return events.ANSWER_ABORTED
