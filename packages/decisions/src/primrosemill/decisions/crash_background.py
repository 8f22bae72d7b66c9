"""Weight of a crash as evidence against the request that ran there.

It falls with the share of all requests that end with a crash of their
instance. No I/O; times are in seconds, odds are natural logarithms.
"""

import math

# Probability that a request of this kind ends with a crash of its instance.
CRASH_IF_HARMFUL = 0.98
# Bounds of the probability that any other request does. The lower one holds
# in calm times. With the upper one three crashes are still enough to hold a
# request, which is as many as the platform's rule leaves.
MIN_BACKGROUND = 0.002
MAX_BACKGROUND = 0.02
BACKGROUND_TIME = 30.0  # seconds in which an attempt's weight falls to 1/e
BACKGROUND_PRIOR = 200.0  # attempts that the lower bound is worth


class Background:
    """Share of a VM's attempts that end with a crash of their instance."""

    def __init__(self) -> None:
        self._attempts = 0.0
        self._crashed = 0.0
        self._updated_at = 0.0

    def record(self, crashed: bool, now: float) -> None:
        """Count an attempt that ended."""
        decay = math.exp((self._updated_at - now) / BACKGROUND_TIME)
        self._attempts = self._attempts * decay + 1.0
        self._crashed = self._crashed * decay + float(crashed)
        self._updated_at = now

    @property
    def crash_odds(self) -> float:
        """Return the weight of a crash as evidence against a request."""
        crashed = self._crashed + BACKGROUND_PRIOR * MIN_BACKGROUND
        share = crashed / (self._attempts + BACKGROUND_PRIOR)
        share = min(MAX_BACKGROUND, max(MIN_BACKGROUND, share))
        return math.log(CRASH_IF_HARMFUL / share)
