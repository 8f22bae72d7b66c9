"""Answers callers' requests: finds the route, an instance, and the answer."""

import random
import typing

import trio

from primrosemill.configuration import document as documents
from primrosemill.decisions import outcomes
from primrosemill.decisions import routes
from primrosemill.decisions import slots
from primrosemill.proxy import upstream

OUTCOME_HEADER = b"x-outcome"
REASON_HEADER = b"x-outcome-reason"
HOP_HEADERS = frozenset(
    {b"connection", b"keep-alive", b"transfer-encoding", b"te", b"upgrade"}
)
RETRY_PAUSE = 0.005  # seconds
STATUS_UNAVAILABLE = 503
STATUS_BAD_GATEWAY = 502
Scope = dict[str, typing.Any]
Receive = typing.Callable[[], typing.Awaitable[dict[str, typing.Any]]]
Send = typing.Callable[[dict[str, typing.Any]], typing.Awaitable[None]]


class Application:
    """The ASGI application that callers reach."""

    def __init__(self, generator: random.Random) -> None:
        self._generator = generator
        self._upstream = upstream.Upstream()
        self._table: routes.RouteTable | None = None
        self._slots_by_service: dict[str, slots.SlotTable] = {}

    def set_document(self, document: documents.Document) -> None:
        """Put a new version in force."""
        self._table = routes.RouteTable(document)
        for name, service in document.services_by_name.items():
            table = self._slots_by_service.get(name)
            if table is None:
                self._slots_by_service[name] = slots.SlotTable(
                    service, self._generator
                )
            else:
                table.set_service(service)

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Answer one request."""
        if self._table is None:
            await _refuse(send, outcomes.RefusalReason.NO_CONFIGURATION)
            return
        headers = dict(scope["headers"])
        host = headers.get(b"host", b"").decode("latin-1").partition(":")[0]
        match = self._table.find(host, scope["path"], scope["method"])
        if match is None:
            await _refuse(send, outcomes.RefusalReason.NO_ROUTE)
            return
        attempt = upstream.Attempt(
            scope["method"].encode(),
            _target(scope),
            _forwarded(scope["headers"]),
            await _read_body(receive),
        )
        with trio.move_on_after(match.route.deadline) as scope_of_deadline:
            await self._run(match, attempt, send)
        if scope_of_deadline.cancelled_caught:
            await _refuse(send, outcomes.RefusalReason.DEADLINE)

    async def _run(
        self, match: routes.Match, attempt: upstream.Attempt, send: Send
    ) -> None:
        table = self._slots_by_service[match.service]
        while True:
            instance = table.acquire(frozenset())
            if instance is None:
                await trio.sleep(RETRY_PAUSE)
                continue
            try:
                outcome = await self._attempt(instance, attempt, send)
            finally:
                table.release(instance.id)
            if isinstance(outcome, outcomes.Answered):
                return
            if isinstance(outcome, outcomes.Unknown) and (
                not match.route.idempotent
            ):
                await _send_outcome(
                    send, STATUS_BAD_GATEWAY, "unknown", outcome.reason
                )
                return
            await trio.sleep(RETRY_PAUSE)

    async def _attempt(
        self,
        instance: documents.Instance,
        attempt: upstream.Attempt,
        send: Send,
    ) -> outcomes.Outcome:
        started = trio.current_time()
        connection, answer = await self._upstream.start(instance, attempt)
        if not isinstance(answer, upstream.Answer):
            await connection.aclose()
            return answer
        await send(
            {
                "type": "http.response.start",
                "status": answer.status,
                "headers": [
                    *_forwarded(answer.headers),
                    (OUTCOME_HEADER, b"answered"),
                ],
            }
        )
        async for chunk in answer.response.aiter_stream():
            await send(
                {
                    "type": "http.response.body",
                    "body": chunk,
                    "more_body": True,
                }
            )
        await answer.response.aclose()
        self._upstream.put_back(instance, connection)
        await send({"type": "http.response.body", "body": b""})
        return outcomes.Answered(answer.status, trio.current_time() - started)


def _target(scope: Scope) -> bytes:
    target = scope["raw_path"]
    if scope["query_string"]:
        target += b"?" + scope["query_string"]
    return target


def _forwarded(headers: upstream.Headers) -> upstream.Headers:
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in HOP_HEADERS
    ]


async def _read_body(receive: Receive) -> bytes:
    body = b""
    while True:
        message = await receive()
        body += message.get("body", b"")
        if not message.get("more_body", False):
            return body


async def _refuse(send: Send, reason: outcomes.RefusalReason) -> None:
    status = STATUS_UNAVAILABLE
    if reason is outcomes.RefusalReason.NO_ROUTE:
        status = 404
    await _send_outcome(send, status, "not-run", reason)


async def _send_outcome(
    send: Send, status: int, outcome: str, reason: str
) -> None:
    await send(
        {
            "type": "http.response.start",
            "status": status,
            "headers": [
                (b"content-length", b"0"),
                (OUTCOME_HEADER, outcome.encode()),
                (REASON_HEADER, reason.encode()),
            ],
        }
    )
    await send({"type": "http.response.body", "body": b""})
