"""Spreads the requests of a route over its services by weight."""

import random

from primrosemill.configuration import document as documents

SEQUENCE = 100  # requests after which weights in whole percent repeat


class Splitter:
    """Gives each service of a route its share of the requests.

    Each request adds a service's weight to its credit; the service with the
    most credit is taken and pays the whole weight. So any run of requests
    is within one request of the weights. Each VM does this for itself and
    starts at a random place in the sequence.
    """

    def __init__(self, generator: random.Random) -> None:
        self._generator = generator
        self._credits_by_route: dict[str, dict[str, float]] = {}
        self._shares_by_route: dict[str, tuple[documents.Share, ...]] = {}

    def choose(self, route: documents.Route) -> str:
        """Return the service that the next request of a route goes to."""
        if len(route.shares) == 1:
            return route.shares[0].service
        return _advance(self._credits(route), route.shares)

    def forget_others(self, routes: tuple[documents.Route, ...]) -> None:
        """Drop the credits of routes that are not among these."""
        kept = {route.name for route in routes}
        for name in self._shares_by_route.keys() - kept:
            del self._shares_by_route[name]
            del self._credits_by_route[name]

    def _credits(self, route: documents.Route) -> dict[str, float]:
        if self._shares_by_route.get(route.name) != route.shares:
            self._shares_by_route[route.name] = route.shares
            balances = {share.service: 0.0 for share in route.shares}
            for _ in range(self._generator.randrange(SEQUENCE)):
                _advance(balances, route.shares)
            self._credits_by_route[route.name] = balances
        return self._credits_by_route[route.name]


def _advance(
    balances: dict[str, float], shares: tuple[documents.Share, ...]
) -> str:
    """Choose the next service and book the credits."""
    for share in shares:
        balances[share.service] += share.weight
    chosen = max(balances, key=balances.__getitem__)
    balances[chosen] -= sum(share.weight for share in shares)
    return chosen
