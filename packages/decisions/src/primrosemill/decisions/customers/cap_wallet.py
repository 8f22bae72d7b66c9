"""What one VM holds of one customer's cap, and what it needs.

Times are in seconds of a clock that counts the time for which the machine was
suspended.
"""

import collections
import math

from primrosemill.decisions.customers import caps

AHEAD_TIME = 0.12  # seconds of the expected load that are asked for in advance
LOW_TIME = 0.08  # seconds of it below which tokens are asked for again
DEMAND_PERIOD = 0.5  # seconds over which the demand is averaged
# Requests per second from which on a VM would like to be lent a second token.
SECOND_LOAN_DEMAND = 1.0


class Wallet:
    """The tokens, the fallback and the demand of one customer at one VM."""

    def __init__(self, window: float, now: float) -> None:
        self._window = window
        # The time at which tokens lapse, and their number.
        self._tokens: collections.deque[list[float]] = collections.deque()
        self._loans: collections.deque[float] = collections.deque()
        self.used_loans = 0  # since the last request for tokens
        # The times of the requests that were admitted without a token.
        self._fallback_uses: collections.deque[float] = collections.deque()
        self._last_lapse = -math.inf
        self._demand = 0.0
        self._counted_at = now
        self.arrived_at = now
        # Until when this VM does not ask, and when refused requests may come.
        self.paused_until = -math.inf
        self.turn_at = -math.inf
        self.in_flight = 0  # tokens asked for in advance

    def count_arrival(self, now: float) -> None:
        """Count a request of the customer."""
        self._decay(now)
        self._demand += 1.0
        self.arrived_at = now

    def demand(self, now: float) -> float:
        """Return the customer's requests per second at this VM."""
        self._decay(now)
        return self._demand / DEMAND_PERIOD

    def token_count(self, now: float) -> int:
        """Return the number of tokens that have not lapsed."""
        while self._tokens and self._tokens[0][0] <= now:
            self._tokens.popleft()
        return sum(int(count) for _, count in self._tokens)

    def add_tokens(self, count: int, lapses_at: float) -> None:
        """Add tokens that may be used until a time."""
        if count > 0:
            self._tokens.append([lapses_at, count])

    def take_token(self, now: float) -> bool:
        """Use a token; return whether there was one."""
        if not self.token_count(now):
            return False
        first = self._tokens[0]
        self._last_lapse = first[0]
        first[1] -= 1
        if not first[1]:
            self._tokens.popleft()
        return True

    def add_loans(self, count: int, lapses_at: float) -> None:
        """Add lent tokens that may be used until a time."""
        self._loans.extend([lapses_at] * count)

    def loan_count(self, now: float) -> int:
        """Return the number of lent tokens that have not lapsed."""
        while self._loans and self._loans[0] <= now:
            self._loans.popleft()
        return len(self._loans)

    def take_loan(self, now: float) -> bool:
        """Use a lent token; return whether there was one.

        It can't be given back, as the holder will be told that it was used.
        """
        if not self.loan_count(now):
            return False
        self._loans.popleft()
        self.used_loans += 1
        self._last_lapse = -math.inf
        return True

    def wanted_loans(self, now: float) -> int:
        """Return how many tokens this VM would like to be lent."""
        demand = self.demand(now)
        if demand * AHEAD_TIME >= 1.0 or now < self.paused_until:
            return 0
        target = 2 if demand > SECOND_LOAN_DEMAND else 1
        return max(0, target - self.loan_count(now))

    def give_back(self, now: float) -> None:
        """Take back the token of a request that did not run."""
        if now < self._last_lapse:
            self._tokens.appendleft([self._last_lapse, 1])

    def mark_used(self, lapses_at: float) -> None:
        """Record until when a token that was used at once may come back."""
        self._last_lapse = lapses_at

    def wanted_ahead(self, now: float) -> int:
        """Return how many tokens to ask for in advance."""
        demand = self.demand(now)
        if demand * AHEAD_TIME < 1.0 or now < self.paused_until:
            return 0
        held = self.token_count(now) + self.in_flight
        if held > demand * LOW_TIME:
            return 0
        return max(0, int(demand * (AHEAD_TIME + LOW_TIME)) - held)

    def use_fallback(self, share: int, now: float) -> bool:
        """Admit a request without a token; return False if all are used."""
        uses = self._fallback_uses
        while uses and uses[0] <= now - self._window:
            uses.popleft()
        if len(uses) >= share:
            return False
        uses.append(now)
        self._last_lapse = -math.inf
        return True

    def repay_fallback(self, used_at: float) -> None:
        """Cover a request that was admitted without a token by a token."""
        if used_at in self._fallback_uses:
            self._fallback_uses.remove(used_at)

    def is_idle(self, now: float) -> bool:
        """Return whether nothing would be lost with this object."""
        return now - self.arrived_at > 2 * max(
            self._window, caps.TOKEN_LIFETIME
        )

    def _decay(self, now: float) -> None:
        elapsed = max(0.0, now - self._counted_at)
        self._counted_at = max(now, self._counted_at)
        self._demand *= math.exp(-elapsed / DEMAND_PERIOD)
