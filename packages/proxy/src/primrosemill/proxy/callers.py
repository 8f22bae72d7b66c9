"""Speaks to one caller: relays answers, refuses, or aborts."""

import math
import typing

import trio

from primrosemill.decisions import outcomes
from primrosemill.proxy import asgi
from primrosemill.proxy import attempts
from primrosemill.proxy import dialects
from primrosemill.proxy import headers
from primrosemill.proxy import plugs
from primrosemill.proxy import replay

CONNECTION_KEY = "connection"
PROGRESS_TIMEOUT = 60.0  # seconds without progress once an answer began
LINGER_TIMEOUT = 10.0  # seconds that a refused upload is read on
STATUS_BAD_GATEWAY = 502
STATUS_BY_UNKNOWN = {
    outcomes.UnknownReason.TIMEOUT: dialects.STATUS_GATEWAY_TIMEOUT,
    outcomes.UnknownReason.BODY_TOO_LARGE: dialects.STATUS_TOO_LARGE,
}


class CallerConnection(typing.Protocol):
    """What the server tells and does for the connection of a caller."""

    gone: bool
    on_gone: typing.Callable[[], None] | None

    def claim_close(self) -> bool:
        """Tell whether the connection may close behind the answer.

        If so, no later request is taken up.
        """
        ...

    async def wait(self) -> None:
        """Wait until all earlier requests are answered, or it is gone."""
        ...

    def reset(self) -> None:
        """Close so that nobody takes the answer as whole."""
        ...

    def hold_head(self) -> None:
        """Send the next bytes together with those after them."""
        ...


class Caller:
    """Writes the one answer of a request."""

    def __init__(
        self,
        send: asgi.Send,
        body: replay.ReplayBody,
        connection: CallerConnection,
        closing: typing.Callable[[], bool],
        dialect: dialects.Dialect = dialects.OWN,
    ) -> None:
        self._send = send
        self._body = body
        self._connection = connection
        self._closing = closing
        self._dialect = dialect
        self._scope: trio.CancelScope | None = None
        self.started = False
        self.gone = False
        self._relay_ends = math.inf

    def attach(self, scope: trio.CancelScope) -> None:
        """Cancel the scope if the caller goes away."""
        self._scope = scope
        self._connection.on_gone = self._on_gone
        if self._connection.gone:
            self._on_gone()

    def detach(self) -> None:
        """Stop watching for the caller's going away."""
        self._connection.on_gone = None

    def abort(self) -> None:
        """Reset the connection."""
        self._connection.reset()

    async def wait_for_turn(self) -> None:
        """Wait until all earlier requests of the connection are answered."""
        await self._connection.wait()

    async def relay(
        self, answer: attempts.Answer, attempt: attempts.Attempt
    ) -> outcomes.Unknown | None:
        """Pass an answer on; returns what cut it off, or None if whole."""
        self.started = True
        self._relay_ends = trio.current_time() + self._dialect.longest_relay
        self._note_progress()
        await self._connection.wait()
        self._connection.hold_head()
        await self._send(
            asgi.start_message(answer.status, self._headers(answer))
        )
        if answer.whole:
            await self._finish(answer.held)
            return None
        return await self._relay_pieces(answer.held, attempt)

    async def _relay_pieces(
        self, held: bytes, attempt: attempts.Attempt
    ) -> outcomes.Unknown | None:
        piece: bytes | outcomes.Unknown | None = held
        while isinstance(piece, bytes):
            await self._send(asgi.body_message(piece, True))
            self._note_progress()
            piece = await attempt.next_piece()
        if piece is None:
            await self._finish(b"")
        return piece

    async def refuse(self, refused: plugs.Refused) -> None:
        """Say that the request was not run, why, and when to ask again."""
        retry_after = f"{refused.retry_after:.2f}".encode()
        if self._dialect.whole_seconds:
            retry_after = str(max(1, math.ceil(refused.retry_after))).encode()
        status = self._dialect.status_by_refusal.get(
            refused.reason, dialects.STATUS_UNAVAILABLE
        )
        await self._conclude(
            status,
            [
                headers.OUTCOME_NOT_RUN,
                (headers.REASON, refused.reason.encode()),
                (headers.RETRY_AFTER, retry_after),
            ],
        )

    async def tell_unknown(self, unknown: outcomes.Unknown) -> None:
        """Say that nobody can tell whether the request was run."""
        status = STATUS_BY_UNKNOWN.get(unknown.reason, STATUS_BAD_GATEWAY)
        await self._conclude(
            status,
            [
                headers.OUTCOME_UNKNOWN,
                (headers.REASON, unknown.reason.encode()),
            ],
        )

    async def _conclude(self, status: int, lines: asgi.Headers) -> None:
        await self._connection.wait()
        if self._is_closing():
            lines.append(headers.CLOSE)
        lines.append(headers.EMPTY)
        self.started = True
        with trio.move_on_after(LINGER_TIMEOUT) as scope:
            await self._send(asgi.start_message(status, lines))
            await self._finish(b"")
        if scope.cancelled_caught:
            self.abort()

    async def _finish(self, last_piece: bytes) -> None:
        """End the answer, after what is left of the upload was read.

        The answer is complete for its reader before that. Closing with
        unread bytes would reset the connection, and a caller that is still
        sending would lose the answer.
        """
        if not self._body.complete:
            if last_piece:
                await self._send(asgi.body_message(last_piece, True))
                last_piece = b""
            await self._body.discard()
        await self._send(asgi.body_message(last_piece, False))

    def _headers(self, answer: attempts.Answer) -> asgi.Headers:
        lines = headers.forward(answer.headers, headers.ANSWER_NAMES_DROPPED)
        lines.append(headers.OUTCOME_ANSWERED)
        if self._is_closing():
            lines.append(headers.CLOSE)
        return lines

    def _is_closing(self) -> bool:
        """Tell whether to say that the connection ends with the answer."""
        return self._closing() and self._connection.claim_close()

    def _note_progress(self) -> None:
        if self._scope is not None:
            self._scope.deadline = min(
                trio.current_time() + PROGRESS_TIMEOUT, self._relay_ends
            )

    def _on_gone(self) -> None:
        self.gone = True
        self._scope.cancel()
