"""Merges received entries into one table of the members of the fleet.

Of two entries of one VM the newer incarnation wins, then the higher counter,
then the worse liveness, so the order of arrival does not matter. Only the VM
itself raises its counter, which is how it refutes a suspicion.
"""

import enum
import typing

from primrosemill.fleet import messages

TOMBSTONE_LIFETIME = 600.0  # seconds for which the table keeps a gone VM


class State(enum.StrEnum):
    """The state of another VM, which decides how this VM uses it."""

    LIVE = "live"
    SUSPECT = "suspect"  # Still used; it has a limited time to refute.
    LEAVING = "leaving"  # Serves its callers, but isn't given to new ones.
    GONE = "gone"


class Member(typing.NamedTuple):
    """A VM's latest entry and the time ``since`` which it holds.

    ``listed_leaving`` is set if the VM list shows this incarnation of the VM
    as leaving.
    """

    entry: messages.Entry
    since: float
    listed_leaving: bool = False

    @property
    def state(self) -> State:
        """Return the state that routing and address answers use."""
        if self.entry.liveness is messages.Liveness.GONE:
            return State.GONE
        if self.entry.leaving or self.listed_leaving:
            return State.LEAVING
        if self.entry.liveness is messages.Liveness.SUSPECT:
            return State.SUSPECT
        return State.LIVE


def _precedence(entry: messages.Entry) -> tuple[int, int, int]:
    return entry.incarnation, entry.counter, entry.liveness


ChangeListener = typing.Callable[[Member | None, Member], None]


def _ignore_change(before: Member | None, after: Member) -> None:
    pass


class MemberTable:
    """Holds the members other than this VM, by id.

    ``on_change`` is called with the previous and the new member whenever an
    entry is stored.
    """

    def __init__(self) -> None:
        self.on_change: ChangeListener = _ignore_change
        # Counts the changes of the table, so that a value computed from the
        # members can be cached until the count rises.
        self.change_count = 0
        self.members_by_id: dict[str, Member] = {}
        self.present_by_id: dict[str, messages.Entry] = {}
        self.suspect_ids: set[str] = set()
        self._ids_by_address: dict[tuple[str, int], str] = {}

    def merge(self, entry: messages.Entry, now: float) -> bool:
        """Store an entry and return True if it is newer than the known one."""
        known = self.members_by_id.get(entry.vm_id)
        if known is not None and (
            _precedence(entry) <= _precedence(known.entry)
        ):
            return False
        listed_leaving = (
            known is not None
            and known.listed_leaving
            and known.entry.incarnation == entry.incarnation
        )
        if known is not None:
            self._release_address(known.entry)
        self._store(Member(entry, now, listed_leaving))
        self._assign_address(entry, now)
        return True

    def _release_address(self, entry: messages.Entry) -> None:
        address = (entry.ip, entry.port)
        if self._ids_by_address.get(address) == entry.vm_id:
            del self._ids_by_address[address]

    def _assign_address(self, entry: messages.Entry, now: float) -> None:
        """Record the address of a VM; of two VMs there the older is gone."""
        address = (entry.ip, entry.port)
        if entry.liveness is messages.Liveness.GONE:
            return
        holder_id = self._ids_by_address.get(address)
        self._ids_by_address[address] = entry.vm_id
        if holder_id is None or holder_id == entry.vm_id:
            return
        holder = self.members_by_id.get(holder_id)
        if holder is None:
            return
        if (holder.entry.ip, holder.entry.port) != address:
            return
        if holder.entry.incarnation > entry.incarnation:
            self._ids_by_address[address] = holder_id
            self.mark_gone(entry.vm_id, now)
            return
        self.mark_gone(holder_id, now)

    def mark_gone(self, vm_id: str, now: float) -> messages.Entry | None:
        """Mark a VM as gone; return the new entry, or None if unchanged."""
        return self._mark(vm_id, messages.Liveness.GONE, now)

    def mark_suspect(self, vm_id: str, now: float) -> messages.Entry | None:
        """Mark a VM as suspect; return the new entry, None if unchanged."""
        return self._mark(vm_id, messages.Liveness.SUSPECT, now)

    def _mark(
        self, vm_id: str, liveness: messages.Liveness, now: float
    ) -> messages.Entry | None:
        member = self.members_by_id.get(vm_id)
        if member is None or member.entry.liveness >= liveness:
            return None
        entry = member.entry._replace(liveness=liveness)
        self._store(member._replace(entry=entry, since=now))
        return entry

    def _store(self, member: Member) -> None:
        """Store a member and index it, so that a tick scans no full table."""
        vm_id = member.entry.vm_id
        before = self.members_by_id.get(vm_id)
        self.members_by_id[vm_id] = member
        self.change_count += 1
        self.on_change(before, member)
        self.suspect_ids.discard(vm_id)
        if member.entry.liveness is messages.Liveness.GONE:
            self.present_by_id.pop(vm_id, None)
            return
        self.present_by_id[vm_id] = member.entry
        if member.entry.liveness is messages.Liveness.SUSPECT:
            self.suspect_ids.add(vm_id)

    def set_listed_leaving(self, vm_id: str) -> None:
        """Record that the VM list now shows a VM as leaving."""
        member = self.members_by_id.get(vm_id)
        if member is not None:
            self.members_by_id[vm_id] = member._replace(listed_leaving=True)
            self.change_count += 1

    def restart_suspicions(self, now: float) -> None:
        """Restart the suspicion timeout of every suspect."""
        for vm_id in self.suspect_ids:
            member = self.members_by_id[vm_id]
            self.members_by_id[vm_id] = member._replace(since=now)

    def gone_entries(self) -> list[messages.Entry]:
        """Return the entries of the VMs that are gone."""
        gone_ids = self.members_by_id.keys() - self.present_by_id.keys()
        return [self.members_by_id[vm_id].entry for vm_id in sorted(gone_ids)]

    def domain_at(self, ip: str, port: int) -> str | None:
        """Return the failure domain of the VM at an address, if known."""
        vm_id = self._ids_by_address.get((ip, port))
        member = self.members_by_id.get(vm_id)
        return None if member is None else member.entry.domain

    def is_present_at(self, ip: str, port: int) -> bool:
        """Return whether a VM that is not gone has this address."""
        return self._ids_by_address.get((ip, port)) in self.present_by_id

    def forget_expired(self, now: float) -> None:
        """Drop the VMs that have been gone for TOMBSTONE_LIFETIME."""
        for gone in self.gone_entries():
            vm_id = gone.vm_id
            member = self.members_by_id[vm_id]
            if now - member.since < TOMBSTONE_LIFETIME:
                continue
            del self.members_by_id[vm_id]
            self._release_address(member.entry)
