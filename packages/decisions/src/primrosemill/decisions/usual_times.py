"""Learns how long the answers to each route usually take."""

FIRST_GUESS = 0.1  # seconds, before any answer; most requests take longer
WEIGHT = 0.05  # of the latest answer in the moving average
FIRST_ANSWERS = 20  # that weigh equally, so that the guess is soon forgotten


class UsualTimes:
    """Moving averages of answer times, in seconds."""

    def __init__(self) -> None:
        self._mean_by_route: dict[str, float] = {}
        self._count_by_route: dict[str, int] = {}
        self._overall = FIRST_GUESS

    @property
    def overall(self) -> float:
        """Return the average over all routes."""
        return self._overall

    def usual(self, route: str) -> float:
        """Return the average of a route, or of all where it is new."""
        return self._mean_by_route.get(route, self._overall)

    def known(self, route: str) -> bool:
        """Tell whether the average rests on enough answers to judge by."""
        return self._count_by_route.get(route, 0) >= FIRST_ANSWERS

    def note(self, route: str, elapsed: float) -> None:
        """Take one answer into account."""
        count = self._count_by_route.get(route, 0) + 1
        self._count_by_route[route] = min(count, FIRST_ANSWERS)
        weight = max(WEIGHT, 1.0 / count)
        before = self._mean_by_route.get(route, elapsed)
        self._mean_by_route[route] = before + weight * (elapsed - before)
        self._overall += WEIGHT * (elapsed - self._overall)
