"""Decides when callers are sent elsewhere, as a VM reaches no instance.

A VM detaches only with proof that others do reach them: a request that it
passed on was answered. Else a failure of all instances would make all VMs
vanish from the answers to callers. Times are in seconds.
"""

import math
import random

# The proof must be this recent: a VM that is cut off passes on what it gets.
PROOF_LIFETIME = 2.0  # seconds
# VMs whose cut ended return one after the other.
MIN_RETURN_DELAY = 0.5  # seconds
MAX_RETURN_DELAY = 2.0  # seconds


class Detachment:
    """Whether one VM asks that callers are sent to others."""

    def __init__(self, generator: random.Random) -> None:
        self._generator = generator
        self.is_detached = False
        self._returns_at = math.inf

    def update(
        self, is_cut: bool, proven_at: float, others_serve: bool, now: float
    ) -> bool:
        """Apply what is known now; return whether the decision has changed.

        ``proven_at`` is when another VM last served a request of this one,
        and ``others_serve`` whether any other VM takes callers.
        """
        if not self.is_detached:
            self.is_detached = (
                is_cut and others_serve and now - proven_at <= PROOF_LIFETIME
            )
            return self.is_detached
        if not others_serve:
            return self._attach()
        if is_cut:
            self._returns_at = math.inf
            return False
        if self._returns_at == math.inf:
            self._returns_at = now + self._generator.uniform(
                MIN_RETURN_DELAY, MAX_RETURN_DELAY
            )
        return now >= self._returns_at and self._attach()

    def _attach(self) -> bool:
        self.is_detached = False
        self._returns_at = math.inf
        return True
