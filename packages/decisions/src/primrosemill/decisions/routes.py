"""Finds the service and the route of a request.

The rules, in their order: routes of the request's own host go before routes
of any host; then the longest path prefix wins, by whole segments; then a
route of the request's own method goes before one of any method. Where a
prefix has routes but none for the method, shorter prefixes are looked at.
"""

import collections
import typing

from primrosemill.configuration import document as documents

ANY = ""


class Match(typing.NamedTuple):
    """The service that a request belongs to and the route that says so."""

    service: str
    route: documents.Route


class Key(typing.NamedTuple):
    """What a route claims; two routes must not claim the same."""

    host: str
    prefix: str
    method: str


class Ambiguity(typing.NamedTuple):
    """Routes of these services claim the same requests."""

    key: Key
    services: tuple[str, ...]


def normalize_host(host: str) -> str:
    """Return a host without port, final dot and capitals."""
    if host.startswith("["):
        host = host.partition("]")[0] + "]"
    else:
        host = host.partition(":")[0]
    return host.rstrip(".").lower()


def keys_of(route: documents.Route) -> list[Key]:
    """Return what a route claims, one key for each method."""
    host = normalize_host(route.host)
    prefix = route.path_prefix.rstrip("/")
    return [
        Key(host, prefix, method.upper()) for method in route.methods or (ANY,)
    ]


def find_ambiguities(
    services: typing.Iterable[documents.Service],
) -> tuple[Ambiguity, ...]:
    """Return the keys that more than one route claims.

    Routes that differ in capitals of the host or method, or in a final
    slash, claim the same.
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
    """Looks requests up by host, method and longest path prefix.

    A lookup tries the prefixes of the path that end at a ``/``, no deeper
    than the deepest route, so its cost follows neither the number of routes
    nor the length of the path.
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
        """Return the match of a checked path, or None.

        :mod:`.paths` checks paths.
        """
        method = method.upper()
        for each_host in (normalize_host(host), ANY):
            depth = self._depth_by_host.get(each_host)
            if depth is None:
                continue
            match = self._find_on_host(each_host, path, method, depth)
            if match is not None:
                return match
        return None

    def _add(self, match: Match) -> None:
        for key in keys_of(match.route):
            # The first one stays, so that every VM takes the same.
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
            for each_method in (method, ANY):
                # A plain tuple equals the key and is built faster.
                match = self._match_by_key.get((host, prefix, each_method))
                if match is not None and _begins(match.route, path):
                    return match
            if not prefix:
                return None
            prefix = prefix.rpartition("/")[0]


def _begins(route: documents.Route, path: str) -> bool:
    """Tell whether a path begins with all of a split route's prefix."""
    return not route.shares or path.startswith(route.path_prefix)
