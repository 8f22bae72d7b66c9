"""Stands in for an instance of a backend server."""

import trio

from primrosemill.standins import asgi


class InstanceStandin:
    """Answers after its service time and sheds when its slots are full."""

    def __init__(
        self, instance_id: str, slots: int, service_time: float
    ) -> None:
        self.id = instance_id
        self.slots = slots
        self.service_time = service_time
        self.in_use = 0
        self.runs_by_tag: dict[str, int] = {}

    async def __call__(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Answer one request with the request's tag and this instance's id."""
        if self.in_use >= self.slots:
            await asgi.respond(send, 503, b"", ((b"x-shed", b"1"),))
            return
        self.in_use += 1
        try:
            headers = dict(scope["headers"])
            tag = headers.get(b"x-request-id", b"").decode()
            await asgi.read_body(receive)
            self.runs_by_tag[tag] = self.runs_by_tag.get(tag, 0) + 1
            await trio.sleep(self.service_time)
            await asgi.respond(send, 200, f"{tag} {self.id}".encode())
        finally:
            self.in_use -= 1
