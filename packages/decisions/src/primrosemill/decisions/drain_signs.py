"""Tracks the draining signs: signs that instances are leaving.

A single sign from any source suffices. The other home VMs of the service (the
entry VMs assigned to it) learn of it with the evidence reports. A VM reports
only the signs that it saw itself, so that two VMs can't keep renewing an old
sign for each other.
"""

import typing

from primrosemill.configuration import document as documents

SIGN_LIFETIME = 30.0  # seconds that a sign stays valid unless seen again


class DrainSigns:
    """Holds the draining signs that this VM saw itself."""

    def __init__(self) -> None:
        self._seen_at_by_id: dict[str, float] = {}
        self._entries_by_id: dict[str, documents.Instance] = {}

    def record(self, instance_id: str, now: float) -> None:
        """Record a sign in an answer, a health endpoint or the VM list."""
        self._seen_at_by_id[instance_id] = now

    def record_absence(self, instance_id: str, now: float) -> bool:
        """Record a probe without a sign; return whether it cancels one.

        It doesn't cancel a recent sign, since health endpoints lag behind.
        """
        seen_at = self._seen_at_by_id.get(instance_id)
        if seen_at is None or now - seen_at < SIGN_LIFETIME:
            return False
        del self._seen_at_by_id[instance_id]
        return True

    def set_instances(
        self, instances: typing.Iterable[documents.Instance]
    ) -> None:
        """Apply a new revision; the change of an entry cancels its sign."""
        entries_by_id = {each.id: each for each in instances}
        for instance_id in list(self._seen_at_by_id):
            entry = entries_by_id.get(instance_id)
            if entry != self._entries_by_id.get(instance_id):
                del self._seen_at_by_id[instance_id]
        self._entries_by_id = entries_by_id

    def draining_ids(self) -> frozenset[str]:
        """Return the instances with a valid sign."""
        return frozenset(self._seen_at_by_id)

    def is_draining(self, instance_id: str) -> bool:
        """Return whether an instance has a valid sign."""
        return instance_id in self._seen_at_by_id
