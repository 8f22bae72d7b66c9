"""Simulates instances that send bytes without end, and their callers.

Both run as processes of their own, so that their work does not delay what is
measured: ``python -m primrosemill.standins.endless_instances serve SHAPE
COUNT`` prints the addresses of the instances as a JSON list, and ``call
ADDRESS PATH COUNT`` runs callers of a VM. Both run until they are killed.
"""

import enum
import re
import typing

import click
import msgspec
import trio

from primrosemill.standins import raw_tcp
from primrosemill.standins import users_platform

IP = "127.0.0.1"
RECEIVE_SIZE = 65_536  # bytes
BLOCK_SIZE = 65_536  # bytes that one call sends
TIME_LEFT = 2.0  # seconds that a caller waits
PAUSE = 0.05  # seconds until a caller sends its next request
ID_PATTERN = re.compile(
    rb"primrosemill-request-id: *([^\r\n]*)", re.IGNORECASE
)


class Shape(enum.StrEnum):
    """Which bytes an instance repeats, and where."""

    BEFORE_A_REQUEST = "before_a_request"
    NO_ANSWER = "no_answer"
    STATUS_LINE = "status_line"
    LINE_ENDS = "line_ends"
    HEAD_FIELDS = "head_fields"
    TINY_HEAD_FIELDS = "tiny_head_fields"
    HEAD_FIELD = "head_field"
    INTERIM_ANSWERS = "interim_answers"
    BODY = "body"  # without a length
    LONG_BODY = "long_body"  # with a length that is never reached
    CHUNKS = "chunks"
    TINY_CHUNKS = "tiny_chunks"  # of a byte
    CHUNK_SIZE = "chunk_size"  # digits of one size
    CHUNK_EXTENSION = "chunk_extension"
    TRAILERS = "trailers"
    TINY_TRAILERS = "tiny_trailers"
    AFTER_AN_ANSWER = "after_an_answer"  # on a kept connection


class Pattern(typing.NamedTuple):
    """What is sent once and what is repeated.

    An answer has a status line and the request id before the start.
    """

    start: bytes
    block: bytes
    is_answer: bool = True


CHUNKED = b"transfer-encoding: chunked\r\n\r\n"
PATTERNS_BY_SHAPE = {
    Shape.BEFORE_A_REQUEST: Pattern(b"", b"\x00 no answer at all ", False),
    Shape.NO_ANSWER: Pattern(b"", b"\x00 no answer at all ", False),
    Shape.STATUS_LINE: Pattern(b"HTTP/1.1 200 ", b"x", False),
    Shape.LINE_ENDS: Pattern(b"", b"\r\n", False),
    Shape.HEAD_FIELDS: Pattern(b"", b"x-more: " + b"x" * 100 + b"\r\n"),
    Shape.TINY_HEAD_FIELDS: Pattern(b"", b"a:\r\n"),
    Shape.HEAD_FIELD: Pattern(b"x-more: ", b"x"),
    Shape.INTERIM_ANSWERS: Pattern(b"", b"HTTP/1.1 102 P\r\n\r\n", False),
    Shape.BODY: Pattern(b"\r\n", b"x"),
    Shape.LONG_BODY: Pattern(b"content-length: 99999999999\r\n\r\n", b"x"),
    Shape.CHUNKS: Pattern(CHUNKED, b"64\r\n" + b"x" * 100 + b"\r\n"),
    Shape.TINY_CHUNKS: Pattern(CHUNKED, b"1\r\nx\r\n"),
    Shape.CHUNK_SIZE: Pattern(CHUNKED, b"0"),
    Shape.CHUNK_EXTENSION: Pattern(CHUNKED + b"5;", b"x"),
    Shape.TRAILERS: Pattern(
        CHUNKED + b"0\r\n", b"x-more: " + b"x" * 100 + b"\r\n"
    ),
    Shape.TINY_TRAILERS: Pattern(CHUNKED + b"0\r\n", b"a:\r\n"),
    Shape.AFTER_AN_ANSWER: Pattern(
        b"content-length: 2\r\n\r\nok", b"HTTP/1.1 200 OK\r\n"
    ),
}


class EndlessInstance(raw_tcp.TcpStandin):
    """An instance whose answers never end."""

    def __init__(self, shape: Shape) -> None:
        self._shape = shape
        self._pattern = PATTERNS_BY_SHAPE[shape]
        repeats = max(1, BLOCK_SIZE // len(self._pattern.block))
        self._block = self._pattern.block * repeats

    async def serve_stream(self, stream: trio.SocketStream) -> None:
        """Serve one connection."""
        try:
            await stream.send_all(await self._build_start(stream))
            while True:
                await stream.send_all(self._block)
        except trio.BrokenResourceError:
            return

    async def _build_start(self, stream: trio.SocketStream) -> bytes:
        if self._shape is Shape.BEFORE_A_REQUEST:
            return b""
        request = await stream.receive_some(RECEIVE_SIZE)
        if not self._pattern.is_answer:
            return self._pattern.start
        found = ID_PATTERN.search(request)
        request_id = found[1] if found else b""
        return (
            b"HTTP/1.1 200 OK\r\nprimrosemill-request-id: "
            + request_id
            + b"\r\nprimrosemill-server-signature: by.endless\r\n"
            + self._pattern.start
        )


async def _serve(shape: Shape, count: int, port: int) -> None:
    async with trio.open_nursery() as nursery:
        addresses = []
        for _ in range(count):
            instance = EndlessInstance(shape)
            served = await nursery.start(instance.serve, IP, port)
            addresses.append(served.address)
        click.echo(msgspec.json.encode(addresses))


async def _call_repeatedly(ip: str, port: int, path: str, name: str) -> None:
    """Send requests one after the other, each on a new connection."""
    number = 0
    while True:
        number += 1
        headers = users_platform.request_headers(f"{name}-{number}", TIME_LEFT)
        lines = [f"{key}: {value}" for key, value in headers.items()]
        head = "\r\n".join([f"GET {path} HTTP/1.1", *lines, "", ""])
        with trio.move_on_after(TIME_LEFT):
            try:
                async with await trio.open_tcp_stream(ip, port) as stream:
                    await stream.send_all(head.encode())
                    while await stream.receive_some(RECEIVE_SIZE):
                        pass
            except (OSError, trio.BrokenResourceError):
                # The VM refused the connection or cut the answer off.
                pass
        await trio.sleep(PAUSE)


async def _call(address: str, path: str, count: int) -> None:
    ip, _, port = address.rpartition(":")
    async with trio.open_nursery() as nursery:
        for number in range(count):
            nursery.start_soon(
                _call_repeatedly, ip, int(port), path, f"endless-{number}"
            )


@click.group()
def main() -> None:
    """Run instances that send without end, or their callers."""


@main.command()
@click.argument("shape", type=click.Choice([each.value for each in Shape]))
@click.argument("count", type=int)
@click.option("--port", default=0, help="Port of a single instance.")
def serve(shape: str, count: int, port: int) -> None:
    """Run COUNT instances of a SHAPE and print their addresses."""
    trio.run(_serve, Shape(shape), count, port)


@main.command()
@click.argument("address")
@click.argument("path")
@click.argument("count", type=int)
def call(address: str, path: str, count: int) -> None:
    """Run COUNT callers of a PATH of the VM at ADDRESS."""
    trio.run(_call, address, path, count)


if __name__ == "__main__":
    main()
