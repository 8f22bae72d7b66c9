"""Reads and writes HTTP/1.1 messages for the stand-ins and clients."""

import asyncio

MAX_HEAD = 262_144  # bytes
REASONS = {200: "OK", 404: "Not Found", 421: "Misdirected", 503: "Unavailable"}


class Message:
    """The first line, the headers and the body of a message."""

    def __init__(self, first, headers, body):
        self.first = first
        self.headers = headers
        self.body = body

    @property
    def status(self):
        """Return the status of an answer."""
        return int(self.first.split()[1])

    def get(self, name, default=None):
        """Return the value of a header."""
        return self.headers.get(name, default)


async def read_message(reader, is_answer=False):
    """Return the next message; raises an error if it ends early."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    body = b""
    if "chunked" in headers.get("transfer-encoding", ""):
        size = 1
        while size:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:-2]
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    elif is_answer:
        body = await reader.read()
    return Message(lines[0], headers, body)


def encode_answer(status, headers, body):
    """Return the bytes of a complete answer."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def call(address, method, target, headers=(), body=b""):
    """Make one call on a connection of its own; return the answer."""
    reader, writer = await asyncio.open_connection(*address, limit=MAX_HEAD)
    try:
        lines = [f"{method} {target} HTTP/1.1"]
        if not any(name.lower() == "host" for name, _ in headers):
            lines.append("Host: machine")
        lines += [f"{name}: {value}" for name, value in headers]
        lines.append("Connection: close")
        if method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        head = "\r\n".join(lines) + "\r\n\r\n"
        writer.write(head.encode("latin-1") + body)
        return await read_message(reader, is_answer=True)
    finally:
        writer.close()
