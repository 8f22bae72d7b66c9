"""Simulates clients that use up a server's memory, each in one way.

Run as a process, so that its work does not delay the clients beside it:
``python -m primrosemill.standins.misbehaving_clients CROWDS``. It runs until
it is killed. A client whose connection is closed opens the next one after a
pause.
"""

import enum
import socket
import typing

import click
import msgspec
import trio

from primrosemill.standins import users_platform

REQUEST_ID = "r-hostile"
TIME_LEFT = 2.0  # seconds
RECONNECT_PAUSE = 0.25  # seconds
SLOW_PAUSE = 0.3  # seconds between the bytes of a slow client
PIECE_SIZE = 400  # bytes of a small piece
BLOCK_SIZE = 65_536  # bytes that one call sends
BODY_SIZE = 4_000_000  # bytes of a body of legal size
FULL_SIZE = 67_108_864  # bytes of the largest legal body
HUGE_SIZE = 10_000_000_000  # bytes of a body far over the limit
FIELD = b"a:\r\n"  # the shortest header field
FIELD_COUNT = 2_600  # fields of a head within 16,384 bytes
PIPELINED_COUNT = 100  # requests sent in one call
LARGEST_HEAD = 16_000  # bytes
# A small window makes the server hold what the client does not read.
RECEIVE_BUFFER = 4_096  # bytes


class Shape(enum.StrEnum):
    """How a client misbehaves."""

    ONE_PIECE = "one_piece"  # a body that stops just short of its end
    SMALL_PIECES = "small_pieces"  # the same body in pieces of 400 bytes
    CHUNKED = "chunked"  # the same body in chunks
    TINY_CHUNKS = "tiny_chunks"  # the same body in chunks of a byte
    TINY_PIECES = "tiny_pieces"  # head and body in pieces of a byte
    FULL_SIZE = "full_size"  # the largest legal body, short of its end
    OVER_ANNOUNCED = "over_announced"  # far over the limit, with a length
    OVER_CHUNKED = "over_chunked"  # far over the limit, in chunks
    MANY_FIELDS = "many_fields"  # very many short header fields
    PIPELINED = "pipelined"  # many requests, and no answer is read
    SLOW_SEND = "slow_send"  # a byte of the head at a time
    SLOW_BODY = "slow_body"  # a byte of the body at a time
    SLOW_READ = "slow_read"  # a byte of the answer at a time
    HALF_HEAD = "half_head"  # nothing after half a head


Client = typing.Callable[[trio.SocketStream, str], typing.Awaitable[None]]


def head(
    method: str, path: str, *fields: bytes, time_left: float = TIME_LEFT
) -> bytes:
    """Return the start of a request, without the empty line at its end."""
    known_fields = users_platform.request_headers(REQUEST_ID, time_left)
    lines = [
        f"{method} {path} HTTP/1.1".encode(),
        *(f"{name}: {value}".encode() for name, value in known_fields.items()),
        *fields,
    ]
    return b"\r\n".join(lines) + b"\r\n"


def length_head(path: str, size: int, time_left: float = TIME_LEFT) -> bytes:
    """Return the complete head of a request with a body of a size."""
    length = b"content-length: %d" % size
    return head("POST", path, length, time_left=time_left) + b"\r\n"


def chunked_head(path: str) -> bytes:
    """Return the complete head of a request with a body in chunks."""
    return head("POST", path, b"transfer-encoding: chunked") + b"\r\n"


def fields_request(path: str, count: int = FIELD_COUNT) -> bytes:
    """Return a request of legal size with many short header fields."""
    return head("GET", path) + FIELD * count + b"\r\n"


async def _send_in(stream: trio.SocketStream, size: int, piece: int) -> None:
    """Send a number of bytes in pieces of a size."""
    data = b"x" * piece
    while size > 0:
        await stream.send_all(data[:size])
        size -= piece


async def _wait_for_close(stream: trio.SocketStream) -> None:
    async for _ in stream:
        pass


async def _send_short_body(
    stream: trio.SocketStream, path: str, size: int, piece: int
) -> None:
    await stream.send_all(length_head(path, size))
    await _send_in(stream, size - 1, piece)
    await _wait_for_close(stream)


async def _send_one_piece(stream: trio.SocketStream, path: str) -> None:
    await _send_short_body(stream, path, BODY_SIZE, BLOCK_SIZE)


async def _send_small_pieces(stream: trio.SocketStream, path: str) -> None:
    await _send_short_body(stream, path, BODY_SIZE, PIECE_SIZE)


async def _send_full_size(stream: trio.SocketStream, path: str) -> None:
    await _send_short_body(stream, path, FULL_SIZE, BLOCK_SIZE)


async def _send_chunks(
    stream: trio.SocketStream, path: str, size: int, chunk: bytes
) -> None:
    await stream.send_all(chunked_head(path))
    framed = b"%x\r\n%s\r\n" % (len(chunk), chunk)
    block = framed * max(1, BLOCK_SIZE // len(framed))
    for _ in range(size // len(block)):
        await stream.send_all(block)
    await _wait_for_close(stream)


async def _send_chunked(stream: trio.SocketStream, path: str) -> None:
    await _send_chunks(stream, path, BODY_SIZE, b"x" * 1_000)


async def _send_tiny_chunks(stream: trio.SocketStream, path: str) -> None:
    await _send_chunks(stream, path, BODY_SIZE, b"x")


async def _send_over_chunked(stream: trio.SocketStream, path: str) -> None:
    await _send_chunks(stream, path, HUGE_SIZE, b"x" * 8_000)


async def _send_over_announced(stream: trio.SocketStream, path: str) -> None:
    await _send_short_body(stream, path, HUGE_SIZE, BLOCK_SIZE)


async def _send_tiny_pieces(stream: trio.SocketStream, path: str) -> None:
    request = head("POST", path, b"content-length: %d" % BODY_SIZE)
    request += b"x-filler: " + b"y" * (LARGEST_HEAD - len(request)) + b"\r\n"
    for byte in request + b"\r\n":
        await stream.send_all(bytes((byte,)))
    await _send_in(stream, BODY_SIZE - 1, 1)


async def _send_many_fields(stream: trio.SocketStream, path: str) -> None:
    request = fields_request(path)
    while True:
        await stream.send_all(request)
        if not await stream.receive_some():
            return


async def _send_pipelined(stream: trio.SocketStream, path: str) -> None:
    block = (head("GET", path) + b"\r\n") * PIPELINED_COUNT
    while True:
        await stream.send_all(block)


async def _send_slowly(stream: trio.SocketStream, path: str) -> None:
    for byte in head("GET", path, b"x-filler: " + b"y" * 10_000):
        await stream.send_all(bytes((byte,)))
        await trio.sleep(SLOW_PAUSE)


async def _send_slow_body(stream: trio.SocketStream, path: str) -> None:
    await stream.send_all(length_head(path, BODY_SIZE))
    for _ in range(BODY_SIZE):
        await stream.send_all(b"x")
        await trio.sleep(SLOW_PAUSE)


async def _read_slowly(stream: trio.SocketStream, path: str) -> None:
    await stream.send_all((head("GET", path) + b"\r\n") * PIPELINED_COUNT)
    while True:
        if not await stream.receive_some(1):
            return
        await trio.sleep(SLOW_PAUSE)


async def _send_half_head(stream: trio.SocketStream, path: str) -> None:
    await stream.send_all(head("POST", path))
    await _wait_for_close(stream)


CLIENTS_BY_SHAPE: dict[Shape, Client] = {
    Shape.ONE_PIECE: _send_one_piece,
    Shape.SMALL_PIECES: _send_small_pieces,
    Shape.CHUNKED: _send_chunked,
    Shape.TINY_CHUNKS: _send_tiny_chunks,
    Shape.TINY_PIECES: _send_tiny_pieces,
    Shape.FULL_SIZE: _send_full_size,
    Shape.OVER_ANNOUNCED: _send_over_announced,
    Shape.OVER_CHUNKED: _send_over_chunked,
    Shape.MANY_FIELDS: _send_many_fields,
    Shape.PIPELINED: _send_pipelined,
    Shape.SLOW_SEND: _send_slowly,
    Shape.SLOW_BODY: _send_slow_body,
    Shape.SLOW_READ: _read_slowly,
    Shape.HALF_HEAD: _send_half_head,
}


async def run_client(ip: str, port: int, path: str, shape: Shape) -> None:
    """Misbehave until cancelled, on one connection at a time."""
    client = CLIENTS_BY_SHAPE[shape]
    while True:
        sock = trio.socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
        try:
            await sock.connect((ip, port))
            stream = trio.SocketStream(sock)
            await client(stream, path)
        except (OSError, trio.BrokenResourceError):
            # The server refused or closed the connection.
            pass
        finally:
            sock.close()
        await trio.sleep(RECONNECT_PAUSE)


class Crowd(typing.NamedTuple):
    """A number of clients of one shape that send to a path of an address."""

    address: str
    path: str
    shape: Shape
    count: int


async def run_crowds(crowds: typing.Iterable[Crowd]) -> None:
    """Run crowds of clients until cancelled."""
    async with trio.open_nursery() as nursery:
        for crowd in crowds:
            ip, _, port = crowd.address.rpartition(":")
            for _ in range(crowd.count):
                nursery.start_soon(
                    run_client, ip, int(port), crowd.path, crowd.shape
                )


@click.command()
@click.argument("crowds")
def main(crowds: str) -> None:
    """Run CROWDS, a JSON list of [ADDRESS, PATH, SHAPE, COUNT].

    A line is printed before they start.
    """
    click.echo("started")
    trio.run(run_crowds, msgspec.json.decode(crowds, type=list[Crowd]))


if __name__ == "__main__":
    main()
