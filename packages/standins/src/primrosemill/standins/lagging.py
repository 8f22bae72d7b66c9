"""Shows an old view of a value, as lagging endpoints do."""

import collections
import typing

Value = typing.TypeVar("Value")


class Lagging(typing.Generic[Value]):
    """Remembers changes and reads the value as it was a while ago."""

    def __init__(self, value: Value, lag: float) -> None:
        self._lag = lag
        self._old = value
        self._changes: collections.deque[tuple[float, Value]] = (
            collections.deque()
        )

    def set(self, value: Value, now: float) -> None:
        """Note a change at a time in seconds."""
        self.read(now)
        self._changes.append((now, value))

    def read(self, now: float) -> Value:
        """Return the value of ``lag`` seconds before."""
        while self._changes and self._changes[0][0] <= now - self._lag:
            self._old = self._changes.popleft()[1]
        return self._old
