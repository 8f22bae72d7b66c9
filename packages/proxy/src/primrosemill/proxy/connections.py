"""Pools idle connections to instances and decides which may be reused."""

import typing

import httpcore
import trio

from primrosemill.configuration import document as documents
from primrosemill.proxy import instance_stream
from primrosemill.published import bounded_connection

IDLE_LIFETIME = 30.0  # seconds
# Instances close connections that were idle for long. One that was used this
# recently is unlikely to be closed while the next request is being written.
MAX_IDLE_NON_IDEMPOTENT = 1.0  # seconds
# Fraction of the instance's keep-alive timeout that is used: the timeout
# started at the instance before the connection became idle here.
KEEP_ALIVE_FRACTION = 0.8
MAX_IDLE_PER_INSTANCE = 16  # connections to one instance


Address = tuple[str, int]


def _address(instance: documents.Instance) -> Address:
    """Return the pool key; instance ids are unique within a service only."""
    return instance.ip, instance.port


class _NoLock:
    """A lock that does nothing, for a connection used by one task only."""

    async def __aenter__(self) -> None:
        return

    async def __aexit__(self, *error: object) -> None:
        return


class HttpConnection(bounded_connection.BoundedConnection):
    """An HTTP connection that is used by a single task at a time.

    It omits httpcore's lock, which costs two scheduler passes per request.
    """

    def __init__(
        self,
        origin: httpcore.Origin,
        stream: instance_stream.InstanceStream,
        turns: bounded_connection.Turns | None = None,
    ) -> None:
        super().__init__(origin, stream, turns=turns)
        self._state_lock = _NoLock()

    def is_reusable(self) -> bool:
        """Return whether the answer was complete and nothing followed it.

        Surplus bytes would be read as the answer to the next request, which
        may belong to another caller.
        """
        surplus, _ = self._h11_state.trailing_data
        return self.is_idle() and not surplus


class Connection(typing.NamedTuple):
    """An HTTP connection and the stream below it."""

    http: HttpConnection
    stream: instance_stream.InstanceStream


class IdleConnection(typing.NamedTuple):
    """A reusable connection; ``idle_since`` and ``expires`` are trio times."""

    connection: Connection
    idle_since: float
    expires: float


class Connections:
    """The pool of this VM's idle connections to all instances.

    All connections share the turns at answers with much to parse.
    """

    def __init__(self, turns: bounded_connection.Turns | None = None) -> None:
        self._turns = turns
        self._idle_by_address: dict[Address, list[IdleConnection]] = {}

    def take_idle(
        self,
        instance: documents.Instance,
        idempotent: bool,
        request_id: bytes | None = None,
    ) -> Connection | None:
        """Return the most recently used connection, or None if unsuitable.

        A non-idempotent request gets only a connection that was used just
        before: a new connection costs about a millisecond, an unknown
        outcome costs the caller its request. A connection on which the
        instance refused this very request is closed: a late copy of the
        refusal would be taken for the answer to the next try.
        """
        idle = self._idle_by_address.get(_address(instance))
        if not idle:
            return None
        now = trio.current_time()
        lifetime = IDLE_LIFETIME if idempotent else MAX_IDLE_NON_IDEMPOTENT
        while idle:
            if now - idle[-1].idle_since > lifetime:
                return None
            connection, _, expires = idle.pop()
            if (
                now < expires
                and not connection.stream.is_readable()
                and not connection.stream.has_refused(request_id)
            ):
                return connection
            connection.stream.close()
        return None

    def has_idle(self, instance: documents.Instance) -> bool:
        """Return whether a connection to an instance is open and idle."""
        return bool(self._idle_by_address.get(_address(instance)))

    async def open(self, instance: documents.Instance) -> Connection:
        """Open a connection; raises OSError."""
        stream = await instance_stream.connect(instance)
        origin = httpcore.Origin(b"http", instance.ip.encode(), instance.port)
        return Connection(HttpConnection(origin, stream, self._turns), stream)

    def put_new(
        self, instance: documents.Instance, connection: Connection
    ) -> None:
        """Add a connection that was not used yet to the pool."""
        idle = self._idle_by_address.setdefault(_address(instance), [])
        if len(idle) >= MAX_IDLE_PER_INSTANCE:
            connection.stream.close()
            return
        now = trio.current_time()
        idle.append(IdleConnection(connection, now, now + IDLE_LIFETIME))

    def put_back(
        self,
        instance: documents.Instance,
        connection: Connection,
        idle_time: float | None = None,
    ) -> None:
        """Return a connection to the pool after its answer was read.

        ``idle_time`` is the keep-alive timeout that the instance announced,
        in seconds. A connection that can't be reused is closed.
        """
        idle = self._idle_by_address.setdefault(_address(instance), [])
        if (
            not connection.http.is_reusable()
            or len(idle) >= MAX_IDLE_PER_INSTANCE
        ):
            connection.stream.close()
            return
        now = trio.current_time()
        lifetime = IDLE_LIFETIME
        if idle_time is not None:
            lifetime = min(lifetime, idle_time * KEEP_ALIVE_FRACTION)
        idle.append(IdleConnection(connection, now, now + lifetime))

    def close_expired(self) -> None:
        """Close connections idle for too long; to be called periodically."""
        now = trio.current_time()
        for address, idle in list(self._idle_by_address.items()):
            while idle and idle[0].expires < now:
                idle.pop(0).connection.stream.close()
            if not idle:
                del self._idle_by_address[address]

    def close_idle(self, instance: documents.Instance) -> None:
        """Close the idle connections to an instance that is leaving."""
        for each in self._idle_by_address.pop(_address(instance), ()):
            each.connection.stream.close()

    def close_all(self) -> None:
        """Close every idle connection."""
        for idle in self._idle_by_address.values():
            for each in idle:
                each.connection.stream.close()
        self._idle_by_address.clear()
