"""Weighted distribution of a route's requests over its services."""

import random

from primrosemill.configuration import document as documents

# Requests after which the sequence repeats for weights in whole percent.
SEQUENCE_LENGTH = 100


class Splitter:
    """Chooses a service for each request by smooth weighted round-robin.

    Each request adds every service's weight to its credit. The service with
    the most credit is chosen and pays the sum of the weights. So any run of
    requests is within one request of the weights. Each VM does this
    independently and starts at a random place in the sequence.
    """

    def __init__(self, generator: random.Random) -> None:
        self._generator = generator
        self._credits_by_route: dict[str, dict[str, float]] = {}
        self._shares_by_route: dict[str, tuple[documents.Share, ...]] = {}

    def choose(self, route: documents.Route) -> str:
        """Return the service for the next request of a route."""
        if len(route.shares) == 1:
            return route.shares[0].service
        return _choose_next(self._current_credits(route), route.shares)

    def forget_others(self, routes: tuple[documents.Route, ...]) -> None:
        """Drop the credits of all other routes."""
        kept_names = {route.name for route in routes}
        for name in self._shares_by_route.keys() - kept_names:
            del self._shares_by_route[name]
            del self._credits_by_route[name]

    def _current_credits(self, route: documents.Route) -> dict[str, float]:
        if self._shares_by_route.get(route.name) != route.shares:
            self._shares_by_route[route.name] = route.shares
            credits_by_service = {share.service: 0.0 for share in route.shares}
            for _ in range(self._generator.randrange(SEQUENCE_LENGTH)):
                _choose_next(credits_by_service, route.shares)
            self._credits_by_route[route.name] = credits_by_service
        return self._credits_by_route[route.name]


def _choose_next(
    credits_by_service: dict[str, float], shares: tuple[documents.Share, ...]
) -> str:
    """Return the next service and update the credits."""
    for share in shares:
        credits_by_service[share.service] += share.weight
    chosen = max(credits_by_service, key=credits_by_service.__getitem__)
    credits_by_service[chosen] -= sum(share.weight for share in shares)
    return chosen
