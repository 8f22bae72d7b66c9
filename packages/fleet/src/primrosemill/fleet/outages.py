"""Tells an outage of the feed from the loss of some of its readers.

After an outage of the feed itself, instances whose entries lapsed meanwhile
need a moment to register again. While any VM of the fleet reads the feed, a
removed entry means that the instance is gone. Pure; times are in seconds.
"""

# Readers come and go; a shorter time without one is no outage.
LEAST_OUTAGE = 1.0  # seconds
# An entry that is still missing so long after the return is gone; the
# platform's pages promise that others are back by then.
RETURN_TIME = 2.0  # seconds


class Outages:
    """Follows whether anybody in the fleet gets answers of the feed."""

    def __init__(self, now: float) -> None:
        self._answered_at = now
        self._retain_until = now

    def note_reader(self, now: float) -> None:
        """Note that some VM of the fleet, or this one, reads the feed."""
        self._answered_at = now

    def note_answer(self, now: float) -> None:
        """Note the first answer of the feed to this VM since it had none."""
        if now - self._answered_at >= LEAST_OUTAGE:
            self._retain_until = now + RETURN_TIME
        self._answered_at = now

    def retain(self, now: float) -> float:
        """Return for how long an instance removed now stays in use."""
        return max(0.0, self._retain_until - now)
