"""ASGI types and helpers shared by the caller and admin interfaces."""

import typing

Header = tuple[bytes, bytes]
Headers = list[Header]
Message = dict[str, typing.Any]
Scope = dict[str, typing.Any]
Receive = typing.Callable[[], typing.Awaitable[Message]]
Send = typing.Callable[[Message], typing.Awaitable[None]]
Handler = typing.Callable[[Scope, Receive, Send], typing.Awaitable[None]]


def start_message(status: int, headers: Headers) -> Message:
    """Return the message that starts an answer."""
    return {
        "type": "http.response.start",
        "status": status,
        "headers": headers,
    }


def body_message(body: bytes, more_body: bool) -> Message:
    """Return the message that carries a chunk of an answer's body."""
    return {
        "type": "http.response.body",
        "body": body,
        "more_body": more_body,
    }


async def respond(
    send: Send, status: int, headers: Headers, body: bytes = b""
) -> None:
    """Send a complete answer."""
    length = (b"content-length", str(len(body)).encode())
    await send(start_message(status, [length, *headers]))
    await send(body_message(body, False))


def read_target(scope: Scope) -> bytes:
    """Return the target of a request as its caller sent it."""
    if not scope["query_string"]:
        return scope["raw_path"]
    return scope["raw_path"] + b"?" + scope["query_string"]
