"""Chooses the VMs to probe, and the helpers for a probe without an answer.

Each VM mainly probes the VMs of its own failure domain. It probes VMs of
other domains at a low rate, which also spreads membership updates there. A
lost domain has no VM left to probe its members, so the VMs of the other
domains probe a domain that is suspected to be lost. The module does no I/O;
times are in seconds. See docs/design/membership.md.
"""

import collections
import random
import typing

from primrosemill.fleet import members
from primrosemill.fleet import messages

HELPER_COUNT = 3  # VMs asked to probe a target that does not answer
# Seconds between one VM's probes of other domains. The VMs of a domain share
# these probes, so that traffic between domains does not grow with their
# number.
MIN_REMOTE_PROBE_INTERVAL = 1.0
# Probes per second from all VMs of one domain to each other domain.
REMOTE_PROBE_RATE = 2.0
# Seconds in which the VMs of a domain together probe every remote VM once.
REMOTE_ROUND_DURATION = 10.0
# Seconds after the suspicion or loss of a VM in another domain during which
# its whole domain may be lost. Every other probe goes to that domain then.
DOMAIN_SUSPICION_PERIOD = 2.0
# With at least this many suspects in a domain its loss is likely, and each of
# these probes goes to DOMAIN_LOSS_PROBE_COUNT of its VMs.
DOMAIN_LOSS_SUSPECT_COUNT = 3
DOMAIN_LOSS_PROBE_COUNT = 3
# Other VMs of the own domain; with fewer, VMs of all domains are probed alike.
MIN_LOCAL_PEERS = 2


class ProbeTargetSelector:
    """Chooses the probe targets of one VM among the members it knows."""

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
        self._local_queue: list[str] = []
        self._remote_queue: list[str] = []
        self._next_remote_at = now
        self._checks_suspected_domains = False
        self._suspected_until_by_domain: dict[str, float] = {}

    def suspect_domain_of(self, entry: messages.Entry, now: float) -> None:
        """Record that a VM does not answer, so its domain may be lost."""
        if entry.domain != self._domain:
            self._suspected_until_by_domain[entry.domain] = (
                now + DOMAIN_SUSPICION_PERIOD
            )

    def choose(
        self, probed_ids: typing.Container[str], now: float
    ) -> list[messages.Entry]:
        """Return the VMs to probe now.

        ``probed_ids`` names the VMs with a pending probe.
        """
        # Every other call ignores suspected domains. If all VMs probed only
        # dead VMs, none would receive a message and each would suspect itself
        # in place of the dead ones.
        self._checks_suspected_domains = not self._checks_suspected_domains
        if self._checks_suspected_domains:
            entries = self._choose_in_suspected_domains(probed_ids, now)
            if entries:
                return entries
        entry = None
        if now >= self._next_remote_at:
            self._next_remote_at = now + self._remote_probe_interval()
            entry = self._next_in_queue(self._remote_queue, self._remote_ids)
        if entry is None:
            entry = self._next_in_queue(self._local_queue, self._local_ids)
        return [] if entry is None else [entry]

    def choose_helpers(self, target: messages.Entry) -> list[messages.Entry]:
        """Return helpers in the target's domain, and at least one elsewhere.

        The helper of another domain tests another network path. ``local``
        and ``remote`` are relative to the target here.
        """
        local, remote = [], []
        for vm_id, entry in self._table.present_by_id.items():
            if vm_id == target.vm_id or vm_id in self._table.suspect_ids:
                continue
            group = local if entry.domain == target.domain else remote
            group.append(entry)
        remote_count = min(len(remote), max(1, HELPER_COUNT - len(local)))
        local_count = min(len(local), HELPER_COUNT - remote_count)
        return [
            *self._generator.sample(local, local_count),
            *self._generator.sample(remote, remote_count),
        ]

    def _choose_in_suspected_domains(
        self, probed_ids: typing.Container[str], now: float
    ) -> list[messages.Entry]:
        """Choose VMs to probe in other domains that may be lost as a whole."""
        suspected_domains = {
            domain
            for domain, until in self._suspected_until_by_domain.items()
            if now < until
        }
        if not suspected_domains:
            return []
        suspect_ids = self._table.suspect_ids
        candidates = [
            entry
            for vm_id, entry in self._table.present_by_id.items()
            if entry.domain in suspected_domains
            and vm_id not in suspect_ids
            and vm_id not in probed_ids
        ]
        suspect_count = sum(
            self._table.members_by_id[vm_id].entry.domain in suspected_domains
            for vm_id in suspect_ids
        )
        count = (
            DOMAIN_LOSS_PROBE_COUNT
            if suspect_count >= DOMAIN_LOSS_SUSPECT_COUNT
            else 1
        )
        return self._generator.sample(candidates, min(count, len(candidates)))

    def _next_in_queue(
        self, queue: list[str], find_ids: typing.Callable[[], list[str]]
    ) -> messages.Entry | None:
        """Return the next present VM of a queue, refilling it when empty.

        Each refill has a new random order, so that every VM is probed once in
        a round.
        """
        for _ in range(2):
            while queue:
                entry = self._table.present_by_id.get(queue.pop())
                if entry is not None:
                    return entry
            queue += find_ids()
            self._generator.shuffle(queue)
        return None

    def _remote_probe_interval(self) -> float:
        """Return the seconds until the next probe of another domain."""
        vms_by_domain = collections.Counter(
            entry.domain for entry in self._table.present_by_id.values()
        )
        vm_count = 1 + vms_by_domain.pop(self._domain, 0)
        target_rate = max(
            REMOTE_PROBE_RATE * max(1, len(vms_by_domain)),
            vms_by_domain.total() / REMOTE_ROUND_DURATION,
        )
        jitter = self._generator.uniform(0.8, 1.2)
        return max(MIN_REMOTE_PROBE_INTERVAL, jitter * vm_count / target_rate)

    def _local_ids(self) -> list[str]:
        """Return the ids of the VMs that are probed at the full rate."""
        local = self._own_domain_ids()
        if len(local) < MIN_LOCAL_PEERS:
            return list(self._table.present_by_id)
        return local

    def _remote_ids(self) -> list[str]:
        """Return the ids of the VMs that are probed at the remote rate."""
        if len(self._own_domain_ids()) < MIN_LOCAL_PEERS:
            return []
        return [
            vm_id
            for vm_id, entry in self._table.present_by_id.items()
            if entry.domain != self._domain
        ]

    def _own_domain_ids(self) -> list[str]:
        """Return the ids of the other VMs of the own failure domain."""
        return [
            vm_id
            for vm_id, entry in self._table.present_by_id.items()
            if entry.domain == self._domain
        ]
