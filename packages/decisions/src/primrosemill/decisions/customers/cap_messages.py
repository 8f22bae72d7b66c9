"""What VMs ask each other of customers' caps, and what they answer.

An empty request is answered with an empty answer; so a VM learns which others
keep to caps. VMs of builds without caps drop both.
"""

import typing

MAX_ASKS = 40  # in one request, so that its answer fits into a datagram
# Stands for the fleet in place of a slot: a VM that vouches for it has started
# lately and granted nothing before.
FLEET_SLOT = 1_024
MILLI = 1_000  # thousandths of a second and of a fraction


class Ask(typing.NamedTuple):
    """How many tokens of a customer a VM wants.

    ``used_loans`` is the number of lent tokens that it has used since it asked
    last, ``loans`` the number that it would like to be lent.
    """

    customer_id: int
    wanted: int
    used_loans: int = 0
    loans: int = 0


class Request(typing.NamedTuple):
    """Asks a holder for tokens, and a VM to vouch for slots.

    See :mod:`primrosemill.decisions.customers.cap_authority`.
    """

    nonce: int
    asks: tuple[Ask, ...] = ()
    slots: tuple[int, ...] = ()


class Grant(typing.NamedTuple):
    """How many tokens of a customer are granted.

    If these are fewer than wanted, the VM asks for no more of them within
    ``valid_ms``, and a refused request may come again after
    ``retry_after_ms``. ``valid_ms`` of 0 means that the answering VM does not
    hold the customer's cap. ``lent`` tokens, beside those granted, may be used
    for ``caps.LOAN_LIFETIME``.
    """

    customer_id: int
    granted: int
    valid_ms: int
    retry_after_ms: int
    lent: int = 0


class Vouch(typing.NamedTuple):
    """The fraction of a slot's caps, in thousandths, that a VM may grant."""

    slot: int
    milli_fraction: int


class Answer(typing.NamedTuple):
    """Answers the request with the same nonce."""

    nonce: int
    grants: tuple[Grant, ...] = ()
    vouches: tuple[Vouch, ...] = ()


class Outgoing(typing.NamedTuple):
    """A request and the VM that it goes to."""

    vm_id: str
    request: Request
