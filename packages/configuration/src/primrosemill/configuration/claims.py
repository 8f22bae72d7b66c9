"""Checks what must be unique over all services of a document.

The claims of the version before are kept, so a change costs its own
services only and no pass over the whole document.
"""

import typing

from primrosemill.configuration import document as documents
from primrosemill.configuration import faults

ADDRESS_FIELD = "instances.address"
ROUTE_FIELD = "routes"
ANY_METHOD = "*"


class Claims(typing.NamedTuple):
    """The services that hold each address and each route."""

    services_by_address: dict[str, str]
    services_by_route: dict[str, str]


def no_claims() -> Claims:
    """Return the claims of the empty document."""
    return Claims({}, {})


def addresses(service: documents.Service) -> list[str]:
    """Return the addresses that a service claims."""
    return [f"{each.ip}:{each.port}" for each in service.instances]


def routes(service: documents.Service) -> list[str]:
    """Return a text for each method, host and path that a service claims."""
    return [
        f"{method} {route.host}{route.path_prefix}"
        for route in service.routes
        for method in route.methods or (ANY_METHOD,)
    ]


def release(
    before: Claims, services: typing.Iterable[documents.Service]
) -> Claims:
    """Return a copy of the claims without those of some services."""
    after = Claims(
        before.services_by_address.copy(), before.services_by_route.copy()
    )
    for service in services:
        for address in addresses(service):
            del after.services_by_address[address]
        for route in routes(service):
            del after.services_by_route[route]
    return after


def add(
    claims: Claims, service: documents.Service, key: str
) -> list[faults.Fault]:
    """Add the claims of a service; returns a fault for each held already.

    ``key`` is the part that the faults name.
    """
    found: list[faults.Fault] = []
    for address in addresses(service):
        if address in claims.services_by_address:
            found.append(faults.Duplicate(key, ADDRESS_FIELD, address))
        claims.services_by_address[address] = service.name
    for route in routes(service):
        if route in claims.services_by_route:
            found.append(faults.Duplicate(key, ROUTE_FIELD, route))
        claims.services_by_route[route] = service.name
    return found
