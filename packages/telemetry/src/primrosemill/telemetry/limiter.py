"""Keeps frequent events off the log, and says how many were left out."""

import typing

LOG_INTERVAL = 10.0  # seconds


class Limiter:
    """Lets the first event of each key through, then one an interval.

    Keys come from enumerations, so their number is bounded. The time is an
    argument, in seconds.
    """

    def __init__(self, interval: float = LOG_INTERVAL) -> None:
        self._interval = interval
        self._logged_at_by_key: dict[typing.Hashable, float] = {}
        self._left_out_by_key: dict[typing.Hashable, int] = {}

    def admit(self, key: typing.Hashable, now: float) -> int | None:
        """Return how many were left out before this one, or None.

        None leaves this one out as well.
        """
        last = self._logged_at_by_key.get(key)
        if last is not None and now - last < self._interval:
            self._left_out_by_key[key] = self._left_out_by_key.get(key, 0) + 1
            return None
        self._logged_at_by_key[key] = now
        return self._left_out_by_key.pop(key, 0)
