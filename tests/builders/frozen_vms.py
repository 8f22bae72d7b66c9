"""Plays callers of a proxy that stands still, with trio's test clock.

Sockets are real, so bytes arrive while the clock jumps, as they do while a
process is suspended.
"""

import contextlib
import random
import socket
import typing

import trio
import trio.testing

from primrosemill.configuration import document as documents
from primrosemill.decisions import planned_stop
from primrosemill.decisions import run_permit
from primrosemill.platform import headers
from primrosemill.proxy import application
from primrosemill.proxy import memory
from primrosemill.proxy import pipelining
from primrosemill.proxy import request_policies
from primrosemill.proxy import server
from primrosemill.standins import users_instance
from tests.builders import configuration
from tests.builders import path
from tests.builders import pipelines

HEAD_TIMEOUT = 3.0  # seconds
IDLE_TIMEOUT = 15.0  # seconds
BOUNDS = documents.RequestLimits(
    max_head_size=16_384,
    max_body_size=1_000_000,
    head_timeout=HEAD_TIMEOUT,
    idle_timeout=IDLE_TIMEOUT,
)
STOP_SECONDS = 4.0
ResponseMode = users_instance.ResponseMode
STEP = 0.02  # seconds
PASSES = 40  # of the event loop, in which a request can be served
# These statuses promise that the request has not run and never will.
PROMISES = frozenset({408, 421, 429, 503})
HEAD_PART = 60  # bytes


class World:
    """A proxy, its instances and its callers."""

    def __init__(
        self,
        clock: trio.testing.MockClock,
        policies: request_policies.Policies | None = None,
    ) -> None:
        self.clock = clock
        self.account = memory.account.Account()
        self.application = application.Application(
            random.Random(1),
            policies,
            dialect=headers.DIALECT,
            account=self.account,
        )
        self.server = server.Server(self.application, account=self.account)
        self.instances: list[users_instance.InstanceStandin] = []
        self.played = PlayedInstance()
        self.callers: list[Caller] = []
        self.port = 0

    async def start(
        self,
        nursery: trio.Nursery,
        count: int,
        slots: int,
        pause: float,
        deadline: float,
    ) -> None:
        """Start the instances and the proxy.

        ``deadline`` is that of both routes, in seconds. Without a count, there
        is one instance that the test itself plays.
        """
        values = []
        for number in range(count):
            # The proxy names the instance that it means in each request.
            value = configuration.instance_value(number)
            instance = users_instance.InstanceStandin(value["id"], pause)
            served = await nursery.start(instance.serve, path.IP)
            self.instances.append(instance)
            values.append(value | {"address": served.address})
        if not count:
            value = configuration.instance_value(0)
            values.append(value | {"address": self.played.address})
        service = configuration.service_value(
            instances=values,
            floor=1,
            slots=slots,
            routes=path.route_values(deadline),
        )
        self.application.set_document(
            configuration.assembled(service).document
        )
        self.server.set_bounds(BOUNDS)
        self.application.bounds = BOUNDS
        nursery.start_soon(self.application.run_timed_tasks)
        self.port = await nursery.start(self.server.run, path.IP, 0)
        await self.settle()

    async def settle(self) -> None:
        """Let all tasks do what they can without time passing."""
        for _ in range(PASSES):
            await trio.lowlevel.checkpoint()

    async def advance(self, seconds: float) -> None:
        """Let time pass in small steps."""
        while seconds > 0.0:
            self.clock.jump(min(STEP, seconds))
            seconds -= STEP
            for _ in range(4):
                await trio.lowlevel.checkpoint()

    async def freeze(self, seconds: float) -> None:
        """Let time pass in which the proxy does nothing."""
        self.clock.jump(seconds)
        await self.settle()

    def stop(self) -> None:
        """Begin a planned stop."""
        now = trio.current_time()
        self.application.closing = True
        self.application.begin_stop(
            planned_stop.plan_within(now, STOP_SECONDS)
        )

    def evict(self, fraction: float = 0.0) -> None:
        """Give up connections until a fraction of what they hold is left."""
        limit = self.account.limit
        self.account.limit = int(self.account.held * fraction)
        self.account.relieve()
        self.account.limit = limit

    def send(
        self, data: bytes, caller: "Caller | None" = None, size: int = -1
    ) -> "Caller":
        """Begin a request, whole unless a size is given."""
        caller = caller or self.connect()
        caller.begin(data, len(data) if size < 0 else size)
        return caller

    def connect(self, receive_buffer: int = 0) -> "Caller":
        """Open a caller's connection; bytes that its kernel holds if given."""
        caller = Caller(self.port, receive_buffer)
        self.callers.append(caller)
        return caller

    def permits(self) -> list[tuple[str, run_permit.RunPermit]]:
        """Return the ids of all requests whose head was read, and permits."""
        return [
            (pipelines.find_id(_encode_head(request)), request.permit)
            for connection in self.server._connections
            for request in connection._requests
            if request.protocol.has_head and request.protocol.stream
        ]

    def ids_run(self) -> list[str]:
        """Return the ids of all runs at the instances."""
        return [
            run.request_id
            for instance in self.instances
            for run in instance.runs
        ]

    def statuses(self) -> dict[str, int]:
        """Return the status of each answered request by its id."""
        statuses_by_id = {}
        for caller in self.callers:
            statuses_by_id.update(caller.statuses())
        return statuses_by_id

    def broken_promises(self) -> list[str]:
        """Return the ids of requests that were refused and have run."""
        run = set(self.ids_run())
        return [
            request_id
            for request_id, status in self.statuses().items()
            if status in PROMISES and request_id in run
        ]


def _encode_head(request: pipelining.PipelinedRequest) -> bytes:
    lines = request.protocol.stream.scope["headers"]
    return b"\r\n".join(b": ".join(line) for line in lines)


class PlayedInstance:
    """An instance whose process is the test, so it acts during a freeze."""

    def __init__(self) -> None:
        self._listener = socket.create_server((path.IP, 0))
        self._listener.setblocking(False)
        self._connection: socket.socket | None = None
        self.address = "{}:{}".format(*self._listener.getsockname())

    def read(self) -> bytes:
        """Return what has arrived on the first connection."""
        with contextlib.suppress(BlockingIOError):
            if self._connection is None:
                self._connection, _ = self._listener.accept()
                self._connection.setblocking(False)
            return self._connection.recv(2**20)
        return b""

    def answer(self, request_id: str, body: bytes) -> None:
        """Send an answer."""
        head = (
            "HTTP/1.1 200 OK\r\n"
            f"primrosemill-request-id: {request_id}\r\n"
            "primrosemill-server-signature: by.res-0\r\n"
            f"content-length: {len(body)}\r\n\r\n"
        )
        self._connection.sendall(head.encode() + body)

    def send(self, data: bytes) -> bool:
        """Send bytes as they are; return whether the connection is open."""
        try:
            self._connection.send(data)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return True

    def close(self) -> None:
        """Close all sockets."""
        self._listener.close()
        if self._connection is not None:
            self._connection.close()


class Caller:
    """A connection whose sends never wait."""

    def __init__(self, port: int, receive_buffer: int = 0) -> None:
        self._socket = socket.socket()
        if receive_buffer:
            self._socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer
            )
        self._socket.connect((path.IP, port))
        self._socket.setblocking(False)
        self._received = b""
        self._unsent = b""
        self.ids: list[str] = []
        self.is_closed = False

    def begin(self, data: bytes, size: int) -> None:
        """Send the first bytes of a request."""
        self.ids.append(pipelines.find_id(data))
        self._unsent = self.send(data[:size]) + data[size:]

    def finish(self) -> None:
        """Send the rest of the request that was begun, as far as it goes."""
        self._unsent = self.send(self._unsent)

    @property
    def is_within_request(self) -> bool:
        """Return whether a request was begun and not finished."""
        return bool(self._unsent)

    def close(self) -> None:
        """Disconnect."""
        self.answers()
        self._unsent = b""
        self._socket.close()

    def statuses(self) -> dict[str, int]:
        """Return the status of each answered request by its id.

        Answers come in the order of the requests.
        """
        return {
            request_id: answer.status
            for request_id, answer in zip(
                self.ids, self.answers(), strict=False
            )
        }

    def answers(self) -> list[pipelines.Answer]:
        """Read what has arrived, and return the complete answers."""
        self.read()
        return pipelines.parse(self._received)

    def read(self) -> bytes:
        """Read what has arrived, and return all that was received so far."""
        try:
            while data := self._socket.recv(65_536):
                self._received += data
            self.is_closed = True
        except BlockingIOError:
            pass
        except OSError:
            self.is_closed = True
        return self._received

    def send(self, data: bytes) -> bytes:
        """Send bytes; return those that the kernel doesn't take.

        A connection that is gone takes all.
        """
        try:
            return data[self._socket.send(data) :]
        except BlockingIOError:
            return data
        except OSError:
            return b""


def booking(request_id: str, **changes: typing.Any) -> bytes:
    """Return a request that must not run twice."""
    return pipelines.request(
        request_id, path.NON_IDEMPOTENT_PATH, "POST", **changes
    )


def read(request_id: str, **changes: typing.Any) -> bytes:
    """Return a request that may run twice."""
    return pipelines.request(request_id, path.IDEMPOTENT_PATH, **changes)


def run(
    check: typing.Callable[[World], typing.Awaitable[None]],
    count: int = 2,
    slots: int = 3,
    pause: float = 0.0,
    policies: request_policies.Policies | None = None,
    deadline: float = 5.0,
) -> None:
    """Run a check with a proxy whose clock moves only with the check."""
    clock = trio.testing.MockClock()

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            world = World(clock, policies)
            await world.start(nursery, count, slots, pause, deadline)
            await check(world)
            for caller in world.callers:
                caller.close()
            world.played.close()
            nursery.cancel_scope.cancel()

    trio.run(main, clock=clock)
