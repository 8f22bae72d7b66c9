"""Chooses which changed entries ride on the next messages.

Each change is sent a number of times that grows with the logarithm of the
fleet, the least sent first, as SWIM (Das, Gupta and Motivala, 2002) does.
"""

import math

from primrosemill.fleet import messages

REPEAT_FACTOR = 4
ENTRIES_PER_MESSAGE = 12


class Dissemination:
    """Keeps the changes that other VMs may not know yet."""

    def __init__(self) -> None:
        self._entries_by_id: dict[str, messages.Entry] = {}
        self._sent_by_id: dict[str, int] = {}

    def add(self, entry: messages.Entry) -> None:
        """Pass on an entry, in place of an older one of the same VM."""
        self._entries_by_id[entry.vm_id] = entry
        self._sent_by_id[entry.vm_id] = 0

    def take(self, fleet_size: int) -> tuple[messages.Entry, ...]:
        """Return the entries for one message and count them as sent."""
        if not self._entries_by_id:
            return ()
        limit = REPEAT_FACTOR * math.ceil(math.log2(fleet_size + 1))
        chosen = sorted(
            self._entries_by_id, key=lambda vm_id: self._sent_by_id[vm_id]
        )[:ENTRIES_PER_MESSAGE]
        taken = tuple(self._entries_by_id[vm_id] for vm_id in chosen)
        for vm_id in chosen:
            self._sent_by_id[vm_id] += 1
            if self._sent_by_id[vm_id] >= limit:
                del self._entries_by_id[vm_id]
                del self._sent_by_id[vm_id]
        return taken
