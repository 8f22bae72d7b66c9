"""The cap of a customer: what the fleet may run, and how that is divided.

A customer may have at most ``(rate * window + burst) * (1 + overshoot) +
slack`` requests run in any window, over all VMs. Its token bucket admits
``rate * window + burst``. The rest, the surplus, pays for all by which the
fleet differs from one bucket: tokens that are used later than granted, two
holders for a short time, lost VMs that still count, and requests that VMs
admit without a holder. See docs/design/caps.md. Times are in seconds, rates
in requests per second.
"""

import math
import typing

import xxhash

from primrosemill.configuration import document as documents

# How long a token may be used, from the time at which it was requested.
TOKEN_LIFETIME = 0.4  # seconds
# How long a lent token may be used. A VM with a request of a customer each few
# seconds then seldom waits for an answer.
LOAN_LIFETIME = 5.0  # seconds
# Without an answer for this long a VM decides alone. Two event loops that lag
# by 50 ms each answer within it.
ANSWER_TIMEOUT = 0.15  # seconds
# A VM that is cut off from all others notices it up to 3 s later than they
# do; half a second more covers the lag of event loops.
SETTLE_TIME = 3.5  # seconds
# Part of the rate that a new holder grants before its view has settled.
PROBATION = 0.1
# Fewest seconds of the rate that a bucket holds. The tokens of a customer
# with a small burst would be lost between two requests for tokens otherwise.
MIN_DEPTH_TIME = 0.1
# The part of the fleet that a holder sees, times this, is the part of the
# rate that it grants, so that few dead VMs don't lower the caps.
LOST_VM_TOLERANCE = 1.04
# A bucket holds at least one token; this many holders may exist in a cut.
MAX_SIDES = 4
# A failed process whose holder changes is granted a new part of this many
# slots; customers that share a slot share a holder.
SLOT_COUNT = 1_024
_ID_MASK = 2**63 - 1  # the largest integer of a message


class Bound(typing.NamedTuple):
    """What the fleet may run beyond the caps.

    In any ``window`` seconds, ``overshoot`` of the cap and ``slack`` requests.
    """

    window: float = 5.0
    overshoot: float = 0.25
    slack: float = 20.0


class Part(typing.NamedTuple):
    """How the requests that may run in a window are divided.

    ``rate_factor`` is the part of the customer's rate that holders grant, at
    most 1. ``fallback`` is the number of requests in a window that all VMs
    together may admit without a token. ``pool`` is the number of tokens that a
    holder may lend beside its bucket's depth.
    """

    rate_factor: float
    fallback: int
    pool: int


def allowed(customer: documents.Customer, bound: Bound) -> float:
    """Return how many requests of a customer may run in a window."""
    cap = customer.rate * bound.window + customer.burst
    return cap * (1.0 + bound.overshoot) + bound.slack


def divide(customer: documents.Customer, bound: Bound) -> Part:
    """Divide what may run in a window between holders and fallback.

    Holders grant the tokens of a window and those that are used up to
    ``TOKEN_LIFETIME`` after or ``ANSWER_TIMEOUT`` before their grant.
    """
    skew = TOKEN_LIFETIME + ANSWER_TIMEOUT
    granted_time = (bound.window + skew) * LOST_VM_TOLERANCE
    granted_time += PROBATION * SETTLE_TIME
    from_rate = customer.rate * (granted_time + MIN_DEPTH_TIME)
    from_burst = customer.burst * LOST_VM_TOLERANCE + MAX_SIDES
    rest = allowed(customer, bound) - from_burst
    if from_rate > rest:
        return Part(max(0.0, rest / from_rate), 0, 0)
    surplus = math.floor(rest - from_rate)
    pool = surplus // 2
    return Part(1.0, surplus - pool, pool)


def bucket_depth(
    customer: documents.Customer, fraction: float, age: float
) -> float:
    """Return the tokens that a holder of a fraction of a cap may save up.

    ``age`` is how long the bucket has been filling. Tokens that a former
    holder lent may be used besides until they lapse.
    """
    depth = customer.rate * MIN_DEPTH_TIME
    if age >= LOAN_LIFETIME:
        depth = max(depth, customer.burst)
    return max(1.0, depth * fraction)


def fallback_share(
    total: int, customer_id: int, position: int, fleet_count: int
) -> int:
    """Return the requests in a window that one VM may admit without a token.

    ``position`` is the VM's place among all VMs of the fleet, in an order
    that they agree on. The shares add up to ``total``. A share below one is
    one request for some VMs, others for each customer.
    """
    place = (position + customer_id) % max(1, fleet_count)
    return (place + 1) * total // fleet_count - place * total // fleet_count


def customer_id(name: str) -> int:
    """Return the number by which messages name a customer."""
    return xxhash.xxh3_64_intdigest(name.encode()) & _ID_MASK


def slot_of(identifier: int) -> int:
    """Return the slot of a customer's id, from 0 to ``SLOT_COUNT`` - 1."""
    return identifier % SLOT_COUNT
