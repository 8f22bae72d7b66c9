"""Limits how often an event is logged, and counts those left out."""

import typing

LOG_INTERVAL = 10.0  # seconds


class EventLimiter:
    """Admits the first event of each key, then one per interval.

    Keys are members of enumerations, so their number is bounded. Times are
    in seconds and passed by the caller.
    """

    def __init__(self, interval: float = LOG_INTERVAL) -> None:
        self._interval = interval
        self._logged_at_by_key: dict[typing.Hashable, float] = {}
        self._left_out_by_key: dict[typing.Hashable, int] = {}

    def admit(self, key: typing.Hashable, now: float) -> int | None:
        """Return the number of events left out since the last one admitted.

        None means that this event is left out as well.
        """
        logged_at = self._logged_at_by_key.get(key)
        if logged_at is not None and now - logged_at < self._interval:
            self._left_out_by_key[key] = self._left_out_by_key.get(key, 0) + 1
            return None
        self._logged_at_by_key[key] = now
        return self._left_out_by_key.pop(key, 0)
