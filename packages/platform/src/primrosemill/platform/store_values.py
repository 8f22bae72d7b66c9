"""Decodes the values of the platform's store."""

import re
import typing

import expression
import msgspec

from primrosemill.configuration import checks
from primrosemill.configuration import document as documents
from primrosemill.fleet import feed
from primrosemill.fleet import messages
from primrosemill.platform import names

# VMs tell each other these numbers, and their messages hold no larger ones.
NonNegativeInt = typing.Annotated[
    int, msgspec.Meta(ge=0, le=messages.MAX_INTEGER)
]
PositiveInt = typing.Annotated[
    int, msgspec.Meta(ge=1, le=messages.MAX_INTEGER)
]
NonNegativeFloat = typing.Annotated[float, msgspec.Meta(ge=0)]
PositiveFloat = typing.Annotated[float, msgspec.Meta(gt=0)]


class _InstanceEntry(typing.TypedDict):
    service: str
    # ``ip:port``.
    address: str
    # The failure domain.
    zone: str
    # The version of the instance's software, not of this entry.
    version: str
    slots: PositiveInt
    state: typing.Literal["ready", "draining"]
    # Milliseconds for which the instance will still be slow after its start.
    warmup_left_ms: NonNegativeFloat
    # The number of writes by the instance; not used here.
    sequence: NonNegativeInt
    # Start time in Unix milliseconds; distinguishes two starts with one id.
    born: typing.NotRequired[NonNegativeInt]


class _SplitPart(typing.TypedDict):
    service: str
    weight: NonNegativeFloat


class _Route(typing.TypedDict):
    name: str
    host: str
    prefix: str
    # One of names.ROUTE_TYPES; a later platform may add others.
    route_type: str
    timeout_ms: PositiveFloat
    # Not a latency: the time in which an answer has its full value.
    target_latency_ms: PositiveFloat
    # 0 is the most urgent.
    priority: NonNegativeInt
    # The maximum number of instances that one request is sent to.
    max_attempts: PositiveInt
    service: typing.NotRequired[str]
    traffic_split: typing.NotRequired[list[_SplitPart]]
    public: typing.NotRequired[bool]


class _Tenant(typing.TypedDict):
    name: str
    api_keys: list[str]
    # 0 is the most urgent; takes precedence over that of a route.
    priority: typing.NotRequired[NonNegativeInt | None]
    # 0 or absent stands for no cap.
    rate_per_s: typing.NotRequired[NonNegativeFloat | None]
    burst: typing.NotRequired[NonNegativeFloat | None]


class _Service(typing.TypedDict):
    name: str
    health_path: str
    max_connections: PositiveInt


class _Limits(typing.TypedDict):
    max_header_bytes: PositiveInt
    max_body_bytes: PositiveInt
    header_timeout_ms: PositiveFloat
    idle_timeout_ms: PositiveFloat


class _Configuration(typing.TypedDict):
    version: NonNegativeInt
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits
    tenants: typing.NotRequired[list[_Tenant] | None]


# What a header can hold: visible ASCII characters, and spaces within.
_HEADER_VALUE = re.compile(r"[!-~](?:[ -~]*[!-~])?")

_instance_decoder = msgspec.json.Decoder(_InstanceEntry)
_configuration_decoder = msgspec.json.Decoder(_Configuration)

DecodeResult = expression.Result[feed.Item, feed.BadItem]


def decode(key: str, revision: int, value: bytes) -> DecodeResult:
    """Decode the value of a key; other keys give an item without content."""
    try:
        if key == names.ROUTING_KEY:
            routing = _decode_routing(value)
            return expression.Ok(feed.Item(key, revision, routing=routing))
        if key.startswith(names.INSTANCE_PREFIX):
            discovered = _decode_instance(key, value)
            return expression.Ok(feed.Item(key, revision, discovered))
    except (
        msgspec.DecodeError,
        UnicodeDecodeError,
        ValueError,
        RecursionError,
    ) as error:
        return expression.Error(feed.BadItem(key, revision, str(error)))
    return expression.Ok(feed.Item(key, revision))


def _decode_instance(key: str, value: bytes) -> feed.Discovered:
    """Decode an instance's entry; raises DecodeError or ValueError."""
    entry = _instance_decoder.decode(value)
    address = checks.split_address(entry["address"])
    if address is None:
        raise ValueError("the address is not an IP address with a port")
    leaving = entry["state"] == names.DRAINING_STATE
    instance = documents.Instance(
        key.removeprefix(names.INSTANCE_PREFIX),
        address[0],
        address[1],
        entry["zone"],
        documents.LEAVING if leaving else documents.SERVING,
        entry["slots"],
        entry.get("born", 0),
        entry["warmup_left_ms"] / names.MILLISECONDS_PER_SECOND,
    )
    return feed.Discovered(entry["service"], instance)


def _decode_routing(value: bytes) -> documents.Routing:
    """Decode a configuration; raises DecodeError or ValueError."""
    configuration = _configuration_decoder.decode(value)
    services = tuple(
        documents.BackendService(
            each["name"], each["max_connections"], each["health_path"]
        )
        for each in configuration["services"]
    )
    service_names = {service.name for service in services}
    routes = tuple(
        _decode_route(route, service_names)
        for route in configuration["routes"]
    )
    limits = configuration["limits"]
    return documents.Routing(
        configuration["version"],
        routes,
        services,
        documents.RequestLimits(
            limits["max_header_bytes"],
            limits["max_body_bytes"],
            limits["header_timeout_ms"] / names.MILLISECONDS_PER_SECOND,
            limits["idle_timeout_ms"] / names.MILLISECONDS_PER_SECOND,
        ),
        _decode_customers(configuration.get("tenants")),
    )


def _decode_customers(
    tenants: list[_Tenant] | None,
) -> tuple[documents.Customer, ...] | None:
    """Return the customers, or None if no key is needed.

    Raises ValueError if a name or key belongs to two customers, as a request
    could then count for either.
    """
    if tenants is None:
        return None
    customers = tuple(
        documents.Customer(
            tenant["name"],
            tuple(tenant["api_keys"]),
            tenant.get("priority"),
            tenant.get("rate_per_s") or 0.0,
            tenant.get("burst") or 0.0,
        )
        for tenant in tenants
    )
    customer_names = {customer.name for customer in customers}
    if len(customer_names) < len(customers):
        raise ValueError("two customers have one name")
    holder_by_key: dict[str, str] = {}
    for customer in customers:
        if not _HEADER_VALUE.fullmatch(customer.name):
            raise ValueError("a customer's name is not a header value")
        for key in customer.keys:
            holder = holder_by_key.setdefault(key, customer.name)
            if holder != customer.name:
                raise ValueError(
                    f"customers {holder} and {customer.name} share a key"
                )
    return customers


def _decode_route(route: _Route, service_names: set[str]) -> documents.Route:
    prefix = route["prefix"]
    if not prefix.startswith("/") or not prefix.endswith("/"):
        raise ValueError(
            f"route {route['name']}: prefix must start and end with a slash"
        )
    route_type = route["route_type"]
    return documents.Route(
        route["host"],
        prefix,
        (),
        route_type in (names.IDEMPOTENT_ROUTE, names.DOWNLOAD_ROUTE),
        route["timeout_ms"] / names.MILLISECONDS_PER_SECOND,
        route["name"],
        route["target_latency_ms"] / names.MILLISECONDS_PER_SECOND,
        route["priority"],
        route["max_attempts"],
        _decode_shares(route, service_names),
        route_type == names.UPLOAD_ROUTE,
        route.get("public", False),
        route_type == names.DOWNLOAD_ROUTE,
        "" if route_type in names.ROUTE_TYPES else route_type,
    )


def _decode_shares(
    route: _Route, service_names: set[str]
) -> tuple[documents.Share, ...]:
    shares = tuple(
        documents.Share(part["service"], part["weight"])
        for part in route.get("traffic_split", ())
        if part["weight"] > 0
    )
    if not shares and "service" in route:
        shares = (documents.Share(route["service"], 1.0),)
    if not shares:
        raise ValueError(f"route {route['name']}: no service given")
    for share in shares:
        if share.service not in service_names:
            raise ValueError(
                f"route {route['name']}: unknown service {share.service}"
            )
    return shares
