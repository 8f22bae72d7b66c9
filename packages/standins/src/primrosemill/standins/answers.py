"""Writes the answers of a stand-in instance, whole and broken ones."""

import typing
import urllib.parse

import trio

from primrosemill.standins import asgi
from primrosemill.standins import faults

PIECE_SIZE = 65_536  # bytes
SHED = ((b"x-shed", b"1"),)
SHED_TIMEOUT = 0.2  # seconds


class Job(typing.NamedTuple):
    """A request being answered."""

    scope: asgi.Scope
    receive: asgi.Receive
    send: asgi.Send
    tag: str
    mode: faults.Mode


async def shed(scope: asgi.Scope, send: asgi.Send) -> None:
    """Turn a request away without running it.

    The server waits for a reader of what is left of an upload, which
    nobody is, so the connection is closed after a moment.
    """
    with trio.move_on_after(SHED_TIMEOUT) as timeout:
        await asgi.respond(send, 503, b"", SHED)
    if timeout.cancelled_caught:
        asgi.connection_of(scope).close()


def _padding(scope: asgi.Scope) -> int:
    """Return how many bytes the query asks to add to the answer."""
    query = urllib.parse.parse_qs(scope["query_string"].decode())
    return int(query.get("size", ["0"])[0])


async def send_in_part(
    job: Job, body: bytes, lines: list[asgi.Header]
) -> None:
    """Send half of an answer and close the connection."""
    padding = _padding(job.scope)
    length = (b"content-length", str(len(body) + padding).encode())
    await job.send(
        {
            "type": "http.response.start",
            "status": 200,
            "headers": [length, *lines],
        }
    )
    part = (body + b"." * padding)[: (len(body) + padding) // 2]
    await job.send(
        {"type": "http.response.body", "body": part, "more_body": True}
    )
    asgi.connection_of(job.scope).close()


async def send_whole(job: Job, body: bytes, lines: list[asgi.Header]) -> None:
    """Send an answer, padded to the size that the query asks for."""
    padding = _padding(job.scope)
    if not padding:
        await asgi.respond(job.send, 200, body, tuple(lines))
        return
    length = (b"content-length", str(len(body) + padding).encode())
    await job.send(
        {
            "type": "http.response.start",
            "status": 200,
            "headers": [length, *lines],
        }
    )
    await job.send(
        {"type": "http.response.body", "body": body, "more_body": True}
    )
    while padding > 0:
        piece = b"." * min(padding, PIECE_SIZE)
        padding -= len(piece)
        await job.send(
            {
                "type": "http.response.body",
                "body": piece,
                "more_body": padding > 0,
            }
        )


async def send_twice(job: Job, body: bytes) -> None:
    """Send an answer two times over, in one segment if it is small."""
    body += b"." * _padding(job.scope)
    head = f"HTTP/1.1 200 OK\r\ncontent-length: {len(body)}\r\n\r\n"
    connection = asgi.connection_of(job.scope)
    connection.cork(True)
    await connection.send(head.encode() + body)
    await asgi.respond(job.send, 200, body)
    connection.cork(False)
