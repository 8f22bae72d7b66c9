"""Checks decoded values and builds the parts of a document from them.

Each check returns the faults that it finds instead of raising an exception,
so that an operator sees all of them at once.
"""

import collections
import functools
import ipaddress
import re
import typing

from primrosemill.configuration import document as documents
from primrosemill.configuration import faults
from primrosemill.configuration import values

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
DEFAULT_DEADLINE = 10.0  # seconds
HIGHEST_PORT = 65_535
BROADCAST = ipaddress.ip_address("255.255.255.255")
# The check of an address and the build that follows both split it.
ADDRESS_CACHE_SIZE = 4_096


class Range(typing.NamedTuple):
    """The lowest and highest allowed values, both inclusive."""

    lowest: float
    highest: float


SERVICE_RANGES_BY_FIELD = {
    "revision": Range(1, 2**53),
    "slots": Range(1, 1_000),
    "connections": Range(1, 100_000),
    "floor": Range(0, 100_000),
    "detection_weight": Range(0.0, 1.0),
    "demand": Range(0.0, 1_000_000.0),
    "cold_start": Range(0.0, 3_600.0),
    "probe_interval": Range(1.0, 3_600.0),
}
DEADLINE_RANGE = Range(0.05, 3_600.0)
RATE_RANGE = Range(0.0, 1_000_000.0)
BURST_RANGE = Range(0, 1_000_000)


def check_range(
    key: str, field: str, value: float, allowed: Range
) -> list[faults.Fault]:
    """Return a fault if a number lies outside its range."""
    if allowed.lowest <= value <= allowed.highest:
        return []
    return [
        faults.OutOfRange(key, field, value, allowed.lowest, allowed.highest)
    ]


def check_name(key: str, field: str, value: str) -> list[faults.Fault]:
    """Return a fault if a name cannot be part of a key."""
    if NAME_PATTERN.fullmatch(value):
        return []
    return [faults.BadName(key, field, value)]


def check_unique(
    key: str, field: str, items: typing.Iterable[str]
) -> list[faults.Fault]:
    """Return a fault for each item that occurs more than once."""
    counts_by_item = collections.Counter(items)
    return [
        faults.Duplicate(key, field, item)
        for item, count in counts_by_item.items()
        if count > 1
    ]


def normalize_ip(text: str) -> str | None:
    """Return a host's IP address in its canonical form, or None."""
    try:
        ip = ipaddress.ip_address(text)
    except ValueError:
        return None
    if ip.is_unspecified or ip.is_multicast or ip == BROADCAST:
        return None
    return str(ip)


@functools.lru_cache(maxsize=ADDRESS_CACHE_SIZE)
def split_address(address: str) -> tuple[str, int] | None:
    """Return the IP address and port of ``ip:port``, or None if invalid."""
    host, _, port_text = address.rpartition(":")
    ip = normalize_ip(host.removeprefix("[").removesuffix("]"))
    if ip is None or not port_text.isascii() or not port_text.isdigit():
        return None
    # int() raises ValueError for very long digits, which are no port anyway.
    if len(port_text) > len(str(HIGHEST_PORT)):
        return None
    port = int(port_text)
    if not 0 < port <= HIGHEST_PORT:
        return None
    return ip, port


def check_instance(
    key: str, value: values.InstanceValue, domains: tuple[str, ...]
) -> list[faults.Fault]:
    """Return the faults of one instance."""
    instance_id = value["id"]
    instance_faults = check_name(key, "instances.id", instance_id)
    if split_address(value["address"]) is None:
        instance_faults.append(
            faults.BadAddress(key, instance_id, value["address"])
        )
    if value["domain"] not in domains:
        instance_faults.append(
            faults.UnknownDomain(key, instance_id, value["domain"])
        )
    state = value.get("state", documents.SERVING)
    if state not in documents.INSTANCE_STATES:
        instance_faults.append(faults.UnknownState(key, instance_id, state))
    return instance_faults


def check_route(key: str, value: values.RouteValue) -> list[faults.Fault]:
    """Return the faults of one route."""
    route_faults = []
    if not value["path_prefix"].startswith("/"):
        route_faults.append(
            faults.BadName(key, "routes.path_prefix", value["path_prefix"])
        )
    deadline = value.get("deadline", DEFAULT_DEADLINE)
    route_faults += check_range(
        key, "routes.deadline", deadline, DEADLINE_RANGE
    )
    return route_faults


def check_service(
    key: str, value: values.ServiceValue, domains: tuple[str, ...]
) -> list[faults.Fault]:
    """Return the faults of one service."""
    service_faults = check_name(key, "name", value["name"])
    for field, allowed in SERVICE_RANGES_BY_FIELD.items():
        service_faults += check_range(key, field, value[field], allowed)
    for instance in value["instances"]:
        service_faults += check_instance(key, instance, domains)
    for route in value["routes"]:
        service_faults += check_route(key, route)
    service_faults += check_unique(
        key, "instances.id", (each["id"] for each in value["instances"])
    )
    service_faults += check_unique(
        key,
        "instances.address",
        (each["address"] for each in value["instances"]),
    )
    if not value["probe_path"].startswith("/"):
        service_faults.append(
            faults.BadName(key, "probe_path", value["probe_path"])
        )
    serving_count = sum(
        each.get("state", documents.SERVING) == documents.SERVING
        for each in value["instances"]
    )
    if value["floor"] > serving_count:
        service_faults.append(
            faults.FloorOverInstances(key, value["floor"], serving_count)
        )
    return service_faults


def check_limit(
    key: str, field: str, value: values.LimitValue
) -> list[faults.Fault]:
    """Return the faults of one caller's limit."""
    limit_faults = check_range(key, f"{field}.rate", value["rate"], RATE_RANGE)
    limit_faults += check_range(
        key, f"{field}.burst", value["burst"], BURST_RANGE
    )
    return limit_faults


def build_instance(value: values.InstanceValue) -> documents.Instance:
    """Build an instance from a value that has been checked."""
    ip, port = split_address(value["address"]) or ("", 0)
    return documents.Instance(
        value["id"],
        ip,
        port,
        value["domain"],
        value.get("state", documents.SERVING),
    )


def build_route(value: values.RouteValue) -> documents.Route:
    """Build a route from a value that has been checked."""
    return documents.Route(
        value.get("host", ""),
        value["path_prefix"],
        tuple(value.get("methods", ())),
        value["idempotent"],
        value.get("deadline", DEFAULT_DEADLINE),
    )


def build_service(value: values.ServiceValue) -> documents.Service:
    """Build a service from a value that has been checked."""
    return documents.Service(
        value["name"],
        value["revision"],
        tuple(build_instance(each) for each in value["instances"]),
        tuple(build_route(each) for each in value["routes"]),
        value["slots"],
        value["connections"],
        value["floor"],
        value["detection_weight"],
        value["demand"],
        value["cold_start"],
        value["probe_path"],
        value["probe_interval"],
    )


def build_limit(value: values.LimitValue) -> documents.Limit:
    """Build a limit from a value that has been checked."""
    return documents.Limit(value["rate"], value["burst"])
