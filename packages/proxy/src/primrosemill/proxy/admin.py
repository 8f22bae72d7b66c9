"""Serves operators on a port separate from callers' traffic."""

import typing
import urllib.parse

import expression
import msgspec
import prometheus_client

from primrosemill.proxy import asgi
from primrosemill.proxy import memory
from primrosemill.proxy import status

HEALTH_PATH = "/health"
READY_PATH = "/ready"
METRICS_PATH = "/metrics"
STATUS_PATH = "/status"
RELEASE_PATH = "/release"
FINGERPRINT = "fingerprint"  # the query parameter of a release
JSON = [(b"content-type", b"application/json")]
TEXT = [(b"content-type", b"text/plain; charset=utf-8")]
METRICS = [(b"content-type", prometheus_client.CONTENT_TYPE_LATEST.encode())]
REPORT_TIME = 0.02  # seconds of the processor that metrics or status take
STATUS_OK = 200
STATUS_BAD_REQUEST = 400
STATUS_NOT_FOUND = 404
STATUS_WRONG_METHOD = 405
STATUS_NOT_READY = 503


Release = typing.Callable[[str], expression.Result[str, status.ReleaseFault]]


class Admin:
    """The ASGI application of the admin port.

    ``/health`` answers while the process runs. ``/ready`` tells whether
    callers may be sent here: not before a configuration is in force, nor
    while the VM is leaving. A POST to ``/release`` releases a request that
    is held back. With ``work``, metrics and status are made in turns.
    """

    def __init__(
        self,
        read_state: typing.Callable[[], status.VmState],
        read_status: typing.Callable[[], status.Status],
        registry: prometheus_client.CollectorRegistry,
        release: Release,
        work: memory.heavy_work.HeavyWork | None = None,
    ) -> None:
        self._read_state = read_state
        self._read_status = read_status
        self._registry = registry
        self._release = release
        self._work = work
        self._answers_by_path = {
            HEALTH_PATH: self._answer_health,
            READY_PATH: self._answer_ready,
            METRICS_PATH: self._answer_metrics,
            STATUS_PATH: self._answer_status,
        }

    async def __call__(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Answer one request."""
        if scope["path"] == RELEASE_PATH:
            await self._answer_release(scope, send)
            return
        answer = self._answers_by_path.get(scope["path"])
        if answer is None:
            await asgi.respond(send, STATUS_NOT_FOUND, TEXT)
            return
        await answer(send)

    async def _answer_health(self, send: asgi.Send) -> None:
        await asgi.respond(send, STATUS_OK, TEXT, b"ok\n")

    async def _answer_ready(self, send: asgi.Send) -> None:
        state = self._read_state()
        ready = state is status.VmState.SERVING
        code = STATUS_OK if ready else STATUS_NOT_READY
        await asgi.respond(send, code, TEXT, f"{state}\n".encode())

    async def _wait_for_turn(self, send: asgi.Send) -> bool:
        """Wait before a costly answer; return False if it was refused."""
        if self._work is None:
            return True
        try:
            await self._work.wait_for_bounded_turn(REPORT_TIME)
        except memory.heavy_work.TooMuchWorkError:
            await asgi.respond(send, STATUS_NOT_READY, TEXT)
            return False
        return True

    async def _answer_metrics(self, send: asgi.Send) -> None:
        if not await self._wait_for_turn(send):
            return
        text = prometheus_client.generate_latest(self._registry)
        await asgi.respond(send, STATUS_OK, METRICS, text)

    async def _answer_status(self, send: asgi.Send) -> None:
        if not await self._wait_for_turn(send):
            return
        text = msgspec.json.encode(self._read_status())
        await asgi.respond(send, STATUS_OK, JSON, text)

    async def _answer_release(
        self, scope: asgi.Scope, send: asgi.Send
    ) -> None:
        if scope["method"] != "POST":
            await asgi.respond(send, STATUS_WRONG_METHOD, TEXT)
            return
        query = urllib.parse.parse_qs(scope["query_string"].decode("latin-1"))
        (fingerprint, *_) = query.get(FINGERPRINT, [""])
        result = self._release(fingerprint)
        if result.is_ok():
            text = msgspec.json.encode(result.ok)
            await asgi.respond(send, STATUS_OK, JSON, text)
            return
        code = STATUS_NOT_FOUND
        if result.error["fault"] == "InvalidFingerprint":
            code = STATUS_BAD_REQUEST
        await asgi.respond(send, code, JSON, msgspec.json.encode(result.error))
