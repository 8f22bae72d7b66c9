"""The token bucket of a holder, and the turns of those it refuses."""

import collections
import math

from primrosemill.decisions.customers import caps

# Retry-After for a refused request at most; callers honour it up to a third
# of their remaining time.
MAX_TURN = 1.0  # seconds
# A VM that was refused tokens asks again after this time, more if the holder
# gets more requests for a customer's tokens than it should.
MIN_PAUSE = 0.1  # seconds
MAX_PAUSE = 2.0  # seconds
DESIRED_REQUEST_RATE = 50.0  # requests for one customer's tokens per second
# Tokens per request beyond that, so that a large customer gets all its tokens.
TOKENS_PER_REQUEST = 20.0
RATE_PERIOD = 0.5  # seconds over which these are averaged
# Tokens are lent only while the bucket is fuller than this part of its depth,
# so that a customer near its cap gets all tokens where its requests are.
LEND_LEVEL = 0.5
MAX_LOANS = 4  # tokens lent at once


class Bucket:
    """The tokens of one customer that a holder may grant or lend.

    Starts empty at ``since``. Tokens that are lent and not known to be used
    count towards the depth, except for a pool. Rates are in tokens per second,
    times in seconds.
    """

    def __init__(self, since: float) -> None:
        self._level = 0.0
        self._rate = 0.0
        self._depth = 0.0
        self._pool = 0.0
        self._loans: collections.deque[float] = collections.deque()
        self.since = since
        self._filled_at = since
        self._turn_at = since
        self._request_count = 0.0
        self._counted_at = since

    def set_rate(
        self, rate: float, depth: float, pool: float, now: float
    ) -> None:
        """Set the rate and the largest number of tokens from now on."""
        if self._rate == 0.0:
            # A new bucket has been filling since its start.
            self._rate, self._depth = rate, depth
        self._fill(now)
        self._rate, self._depth, self._pool = rate, depth, pool
        self._fill(now)

    def take(self, wanted: int, now: float) -> int:
        """Return how many of the wanted tokens are granted."""
        self._fill(now)
        granted = max(0, min(wanted, math.floor(self._level + 1e-9)))
        self._level -= granted
        return granted

    def lend(self, wanted: int, now: float) -> int:
        """Return how many of the wanted tokens are lent."""
        spare = math.floor(self._level - LEND_LEVEL * self._depth)
        lent = max(0, min(wanted, spare, MAX_LOANS))
        self._level -= lent
        self._loans.extend([now + caps.LOAN_LIFETIME] * lent)
        return lent

    def end_loans(self, count: int) -> None:
        """Record that lent tokens were used."""
        for _ in range(min(count, len(self._loans))):
            self._loans.popleft()

    def next_turn(self, refused: int, now: float) -> float:
        """Return in how many seconds a refused request may come again."""
        if self._rate <= 0.0:
            return MAX_TURN
        first = max(self._turn_at, now)
        if first - now < MAX_TURN:
            self._turn_at = first + refused / self._rate
        return min(MAX_TURN, max(1.0 / self._rate, first - now))

    def count_request(self, now: float) -> None:
        """Count a request of another VM for tokens."""
        elapsed = max(0.0, now - self._counted_at)
        self._counted_at = now
        self._request_count *= math.exp(-elapsed / RATE_PERIOD)
        self._request_count += 1.0

    def pause(self) -> float:
        """Return after how many seconds a VM that was refused asks again."""
        desired = DESIRED_REQUEST_RATE + self._rate / TOKENS_PER_REQUEST
        load = self._request_count / RATE_PERIOD / desired
        return min(MAX_PAUSE, MIN_PAUSE * max(1.0, load))

    def _fill(self, now: float) -> None:
        elapsed = max(0.0, now - self._filled_at)
        self._filled_at = max(self._filled_at, now)
        while self._loans and self._loans[0] <= now:
            self._loans.popleft()
        room = self._depth - max(0.0, len(self._loans) - self._pool)
        level = self._level + elapsed * self._rate
        self._level = max(0.0, min(room, level))
