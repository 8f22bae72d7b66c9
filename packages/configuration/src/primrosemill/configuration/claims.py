"""Checks that addresses and routes are unique across services.

The claims of the previous version are kept, so a new version is checked by
its changed services alone, without a pass over the whole document.
"""

import typing

from primrosemill.configuration import document as documents
from primrosemill.configuration import faults

ADDRESS_FIELD = "instances.address"
ROUTE_FIELD = "routes"
ANY_METHOD = "*"


class Claims(typing.NamedTuple):
    """The name of the service that owns each address and each route."""

    services_by_address: dict[str, str]
    services_by_route: dict[str, str]


def empty_claims() -> Claims:
    """Return the claims of a document without services."""
    return Claims({}, {})


def claimed_addresses(service: documents.Service) -> list[str]:
    """Return the addresses that a service claims."""
    return [f"{each.ip}:{each.port}" for each in service.instances]


def claimed_routes(service: documents.Service) -> list[str]:
    """Return each claimed combination of method, host and path as text."""
    return [
        f"{method} {route.host}{route.path_prefix}"
        for route in service.routes
        for method in route.methods or (ANY_METHOD,)
    ]


def release(
    claims: Claims, services: typing.Iterable[documents.Service]
) -> Claims:
    """Return a copy of the claims without those of the given services."""
    remaining = Claims(
        claims.services_by_address.copy(), claims.services_by_route.copy()
    )
    for service in services:
        for address in claimed_addresses(service):
            del remaining.services_by_address[address]
        for route in claimed_routes(service):
            del remaining.services_by_route[route]
    return remaining


def add(
    claims: Claims, service: documents.Service, key: str
) -> list[faults.Fault]:
    """Add the claims of a service; return a fault for each duplicate.

    ``key`` is the key that the faults report.
    """
    duplicates: list[faults.Fault] = []
    for address in claimed_addresses(service):
        if address in claims.services_by_address:
            duplicates.append(faults.Duplicate(key, ADDRESS_FIELD, address))
        claims.services_by_address[address] = service.name
    for route in claimed_routes(service):
        if route in claims.services_by_route:
            duplicates.append(faults.Duplicate(key, ROUTE_FIELD, route))
        claims.services_by_route[route] = service.name
    return duplicates
