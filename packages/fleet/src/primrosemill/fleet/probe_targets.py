"""Chooses whom a VM probes, and who helps with a probe without an answer.

The VMs of a failure domain watch each other closely; a VM of another domain
is probed now and then, which carries news there. A domain that is lost has
nobody left who watches it, so one that is in doubt is looked at from the
others. Pure; times are in seconds. docs/design/membership.md.
"""

import collections
import random
import typing

from primrosemill.fleet import members
from primrosemill.fleet import messages

HELPERS = 3
# Seconds between one VM's probes of other domains, at least; the VMs of a
# domain share the work, so that bytes between domains do not grow with them.
FAR_INTERVAL = 1.0
FAR_PROBES = 2.0  # of each other domain a second, by all VMs of a domain
FAR_ROUND = 10.0  # seconds in which they probe each VM elsewhere once
# So long after a VM of another domain was suspected or lost, all of its domain
# may be: every other probe goes there, to find out who is left.
DOUBT_TIME = 2.0  # seconds
# With so many suspects there at once a loss is likely, and more are probed.
LOSS_SUSPECTS = 3
LOSS_PROBES = 3
LEAST_NEAR = 2  # other VMs of the own domain; with fewer, all are probed alike


class ProbeTargets:
    """Chooses the targets of one VM among the members that it knows."""

    def __init__(
        self,
        domain: str,
        table: members.MemberTable,
        generator: random.Random,
        now: float,
    ) -> None:
        self._domain = domain
        self._table = table
        self._generator = generator
        self._near_round: list[str] = []
        self._far_round: list[str] = []
        self._next_far = now
        self._looks_far = False
        self._doubted_until_by_domain: dict[str, float] = {}

    def doubt(self, entry: messages.Entry, now: float) -> None:
        """Note that a VM does not answer; its domain may be lost."""
        if entry.domain != self._domain:
            self._doubted_until_by_domain[entry.domain] = now + DOUBT_TIME

    def choose(
        self, probed_ids: typing.Container[str], now: float
    ) -> list[messages.Entry]:
        """Return whom to probe now; ``probed_ids`` are being probed."""
        # Every other probe stays near: where all VMs asked only the dead,
        # nobody would hear anything and each would doubt itself.
        self._looks_far = not self._looks_far
        if self._looks_far:
            doubted = self._choose_doubted(probed_ids, now)
            if doubted:
                return doubted
        entry = None
        if now >= self._next_far:
            self._next_far = now + self._far_interval()
            entry = self._next_of_round(self._far_round, self._far_ids)
        if entry is None:
            entry = self._next_of_round(self._near_round, self._near_ids)
        return [] if entry is None else [entry]

    def choose_helpers(self, target: messages.Entry) -> list[messages.Entry]:
        """Return VMs near the target, and one elsewhere to try that path."""
        near, far = [], []
        for vm_id, entry in self._table.present_by_id.items():
            if vm_id == target.vm_id or vm_id in self._table.suspect_ids:
                continue
            group = near if entry.domain == target.domain else far
            group.append(entry)
        far_count = min(len(far), max(1, HELPERS - len(near)))
        near_count = min(len(near), HELPERS - far_count)
        return [
            *self._generator.sample(near, near_count),
            *self._generator.sample(far, far_count),
        ]

    def _choose_doubted(
        self, probed_ids: typing.Container[str], now: float
    ) -> list[messages.Entry]:
        """Choose VMs of other domains that may be lost as a whole."""
        doubted = {
            domain
            for domain, until in self._doubted_until_by_domain.items()
            if now < until
        }
        if not doubted:
            return []
        suspect_ids = self._table.suspect_ids
        unknown = [
            entry
            for vm_id, entry in self._table.present_by_id.items()
            if entry.domain in doubted
            and vm_id not in suspect_ids
            and vm_id not in probed_ids
        ]
        suspects = sum(
            self._table.members_by_id[vm_id].entry.domain in doubted
            for vm_id in suspect_ids
        )
        count = LOSS_PROBES if suspects >= LOSS_SUSPECTS else 1
        return self._generator.sample(unknown, min(count, len(unknown)))

    def _next_of_round(
        self, left: list[str], find_ids: typing.Callable[[], list[str]]
    ) -> messages.Entry | None:
        """Return the next VM of a round; each has a new random order."""
        for _ in range(2):
            while left:
                entry = self._table.present_by_id.get(left.pop())
                if entry is not None:
                    return entry
            left += find_ids()
            self._generator.shuffle(left)
        return None

    def _far_interval(self) -> float:
        """Return the seconds to the next probe of another domain."""
        sharing_by_domain = collections.Counter(
            entry.domain for entry in self._table.present_by_id.values()
        )
        sharing = 1 + sharing_by_domain.pop(self._domain, 0)
        wanted = max(
            FAR_PROBES * max(1, len(sharing_by_domain)),
            sharing_by_domain.total() / FAR_ROUND,
        )
        spread = self._generator.uniform(0.8, 1.2)
        return max(FAR_INTERVAL, spread * sharing / wanted)

    def _near_ids(self) -> list[str]:
        """Return the VMs that this one watches most closely."""
        near = self._of_own_domain()
        if len(near) < LEAST_NEAR:
            return list(self._table.present_by_id)
        return near

    def _far_ids(self) -> list[str]:
        """Return the VMs that are not watched closely."""
        if len(self._of_own_domain()) < LEAST_NEAR:
            return []
        return [
            vm_id
            for vm_id, entry in self._table.present_by_id.items()
            if entry.domain != self._domain
        ]

    def _of_own_domain(self) -> list[str]:
        """Return the other VMs of the own failure domain."""
        return [
            vm_id
            for vm_id, entry in self._table.present_by_id.items()
            if entry.domain == self._domain
        ]
