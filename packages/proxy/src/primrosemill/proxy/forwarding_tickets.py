"""Proves that a request was passed on by another VM of the fleet.

A VM that reaches no instance passes requests on to one that does, as a caller
would, with a ticket in a header. The ticket names the sender and is signed
with the key that the VMs share; it holds for one request and one hop.
"""

import base64
import binascii
import enum
import hashlib
import hmac
import typing

import expression
import msgspec

from primrosemill.fleet import messages
from primrosemill.fleet import replay_filter
from primrosemill.fleet import wire

TAG_SIZE = 16  # bytes
MAX_HOPS = 1
MAX_TICKET_SIZE = 512  # bytes of the header's value
SEPARATOR = b"\n"  # It occurs in no method, target or header value.


class TicketFault(enum.StrEnum):
    """Why a request that claims to be passed on is refused."""

    MALFORMED = "malformed"
    WRONG_TAG = "wrong_tag"
    TOO_MANY_HOPS = "too_many_hops"
    REPEATED = "repeated"
    NOT_A_MEMBER = "not_a_member"


class Ticket(typing.NamedTuple):
    """Names the sender of a request and what it decided before.

    ``incarnation`` is the start time of its process in ms, ``sequence`` the
    number of the ticket. The sender has chosen ``service`` among those of the
    route, and up to ``attempted`` instances may have run the request.
    """

    vm_id: messages.Name
    incarnation: messages.Count
    sequence: messages.Count
    service: messages.Name
    attempted: messages.Count = 0
    hops: messages.Count = MAX_HOPS


class Request(typing.NamedTuple):
    """The parts of a request that its ticket holds for."""

    method: bytes
    target: bytes
    request_id: bytes


_ticket_decoder = msgspec.msgpack.Decoder(Ticket)


def _sign(key: bytes, packed: bytes, request: Request) -> bytes:
    body = SEPARATOR.join((*request, packed))
    return hashlib.blake2b(body, key=key, digest_size=TAG_SIZE).digest()


class Issuer:
    """Issues the tickets of one process."""

    def __init__(self, vm_id: str, incarnation: int, secret: bytes) -> None:
        self._vm_id = vm_id
        self._incarnation = incarnation
        self._key = wire.derive_key(secret)
        self._sequence = 0

    def issue(self, request: Request, service: str, attempted: int) -> bytes:
        """Return the value of the header for one request."""
        self._sequence += 1
        ticket = Ticket(
            self._vm_id, self._incarnation, self._sequence, service, attempted
        )
        packed = msgspec.msgpack.encode(ticket)
        return base64.b64encode(_sign(self._key, packed, request) + packed)


class Inspector:
    """Checks the tickets that one process receives.

    ``is_member`` tells whether a VM is known to be in the fleet.
    """

    def __init__(
        self, secret: bytes, is_member: typing.Callable[[str], bool]
    ) -> None:
        self._key = wire.derive_key(secret)
        self._is_member = is_member
        self._replays = replay_filter.ReplayFilter()

    def inspect(
        self, value: bytes, request: Request
    ) -> expression.Result[Ticket, TicketFault]:
        """Return the ticket of a request, or why it is refused."""
        if len(value) > MAX_TICKET_SIZE:
            return expression.Error(TicketFault.MALFORMED)
        try:
            signed = base64.b64decode(value, validate=True)
            tag, packed = signed[:TAG_SIZE], signed[TAG_SIZE:]
            if not hmac.compare_digest(tag, _sign(self._key, packed, request)):
                return expression.Error(TicketFault.WRONG_TAG)
            ticket = _ticket_decoder.decode(packed)
        except (binascii.Error, ValueError, RecursionError):
            return expression.Error(TicketFault.MALFORMED)
        fault = self._check(ticket)
        if fault is not None:
            return expression.Error(fault)
        return expression.Ok(ticket)

    def _check(self, ticket: Ticket) -> TicketFault | None:
        if not 0 < ticket.hops <= MAX_HOPS:
            return TicketFault.TOO_MANY_HOPS
        if not self._is_member(ticket.vm_id):
            return TicketFault.NOT_A_MEMBER
        verdict = self._replays.admit(
            ticket.vm_id, ticket.incarnation, ticket.sequence
        )
        if verdict is not replay_filter.Verdict.NEW:
            return TicketFault.REPEATED
        return None
