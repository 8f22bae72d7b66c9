"""Holds the checked configuration that every decision reads.

Values of these types come from :mod:`primrosemill.configuration.assembly`
only, so whoever holds one need not check it again. Times are in seconds.
"""

import typing

SERVING = "serving"
LEAVING = "leaving"
INSTANCE_STATES = (SERVING, LEAVING)


class Instance(typing.NamedTuple):
    """One backend server process, reached at ``ip`` and ``port``.

    ``slots`` of 0 stand for the slots of its service. ``boot`` tells two
    starts under one id apart. ``cold_for`` is how many seconds it was still
    to be slow when it last told so.
    """

    id: str
    ip: str
    port: int
    domain: str
    state: str = SERVING
    slots: int = 0
    boot: int = 0
    cold_for: float = 0.0

    @property
    def leaving(self) -> bool:
        """Tell whether the operator has taken it out of service."""
        return self.state == LEAVING


class Share(typing.NamedTuple):
    """The part of a route's requests that goes to one service."""

    service: str
    weight: float


class Route(typing.NamedTuple):
    """Which requests belong to a service, and whether they may be repeated.

    An empty ``host`` matches every host, empty ``methods`` every method.
    ``deadline`` is the longest that a request may take, ``target`` the time
    in which an answer has its full worth; 0 stands for no target. Priority
    0 is the most urgent. ``most_instances`` of 0 leaves it to the retry
    policy to how many instances a request may be sent. A route of the
    document itself names its services in ``shares``, and matches only paths
    that begin with its whole prefix.
    """

    host: str
    path_prefix: str
    methods: tuple[str, ...]
    idempotent: bool
    deadline: float
    name: str = ""
    target: float = 0.0
    priority: int = 0
    most_instances: int = 0
    shares: tuple[Share, ...] = ()
    large_bodies: bool = False

    @property
    def patience(self) -> float:
        """Return the seconds after which an answer loses worth."""
        return self.target or self.deadline


class Service(typing.NamedTuple):
    """A backend service with its instances, routes and limits.

    ``floor`` is the number of healthy instances that ejection must leave in
    rotation. ``detection_weight`` runs from 0 (avoid false ejections) to 1
    (detect fast). ``demand`` is the expected peak in requests a second.
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


class Limit(typing.NamedTuple):
    """A caller's allowance: requests a second, and how many at once."""

    rate: float
    burst: int


class CallerBounds(typing.NamedTuple):
    """What a caller may send; sizes in bytes, times in seconds."""

    head_size: int = 16_384
    body_size: int = 67_108_864
    head_time: float = 10.0
    idle_time: float = 75.0


# What a server allows whose configuration says nothing about its callers:
# the size of the head is then the HTTP library's own, all else is free.
UNBOUNDED = CallerBounds(2**62, 2**62, float("inf"))


class BackendService(typing.NamedTuple):
    """A service whose instances are discovered."""

    name: str
    connections: int
    probe_path: str


class Routing(typing.NamedTuple):
    """What an operator configures where instances are discovered."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[BackendService, ...]
    bounds: CallerBounds


class Document(typing.NamedTuple):
    """The whole configuration of a fleet in one version.

    ``routes`` are those that no single service has to itself.
    """

    fleet: str
    version: int
    digest: str
    domains: tuple[str, ...]
    default_limit: Limit
    services_by_name: dict[str, Service]
    limits_by_caller: dict[str, Limit]
    routes: tuple[Route, ...] = ()


def empty_document(fleet: str) -> Document:
    """Return version 0, which every published version replaces."""
    return Document(fleet, 0, "", (), Limit(0.0, 0), {}, {})
