"""Chooses the changed entries that are piggybacked on the next messages.

Each changed entry is sent a number of times that grows with the logarithm of
the fleet size; entries sent least often go first. This is the dissemination
component of SWIM (Das, Gupta and Motivala, 2002).
"""

import math

from primrosemill.fleet import messages

# Number of times an entry is sent per doubling of the fleet size.
RETRANSMIT_FACTOR = 4
MAX_ENTRIES_PER_MESSAGE = 22
ENTRY_OVERHEAD = 26  # bytes of an entry besides its names


def estimate_entry_size(entry: messages.Entry) -> int:
    """Return the approximate size of an encoded entry in bytes."""
    names = len(entry.vm_id.encode()) + len(entry.domain.encode())
    return names + len(entry.ip) + ENTRY_OVERHEAD


class DisseminationQueue:
    """Queue of changed entries that other VMs may not know yet."""

    def __init__(self) -> None:
        self._entries_by_id: dict[str, messages.Entry] = {}
        self._send_counts_by_id: dict[str, int] = {}

    def add(self, entry: messages.Entry) -> None:
        """Queue an entry, replacing an older one of the same VM."""
        self._entries_by_id[entry.vm_id] = entry
        self._send_counts_by_id[entry.vm_id] = 0

    def take(
        self, fleet_size: int, size_limit: int, live_size_limit: int
    ) -> tuple[messages.Entry, ...]:
        """Return entries of up to ``size_limit`` bytes and count them as sent.

        Entries of live VMs take at most ``live_size_limit`` of these bytes.
        """
        if not self._entries_by_id:
            return ()
        send_limit = RETRANSMIT_FACTOR * math.ceil(math.log2(fleet_size + 1))
        chosen_ids = []
        for vm_id in sorted(
            self._send_counts_by_id, key=self._send_counts_by_id.__getitem__
        ):
            entry = self._entries_by_id[vm_id]
            size = estimate_entry_size(entry)
            if entry.liveness is messages.Liveness.LIVE:
                if live_size_limit < size:
                    continue
                live_size_limit -= size
            size_limit -= size
            if size_limit < 0 or len(chosen_ids) == MAX_ENTRIES_PER_MESSAGE:
                break
            chosen_ids.append(vm_id)
        entries = tuple(self._entries_by_id[vm_id] for vm_id in chosen_ids)
        for vm_id in chosen_ids:
            self._send_counts_by_id[vm_id] += 1
            if self._send_counts_by_id[vm_id] >= send_limit:
                del self._entries_by_id[vm_id]
                del self._send_counts_by_id[vm_id]
        return entries
