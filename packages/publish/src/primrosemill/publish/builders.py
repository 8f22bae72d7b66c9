"""Builds the parts of a plan: services, instances, routes and limits.

Times are in seconds, rates in requests per second.
"""

import ipaddress
import typing

from primrosemill.configuration import checks
from primrosemill.configuration import document as documents
from primrosemill.configuration import values

SLOTS = 2
CONNECTIONS = 300
DETECTION_WEIGHT = 0.5
COLD_START = 10.0  # seconds
PROBE_PATH = "/health"
PROBE_INTERVAL = 10.0  # seconds
UNPUBLISHED_REVISION = 0
NO_DOMAIN = ""


def instance(
    instance_id: str,
    ip: str,
    port: int,
    domain: str,
    *,
    leaving: bool = False,
) -> values.InstanceValue:
    """Describe an instance; a leaving one gets no new requests."""
    host = f"[{ip}]" if ":" in ip else ip
    state = documents.LEAVING if leaving else documents.SERVING
    return {
        "id": instance_id,
        "address": f"{host}:{port}",
        "domain": domain,
        "state": state,
    }


def instances(
    name: str,
    first_ip: str,
    count: int,
    port: int,
    domains: typing.Sequence[str],
) -> list[values.InstanceValue]:
    """Describe instances at consecutive IP addresses, spread over domains."""
    return [
        instance(
            f"{name}-{number}",
            _ip_after(first_ip, number),
            port,
            domains[number % len(domains)] if domains else NO_DOMAIN,
        )
        for number in range(count)
    ]


def _ip_after(first_ip: str, number: int) -> str:
    try:
        return str(ipaddress.ip_address(first_ip) + number)
    except ValueError:
        # An invalid address is kept; the check of the plan reports it.
        return first_ip


def route(
    path_prefix: str,
    *,
    idempotent: bool,
    host: str = "",
    methods: typing.Iterable[str] = (),
    deadline: float = checks.DEFAULT_DEADLINE,
) -> values.RouteValue:
    """Describe which requests belong to a service.

    A request of a route that is not idempotent is never repeated if it may
    have run. A route without a host or methods matches all of them.
    """
    return {
        "host": host,
        "path_prefix": path_prefix,
        "methods": list(methods),
        "idempotent": idempotent,
        "deadline": deadline,
    }


def limit(rate: float, burst: int) -> values.LimitValue:
    """Describe a caller's rate limit: requests per second, and the burst."""
    return {"rate": rate, "burst": burst}


def service(
    name: str,
    instances: typing.Iterable[values.InstanceValue],
    routes: typing.Iterable[values.RouteValue],
    *,
    floor: int,
    demand: float,
    slots: int = SLOTS,
    connections: int = CONNECTIONS,
    detection_weight: float = DETECTION_WEIGHT,
    cold_start: float = COLD_START,
    probe_path: str = PROBE_PATH,
    probe_interval: float = PROBE_INTERVAL,
) -> values.ServiceValue:
    """Describe a service.

    ``floor`` is the number of healthy instances that stay in rotation
    whatever is detected. ``detection_weight`` runs from 0, which avoids false
    ejections, to 1, which detects fast. ``demand`` is the expected peak rate.
    ``slots`` and ``connections`` apply to each instance.
    """
    return {
        "name": name,
        "revision": UNPUBLISHED_REVISION,
        "instances": list(instances),
        "routes": list(routes),
        "slots": slots,
        "connections": connections,
        "floor": floor,
        "detection_weight": detection_weight,
        "demand": demand,
        "cold_start": cold_start,
        "probe_path": probe_path,
        "probe_interval": probe_interval,
    }
