"""Defines the published values: their keys, JSON types and digests.

A document is published as a small index and one value for each part. The key
of a part contains its revision, so a published value never changes, and new
parts do not affect a reader of an older index. Parts are published first and
the index last.
"""

import hashlib
import typing

VALUE_SIZE_LIMIT = 1_000_000  # bytes; the store accepts at most 1 MB.
DIGEST_SIZE = 16  # bytes; the hexadecimal form is twice as long.
INDEX_KEY = "index"
SERVICE_PREFIX = "service"
LIMITS_PREFIX = "limits"


class InstanceValue(typing.TypedDict):
    """JSON form of an instance; the address is ``ip:port``."""

    id: str
    address: str
    domain: str
    state: typing.NotRequired[str]


class RouteValue(typing.TypedDict):
    """JSON form of a route; the deadline is in seconds."""

    host: typing.NotRequired[str]
    path_prefix: str
    methods: typing.NotRequired[list[str]]
    idempotent: bool
    deadline: typing.NotRequired[float]


class ServiceValue(typing.TypedDict):
    """JSON form of a service."""

    name: str
    revision: int
    instances: list[InstanceValue]
    routes: list[RouteValue]
    slots: int
    connections: int
    floor: int
    detection_weight: float
    demand: float
    cold_start: float
    probe_path: str
    probe_interval: float


class LimitValue(typing.TypedDict):
    """JSON form of a caller's limit."""

    rate: float
    burst: int


class LimitsValue(typing.TypedDict):
    """JSON form of one shard of the callers' limits."""

    shard: str
    revision: int
    limits_by_caller: dict[str, LimitValue]


class PartReference(typing.TypedDict):
    """The revision of a part and the digest of its bytes."""

    revision: int
    digest: str


class IndexValue(typing.TypedDict):
    """JSON form of the index, which lists all parts of a version."""

    fleet: str
    version: int
    domains: list[str]
    default_limit: LimitValue
    services_by_name: dict[str, PartReference]
    limits_by_shard: dict[str, PartReference]


def service_key(name: str, revision: int) -> str:
    """Return the key of one revision of a service."""
    return f"{SERVICE_PREFIX}/{name}/{revision}"


def limits_key(shard: str, revision: int) -> str:
    """Return the key of one revision of a shard of limits."""
    return f"{LIMITS_PREFIX}/{shard}/{revision}"


def part_digests(index: IndexValue) -> dict[str, str]:
    """Return the digests of all parts of an index by their keys."""
    digests_by_key = {}
    for name, reference in index["services_by_name"].items():
        key = service_key(name, reference["revision"])
        digests_by_key[key] = reference["digest"]
    for shard, reference in index["limits_by_shard"].items():
        key = limits_key(shard, reference["revision"])
        digests_by_key[key] = reference["digest"]
    return digests_by_key


def digest(value: bytes) -> str:
    """Return the digest of a value as it appears in an index."""
    return hashlib.blake2b(value, digest_size=DIGEST_SIZE).hexdigest()
