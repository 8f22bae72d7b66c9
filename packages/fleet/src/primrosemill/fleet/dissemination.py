"""Chooses which changed entries ride on the next messages.

Each change is sent a number of times that grows with the logarithm of the
fleet, the least sent first, as SWIM (Das, Gupta and Motivala, 2002) does.
"""

import math

from primrosemill.fleet import messages

REPEAT_FACTOR = 4
ENTRIES_PER_MESSAGE = 22
ENTRY_OVERHEAD = 26  # bytes of an entry besides its names


def entry_size(entry: messages.Entry) -> int:
    """Return about how many bytes an entry takes in a message."""
    names = len(entry.vm_id.encode()) + len(entry.domain.encode())
    return names + len(entry.ip) + ENTRY_OVERHEAD


class Dissemination:
    """Keeps the changes that other VMs may not know yet."""

    def __init__(self) -> None:
        self._entries_by_id: dict[str, messages.Entry] = {}
        self._sent_by_id: dict[str, int] = {}

    def add(self, entry: messages.Entry) -> None:
        """Pass on an entry, in place of an older one of the same VM."""
        self._entries_by_id[entry.vm_id] = entry
        self._sent_by_id[entry.vm_id] = 0

    def take(
        self, fleet_size: int, room: int, live_room: int
    ) -> tuple[messages.Entry, ...]:
        """Return entries for ``room`` bytes and count them as sent.

        Those of live VMs take ``live_room`` bytes of it at most.
        """
        if not self._entries_by_id:
            return ()
        limit = REPEAT_FACTOR * math.ceil(math.log2(fleet_size + 1))
        chosen = []
        for vm_id in sorted(
            self._sent_by_id, key=self._sent_by_id.__getitem__
        ):
            entry = self._entries_by_id[vm_id]
            size = entry_size(entry)
            if entry.liveness is messages.Liveness.LIVE:
                if live_room < size:
                    continue
                live_room -= size
            room -= size
            if room < 0 or len(chosen) == ENTRIES_PER_MESSAGE:
                break
            chosen.append(vm_id)
        taken = tuple(self._entries_by_id[vm_id] for vm_id in chosen)
        for vm_id in chosen:
            self._sent_by_id[vm_id] += 1
            if self._sent_by_id[vm_id] >= limit:
                del self._entries_by_id[vm_id]
                del self._sent_by_id[vm_id]
        return taken
