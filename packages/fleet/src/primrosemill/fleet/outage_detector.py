"""Distinguishes an outage of the feed from the loss of some of its readers.

The feed is the platform's list of instances and its changes. During an outage
of the feed the entries of live instances expire, and afterwards the instances
need some time to register again. If at least one VM of the fleet could read
the feed, however, a removed entry means that the instance is gone. The module
does no I/O; times are in seconds.
"""

# Seconds without an answer to any reader that count as an outage. Readers
# start and stop in normal operation, so shorter gaps occur without an outage.
MIN_OUTAGE_DURATION = 1.0
# Seconds after the end of an outage within which live instances register
# again, as the platform documents. An entry still missing then is gone.
REREGISTRATION_PERIOD = 2.0


class OutageDetector:
    """Tracks whether any VM of the fleet gets answers from the feed."""

    def __init__(self, now: float) -> None:
        self._last_answer_at = now
        self._retain_until = now

    def record_reader(self, now: float) -> None:
        """Record that this VM or another one of the fleet reads the feed."""
        self._last_answer_at = now

    def record_answer(self, now: float) -> None:
        """Record the first answer of the feed after a time without any.

        Starts the retention of removed instances if that time was an outage.
        """
        if now - self._last_answer_at >= MIN_OUTAGE_DURATION:
            self._retain_until = now + REREGISTRATION_PERIOD
        self._last_answer_at = now

    def retention_time(self, now: float) -> float:
        """Return the seconds to keep using an instance removed now."""
        return max(0.0, self._retain_until - now)
