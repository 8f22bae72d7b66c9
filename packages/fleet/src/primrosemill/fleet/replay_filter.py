"""Detects repeated messages by their sequence numbers.

Datagrams may arrive out of order, so a sliding window of the latest numbers
is kept for each sender, as in IPsec (RFC 4303, section 3.4.3).
"""

import collections
import enum
import typing

WINDOW_SIZE = 1_024  # sequence numbers
MAX_SENDERS = 4_096


class Verdict(enum.Enum):
    """The result of checking the numbers of a message."""

    NEW = enum.auto()
    REPEATED = enum.auto()
    OLD_INCARNATION = enum.auto()


class _Window(typing.NamedTuple):
    incarnation: int
    highest: int
    received_bits: int  # Bit n is set if number highest - n has arrived.


class ReplayFilter:
    """Tracks the sequence numbers received from each sender."""

    def __init__(self) -> None:
        self._windows_by_sender: collections.OrderedDict[str, _Window] = (
            collections.OrderedDict()
        )

    def admit(
        self, sender_id: str, incarnation: int, sequence: int
    ) -> Verdict:
        """Record a message; only one with the verdict NEW may be handled."""
        window = self._windows_by_sender.get(sender_id)
        if window is None or incarnation > window.incarnation:
            self._store(sender_id, _Window(incarnation, sequence, 1))
            return Verdict.NEW
        if incarnation < window.incarnation:
            return Verdict.OLD_INCARNATION
        behind = window.highest - sequence
        if behind >= WINDOW_SIZE:
            return Verdict.REPEATED
        if behind >= 0:
            if window.received_bits >> behind & 1:
                return Verdict.REPEATED
            received_bits = window.received_bits | 1 << behind
            self._store(
                sender_id, window._replace(received_bits=received_bits)
            )
            return Verdict.NEW
        self._store(sender_id, _advance(window, sequence))
        return Verdict.NEW

    def _store(self, sender_id: str, window: _Window) -> None:
        self._windows_by_sender[sender_id] = window
        self._windows_by_sender.move_to_end(sender_id)
        if len(self._windows_by_sender) > MAX_SENDERS:
            self._windows_by_sender.popitem(last=False)


def _advance(window: _Window, sequence: int) -> _Window:
    """Return the window moved up to a number above its highest."""
    distance = sequence - window.highest
    if distance >= WINDOW_SIZE:
        return window._replace(highest=sequence, received_bits=1)
    mask = (1 << WINDOW_SIZE) - 1
    received_bits = (window.received_bits << distance | 1) & mask
    return window._replace(highest=sequence, received_bits=received_bits)
