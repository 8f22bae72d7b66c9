"""Stands in for an instance of a backend server.

It has slots and sheds beyond them, drains, starts cold, honours deadlines
and cancellation, and has health and load endpoints that lag. It can be made
sick while it runs; its health endpoint stays cheerful. Each run is recorded
by the request's tag, for the checks of histories.
"""

import hashlib
import random
import typing

import msgspec
import trio

from primrosemill.standins import answers
from primrosemill.standins import asgi
from primrosemill.standins import faults
from primrosemill.standins import lagging

TAG = b"x-request-id"
TIMEOUT = b"x-request-timeout"
DRAINING = (b"x-instance-state", b"draining")
COLD_SLOWDOWN = 3.0
HEALTH_PATH = "/health"
LOAD_PATH = "/load"
SICKNESS_PATH = "/standin/sickness"
NO_ANSWER = -1


class Load(typing.TypedDict):
    """JSON form of the load endpoint."""

    in_use: int
    slots: int


class Run(typing.NamedTuple):
    """A request that the instance ran; times are trio times."""

    tag: str
    method: str
    started: float


class InstanceStandin:
    """Answers after its service time and sheds when its slots are full."""

    def __init__(
        self,
        instance_id: str,
        slots: int,
        service_time: float,
        *,
        cold_start: float = 0.0,
        lag: float = 0.0,
        generator: random.Random | None = None,
    ) -> None:
        self.id = instance_id
        self.slots = slots
        self.service_time = service_time
        self.in_use = 0
        self.draining = False
        self.runs: list[Run] = []
        self.runs_by_tag: dict[str, int] = {}
        self.cancelled_tags: list[str] = []
        self.sheds = 0
        self._cold_start = cold_start
        self._started: float | None = None
        self._generator = generator or random.Random(0)
        self._sickness = faults.Sickness()
        self._sick_since = 0.0
        self._lag = lag
        self._load: lagging.Lagging[int] = lagging.Lagging(0, lag)
        self._health: lagging.Lagging[bool] = lagging.Lagging(False, lag)

    def set_sickness(self, sickness: faults.Sickness) -> None:
        """Make the instance sick, or healthy again, from now on."""
        self._sickness = sickness
        self._sick_since = trio.current_time()

    def drain(self) -> None:
        """Announce that the instance is leaving; it goes on answering."""
        self.draining = True
        self._health.set(True, trio.current_time())

    async def __call__(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Answer one request."""
        if self._started is None:
            self._started = trio.current_time()
        path = scope["path"]
        if path == HEALTH_PATH:
            await self._answer_health(send)
        elif path == LOAD_PATH:
            await self._answer_load(send)
        elif path == SICKNESS_PATH:
            await self._take_sickness(receive, send)
        else:
            await self._admit(scope, receive, send)

    async def _answer_health(self, send: asgi.Send) -> None:
        draining = self._health.read(trio.current_time())
        lines = (DRAINING,) if draining else ()
        body = b"draining" if draining else b"ok"
        await asgi.respond(send, 200, body, lines)

    async def _answer_load(self, send: asgi.Send) -> None:
        in_use = self._load.read(trio.current_time())
        body = msgspec.json.encode(Load(in_use=in_use, slots=self.slots))
        await asgi.respond(send, 200, body)

    async def _take_sickness(
        self, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Set the sickness from JSON, for stand-ins in other processes."""
        body = await asgi.read_body(receive)
        self.set_sickness(msgspec.json.decode(body, type=faults.Sickness))
        await asgi.respond(send, 204, b"")

    async def _admit(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        if self.in_use >= self.slots:
            self.sheds += 1
            await answers.shed(scope, send)
            return
        self._use(1)
        try:
            tag = dict(scope["headers"]).get(TAG, b"").decode()
            await self._work(
                answers.Job(scope, receive, send, tag, self._mode())
            )
        finally:
            self._use(-1)

    def _use(self, change: int) -> None:
        self.in_use += change
        self._load.set(self.in_use, trio.current_time())

    def _mode(self) -> faults.Mode:
        elapsed = trio.current_time() - self._sick_since
        return faults.mode_at(self._sickness, elapsed, self._generator)

    async def _work(self, job: answers.Job) -> None:
        connection = asgi.connection_of(job.scope)
        reused = connection.requests > 1
        if job.mode is faults.Mode.CLOSE_ON_REUSE and reused:
            connection.close()
            return
        digest, size = await _consume(job.receive)
        if size == NO_ANSWER:
            return
        self._record(job)
        if not await self._spend_time(job):
            self.cancelled_tags.append(job.tag)
            connection.close()
            return
        await self._answer(job, digest, size)

    def _record(self, job: answers.Job) -> None:
        now = trio.current_time()
        self.runs.append(Run(job.tag, job.scope["method"], now))
        self.runs_by_tag[job.tag] = self.runs_by_tag.get(job.tag, 0) + 1

    async def _spend_time(self, job: answers.Job) -> bool:
        """Work; returns False once the caller left or its time is over."""
        timeout = dict(job.scope["headers"]).get(TIMEOUT)
        seconds = self._duration(job.mode)
        if seconds == 0.0:
            return True
        finished = False
        with trio.move_on_after(float(timeout or "inf")):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    _cancel_when_gone, job.receive, nursery.cancel_scope
                )
                await trio.sleep(seconds)
                finished = True
                nursery.cancel_scope.cancel()
        return finished

    def _duration(self, mode: faults.Mode) -> float:
        if mode is faults.Mode.STALL:
            return float("inf")
        seconds = self.service_time * faults.SLOWDOWN_BY_MODE.get(mode, 1.0)
        if trio.current_time() - self._started < self._cold_start:
            seconds *= COLD_SLOWDOWN
        return seconds

    async def _answer(
        self, job: answers.Job, digest: bytes, size: int
    ) -> None:
        lines = [
            (b"x-received-bytes", str(size).encode()),
            (b"x-received-digest", digest),
        ]
        if self.draining:
            lines.append(DRAINING)
        body = f"{job.tag} {self.id}".encode()
        if job.mode is faults.Mode.CLOSE_AFTER_RUN:
            asgi.connection_of(job.scope).close()
        elif job.mode is faults.Mode.ERRORS:
            await asgi.respond(job.send, 500, body, tuple(lines))
        elif job.mode is faults.Mode.TRUNCATE:
            await answers.send_in_part(job, body, lines)
        elif job.mode is faults.Mode.ANSWER_TWICE:
            await answers.send_twice(job, body)
        else:
            await answers.send_whole(job, body, lines)


async def _cancel_when_gone(
    receive: asgi.Receive, scope: trio.CancelScope
) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass
    scope.cancel()


async def _consume(receive: asgi.Receive) -> tuple[bytes, int]:
    """Read an upload piece by piece; size -1 if its sender left."""
    digest = hashlib.blake2b(digest_size=16)
    size = 0
    while True:
        message = await receive()
        if message["type"] != "http.request":
            return b"", NO_ANSWER
        digest.update(message.get("body", b""))
        size += len(message.get("body", b""))
        if not message.get("more_body", False):
            return digest.hexdigest().encode(), size
