"""Reads and writes non-blocking sockets with few passes of the scheduler.

trio's own socket methods run a pass of the scheduler for each call, also
for those that need not wait. A request crosses four sockets, so that is a
good part of its cost. Here only a call that must wait does so, and one that
moved much data, so that a bulk transfer leaves room for others.
"""

import errno
import select
import socket
import struct

import trio

BULK_SIZE = 16_384  # bytes
# What a call counts beside its bytes: a peer that always has a few bytes ready
# must not keep the loop to itself either.
CALL_SIZE = 512  # bytes
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
CLOSED = -1  # file descriptor of a closed socket


class Socket:
    """A connected, non-blocking TCP socket."""

    def __init__(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._socket = sock
        self._since_pass = 0

    @property
    def closed(self) -> bool:
        """Tell whether this side closed it."""
        return self._socket.fileno() == CLOSED

    async def receive(self, max_bytes: int) -> bytes:
        """Receive bytes, empty at the end; raises OSError."""
        while True:
            try:
                data = self._socket.recv(max_bytes)
            except BlockingIOError:
                await wait_readable(self._socket)
                self._since_pass = 0
                continue
            self._since_pass += len(data) + CALL_SIZE
            if self._since_pass >= BULK_SIZE:
                self._since_pass = 0
                await trio.lowlevel.checkpoint()
            return data

    async def send_some(self, data: memoryview) -> int:
        """Send what the kernel takes, at least one byte; raises OSError."""
        while True:
            try:
                sent = self._socket.send(data)
            except BlockingIOError:
                await wait_writable(self._socket)
                continue
            if sent >= BULK_SIZE:
                await trio.lowlevel.cancel_shielded_checkpoint()
            return sent

    async def send_all(self, data: bytes) -> None:
        """Send all bytes; raises OSError."""
        view = memoryview(data)
        while view:
            view = view[await self.send_some(view) :]

    def is_readable(self) -> bool:
        """Tell whether bytes or the peer's close wait to be read."""
        if self.closed:
            return True
        poller = select.poll()
        poller.register(self._socket, select.POLLIN)
        return bool(poller.poll(0))

    def end_sending(self) -> None:
        """Tell the peer that nothing follows."""
        try:
            self._socket.shutdown(socket.SHUT_WR)
        except OSError:
            return

    def close(self) -> None:
        """Close; who waits for it gets an OSError."""
        if self.closed:
            return
        trio.lowlevel.notify_closing(self._socket)
        self._socket.close()

    def reset(self) -> None:
        """Close so that the peer can't take what it got as whole."""
        if self.closed:
            return
        self._socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
        )
        self.close()


async def wait_readable(sock: socket.socket) -> None:
    """Wait for bytes; raises OSError once the socket is closed here."""
    try:
        await trio.lowlevel.wait_readable(sock)
    except trio.ClosedResourceError as error:
        raise OSError(errno.EBADF, "closed") from error


async def wait_writable(sock: socket.socket) -> None:
    """Wait for space; raises OSError once the socket is closed here."""
    try:
        await trio.lowlevel.wait_writable(sock)
    except trio.ClosedResourceError as error:
        raise OSError(errno.EBADF, "closed") from error


async def connect(ip: str, port: int) -> Socket:
    """Open a connection; raises OSError, also for a refusal."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    connected = Socket(sock)
    try:
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


def listen(ip: str, port: int, backlog: int) -> socket.socket:
    """Open a listening socket; raises OSError."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((ip, port))
        sock.listen(backlog)
    except BaseException:
        sock.close()
        raise
    return sock


async def accept(listener: socket.socket) -> Socket:
    """Accept one connection; raises OSError."""
    while True:
        try:
            return Socket(listener.accept()[0])
        except BlockingIOError:
            await wait_readable(listener)
