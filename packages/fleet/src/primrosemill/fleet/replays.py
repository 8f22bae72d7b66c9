"""Tells new messages from repeated ones by their sequence numbers.

Datagrams may overtake each other, so a window of the latest numbers is kept
for each sender, as RFC 4303 (section 3.4.3) does for IPsec.
"""

import collections
import enum
import typing

WINDOW_SIZE = 1_024  # sequence numbers
SENDER_LIMIT = 4_096


class Verdict(enum.Enum):
    """What the numbers of a message say about it."""

    NEW = enum.auto()
    REPEATED = enum.auto()
    OLD_INCARNATION = enum.auto()


class _Window(typing.NamedTuple):
    incarnation: int
    highest: int
    seen: int  # Bit n tells that number highest - n has arrived.


class ReplayFilter:
    """Remembers which messages of each sender have arrived."""

    def __init__(self) -> None:
        self._windows_by_sender: collections.OrderedDict[str, _Window] = (
            collections.OrderedDict()
        )

    def admit(
        self, sender_id: str, incarnation: int, sequence: int
    ) -> Verdict:
        """Record one message; only a new one may be acted on."""
        window = self._windows_by_sender.get(sender_id)
        if window is None or incarnation > window.incarnation:
            self._keep(sender_id, _Window(incarnation, sequence, 1))
            return Verdict.NEW
        if incarnation < window.incarnation:
            return Verdict.OLD_INCARNATION
        behind = window.highest - sequence
        if behind >= WINDOW_SIZE:
            return Verdict.REPEATED
        if behind >= 0:
            if window.seen >> behind & 1:
                return Verdict.REPEATED
            seen = window.seen | 1 << behind
            self._keep(sender_id, window._replace(seen=seen))
            return Verdict.NEW
        self._keep(sender_id, _advance(window, sequence))
        return Verdict.NEW

    def _keep(self, sender_id: str, window: _Window) -> None:
        self._windows_by_sender[sender_id] = window
        self._windows_by_sender.move_to_end(sender_id)
        if len(self._windows_by_sender) > SENDER_LIMIT:
            self._windows_by_sender.popitem(last=False)


def _advance(window: _Window, sequence: int) -> _Window:
    """Move the window up to a number above its highest."""
    distance = sequence - window.highest
    if distance >= WINDOW_SIZE:
        return window._replace(highest=sequence, seen=1)
    mask = (1 << WINDOW_SIZE) - 1
    seen = (window.seen << distance | 1) & mask
    return window._replace(highest=sequence, seen=seen)
