"""Counts every request that ended and logs what is unusual about some."""

import functools

from primrosemill.decisions import outcomes
from primrosemill.proxy import counters
from primrosemill.proxy import exchange
from primrosemill.proxy import plugs
from primrosemill.telemetry import events
from primrosemill.telemetry import limiter


class Reports:
    """Keeps the log short: one line an interval for each reason.

    With ``each_request`` every ending and retry is logged with its id.
    """

    def __init__(
        self, counts: counters.Counters, each_request: bool = False
    ) -> None:
        self._counters = counts
        self._each_request = each_request
        self._limiter = limiter.Limiter()

    def note_ending(
        self,
        ending: exchange.Ending,
        started: float,
        now: float,
        request_id: str = "",
    ) -> None:
        """Count a request and log its first occurrence of trouble."""
        self._counters.count_ending(ending, now - started)
        if self._each_request:
            events.emit(
                events.REQUEST_ENDED,
                request_id=request_id,
                ending=type(ending).__name__.lower(),
                detail=_detail_of(ending),
                elapsed=round(now - started, 4),
            )
            return
        event = _event_of(ending)
        if event is None:
            return
        left_out = self._limiter.admit((event.number, ending.reason), now)
        if left_out is not None:
            events.emit(event, reason=ending.reason.value, left_out=left_out)

    def note_wait(self, seconds: float) -> None:
        """Count how long a request waited for the slot that it got."""
        self._counters.wait_times.observe(seconds)

    def note_attempt(self, end: plugs.AttemptEnd) -> None:
        """Count how long an instance took for its answer."""
        if isinstance(end.outcome, outcomes.Answered):
            self._counters.attempt_times.observe(end.elapsed)

    def note_hedge(
        self, request_id: str, instance_id: str, seconds: float
    ) -> None:
        """Log a second attempt beside one that takes so long already."""
        if self._each_request:
            events.emit(
                events.REQUEST_HEDGED,
                request_id=request_id,
                instance_id=instance_id,
                after=round(seconds, 4),
            )

    def note_retry(self, failure: exchange.Failure, request_id: str) -> None:
        """Count an attempt that another one follows."""
        self._counters.count_retry(failure)
        if self._each_request:
            events.emit(
                events.REQUEST_RETRIED,
                request_id=request_id,
                reason=failure.reason.value,
            )

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


@functools.singledispatch
def _detail_of(ending: exchange.Ending) -> str | int:
    return ending.reason.value


@_detail_of.register
def _detail_of_relayed(ending: exchange.Relayed) -> int:
    return ending.status


@_detail_of.register
def _detail_of_gone(ending: exchange.CallerGone) -> str:
    return ""
