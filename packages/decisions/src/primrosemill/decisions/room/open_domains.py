"""Which other failure domains a VM may send requests to.

A VM that lacks free slots at home sends to a domain that has room. The less
room a domain has, the fewer of the VMs use it, as each decides at random with
the probability that the room allows. So they do not all turn to one domain
at once, although none of them decides for the others. See docs/design/room.md.
"""

import random
import typing

from primrosemill.decisions.room import service_room

# Requests at the instances of a domain, for each slot, at which it has no
# room left. It is above 1, as an instance queues a few requests and a slot
# without a successor stands idle while an answer is on its way.
FULL_SHARE = 2.0
# With this much room, for each slot, all VMs may use a domain.
RAMP_SHARE = 0.3
# The decision holds until the next one, but no longer than this.
LIFETIME = 1.0  # seconds


class OpenDomains(typing.NamedTuple):
    """The domains that a VM may use before the time ``expires_at``.

    ``with_room`` are all that have any room: a request that would otherwise
    be refused may use them.
    """

    expires_at: float
    domains: frozenset[str]
    with_room: frozenset[str]


def room(totals: service_room.Totals, domain: str, slots: int) -> float:
    """Return how many more requests a domain with ``slots`` may take."""
    busy = totals.busy_by_domain.get(domain, 0)
    waiting = totals.waiting_by_domain.get(domain, 0)
    return max(0.0, FULL_SHARE * slots - busy - waiting)


def choose(
    totals: service_room.Totals,
    slots_by_domain: typing.Mapping[str, int],
    generator: random.Random,
    now: float,
) -> OpenDomains:
    """Return the domains that this VM may use until the next decision."""
    room_by_domain = {
        domain: room(totals, domain, slots)
        for domain, slots in slots_by_domain.items()
    }
    domains = [
        domain
        for domain, slots in slots_by_domain.items()
        if generator.random() * RAMP_SHARE * slots < room_by_domain[domain]
    ]
    with_room = [domain for domain, free in room_by_domain.items() if free]
    return OpenDomains(
        now + LIFETIME, frozenset(domains), frozenset(with_room)
    )
