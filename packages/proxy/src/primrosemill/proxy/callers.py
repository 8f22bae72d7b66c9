"""Writes the answer to one caller: relayed, refused, unknown or aborted."""

import math
import typing

import trio

from primrosemill.decisions import outcomes
from primrosemill.decisions import run_permit
from primrosemill.proxy import answer_rest
from primrosemill.proxy import asgi
from primrosemill.proxy import attempts
from primrosemill.proxy import dialects
from primrosemill.proxy import headers
from primrosemill.proxy import memory
from primrosemill.proxy import replay_body
from primrosemill.proxy import request_deadline
from primrosemill.proxy import request_policies

CONNECTION_KEY = "connection"
LINGER_TIMEOUT = 10.0  # seconds for reading the rest of a refused upload
DISCARD_TIMEOUT = 1.0  # the same for reading an upload while many are refused
STATUS_BAD_GATEWAY = 502
STATUS_BY_UNKNOWN = {
    outcomes.UnknownReason.TIMEOUT: dialects.STATUS_GATEWAY_TIMEOUT,
    outcomes.UnknownReason.BODY_TOO_LARGE: dialects.STATUS_TOO_LARGE,
}


class CallerConnection(typing.Protocol):
    """The caller's connection, as the request that uses it sees it."""

    permit: run_permit.RunPermit
    disconnected: bool
    on_disconnect: typing.Callable[[], None] | None
    on_evict: typing.Callable[[], None] | None

    @property
    def holding(self) -> memory.account.Holding:
        """Return what the connection holds."""
        ...

    @property
    def discards(self) -> memory.large_transfers.Places:
        """Return the places of callers whose uploads are read and dropped."""
        ...

    def claim_close(self) -> bool:
        """Return whether the connection may close after the answer.

        If so, no later request is accepted on it.
        """
        ...

    async def wait_for_turn(self) -> None:
        """Wait until earlier requests are answered or the caller is gone."""
        ...

    def reset(self) -> None:
        """Reset, so that the caller can't mistake the answer for complete."""
        ...

    def buffer_head(self) -> None:
        """Buffer the next bytes and send them together with those after."""
        ...


class Caller:
    """The caller of one request, who gets exactly one answer."""

    def __init__(
        self,
        send: asgi.Send,
        body: replay_body.ReplayBody,
        connection: CallerConnection,
        is_proxy_closing: typing.Callable[[], bool],
        deadline: request_deadline.RequestDeadline,
        dialect: dialects.Dialect = dialects.DEFAULT,
    ) -> None:
        self._send = send
        self._body = body
        self._connection = connection
        self._is_proxy_closing = is_proxy_closing
        self._deadline = deadline
        self._dialect = dialect
        self._scope: trio.CancelScope | None = None
        # A header that the VM's own answers repeat, if any.
        self.echo: asgi.Header | None = None
        self.started = False
        self.disconnected = False
        self.evicted = False
        # Bytes of the answer's body that were passed on.
        self.relayed = 0

    @property
    def permit(self) -> run_permit.RunPermit:
        """Return the permit of the request."""
        return self._connection.permit

    def attach(self, scope: trio.CancelScope) -> None:
        """Cancel the scope if the caller disconnects."""
        self._scope = scope
        self._connection.on_disconnect = self._on_disconnect
        self._connection.on_evict = self._on_evict
        if self._connection.disconnected:
            self._on_disconnect()

    def detach(self) -> None:
        """Stop watching for the caller's disconnect."""
        self._connection.on_disconnect = None
        self._connection.on_evict = None

    def abort(self) -> None:
        """Reset the connection."""
        self._connection.reset()

    async def wait_for_turn(self) -> None:
        """Wait until all earlier requests of the connection are answered."""
        await self._connection.wait_for_turn()

    async def relay(
        self,
        answer: attempts.Answer,
        attempt: attempts.Attempt,
        on_end: answer_rest.OnEnd | None = None,
    ) -> outcomes.Unknown | None:
        """Relay an answer; return why it broke off, or None if complete.

        ``on_end`` is called if the attempt was read to its end before the
        caller has read it.
        """
        self.started = True
        self.permit.close()
        self._deadline.begin_answer()
        await self._connection.wait_for_turn()
        self._connection.buffer_head()
        await self._send(
            asgi.start_message(answer.status, self._build_headers(answer))
        )
        if answer.complete:
            await self._finish_relay(answer.buffered)
            return None
        rest = answer_rest.AnswerRest(
            attempt,
            self._connection.holding,
            self._deadline.time_limit,
            on_end,
        )
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._read_ahead, rest)
                failure = await self._relay_parts(answer.buffered, rest)
                nursery.cancel_scope.cancel()
        finally:
            rest.release()
        return failure

    async def _read_ahead(self, rest: answer_rest.AnswerRest) -> None:
        """Read ahead of a slow caller, who then has its own time limit."""
        if await rest.read_ahead():
            self._deadline.hold_answer()

    async def _relay_parts(
        self, buffered: bytes, rest: answer_rest.AnswerRest
    ) -> outcomes.Unknown | None:
        part: answer_rest.Part = buffered
        while isinstance(part, bytes):
            self.relayed += len(part)
            self._deadline.begin_write()
            rest.begin_write()
            await self._send(asgi.body_message(part, True))
            self._deadline.end_write()
            part = await rest.next_part()
        if part is None:
            await self._finish_relay(b"")
        return part

    async def refuse(self, refused: request_policies.Refused) -> None:
        """Answer that the request was not run, why, and when to retry.

        The request's permit must have allowed it.
        """
        retry_after = f"{refused.retry_after:.2f}".encode()
        if self._dialect.integer_retry_after:
            retry_after = str(max(1, math.ceil(refused.retry_after))).encode()
        if refused.reason is outcomes.RefusalReason.MEMORY:
            self.evicted = True
        status = self._dialect.status_by_refusal.get(
            refused.reason, dialects.STATUS_UNAVAILABLE
        )
        await self._send_empty_answer(
            status,
            [
                headers.OUTCOME_NOT_RUN,
                (headers.REASON, refused.reason.encode()),
                (headers.RETRY_AFTER, retry_after),
            ],
        )

    async def send_unknown(self, unknown: outcomes.Unknown) -> None:
        """Answer that it is unknown whether the request was run."""
        self.permit.close()
        status = STATUS_BY_UNKNOWN.get(unknown.reason, STATUS_BAD_GATEWAY)
        await self._send_empty_answer(
            status,
            [
                headers.OUTCOME_UNKNOWN,
                (headers.REASON, unknown.reason.encode()),
            ],
        )

    async def _send_empty_answer(
        self, status: int, answer_headers: asgi.Headers
    ) -> None:
        await self._connection.wait_for_turn()
        if self._is_closing():
            answer_headers.append(headers.CLOSE)
        if self.echo is not None:
            answer_headers.append(self.echo)
        answer_headers.append(headers.EMPTY_BODY)
        self.started = True
        with trio.move_on_after(LINGER_TIMEOUT) as scope:
            await self._send(asgi.start_message(status, answer_headers))
            await self._finish(b"")
        if scope.cancelled_caught:
            self.abort()

    async def _finish_relay(self, last_chunk: bytes) -> None:
        """End an answer that is held here whole.

        Its end is not sent before the upload's, so it is due in time.
        """
        self._deadline.hold_answer()
        self._deadline.begin_write()
        within = self._deadline.time_limit - trio.current_time()
        await self._finish(last_chunk, within)

    async def _finish(
        self, last_chunk: bytes, within: float = math.inf
    ) -> None:
        """End the answer after reading the rest of the upload.

        The data of the answer is sent before that. Closing with unread bytes
        would reset the connection, and a caller that is still sending would
        lose the answer.
        """
        if not self._body.complete:
            if last_chunk:
                await self._send(asgi.body_message(last_chunk, True))
                last_chunk = b""
            if not self.evicted:
                await self._discard_body(within)
        await self._send(asgi.body_message(last_chunk, False))

    async def _discard_body(self, within: float) -> None:
        """Read the rest of the upload, at full speed for a few callers."""
        places = self._connection.discards
        has_place = places.take()
        timeout = LINGER_TIMEOUT if has_place else DISCARD_TIMEOUT
        timeout = max(0.0, min(timeout, within))
        try:
            with trio.move_on_after(timeout):
                await self._body.discard(slowly=not has_place)
        finally:
            if has_place:
                places.give_back()

    def _build_headers(self, answer: attempts.Answer) -> asgi.Headers:
        answer_headers = headers.forward(
            answer.headers, headers.ANSWER_NAMES_DROPPED
        )
        answer_headers.append(headers.OUTCOME_ANSWERED)
        if self._is_closing():
            answer_headers.append(headers.CLOSE)
        return answer_headers

    def _is_closing(self) -> bool:
        """Return whether to announce that the connection closes afterwards."""
        if self.evicted:
            return True
        return self._is_proxy_closing() and self._connection.claim_close()

    def _on_evict(self) -> None:
        """Refuse the request, or cut its answer off, to free memory."""
        self.evicted = True
        self._scope.cancel()

    def _on_disconnect(self) -> None:
        self.disconnected = True
        self._scope.cancel()
