"""Serves the endpoint at which callers ask for the VMs of a service."""

import typing
import urllib.parse

import msgspec

from primrosemill.decisions import addresses
from primrosemill.proxy import asgi

PATH = "/.well-known/primrosemill/addresses"
JSON = [
    (b"content-type", b"application/json"),
    (b"cache-control", b"no-store"),
]
STATUS_OK = 200
STATUS_BAD_REQUEST = 400
STATUS_NOT_FOUND = 404


class AddressAnswer(typing.TypedDict):
    """JSON body of an answer; the lifetime is in seconds."""

    service: str
    addresses: list[str]
    lifetime: float


class AddressFault(typing.TypedDict):
    """JSON body of the response to a query that has no answer."""

    fault: str
    service: str


class AddressQuery(typing.NamedTuple):
    """A caller's query; the domain is empty if it is unknown."""

    service: str
    caller: str
    domain: str


FindAddresses = typing.Callable[[AddressQuery], addresses.Answer | None]


class AddressEndpoint:
    """ASGI application that answers which VMs to use for a service.

    ``find`` returns None if the service is unknown.
    """

    def __init__(self, find: FindAddresses) -> None:
        self._find = find

    async def __call__(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Answer one request."""
        question = parse_query(scope["query_string"])
        if not question.service:
            await _respond_fault(send, STATUS_BAD_REQUEST, "MissingService")
            return
        answer = self._find(question)
        if answer is None:
            await _respond_fault(
                send, STATUS_NOT_FOUND, "UnknownService", question.service
            )
            return
        body = msgspec.json.encode(
            AddressAnswer(
                service=question.service,
                addresses=list(answer.addresses),
                lifetime=answer.lifetime,
            )
        )
        await asgi.respond(send, STATUS_OK, JSON, body)


async def _respond_fault(
    send: asgi.Send, status: int, fault: str, service: str = ""
) -> None:
    body = msgspec.json.encode(AddressFault(fault=fault, service=service))
    await asgi.respond(send, status, JSON, body)


def parse_query(query: bytes) -> AddressQuery:
    """Return the query that a query string holds."""
    values_by_name = dict(urllib.parse.parse_qsl(query.decode("latin-1")))
    return AddressQuery(
        values_by_name.get("service", ""),
        values_by_name.get("caller", ""),
        values_by_name.get("domain", ""),
    )
