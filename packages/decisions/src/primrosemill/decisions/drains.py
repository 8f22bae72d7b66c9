"""Remembers which instances said that they are leaving.

The first sign counts, from whatever source, and spreads to the other home
VMs with the evidence. A VM passes on only what it saw itself, so that two
VMs never keep an old sign alive between them.
"""

import typing

from primrosemill.configuration import document as documents

MEMORY = 30.0  # seconds; how long a sign stands without being renewed.


class DrainSigns:
    """Holds the signs that this VM saw itself."""

    def __init__(self) -> None:
        self._last_by_id: dict[str, float] = {}
        self._entries_by_id: dict[str, documents.Instance] = {}

    def see(self, instance_id: str, now: float) -> None:
        """Note a sign in an answer, an endpoint or the VM list."""
        self._last_by_id[instance_id] = now

    def see_none(self, instance_id: str, now: float) -> bool:
        """Note an answer without the sign; return whether that ends it.

        Health endpoints lag, so a fresh sign outweighs an answer without.
        """
        last = self._last_by_id.get(instance_id)
        if last is None or now - last < MEMORY:
            return False
        del self._last_by_id[instance_id]
        return True

    def set_instances(
        self, instances: typing.Iterable[documents.Instance]
    ) -> None:
        """Take a revision; a sign ends when the instance's entry changed."""
        entries_by_id = {each.id: each for each in instances}
        for instance_id in list(self._last_by_id):
            entry = entries_by_id.get(instance_id)
            if entry != self._entries_by_id.get(instance_id):
                del self._last_by_id[instance_id]
        self._entries_by_id = entries_by_id

    def all_seen(self) -> frozenset[str]:
        """Return all instances with a sign that stands."""
        return frozenset(self._last_by_id)

    def seen(self, instance_id: str) -> bool:
        """Tell whether this VM saw a sign that still stands."""
        return instance_id in self._last_by_id
