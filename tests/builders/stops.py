"""Sends requests to a VM around its planned stop and judges their ends.

Times are seconds after the signal, negative before it.
"""

import functools
import typing

import h11
import trio

from primrosemill.configuration import checks
from primrosemill.standins import raw_tcp
from primrosemill.standins import users_instance
from tests.builders import pipelines
from tests.builders import users_platform as builders

READ_SIZE = 65_536  # bytes
OWN_TIME = 4.0  # of the grace: the time limit of a request that outlasts it
START_TIME = 0.6  # seconds before the signal in which requests are read
STREAMED_START = b"x" * 100_000  # more than a VM buffers of an answer
# The platform excuses what is broken off in the last sixth of the grace, if it
# was sent no later than this, and expects an answer to what was not passed on.
EXCUSED_SENT = 3.0  # seconds
EXCUSED_SHARE = 5 / 6
SIGNATURE = b"primrosemill-server-signature"
SERVICES = ("scarce", "brief", "streams-short", "streams-long")
REFUSED = 503
SERVED = 200


class Row(typing.NamedTuple):
    """A request of the table; ``at`` and ``work`` are in seconds.

    Its connection opens at ``opens_at``. ``parts`` of its bytes are sent one
    after the other with ``pause`` seconds between them. ``statuses`` are
    those that it may end with; None stands for an answer that breaks off.
    """

    name: str
    at: float
    statuses: tuple[int | None, ...]
    work: float = 0.0
    limit: float | None = None
    prefix: str = "/bookings/"
    opens_at: float | None = None
    parts: int = 1
    pause: float = 0.0
    # The latest end, in seconds after the last byte was sent.
    ends_within: float | None = None


class Call(typing.NamedTuple):
    """How a request ended for its caller; ``status`` is None for a cut."""

    row: Row
    limit: float
    sent: float
    read: float
    ended: float
    status: int | None
    by_instance: bool

    @property
    def id(self) -> str:
        """Return the id of the request."""
        return request_id(self.row)


def request_id(row: Row) -> str:
    return row.name.replace(" ", "-")


def find_fault(call: Call, ran: bool, grace: float) -> str | None:
    """Return which promise to a caller was broken, or None."""
    if call.status == REFUSED:
        return "refused, but it has run" if ran else None
    if call.by_instance and call.status is not None:
        return None
    if not ran:
        return "not passed on, and not refused"
    if call.ended - call.sent >= call.limit - 0.05:
        return None
    if call.sent <= EXCUSED_SENT and call.ended >= EXCUSED_SHARE * grace:
        return None
    return "passed on and broken off"


def describe(fault: str, call: Call) -> str:
    """Return a line on a call that ended as it should not."""
    return (
        f"{call.row.name}: {fault}; sent {call.sent:.2f}, read "
        f"{call.read:.2f}, ended {call.ended:.2f}, status {call.status}"
    )


class StreamingStandin(raw_tcp.TcpStandin):
    """Instance whose answer takes ``seconds``, the same for all requests."""

    def __init__(self, seconds: float) -> None:
        self._seconds = seconds
        self.ids_run: list[str] = []

    async def serve_stream(self, stream: trio.SocketStream) -> None:
        connection = h11.Connection(h11.SERVER)
        try:
            while (event := connection.next_event()) is h11.NEED_DATA:
                connection.receive_data(await stream.receive_some(READ_SIZE))
            if not isinstance(event, h11.Request):
                return
            name = dict(event.headers)[b"primrosemill-request-id"]
            self.ids_run.append(name.decode())
            head = h11.Response(
                status_code=SERVED,
                headers=[
                    (b"primrosemill-request-id", name),
                    (SIGNATURE, b"by.stream"),
                    (b"transfer-encoding", b"chunked"),
                ],
            )
            await stream.send_all(connection.send(head))
            await stream.send_all(
                connection.send(h11.Data(data=STREAMED_START))
            )
            await trio.sleep(self._seconds)
            await stream.send_all(connection.send(h11.EndOfMessage()))
        except trio.BrokenResourceError:
            return


class StoppingVm:
    """A VM that gets a signal while the requests of a table arrive.

    One instance takes many requests at once; the service ``scarce`` has one
    instance that takes one, ``brief`` likewise, and the ``streams`` take
    0.6 and 1.5 of the grace.
    """

    def __init__(self, built: builders.Running, grace: float) -> None:
        self.built = built
        self.grace = grace
        (self.instance,) = built.instances
        self.others = [
            users_instance.InstanceStandin(f"i-{name}")
            for name in ("scarce", "brief")
        ]
        self.streams = [
            StreamingStandin(0.6 * grace),
            StreamingStandin(1.5 * grace),
        ]
        self.calls: list[Call] = []
        self._began = 0.0

    async def walk(
        self, nursery: trio.Nursery, rows: typing.Sequence[Row]
    ) -> None:
        """Send the requests of a table around a stop, until all have ended."""
        await self._start_instances(nursery)
        self._began = trio.current_time() + START_TIME
        async with trio.open_nursery() as calls:
            for row in rows:
                self._set_work(row)
                calls.start_soon(self._call, row)
            await trio.sleep_until(self._began)
            calls.start_soon(self.built.vm.stop, "SIGTERM")

    @property
    def ids_run(self) -> set[str]:
        """Return the ids of the requests that instances have run."""
        ids = {
            run.request_id
            for each in (self.instance, *self.others)
            for run in each.runs
        }
        return ids.union(*(each.ids_run for each in self.streams))

    async def _start_instances(self, nursery: trio.Nursery) -> None:
        standins = (*self.others, *self.streams)
        for name, each in zip(SERVICES, standins, strict=True):
            served = await nursery.start(each.serve, builders.IP)
            entry = builders.entry(
                served.address,
                service=name,
                slots=50 if name.startswith("streams") else 1,
            )
            self.built.store.put_json(f"servers/i-{name}", entry)
        first = builders.entry(self.built.addresses[0], slots=50, sequence=9)
        self.built.store.put_json("servers/i-0", first)
        await trio.sleep(1.0)

    def _set_work(self, row: Row) -> None:
        for each in (self.instance, *self.others):
            each.pauses_by_id[request_id(row)] = row.work

    def _now(self) -> float:
        return trio.current_time() - self._began

    async def _call(self, row: Row) -> None:
        opens_at = row.at if row.opens_at is None else row.opens_at
        await trio.sleep_until(self._began + opens_at)
        ip, port = checks.split_address(self.built.settings.caller_address)
        limit = OWN_TIME * self.grace if row.limit is None else row.limit
        connection = h11.Connection(h11.CLIENT)
        async with await trio.open_tcp_stream(ip, port) as stream:
            await trio.sleep_until(self._began + row.at)
            sent = self._now()
            response, complete = None, False
            try:
                await self._send(stream, connection, row, limit)
                read = self._now()
                response, complete = await _read(stream, connection)
            except (trio.BrokenResourceError, h11.RemoteProtocolError):
                read = self._now()
        signed = response is not None and SIGNATURE in dict(response.headers)
        status = response.status_code if complete else None
        self.calls.append(
            Call(row, limit, sent, read, self._now(), status, signed)
        )

    async def _send(
        self,
        stream: trio.SocketStream,
        connection: h11.Connection,
        row: Row,
        limit: float,
    ) -> None:
        body = b"b" * 100 if row.parts > 1 else b""
        method = "GET" if row.prefix == "/slots/" else "POST"
        data = pipelines.request(
            request_id(row),
            f"{row.prefix}{request_id(row)}",
            method,
            body=body,
            time_left=int(limit * 1000),
        )
        connection.send(
            h11.Request(method=method, target="/", headers=[("host", "x")])
        )
        connection.send(h11.EndOfMessage())
        rest = data[len(data) - len(body) // 2 :] if body else b""
        await stream.send_all(data[: len(data) - len(rest)])
        if rest:
            await trio.sleep(row.pause)
            await stream.send_all(rest)


async def _read(
    stream: trio.SocketStream, connection: h11.Connection
) -> tuple[h11.Response | None, bool]:
    """Return the head of an answer, and whether the answer is complete."""
    response = None
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            try:
                data = await stream.receive_some(READ_SIZE)
            except trio.BrokenResourceError:
                return response, False
            if not data:
                return response, False
            connection.receive_data(data)
        elif isinstance(event, h11.Response):
            response = event
        elif isinstance(event, h11.EndOfMessage):
            return response, True


def document(grace: float) -> dict[str, typing.Any]:
    """Return routes whose time is longer than the grace."""
    timeout_ms = int(OWN_TIME * grace * 1000)
    build = functools.partial(
        builders.route, timeout_ms=timeout_ms, target_latency_ms=timeout_ms
    )
    routes = [
        build("/slots/", "idempotent"),
        build("/bookings/", "non_idempotent"),
        *(
            build(f"/{each}/", "non_idempotent", service=each)
            for each in SERVICES
        ),
    ]
    services = [builders.service(), *map(builders.service, SERVICES)]
    return builders.configuration(routes=routes, services=services)
