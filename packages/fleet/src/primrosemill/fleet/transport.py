"""Carries sealed messages: datagrams by trio, pulls by pynng over TCP.

Heartbeats and evidence go as UDP datagrams, which cost a fraction of a pynng
message and need no connection to each of 690 VMs; docs/design/wire.md has
the figures. Values go by request and reply over connections that last for
one pull.
"""

import typing

import pynng
import trio

from primrosemill.fleet import messages
from primrosemill.fleet import wire

REPLY_TASKS = 4
REQUEST_TIMEOUT = 1.0  # seconds
MILLISECONDS = 1_000
BIND_ATTEMPTS = 20
RECEIVE_PAUSE = 0.01  # seconds after the network gave an error

RefusalObserver = typing.Callable[[wire.RefusalReason], None]
PullHandler = typing.Callable[[messages.Pull], messages.PullAnswer]
DatagramHandler = typing.Callable[[wire.Received], typing.Awaitable[None]]


# Gets the address of a peer, a message and its size in bytes.
TransferObserver = typing.Callable[[str, int, messages.Message, int], None]


def _ignore_transfer(
    ip: str, port: int, message: messages.Message, size: int
) -> None:
    pass


class Transport:
    """The sockets of one VM towards its peers, on one port number.

    ``on_transfer`` is told of each datagram sent and each value pulled.
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
        self._datagrams: trio.socket.SocketType | None = None
        self._replies: pynng.Rep0 | None = None

    async def bind(self, port: int) -> None:
        """Open both sockets; port 0 takes a number that both have free.

        Raises OSError where the address can not be used.
        """
        for _ in range(BIND_ATTEMPTS):
            self._datagrams = await _bind_datagrams(self._ip, port)
            self.port = self._datagrams.getsockname()[1]
            try:
                self._replies = pynng.Rep0(
                    listen=self.url(self._ip, self.port),
                    recv_max_size=wire.STREAM_SIZE_LIMIT,
                )
                return
            except pynng.AddressInUse:
                self._datagrams.close()
                if port:
                    break
        raise OSError(f"{self._ip}:{port} is in use")

    def close(self) -> None:
        """Close both sockets."""
        if self._datagrams is not None:
            self._datagrams.close()
        if self._replies is not None:
            self._replies.close()

    async def send(
        self, ip: str, port: int, message: messages.Message
    ) -> None:
        """Send a datagram; one that can not be sent counts as lost."""
        data = self._sealer.seal(message)
        try:
            await self._datagrams.sendto(data, (ip, port))
        except OSError:
            return
        self.on_transfer(ip, port, message, len(data))

    async def receive(self, handle: DatagramHandler) -> None:
        """Hand over each datagram that passes its checks, for ever."""
        while True:
            try:
                data, _ = await self._datagrams.recvfrom(
                    wire.DATAGRAM_SIZE_LIMIT + 1
                )
            except ConnectionError:
                # An earlier datagram met a closed port.
                await trio.sleep(RECEIVE_PAUSE)
                continue
            received = self._open(data, wire.DATAGRAM_SIZE_LIMIT)
            if received is None:
                continue
            await handle(received)

    async def answer_pulls(self, handle: PullHandler) -> None:
        """Answer pulls for ever, a few at a time."""
        async with trio.open_nursery() as nursery:
            for _ in range(REPLY_TASKS):
                nursery.start_soon(self._answer_on_context, handle)

    async def _answer_on_context(self, handle: PullHandler) -> None:
        with self._replies.new_context() as context:
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
                    # The asking VM has gone meanwhile.
                    continue

    def _open(self, data: bytes, size_limit: int) -> wire.Received | None:
        result = self._opener.open(data, size_limit)
        if result.is_error():
            self._observe_refusal(result.error)
            return None
        return result.ok

    def open_requests(self, ip: str, port: int) -> "Requests":
        """Return a context in which values are pulled from one VM."""
        return Requests(self, ip, port)

    async def exchange(
        self, socket: pynng.Req0, peer: tuple[str, int], pull: messages.Pull
    ) -> messages.PullAnswer | None:
        """Send one pull to a peer and return its answer, or None."""
        try:
            await socket.asend(self._sealer.seal(pull))
            data = await socket.arecv()
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
        """Return how pynng names an address."""
        host = f"[{ip}]" if ":" in ip else ip
        return f"tcp://{host}:{port}"


class Requests:
    """A connection to one VM, closed at the end of its context."""

    def __init__(self, transport: Transport, ip: str, port: int) -> None:
        self._transport = transport
        self._peer = ip, port
        self._nonce = 0
        self._socket: pynng.Req0 | None = None

    def __enter__(self) -> "Requests":
        timeout = int(REQUEST_TIMEOUT * MILLISECONDS)
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
        """Ask for values; None where no answer came in time."""
        self._nonce += 1
        pull = messages.Pull(self._nonce, wants)
        return await self._transport.exchange(self._socket, self._peer, pull)


async def _bind_datagrams(ip: str, port: int) -> trio.socket.SocketType:
    family = trio.socket.AF_INET6 if ":" in ip else trio.socket.AF_INET
    datagrams = trio.socket.socket(family, trio.socket.SOCK_DGRAM)
    await datagrams.bind((ip, port))
    return datagrams
