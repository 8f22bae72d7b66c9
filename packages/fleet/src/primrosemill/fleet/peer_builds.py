"""Tells VMs that know customers from VMs of builds before customers.

An older build drops the customers of a configuration that it reads, and what
it passes on looks like a configuration that needs no keys. A VM that put such
a configuration in force would run requests with any key. Builds are not named
on the wire; with a feed, a VM that knows customers puts ``KNOWS_CUSTOMERS`` in
place of the digest in its heartbeats, which older builds leave empty and do
not read. See docs/design/upgrades.md.
"""

from primrosemill.fleet import feed
from primrosemill.fleet import messages

KNOWS_CUSTOMERS = b"customers"
MAX_VMS = 4_096  # of which the latest heartbeats are kept


class PeerBuilds:
    """What the heartbeats of other VMs have told of their builds."""

    def __init__(self) -> None:
        self._known_by_id: dict[str, tuple[int, bool]] = {}

    def record(self, vm_id: str, incarnation: int, digest: bytes) -> None:
        """Record the digest in a heartbeat of a process."""
        self._known_by_id.pop(vm_id, None)
        self._known_by_id[vm_id] = incarnation, digest == KNOWS_CUSTOMERS
        if len(self._known_by_id) > MAX_VMS:
            del self._known_by_id[next(iter(self._known_by_id))]

    def knows_customers(self, vm_id: str, incarnation: int) -> bool:
        """Return whether a process is known to be of a build with customers.

        False until a heartbeat of the process was received.
        """
        return self._known_by_id.get(vm_id) == (incarnation, True)

    def is_older(self, entry: messages.Entry) -> bool:
        """Return whether a process is known to be of a build before customers.

        False until a heartbeat of the process was received.
        """
        known = self._known_by_id.get(entry.vm_id)
        return known == (entry.incarnation, False)


def newest_unconfirmed(batch: feed.Batch) -> int:
    """Return the highest version of a routing without customers; else 0."""
    return max(
        (
            item.routing.version
            for item in batch.items
            if item.routing is not None and item.routing.customers is None
        ),
        default=0,
    )


def without_unconfirmed(batch: feed.Batch) -> feed.Batch:
    """Return a batch without its routings that lack customers.

    Merging it does not move the position of a mirror, so that what was left
    out is still missed there.
    """
    items = tuple(
        item
        for item in batch.items
        if item.routing is None or item.routing.customers is not None
    )
    return batch._replace(
        after=max(batch.after, batch.revision), items=items, whole=False
    )
