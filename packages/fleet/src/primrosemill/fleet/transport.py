"""Sends and receives sealed messages: UDP through trio, TCP through pynng.

Heartbeats and evidence are sent as UDP datagrams. These cost a fraction of a
pynng message and need no connection per peer, in a fleet of 690 VMs;
docs/design/wire.md has the figures. Values are pulled by request and reply
over TCP connections that are closed after the pull.
"""

import collections
import socket
import typing

import pynng
import trio

from primrosemill.fleet import messages
from primrosemill.fleet import wire

REPLY_TASK_COUNT = 4
REQUEST_TIMEOUT = 1.0  # seconds
MILLISECONDS_PER_SECOND = 1_000
MAX_BIND_ATTEMPTS = 20
# Datagrams read at once; more stay in the socket for the next time.
MAX_DATAGRAMS_PER_READ = 512
# Messages handled before other tasks run. A VM with much to do needs up to
# 0.1 s until the next ones.
MESSAGES_PER_PASS = 64
INBOX_LIMIT = 2_048  # messages that are read and not yet handled
# Messages that forbid requests which this VM would send otherwise. They are
# handled as soon as they are read, before earlier messages of other kinds.
NEWS_TYPES = (
    messages.Changes,
    messages.Departure,
    messages.Limits,
    messages.Suspicions,
)

RefusalObserver = typing.Callable[[wire.RefusalReason], None]
PullHandler = typing.Callable[[messages.Pull], messages.PullAnswer]
DatagramHandler = typing.Callable[[wire.Received], typing.Awaitable[None]]
NewsHandler = typing.Callable[[wire.Received], None]
# Called with the address of a peer, a message and its size in bytes.
TransferObserver = typing.Callable[[str, int, messages.Message, int], None]


def _ignore_transfer(
    ip: str, port: int, message: messages.Message, size: int
) -> None:
    pass


def _ignore_news(received: wire.Received) -> None:
    pass


class Transport:
    """The UDP and TCP sockets of one VM for its peers, on one port number.

    ``on_transfer`` is called for each datagram sent and each answer pulled,
    ``on_news`` for each message of :data:`NEWS_TYPES` as it is read.
    """

    def __init__(
        self,
        ip: str,
        sealer: wire.Sealer,
        opener: wire.Opener,
        observe_refusal: RefusalObserver,
    ) -> None:
        self.port = 0
        self.on_transfer: TransferObserver = _ignore_transfer
        self._ip = ip
        self._sealer = sealer
        self._opener = opener
        self._observe_refusal = observe_refusal
        self._datagram_socket: socket.socket | None = None
        self._reply_socket: pynng.Rep0 | None = None
        self._inbox: collections.deque[wire.Received] = collections.deque()
        self._wait_scope = trio.CancelScope()
        self.on_news: NewsHandler = _ignore_news

    async def bind(self, port: int) -> None:
        """Open both sockets; port 0 stands for any port that is free for both.

        Raises OSError if the address cannot be used.
        """
        for _ in range(MAX_BIND_ATTEMPTS):
            self._datagram_socket = _bind_datagram_socket(self._ip, port)
            self.port = self._datagram_socket.getsockname()[1]
            try:
                self._reply_socket = pynng.Rep0(
                    listen=self.url(self._ip, self.port),
                    recv_max_size=wire.STREAM_SIZE_LIMIT,
                )
                return
            except pynng.AddressInUse:
                self._datagram_socket.close()
                if port:
                    break
        raise OSError(f"{self._ip}:{port} is in use")

    def close(self) -> None:
        """Close both sockets."""
        if self._datagram_socket is not None:
            self._datagram_socket.close()
        if self._reply_socket is not None:
            self._reply_socket.close()

    async def send(
        self, ip: str, port: int, message: messages.Message
    ) -> None:
        """Send a datagram; a send error is ignored, like a lost datagram.

        Other tasks run meanwhile only if the socket's buffer is full, so that
        messages to many peers leave in one pass of the event loop.
        """
        data = self._sealer.seal(message)
        try:
            await self._send_datagram(data, (ip, port))
        except OSError:
            return
        self.on_transfer(ip, port, message, len(data))

    async def _send_datagram(
        self, data: bytes, address: tuple[str, int]
    ) -> None:
        try:
            self._datagram_socket.sendto(data, address)
        except BlockingIOError:
            await trio.lowlevel.wait_writable(self._datagram_socket)
            self._datagram_socket.sendto(data, address)

    async def receive(self, handle: DatagramHandler) -> None:
        """Call ``handle`` with each valid datagram, until cancelled.

        It is not called for news, which ``on_news`` gets.
        """
        while True:
            if not self._inbox:
                with trio.CancelScope() as self._wait_scope:
                    await trio.lowlevel.wait_readable(self._datagram_socket)
            await self.handle_arrived(handle)
            await trio.lowlevel.checkpoint()

    async def handle_arrived(self, handle: DatagramHandler) -> None:
        """Call ``handle`` with the datagrams that have arrived."""
        self.read_arrived()
        for _ in range(min(MESSAGES_PER_PASS, len(self._inbox))):
            await handle(self._inbox.popleft())

    def read_arrived(self) -> None:
        """Read the datagrams that have arrived, and handle the news.

        A VM with much to do calls this before it relies on what it knows, as
        :meth:`receive` may get its turn much later.
        """
        for _ in range(MAX_DATAGRAMS_PER_READ):
            try:
                data = self._datagram_socket.recv(wire.DATAGRAM_SIZE_LIMIT + 1)
            except ConnectionError:
                # An earlier datagram was sent to a closed port.
                continue
            except OSError:
                # Nothing more has arrived, or this VM stops.
                return
            received = self._open(data, wire.DATAGRAM_SIZE_LIMIT)
            if received is None:
                continue
            if isinstance(received.message, NEWS_TYPES):
                self.on_news(received)
                continue
            if len(self._inbox) >= INBOX_LIMIT:
                # Later messages of a peer repeat what earlier ones said.
                self._inbox.popleft()
                self._observe_refusal(wire.RefusalReason.INBOX_FULL)
            self._inbox.append(received)
            # The task that handles them may wait for the socket, which has
            # nothing more to read.
            self._wait_scope.cancel()

    async def answer_pulls(self, handle: PullHandler) -> None:
        """Answer pulls until cancelled, a few at a time."""
        async with trio.open_nursery() as nursery:
            for _ in range(REPLY_TASK_COUNT):
                nursery.start_soon(self._answer_on_context, handle)

    async def _answer_on_context(self, handle: PullHandler) -> None:
        with self._reply_socket.new_context() as context:
            while True:
                data = await context.arecv()
                received = self._open(data, wire.STREAM_SIZE_LIMIT)
                if received is None:
                    continue
                if not isinstance(received.message, messages.Pull):
                    self._observe_refusal(wire.RefusalReason.UNEXPECTED_KIND)
                    continue
                answer = self._sealer.seal(handle(received.message))
                try:
                    await context.asend(answer)
                except pynng.NNGException:
                    # The requesting VM has gone in the meantime.
                    continue

    def _open(self, data: bytes, size_limit: int) -> wire.Received | None:
        result = self._opener.open(data, size_limit)
        if result.is_error():
            self._observe_refusal(result.error)
            return None
        return result.ok

    def open_pull_connection(self, ip: str, port: int) -> "PullConnection":
        """Return a context manager for pulling values from one VM."""
        return PullConnection(self, ip, port)

    async def send_pull(
        self, requester: pynng.Req0, peer: tuple[str, int], pull: messages.Pull
    ) -> messages.PullAnswer | None:
        """Send one pull to a peer and return its answer, or None."""
        try:
            await requester.asend(self._sealer.seal(pull))
            data = await requester.arecv()
        except pynng.NNGException:
            return None
        received = self._open(data, wire.STREAM_SIZE_LIMIT)
        if received is None:
            return None
        answer = received.message
        if not isinstance(answer, messages.PullAnswer):
            self._observe_refusal(wire.RefusalReason.UNEXPECTED_KIND)
            return None
        self.on_transfer(*peer, answer, len(data))
        return answer if answer.nonce == pull.nonce else None

    @staticmethod
    def url(ip: str, port: int) -> str:
        """Return the pynng URL of an address."""
        host = f"[{ip}]" if ":" in ip else ip
        return f"tcp://{host}:{port}"


class PullConnection:
    """A connection to one VM for pulls, closed when its context ends."""

    def __init__(self, transport: Transport, ip: str, port: int) -> None:
        self._transport = transport
        self._peer = ip, port
        self._nonce = 0
        self._socket: pynng.Req0 | None = None

    def __enter__(self) -> "PullConnection":
        timeout = int(REQUEST_TIMEOUT * MILLISECONDS_PER_SECOND)
        self._socket = pynng.Req0(
            recv_timeout=timeout,
            send_timeout=timeout,
            recv_max_size=wire.STREAM_SIZE_LIMIT,
        )
        self._socket.dial(self._transport.url(*self._peer), block=False)
        return self

    def __exit__(self, *_: object) -> None:
        self._socket.close()

    async def pull(
        self, wants: tuple[messages.Want, ...]
    ) -> messages.PullAnswer | None:
        """Request values; return None if no valid answer came in time."""
        self._nonce += 1
        pull = messages.Pull(self._nonce, wants)
        return await self._transport.send_pull(self._socket, self._peer, pull)


def _bind_datagram_socket(ip: str, port: int) -> socket.socket:
    family = socket.AF_INET6 if ":" in ip else socket.AF_INET
    datagram_socket = socket.socket(family, socket.SOCK_DGRAM)
    datagram_socket.setblocking(False)
    datagram_socket.bind((ip, port))
    return datagram_socket
