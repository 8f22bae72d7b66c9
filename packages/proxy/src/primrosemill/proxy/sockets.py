"""Reads and writes non-blocking sockets with few scheduler passes.

trio's own socket methods run a scheduler pass (a checkpoint) for each call,
even if it need not wait. A request crosses four sockets, so that is a good
part of its cost. Here only calls that must wait do so, and those after much
data, so that a bulk transfer does not starve other tasks.
"""

import errno
import select
import socket
import struct
import typing

import trio

YIELD_THRESHOLD = 16_384  # bytes transferred before yielding to the scheduler
# Each receive counts as this many bytes in addition to its data, so that a
# peer that always has a few bytes ready can't monopolise the event loop.
CALL_COST = 512  # bytes
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # struct linger: on, 0 seconds
CLOSED_FD = -1  # file descriptor of a closed socket


class Buffers(typing.NamedTuple):
    """How many bytes the kernel holds for a connection, each way.

    Without a bound, the kernel may let unread bytes grow to tens of megabytes
    for each connection.
    """

    receive: int
    send: int


class Socket:
    """A connected, non-blocking TCP socket; ``address`` is the peer's IP."""

    def __init__(self, sock: socket.socket, address: str = "") -> None:
        self.address = address
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._socket = sock
        self._since_checkpoint = 0

    @property
    def closed(self) -> bool:
        """Return whether this side closed the socket."""
        return self._socket.fileno() == CLOSED_FD

    async def receive(self, max_bytes: int) -> bytes:
        """Receive bytes, empty at the end of stream; raises OSError."""
        while True:
            try:
                data = self._socket.recv(max_bytes)
            except BlockingIOError:
                await wait_readable(self._socket)
                self._since_checkpoint = 0
                continue
            self._since_checkpoint += len(data) + CALL_COST
            if self._since_checkpoint >= YIELD_THRESHOLD:
                self._since_checkpoint = 0
                await trio.lowlevel.checkpoint()
            return data

    async def send_some(self, data: memoryview) -> int:
        """Send what the kernel accepts, at least a byte; raises OSError."""
        while True:
            try:
                sent = self._socket.send(data)
            except BlockingIOError:
                await wait_writable(self._socket)
                continue
            if sent >= YIELD_THRESHOLD:
                await trio.lowlevel.cancel_shielded_checkpoint()
            return sent

    async def send_all(self, data: bytes) -> None:
        """Send all bytes; raises OSError."""
        view = memoryview(data)
        while view:
            view = view[await self.send_some(view) :]

    def is_readable(self) -> bool:
        """Return whether received bytes or the end of stream can be read."""
        return self.closed or self._poll(select.POLLIN)

    def is_writable(self) -> bool:
        """Return whether the kernel accepts bytes, or the peer is gone."""
        return self.closed or self._poll(select.POLLOUT)

    def _poll(self, condition: int) -> bool:
        poller = select.poll()
        poller.register(self._socket, condition)
        return bool(poller.poll(0))

    def shutdown_write(self) -> None:
        """Shut down the sending side."""
        try:
            self._socket.shutdown(socket.SHUT_WR)
        except OSError:
            return

    def close(self) -> None:
        """Close the socket; tasks waiting for it get an OSError."""
        if self.closed:
            return
        trio.lowlevel.notify_closing(self._socket)
        self._socket.close()

    def reset(self) -> None:
        """Reset, so that the peer can't mistake the data for complete."""
        if self.closed:
            return
        self._socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
        )
        self.close()


async def wait_readable(sock: socket.socket) -> None:
    """Wait until readable; raises OSError if this side closes the socket."""
    try:
        await trio.lowlevel.wait_readable(sock)
    except trio.ClosedResourceError as error:
        raise OSError(errno.EBADF, "closed") from error


async def wait_writable(sock: socket.socket) -> None:
    """Wait until writable; raises OSError if this side closes the socket."""
    try:
        await trio.lowlevel.wait_writable(sock)
    except trio.ClosedResourceError as error:
        raise OSError(errno.EBADF, "closed") from error


async def connect(
    ip: str, port: int, buffers: Buffers | None = None
) -> Socket:
    """Open a connection; raises OSError, also if it is refused."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    connected = Socket(sock)
    try:
        if buffers is not None:
            set_buffers(sock, buffers)
        error = sock.connect_ex((ip, port))
        if error == errno.EINPROGRESS:
            await wait_writable(sock)
            error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            raise OSError(error, errno.errorcode[error])
    except BaseException:
        connected.close()
        raise
    return connected


def listen(
    ip: str, port: int, backlog: int, buffers: Buffers | None = None
) -> socket.socket:
    """Open a listening socket; raises OSError.

    Accepted connections have its buffers.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        if buffers is not None:
            set_buffers(sock, buffers)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((ip, port))
        sock.listen(backlog)
    except BaseException:
        sock.close()
        raise
    return sock


def set_buffers(sock: socket.socket, buffers: Buffers) -> None:
    """Bound what the kernel holds, before the socket is connected."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffers.receive)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, buffers.send)


async def accept(listener: socket.socket) -> Socket:
    """Accept one connection; raises OSError."""
    while True:
        try:
            sock, (address, _) = listener.accept()
            return Socket(sock, address)
        except BlockingIOError:
            await wait_readable(listener)
