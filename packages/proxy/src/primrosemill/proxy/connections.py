"""Keeps idle connections to instances and says which may be used again."""

import typing

import httpcore
import trio

from primrosemill.configuration import document as documents
from primrosemill.proxy import wire

IDLE_LIFETIME = 30.0  # seconds
# A server closes connections that were idle for long. One that served a
# request this lately is unlikely to close just as the next is written.
FRESH_FOR = 1.0  # seconds
# The instance's clock for an idle connection started before ours.
IDLE_SHARE = 0.8  # of the time that an instance keeps an idle connection
IDLE_LIMIT = 16  # connections to one instance


Address = tuple[str, int]


def _address(instance: documents.Instance) -> Address:
    """Return what tells instances apart; ids do so within a service only."""
    return instance.ip, instance.port


class _NoLock:
    """Stands in for a lock where one task has the connection to itself."""

    async def __aenter__(self) -> None:
        return

    async def __aexit__(self, *error: object) -> None:
        return


class HttpConnection(httpcore.AsyncHTTP11Connection):
    """An HTTP connection that only its attempt uses.

    Each take of httpcore's lock is a pass of the scheduler, two a request.
    """

    def __init__(
        self, origin: httpcore.Origin, stream: wire.InstanceStream
    ) -> None:
        super().__init__(origin, stream)
        self._state_lock = _NoLock()

    def is_reusable(self) -> bool:
        """Tell whether the answer was whole and nothing came after it.

        Bytes beyond the answer would be read as the answer to the next
        request, which is somebody else's.
        """
        surplus, _ = self._h11_state.trailing_data
        return self.is_idle() and not surplus


class Connection(typing.NamedTuple):
    """An HTTP connection and the stream below it."""

    http: HttpConnection
    stream: wire.InstanceStream


class Idle(typing.NamedTuple):
    """A connection that may be used again, since when and until when."""

    connection: Connection
    since: float
    until: float


class Connections:
    """Holds the idle connections of this VM to all instances."""

    def __init__(self) -> None:
        self._idle_by_address: dict[Address, list[Idle]] = {}

    def take_idle(
        self, instance: documents.Instance, idempotent: bool
    ) -> Connection | None:
        """Return the connection used last, or None if none is fit.

        A request that must not be repeated gets only one that was in use a
        moment ago: a new connection costs about a millisecond, an unknown
        outcome costs the caller its request.
        """
        idle = self._idle_by_address.get(_address(instance))
        if not idle:
            return None
        now = trio.current_time()
        lifetime = IDLE_LIFETIME if idempotent else FRESH_FOR
        while idle:
            if now - idle[-1].since > lifetime:
                return None
            connection, _, until = idle.pop()
            if now < until and not connection.stream.is_readable():
                return connection
            connection.stream.close()
        return None

    async def open(self, instance: documents.Instance) -> Connection:
        """Open a connection; raises OSError."""
        stream = await wire.connect(instance)
        origin = httpcore.Origin(b"http", instance.ip.encode(), instance.port)
        return Connection(HttpConnection(origin, stream), stream)

    def put_back(
        self,
        instance: documents.Instance,
        connection: Connection,
        idle_time: float | None = None,
    ) -> None:
        """Keep a connection whose answer was read whole.

        ``idle_time`` is what the instance says it keeps it, in seconds.
        """
        idle = self._idle_by_address.setdefault(_address(instance), [])
        if not connection.http.is_reusable() or len(idle) >= IDLE_LIMIT:
            connection.stream.close()
            return
        now = trio.current_time()
        lifetime = IDLE_LIFETIME
        if idle_time is not None:
            lifetime = min(lifetime, idle_time * IDLE_SHARE)
        idle.append(Idle(connection, now, now + lifetime))

    def close_expired(self) -> None:
        """Close what was idle for too long; call it now and then."""
        now = trio.current_time()
        for address, idle in list(self._idle_by_address.items()):
            while idle and idle[0].until < now:
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
