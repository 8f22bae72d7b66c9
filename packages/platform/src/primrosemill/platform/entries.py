"""Decodes what the platform's store holds into the product's types."""

import typing

import expression
import msgspec

from primrosemill.configuration import checks
from primrosemill.configuration import document as documents
from primrosemill.fleet import feed
from primrosemill.platform import names

Whole = typing.Annotated[int, msgspec.Meta(ge=0)]
Positive = typing.Annotated[int, msgspec.Meta(ge=1)]
Span = typing.Annotated[float, msgspec.Meta(ge=0)]
LongSpan = typing.Annotated[float, msgspec.Meta(gt=0)]


class _Entry(typing.TypedDict):
    service: str
    # IP number and port in one.
    address: str
    # The failure domain.
    zone: str
    # Of the instance's software, not of this entry.
    version: str
    slots: Positive
    state: typing.Literal["ready", "draining"]
    # How long the instance is still slow after its start, in milliseconds.
    warmup_left_ms: Span
    # Counts the instance's own writes; it says nothing that is used here.
    sequence: Whole
    # Unix milliseconds of the start: it tells two starts under one id apart.
    born: typing.NotRequired[Whole]


class _Part(typing.TypedDict):
    service: str
    weight: Span


class _Route(typing.TypedDict):
    name: str
    host: str
    prefix: str
    route_type: typing.Literal["idempotent", "non_idempotent", "upload"]
    timeout_ms: LongSpan
    # Not a latency but the time in which an answer has its full worth.
    target_latency_ms: LongSpan
    # 0 is the most urgent.
    priority: Whole
    # The most instances that one request may be sent to.
    max_attempts: Positive
    service: typing.NotRequired[str]
    traffic_split: typing.NotRequired[list[_Part]]


class _Service(typing.TypedDict):
    name: str
    health_path: str
    max_connections: Positive


class _Limits(typing.TypedDict):
    max_header_bytes: Positive
    max_body_bytes: Positive
    header_timeout_ms: LongSpan
    idle_timeout_ms: LongSpan


class _Configuration(typing.TypedDict):
    version: Whole
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits


_entry_decoder = msgspec.json.Decoder(_Entry)
_configuration_decoder = msgspec.json.Decoder(_Configuration)

Decoded = expression.Result[feed.Item, feed.BadItem]


def decode(key: str, revision: int, value: bytes) -> Decoded:
    """Return what a value says; other keys than ours say nothing."""
    try:
        if key == names.ROUTING:
            routing = _decode_routing(value)
            return expression.Ok(feed.Item(key, revision, routing=routing))
        if key.startswith(names.INSTANCES):
            discovered = _decode_instance(key, value)
            return expression.Ok(feed.Item(key, revision, discovered))
    except (msgspec.DecodeError, UnicodeDecodeError, ValueError) as error:
        return expression.Error(feed.BadItem(key, revision, str(error)))
    return expression.Ok(feed.Item(key, revision))


def _decode_instance(key: str, value: bytes) -> feed.Discovered:
    """Decode an entry; raises DecodeError or ValueError."""
    entry = _entry_decoder.decode(value)
    address = checks.split_address(entry["address"])
    if address is None:
        raise ValueError("the address is not an IP number with a port")
    leaving = entry["state"] == names.LEAVING
    instance = documents.Instance(
        key.removeprefix(names.INSTANCES),
        address[0],
        address[1],
        entry["zone"],
        documents.LEAVING if leaving else documents.SERVING,
        entry["slots"],
        entry.get("born", 0),
        entry["warmup_left_ms"] / names.MILLISECONDS,
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
    known = {service.name for service in services}
    routes = tuple(
        _decode_route(route, known) for route in configuration["routes"]
    )
    limits = configuration["limits"]
    return documents.Routing(
        configuration["version"],
        routes,
        services,
        documents.CallerBounds(
            limits["max_header_bytes"],
            limits["max_body_bytes"],
            limits["header_timeout_ms"] / names.MILLISECONDS,
            limits["idle_timeout_ms"] / names.MILLISECONDS,
        ),
    )


def _decode_route(route: _Route, known: set[str]) -> documents.Route:
    prefix = route["prefix"]
    if not prefix.startswith("/") or not prefix.endswith("/"):
        raise ValueError(f"route {route['name']}: the prefix has no slashes")
    kind = route["route_type"]
    return documents.Route(
        route["host"],
        prefix,
        (),
        kind == names.IDEMPOTENT,
        route["timeout_ms"] / names.MILLISECONDS,
        route["name"],
        route["target_latency_ms"] / names.MILLISECONDS,
        route["priority"],
        route["max_attempts"],
        _decode_shares(route, known),
        kind == names.UPLOAD,
    )


def _decode_shares(
    route: _Route, known: set[str]
) -> tuple[documents.Share, ...]:
    shares = tuple(
        documents.Share(part["service"], part["weight"])
        for part in route.get("traffic_split", ())
        if part["weight"] > 0
    )
    if not shares and "service" in route:
        shares = (documents.Share(route["service"], 1.0),)
    if not shares:
        raise ValueError(f"route {route['name']}: it names no service")
    for share in shares:
        if share.service not in known:
            raise ValueError(
                f"route {route['name']}: unknown service {share.service}"
            )
    return shares
