"""Delays the changes of a value, as lagging endpoints do."""

import collections
import typing

Value = typing.TypeVar("Value")


class DelayedValue(typing.Generic[Value]):
    """Value whose changes become visible ``lag`` seconds later."""

    def __init__(self, value: Value, lag: float) -> None:
        self._lag = lag
        self._visible = value
        self._pending_changes: collections.deque[tuple[float, Value]] = (
            collections.deque()
        )

    def set(self, value: Value, now: float) -> None:
        """Change the value at the time ``now`` in seconds."""
        self.read(now)
        self._pending_changes.append((now, value))

    def read(self, now: float) -> Value:
        """Return the value as it was ``lag`` seconds before ``now``."""
        while (
            self._pending_changes
            and self._pending_changes[0][0] <= now - self._lag
        ):
            self._visible = self._pending_changes.popleft()[1]
        return self._visible
