"""Counts the results of requests and logs failures, at a limited rate."""

import functools

from primrosemill.decisions import outcomes
from primrosemill.proxy import counters
from primrosemill.proxy import exchange
from primrosemill.proxy import request_policies
from primrosemill.telemetry import event_limiter
from primrosemill.telemetry import events


class RequestRecorder:
    """Records requests in the metrics and in the log.

    For each reason, at most one line per interval of the limiter is logged.
    With ``each_request`` every result, hedge and retry is logged instead,
    with the request id.
    """

    def __init__(
        self, counts: counters.Counters, each_request: bool = False
    ) -> None:
        self._counters = counts
        self._each_request = each_request
        self._limiter = event_limiter.EventLimiter()

    def record_result(
        self,
        result: exchange.Result,
        started: float,
        now: float,
        request_id: str = "",
    ) -> None:
        """Count the result of a request and log it if it is a failure."""
        self._counters.count_result(result, now - started)
        if self._each_request:
            events.emit(
                events.REQUEST_ENDED,
                request_id=request_id,
                ending=type(result).__name__.lower(),
                detail=_describe(result),
                elapsed=round(now - started, 4),
            )
            return
        event = _select_event(result)
        if event is None:
            return
        suppressed_count = self._limiter.admit(
            (event.number, result.reason), now
        )
        if suppressed_count is not None:
            events.emit(
                event, reason=result.reason.value, left_out=suppressed_count
            )

    def record_wait(self, seconds: float) -> None:
        """Record how long a request waited for its slot."""
        self._counters.wait_times.observe(seconds)

    def record_attempt(self, end: request_policies.AttemptEnd) -> None:
        """Record how long an instance took to answer."""
        if isinstance(end.outcome, outcomes.Answered):
            self._counters.attempt_times.observe(end.elapsed)

    def record_hedge(
        self, request_id: str, instance_id: str, seconds: float
    ) -> None:
        """Log a hedge; ``seconds`` is the age of the request."""
        if self._each_request:
            events.emit(
                events.REQUEST_HEDGED,
                request_id=request_id,
                instance_id=instance_id,
                after=round(seconds, 4),
            )

    def record_retry(self, failure: exchange.Failure, request_id: str) -> None:
        """Count a failed attempt that is followed by another one."""
        self._counters.count_retry(failure)
        if self._each_request:
            events.emit(
                events.REQUEST_RETRIED,
                request_id=request_id,
                reason=failure.reason.value,
            )

    def record_failure(self, error: Exception) -> None:
        """Count and log a fault of the proxy itself."""
        self._counters.failures.inc()
        events.emit(events.REQUEST_FAILED, error=repr(error))


@functools.singledispatch
def _select_event(result: exchange.Result) -> events.Event | None:
    return None


@_select_event.register
def _select_refusal_event(result: request_policies.Refused) -> events.Event:
    return events.REQUEST_REFUSED


@_select_event.register
def _select_unknown_event(result: outcomes.Unknown) -> events.Event:
    return events.REQUEST_UNKNOWN


@_select_event.register
def _select_abort_event(result: exchange.Aborted) -> events.Event:
    return events.ANSWER_ABORTED


@functools.singledispatch
def _describe(result: exchange.Result) -> str | int:
    return result.reason.value


@_describe.register
def _describe_relayed(result: exchange.Relayed) -> int:
    return result.status


@_describe.register
def _describe_caller_gone(result: exchange.CallerGone) -> str:
    return ""
