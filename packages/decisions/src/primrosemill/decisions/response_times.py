"""Moving averages of the response times of each route."""

import math

# Used before any answer; most requests take longer.
INITIAL_ESTIMATE = 0.1  # seconds
SMOOTHING_WEIGHT = 0.05  # of the latest answer in the moving average
# The first answers of a route are averaged with equal weights.
WARMUP_ANSWERS = 20
# An answer is overdue after this multiple of its route's mean: few take
# longer. A mean of few answers may be far too low.
OVERDUE_FACTOR = 2.5
MIN_OVERDUE_ANSWERS = 4
MIN_OVERDUE_TIME = 0.4  # seconds; shorter delays are common on busy networks


class ResponseTimes:
    """Mean response times by route and over all routes, in seconds."""

    def __init__(self) -> None:
        self._mean_by_route: dict[str, float] = {}
        self._count_by_route: dict[str, int] = {}
        self._overall = INITIAL_ESTIMATE

    @property
    def overall(self) -> float:
        """Return the moving average over all routes."""
        return self._overall

    def mean(self, route: str) -> float:
        """Return the mean of a route, or of all routes if it is new."""
        return self._mean_by_route.get(route, self._overall)

    def is_reliable(self, route: str) -> bool:
        """Return whether the route's mean covers enough answers to use."""
        return self._count_by_route.get(route, 0) >= WARMUP_ANSWERS

    def overdue_after(self, route: str) -> float:
        """Return after how many seconds an answer of a route is overdue.

        It is infinite while too little is known of the route.
        """
        count = self._count_by_route.get(route, 0)
        if count < MIN_OVERDUE_ANSWERS:
            return math.inf
        factor = OVERDUE_FACTOR * (1.0 + 1.0 / count)
        return max(MIN_OVERDUE_TIME, factor * self._mean_by_route[route])

    def record(self, route: str, elapsed: float) -> None:
        """Record the response time of one answer, in seconds."""
        count = self._count_by_route.get(route, 0) + 1
        self._count_by_route[route] = min(count, WARMUP_ANSWERS)
        weight = max(SMOOTHING_WEIGHT, 1.0 / count)
        mean = self._mean_by_route.get(route, elapsed)
        self._mean_by_route[route] = mean + weight * (elapsed - mean)
        self._overall += SMOOTHING_WEIGHT * (elapsed - self._overall)
