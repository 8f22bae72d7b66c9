"""Sends the responses of a stand-in instance, complete and faulty ones."""

import typing
import urllib.parse

import trio

from primrosemill.standins import asgi
from primrosemill.standins import faults

CHUNK_SIZE = 65_536  # bytes
SHED_HEADERS = ((b"x-shed", b"1"),)
SHED_TIMEOUT = 0.2  # seconds


class Exchange(typing.NamedTuple):
    """A request and the failure mode in which it is handled."""

    scope: asgi.Scope
    receive: asgi.Receive
    send: asgi.Send
    tag: str
    mode: faults.Mode


async def shed(scope: asgi.Scope, send: asgi.Send) -> None:
    """Reject a request without running it.

    The server waits until the rest of an upload is read, which nobody does
    here, so the connection is closed after ``SHED_TIMEOUT``.
    """
    with trio.move_on_after(SHED_TIMEOUT) as timeout:
        await asgi.respond(send, 503, b"", SHED_HEADERS)
    if timeout.cancelled_caught:
        asgi.find_connection(scope).close()


def _padding_size(scope: asgi.Scope) -> int:
    """Return the number of padding bytes that the query asks for."""
    query = urllib.parse.parse_qs(scope["query_string"].decode())
    return int(query.get("size", ["0"])[0])


async def send_truncated(
    exchange: Exchange, body: bytes, headers: list[asgi.Header]
) -> None:
    """Send half of a response and close the connection."""
    padding = _padding_size(exchange.scope)
    content_length = (b"content-length", str(len(body) + padding).encode())
    await exchange.send(
        {
            "type": "http.response.start",
            "status": 200,
            "headers": [content_length, *headers],
        }
    )
    first_half = (body + b"." * padding)[: (len(body) + padding) // 2]
    await exchange.send(
        {"type": "http.response.body", "body": first_half, "more_body": True}
    )
    asgi.find_connection(exchange.scope).close()


async def send_whole(
    exchange: Exchange, body: bytes, headers: list[asgi.Header]
) -> None:
    """Send a response with the padding that the query asks for."""
    padding = _padding_size(exchange.scope)
    if not padding:
        await asgi.respond(exchange.send, 200, body, tuple(headers))
        return
    content_length = (b"content-length", str(len(body) + padding).encode())
    await exchange.send(
        {
            "type": "http.response.start",
            "status": 200,
            "headers": [content_length, *headers],
        }
    )
    await exchange.send(
        {"type": "http.response.body", "body": body, "more_body": True}
    )
    while padding > 0:
        chunk = b"." * min(padding, CHUNK_SIZE)
        padding -= len(chunk)
        await exchange.send(
            {
                "type": "http.response.body",
                "body": chunk,
                "more_body": padding > 0,
            }
        )


async def send_twice(exchange: Exchange, body: bytes) -> None:
    """Send a response twice, in one segment if it is small."""
    body += b"." * _padding_size(exchange.scope)
    head = f"HTTP/1.1 200 OK\r\ncontent-length: {len(body)}\r\n\r\n"
    connection = asgi.find_connection(exchange.scope)
    connection.cork(True)
    await connection.send(head.encode() + body)
    await asgi.respond(exchange.send, 200, body)
    connection.cork(False)
