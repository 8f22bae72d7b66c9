"""Builds published values and documents assembled from them."""

import msgspec

from primrosemill.configuration import assembly
from primrosemill.configuration import values

FLEET = "atlas"
DOMAINS = ["ain-sebaa", "hay-riad", "sidi-maarouf"]


def instance_value(number: int, **changes) -> values.InstanceValue:
    """Build an instance, whose number determines its failure domain."""
    value = {
        "id": f"res-{number}",
        "address": f"127.0.1.{number + 1}:9000",
        "domain": DOMAINS[number % len(DOMAINS)],
    }
    return value | changes


def service_value(count: int = 20, **changes) -> values.ServiceValue:
    """Build the reservations service of the fleet."""
    value = {
        "name": "reservations",
        "revision": 1,
        "instances": [instance_value(number) for number in range(count)],
        "routes": [
            {"path_prefix": "/slots", "methods": ["GET"], "idempotent": True},
            {"path_prefix": "/bookings", "idempotent": False},
        ],
        "slots": 3,
        "connections": 300,
        "floor": min(14, count),
        "detection_weight": 0.8,
        "demand": 600.0,
        "cold_start": 10.0,
        "probe_path": "/health",
        "probe_interval": 10.0,
    }
    return value | changes


def published(
    *services: values.ServiceValue,
    shards: tuple[values.LimitsValue, ...] = (),
    version: int = 1,
    **changes,
) -> dict[str, bytes]:
    """Build the keys and values of a version, including its index."""
    values_by_key = {}
    references_by_name = {}
    for service in services or (service_value(),):
        encoded = msgspec.json.encode(service)
        key = values.service_key(service["name"], service["revision"])
        values_by_key[key] = encoded
        references_by_name[service["name"]] = {
            "revision": service["revision"],
            "digest": values.digest(encoded),
        }
    references_by_shard = {}
    for shard in shards:
        encoded = msgspec.json.encode(shard)
        key = values.limits_key(shard["shard"], shard["revision"])
        values_by_key[key] = encoded
        references_by_shard[shard["shard"]] = {
            "revision": shard["revision"],
            "digest": values.digest(encoded),
        }
    index = {
        "fleet": FLEET,
        "version": version,
        "domains": DOMAINS,
        "default_limit": {"rate": 100.0, "burst": 100},
        "services_by_name": references_by_name,
        "limits_by_shard": references_by_shard,
    }
    values_by_key[values.INDEX_KEY] = msgspec.json.encode(index | changes)
    return values_by_key


def assembled(
    *services: values.ServiceValue, version: int = 1, **changes
) -> assembly.AssembledVersion:
    """Build and assemble a version."""
    values_by_key = published(*services, version=version, **changes)
    return assembly.assemble(values_by_key[values.INDEX_KEY], values_by_key).ok


def published_with_limits(
    limits_by_caller: dict[str, values.LimitValue], version: int = 1
) -> dict[str, bytes]:
    """Build a version whose callers' limits are in one shard."""
    shard = {
        "shard": "all",
        "revision": version,
        "limits_by_caller": limits_by_caller,
    }
    encoded = msgspec.json.encode(shard)
    reference = {"revision": version, "digest": values.digest(encoded)}
    values_by_key = published(
        version=version, limits_by_shard={"all": reference}
    )
    values_by_key[values.limits_key("all", version)] = encoded
    return values_by_key
