"""Tells when a single request counts as lost, over all of its attempts.

Callers don't see a failed attempt that is followed by one that is answered.
Times are in seconds.
"""


class RequestLoss:
    """Whether one request counts as lost, and in which part.

    A request is lost as it ends without being served. Until then it counts as
    lost once the answer to its latest attempt is overdue; ``counted_at`` is
    when that was noticed, or None. ``weight`` is the part that counts.
    """

    __slots__ = ("_overdue_at", "counted_at", "weight")

    def __init__(self, weight: float = 1.0) -> None:
        self.weight = weight
        self.counted_at: float | None = None
        self._overdue_at: float | None = None

    @property
    def has_started(self) -> bool:
        """Return whether an attempt was made."""
        return self._overdue_at is not None

    def record_attempt(self, overdue_at: float, weight: float = 1.0) -> None:
        """Record an attempt, whose answer is overdue at a time.

        ``weight`` is the part of a failure of this attempt that counts.
        """
        self._overdue_at = overdue_at
        self.weight *= weight

    def is_overdue(self, now: float) -> bool:
        """Return whether the answer to the latest attempt is overdue."""
        return self._overdue_at is not None and now >= self._overdue_at
