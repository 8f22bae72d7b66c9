"""Serves operators on a port separate from callers' traffic."""

import typing

import msgspec
import prometheus_client

from primrosemill.proxy import asgi
from primrosemill.proxy import status

HEALTH_PATH = "/health"
READY_PATH = "/ready"
METRICS_PATH = "/metrics"
STATUS_PATH = "/status"
JSON = [(b"content-type", b"application/json")]
TEXT = [(b"content-type", b"text/plain; charset=utf-8")]
METRICS = [(b"content-type", prometheus_client.CONTENT_TYPE_LATEST.encode())]
STATUS_OK = 200
STATUS_NOT_FOUND = 404
STATUS_NOT_READY = 503


class Admin:
    """The ASGI application of the admin port.

    ``/health`` answers while the process runs. ``/ready`` tells whether
    callers may be sent here: not before a configuration is in force, nor
    while the VM is leaving.
    """

    def __init__(
        self,
        read_state: typing.Callable[[], status.VmState],
        read_status: typing.Callable[[], status.Status],
        registry: prometheus_client.CollectorRegistry,
    ) -> None:
        self._read_state = read_state
        self._read_status = read_status
        self._registry = registry
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

    async def _answer_metrics(self, send: asgi.Send) -> None:
        text = prometheus_client.generate_latest(self._registry)
        await asgi.respond(send, STATUS_OK, METRICS, text)

    async def _answer_status(self, send: asgi.Send) -> None:
        text = msgspec.json.encode(self._read_status())
        await asgi.respond(send, STATUS_OK, JSON, text)
