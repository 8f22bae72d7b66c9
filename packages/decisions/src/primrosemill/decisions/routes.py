"""Lookup of the service and route of a request.

Rules in order of precedence: routes for the request's host come before
routes for any host; the longest path prefix wins, by whole segments; a route
for the request's method comes before one for any method. If a prefix has
routes but none for the method, shorter prefixes are tried.
"""

import collections
import typing

from primrosemill.configuration import document as documents

WILDCARD = ""


class Match(typing.NamedTuple):
    """The service and the route that a request matches."""

    service: str
    route: documents.Route


class Key(typing.NamedTuple):
    """What a route matches; no two routes may have the same key."""

    host: str
    prefix: str
    method: str


class Ambiguity(typing.NamedTuple):
    """The services whose routes have the same key."""

    key: Key
    services: tuple[str, ...]


def normalize_host(host: str) -> str:
    """Return a host in lower case, without port and trailing dot."""
    if host.startswith("["):
        host = host.partition("]")[0] + "]"
    else:
        host = host.partition(":")[0]
    return host.rstrip(".").lower()


def keys_of(route: documents.Route) -> list[Key]:
    """Return the keys of a route, one for each method."""
    host = normalize_host(route.host)
    prefix = route.path_prefix.rstrip("/")
    return [
        Key(host, prefix, method.upper())
        for method in route.methods or (WILDCARD,)
    ]


def find_ambiguities(
    services: typing.Iterable[documents.Service],
) -> tuple[Ambiguity, ...]:
    """Return the keys that more than one route has.

    Routes that differ only in the case of the host or method, or in a
    trailing slash, have the same key.
    """
    names_by_key: dict[Key, list[str]] = collections.defaultdict(list)
    for service in services:
        for route in service.routes:
            for key in keys_of(route):
                names_by_key[key].append(service.name)
    return tuple(
        Ambiguity(key, tuple(names))
        for key, names in names_by_key.items()
        if len(names) > 1
    )


class RouteTable:
    """Finds routes by host, method and longest path prefix.

    A lookup tries the prefixes of the path that end at a ``/``, up to the
    depth of the deepest route, so its cost depends neither on the number of
    routes nor on the length of the path.
    """

    def __init__(self, document: documents.Document) -> None:
        self._match_by_key: dict[Key, Match] = {}
        self._depth_by_host: dict[str, int] = {}
        for service in document.services_by_name.values():
            for route in service.routes:
                self._add(Match(service.name, route))
        for route in document.routes:
            self._add(Match(route.shares[0].service, route))

    def find(self, host: str, path: str, method: str) -> Match | None:
        """Return the match of a path checked by :mod:`.paths`, or None."""
        method = method.upper()
        for candidate_host in (normalize_host(host), WILDCARD):
            depth = self._depth_by_host.get(candidate_host)
            if depth is None:
                continue
            match = self._find_on_host(candidate_host, path, method, depth)
            if match is not None:
                return match
        return None

    def _add(self, match: Match) -> None:
        for key in keys_of(match.route):
            # The first route wins, so that all VMs use the same one.
            self._match_by_key.setdefault(key, match)
            depth = key.prefix.count("/")
            deepest = self._depth_by_host.get(key.host, 0)
            self._depth_by_host[key.host] = max(depth, deepest)

    def _find_on_host(
        self, host: str, path: str, method: str, depth: int
    ) -> Match | None:
        segments = path.rstrip("/").split("/", depth + 1)[: depth + 1]
        prefix = "/".join(segments)
        while True:
            for candidate_method in (method, WILDCARD):
                # A plain tuple is equal to a Key and faster to build.
                match = self._match_by_key.get(
                    (host, prefix, candidate_method)
                )
                if match is not None and _matches_prefix(match.route, path):
                    return match
            if not prefix:
                return None
            prefix = prefix.rpartition("/")[0]


def _matches_prefix(route: documents.Route, path: str) -> bool:
    """Return whether a path starts with the full prefix of a split route.

    The key of a route drops a trailing slash, but a path must match the one
    of a split route.
    """
    return not route.shares or path.startswith(route.path_prefix)
