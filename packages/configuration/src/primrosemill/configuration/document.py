"""Defines the types of the checked configuration.

Values of these types are built from checked input alone, as in
:mod:`primrosemill.configuration.assembly`, so code that receives one need not
validate it again. Times are in seconds.
"""

import typing

SERVING = "serving"
LEAVING = "leaving"
INSTANCE_STATES = (SERVING, LEAVING)


class Instance(typing.NamedTuple):
    """One backend server process, reached at ``ip`` and ``port``.

    ``slots`` of 0 means the number of slots that its service configures.
    ``boot`` distinguishes two starts with the same id. ``warmup_left`` is the
    number of seconds for which it would still be slow, as last reported.
    """

    id: str
    ip: str
    port: int
    domain: str
    state: str = SERVING
    slots: int = 0
    boot: int = 0
    warmup_left: float = 0.0

    @property
    def leaving(self) -> bool:
        """Return whether the operator has taken it out of service."""
        return self.state == LEAVING


class Share(typing.NamedTuple):
    """A service and its relative weight in the requests of a route."""

    service: str
    weight: float


class Route(typing.NamedTuple):
    """A rule that matches requests and sets how they are handled.

    An empty ``host`` matches every host, empty ``methods`` every method.
    Requests that are not ``idempotent`` are never repeated if they may have
    run. ``deadline`` is the maximum duration of a request, ``target_time`` the
    time in which an answer has its full value, or 0 for none. Priority 0 is
    the most urgent. ``max_instances`` is the maximum number of instances
    that a request is sent to; 0 leaves it to the retry policy. A route in
    ``Document.routes`` lists its services in ``shares``, and matches only
    paths that begin with its whole prefix. A ``public`` route needs no key.
    ``unsupported_kind`` names a kind of route that this build does not know;
    requests for such a route are refused.
    """

    host: str
    path_prefix: str
    methods: tuple[str, ...]
    idempotent: bool
    deadline: float
    name: str = ""
    target_time: float = 0.0
    priority: int = 0
    max_instances: int = 0
    shares: tuple[Share, ...] = ()
    large_bodies: bool = False
    public: bool = False
    large_answers: bool = False
    unsupported_kind: str = ""

    @property
    def effective_target_time(self) -> float:
        """Return the seconds after which an answer loses value."""
        return self.target_time or self.deadline


class Service(typing.NamedTuple):
    """A backend service with its instances, routes and limits.

    ``floor`` is the minimum number of healthy instances that ejection leaves
    in rotation. ``detection_weight`` runs from 0 (avoid false ejections) to 1
    (detect fast). ``demand`` is the expected peak rate in requests per second.
    """

    name: str
    revision: int
    instances: tuple[Instance, ...]
    routes: tuple[Route, ...]
    slots: int
    connections: int
    floor: int
    detection_weight: float
    demand: float
    cold_start: float
    probe_path: str
    probe_interval: float


class Customer(typing.NamedTuple):
    """A customer, its keys, and its usage cap over the whole fleet.

    ``priority`` takes precedence over that of a route; None leaves it to the
    route. ``rate`` is in requests per second, 0 for no cap; ``burst`` is the
    number of requests that may come at once.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None = None
    rate: float = 0.0
    burst: float = 0.0


class Limit(typing.NamedTuple):
    """A caller's rate limit: requests per second, and the burst size."""

    rate: float
    burst: int


class RequestLimits(typing.NamedTuple):
    """Limits on callers' requests; sizes in bytes, times in seconds."""

    max_head_size: int = 16_384
    max_body_size: int = 67_108_864
    head_timeout: float = 10.0
    idle_timeout: float = 75.0


# Used where the configuration sets no bounds. The HTTP library's own limit for
# the size of a head still applies.
UNLIMITED_REQUESTS = RequestLimits(2**62, 2**62, float("inf"))


class BackendService(typing.NamedTuple):
    """A service whose instances are discovered through the feed."""

    name: str
    connections: int
    probe_path: str


class Routing(typing.NamedTuple):
    """The operator's configuration of a fleet with discovered instances.

    If ``customers`` is None, requests need no key.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[BackendService, ...]
    request_limits: RequestLimits
    customers: tuple[Customer, ...] | None = None


class Document(typing.NamedTuple):
    """One version of the complete configuration of a fleet.

    ``routes`` contains the routes that are not part of a single service. If
    ``customers`` is None, requests need no key.
    """

    fleet: str
    version: int
    digest: str
    domains: tuple[str, ...]
    default_limit: Limit
    services_by_name: dict[str, Service]
    limits_by_caller: dict[str, Limit]
    routes: tuple[Route, ...] = ()
    customers: tuple[Customer, ...] | None = None


def empty_document(fleet: str) -> Document:
    """Return version 0, which every published version replaces."""
    return Document(fleet, 0, "", (), Limit(0.0, 0), {}, {})
