"""Finds the service and the route of a request."""

import typing

from primrosemill.configuration import document as documents

ANY = ""


class Match(typing.NamedTuple):
    """The service that a request belongs to and the route that says so."""

    service: str
    route: documents.Route


class RouteTable:
    """Looks requests up by host, method and longest path prefix.

    A lookup tries each prefix of the path that ends at a ``/``, so its cost
    follows the depth of the path and not the number of routes.
    """

    def __init__(self, document: documents.Document) -> None:
        self._match_by_key: dict[tuple[str, str, str], Match] = {}
        for service in document.services_by_name.values():
            for route in service.routes:
                self._add(Match(service.name, route))

    def _add(self, match: Match) -> None:
        route = match.route
        prefix = route.path_prefix.rstrip("/")
        for method in route.methods or (ANY,):
            key = (route.host.lower(), prefix, method.upper())
            self._match_by_key[key] = match

    def find(self, host: str, path: str, method: str) -> Match | None:
        """Return the match with the longest prefix, or None."""
        prefix = path.rstrip("/")
        hosts = (host.lower(), ANY)
        methods = (method.upper(), ANY)
        while True:
            for each_host in hosts:
                for each_method in methods:
                    key = (each_host, prefix, each_method)
                    match = self._match_by_key.get(key)
                    if match is not None:
                        return match
            if not prefix:
                return None
            prefix = prefix.rpartition("/")[0]
