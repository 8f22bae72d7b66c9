"""Holds the checked configuration that every decision reads.

Values of these types come from :mod:`primrosemill.configuration.assembly`
only, so whoever holds one need not check it again. Times are in seconds.
"""

import typing

SERVING = "serving"
LEAVING = "leaving"
INSTANCE_STATES = (SERVING, LEAVING)


class Instance(typing.NamedTuple):
    """One backend server process, reached at ``ip`` and ``port``."""

    id: str
    ip: str
    port: int
    domain: str
    state: str = SERVING

    @property
    def leaving(self) -> bool:
        """Tell whether the operator has taken it out of service."""
        return self.state == LEAVING


class Route(typing.NamedTuple):
    """Which requests belong to a service, and whether they may be repeated.

    An empty ``host`` matches every host, empty ``methods`` every method.
    """

    host: str
    path_prefix: str
    methods: tuple[str, ...]
    idempotent: bool
    deadline: float


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


class Document(typing.NamedTuple):
    """The whole configuration of a fleet in one version."""

    fleet: str
    version: int
    digest: str
    domains: tuple[str, ...]
    default_limit: Limit
    services_by_name: dict[str, Service]
    limits_by_caller: dict[str, Limit]


def empty_document(fleet: str) -> Document:
    """Return version 0, which every published version replaces."""
    return Document(fleet, 0, "", (), Limit(0.0, 0), {}, {})
