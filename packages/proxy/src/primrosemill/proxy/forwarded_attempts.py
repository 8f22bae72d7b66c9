"""Makes one attempt of a request at a helper, a VM that reaches instances."""

import typing

import trio

from primrosemill.configuration import document as documents
from primrosemill.decisions import outcomes
from primrosemill.proxy import attempts
from primrosemill.proxy import callers
from primrosemill.proxy import headers
from primrosemill.proxy import peer_forwarding
from primrosemill.proxy import tracked_attempts
from primrosemill.telemetry import events

UNKNOWN_CLOSED = outcomes.Unknown(outcomes.UnknownReason.CLOSED)
HELPER_REFUSED = outcomes.NotRun(outcomes.NotRunReason.HELPER_REFUSED)

Result = attempts.Answer | outcomes.NotRun | outcomes.Unknown


def _may_always_send(helper: documents.Instance) -> bool:
    return True


class ForwardedAttempt:
    """One attempt at a helper; must be closed in every case."""

    def __init__(
        self,
        context: tracked_attempts.RequestContext,
        helper: documents.Instance,
        attempted: int,
    ) -> None:
        self._forwarding = context.forwarding
        self._request_id = context.outgoing.request_id_text
        self._started = trio.current_time()
        self._result: Result | None = None
        self.helper = helper
        self.attempt = attempts.Attempt(
            context.pool,
            helper,
            self._forwarding.build_outgoing(
                context.build_outgoing(), context.service, attempted
            ),
            _may_always_send,
            context.permit,
        )
        events.emit(
            events.REQUEST_FORWARDED,
            request_id=self._request_id,
            service=context.service,
            vm_id=helper.id,
            domain=helper.domain,
            attempted=attempted,
        )

    async def run(self) -> Result:
        """Send the request and read the start of the answer.

        A helper's own answer is not one of an instance: its result is what
        it says of the request.
        """
        self._forwarding.in_flight += 1
        try:
            result = await self.attempt.run()
        finally:
            self._forwarding.in_flight -= 1
        if isinstance(result, attempts.Answer):
            result = _read_outcome(result)
            self.attempt.not_run = isinstance(result, outcomes.NotRun)
        self._result = result
        return result

    async def close(self) -> None:
        """Release the connection and record how the attempt ended."""
        await self.attempt.close()
        passage = peer_forwarding.Passage.UNKNOWN
        if isinstance(self._result, attempts.Answer):
            passage = peer_forwarding.Passage.ANSWERED
        elif isinstance(self._result, outcomes.NotRun) or (
            self._result is None and not self.attempt.maybe_ran
        ):
            passage = peer_forwarding.Passage.NOT_RUN
        self._forwarding.record_end(self.helper.id, passage)
        events.emit(
            events.FORWARDING_ENDED,
            request_id=self._request_id,
            vm_id=self.helper.id,
            outcome=passage.value,
            elapsed=round(trio.current_time() - self._started, 4),
        )

    async def deliver(
        self, caller: callers.Caller, answer: attempts.Answer
    ) -> outcomes.Unknown | None:
        """Write an instance's answer to the caller; return why it broke."""
        return await caller.relay(answer, self.attempt)


def _read_outcome(answer: attempts.Answer) -> Result:
    """Return what an answer of a helper says of the request."""
    outcome = headers.find(answer.headers, headers.OUTCOME)
    if outcome == headers.OUTCOME_ANSWERED[1]:
        return answer
    if outcome == headers.OUTCOME_NOT_RUN[1]:
        return HELPER_REFUSED
    return _read_unknown(answer.headers)


def _read_unknown(
    lines: typing.Sequence[tuple[bytes, bytes]],
) -> outcomes.Unknown:
    reason = headers.find(lines, headers.REASON) or b""
    try:
        return outcomes.Unknown(
            outcomes.UnknownReason(reason.decode("latin-1"))
        )
    except ValueError:
        return UNKNOWN_CLOSED
