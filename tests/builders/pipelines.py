"""Builds pipelined requests and reads their answers."""

import re
import typing

import h11
import trio

from primrosemill.configuration import checks
from tests.builders import users_platform as builders

READ_SIZE = 65_536  # bytes
ANSWER_TIME = 8.0  # seconds in which a caller must get all answers


class Answer(typing.NamedTuple):
    """One answer on a connection.

    ``closes`` tells whether it announces the end of the connection.
    """

    status: int
    request_id: str
    body: bytes
    closes: bool


def request(
    request_id: str,
    target: str = builders.READ_PATH,
    method: str = "GET",
    lines: tuple[str, ...] = (),
    body: bytes = b"",
    time_left: int = 2000,
) -> bytes:
    head = [
        f"{method} {target} HTTP/1.1",
        f"host: {builders.HOST}",
        f"primrosemill-request-id: {request_id}",
        f"primrosemill-request-deadline: {time_left}",
        *lines,
    ]
    if body:
        head.append(f"content-length: {len(body)}")
    return "\r\n".join([*head, "", ""]).encode() + body


def once(request_id: str, **changes) -> bytes:
    return request(request_id, builders.ONCE_PATH, "POST", **changes)


def find_id(data: bytes) -> str:
    """Return the id in the head of a request."""
    return re.search(rb"primrosemill-request-id: (\S+)", data)[1].decode()


async def connect(built: builders.Running) -> trio.SocketStream:
    ip, port = checks.split_address(built.settings.caller_address)
    return await trio.open_tcp_stream(ip, port)


async def read_answers(
    stream: trio.SocketStream, count: int | None = None
) -> list[Answer]:
    """Read a number of answers, or all until the connection ends."""
    received = b""
    with trio.fail_after(ANSWER_TIME):
        while count is None or len(parse(received)) < count:
            data = await stream.receive_some(READ_SIZE)
            if not data:
                break
            received += data
    return parse(received)


def parse(received: bytes) -> list[Answer]:
    """Return the complete answers in the received bytes."""
    connection = h11.Connection(h11.CLIENT)
    answers = []
    if not received:
        return answers
    connection.receive_data(received)
    while True:
        connection.send(
            h11.Request(method="GET", target="/", headers=[("host", "x")])
        )
        connection.send(h11.EndOfMessage())
        answer = _next_answer(connection)
        if answer is None:
            return answers
        answers.append(answer)
        if connection.their_state is not h11.DONE:
            return answers
        trailing_bytes = connection.trailing_data[0]
        connection = h11.Connection(h11.CLIENT)
        if not trailing_bytes:
            return answers
        connection.receive_data(trailing_bytes)


def _next_answer(connection: h11.Connection) -> Answer | None:
    response, body = None, b""
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA or event is h11.PAUSED:
            return None
        if isinstance(event, h11.Response):
            response = event
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            return _make_answer(response, body)


def _make_answer(response: h11.Response, body: bytes) -> Answer:
    lines = dict(response.headers)
    request_id = lines.get(b"primrosemill-request-id", b"").decode()
    closes = lines.get(b"connection", b"").lower() == b"close"
    return Answer(response.status_code, request_id, body, closes)


def ids_run(built: builders.Running) -> list[str]:
    return [run.request_id for run in builders.runs(built)]


def natural(ids: typing.Iterable[str]) -> list[str]:
    return sorted(ids, key=lambda each: int(re.sub(r"\D", "", each) or 0))
