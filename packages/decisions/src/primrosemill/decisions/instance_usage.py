"""One VM's view of the load and the free slots of an instance.

A VM counts its own requests in flight and adds the load of other VMs that
the instance reported with its last answer. The reported load decays: to zero
if this VM leads the instance (fills its slots first; :mod:`.leads`),
otherwise to the mean load of other VMs at such instances. Times are in
seconds.
"""

import math
import typing

from primrosemill.configuration import document as documents
from primrosemill.decisions import request_losses

# A reported load of other VMs decays over this time, as most of the counted
# requests have ended by then.
LOAD_DECAY_TIME = 0.4  # seconds
# Maximum number of requests that a VM has in flight at an instance that
# another VM leads and that other VMs use as well; docs/design/balancing.
BORROWED_SLOTS = 1
NEGLIGIBLE_LOAD = 0.5  # requests; a decayed load up to this counts as none
# An instance does not fill up its queue in less than this time after it had
# free slots.
REPORT_LIFETIME = 1.0  # seconds
# Weight of the latest attempt in the share that an instance rejects while it
# has a free slot, and the time in which the share falls to 1/e unobserved.
REJECTION_WEIGHT = 0.2
REJECTION_DECAY_TIME = 2.0  # seconds


class Load(typing.NamedTuple):
    """An instance's report of its running and waiting requests and slots."""

    running: int
    waiting: int
    slots: int


class HeldSlot(typing.NamedTuple):
    """A slot that a request of this VM holds, from ``taken_at``.

    ``loss`` is whether the request counts as lost, if that is of interest.
    """

    taken_at: float
    loss: request_losses.RequestLoss | None = None


class InstanceUsage:
    """One instance's state as known to this VM, and the VM's requests there.

    ``held_slots`` are those of the VM's requests in flight. ``peer_load`` is
    the load of other VMs that was reported at ``peer_load_at``, and
    ``led_elsewhere`` means that another VM leads the instance.
    """

    __slots__ = (
        "cold_until",
        "held_slots",
        "instance",
        "leaving",
        "led_elsewhere",
        "peer_load",
        "peer_load_at",
        "paused_until",
        "reported_load",
        "rejected_share",
        "rejected_share_at",
        "remote",
        "capacity",
        "tried",
    )

    def __init__(self, instance: documents.Instance, now: float) -> None:
        self.instance = instance
        self.leaving = False
        self.capacity = 0.0
        self.remote = False
        self.led_elsewhere = True
        self.peer_load = 0.0
        self.peer_load_at = now
        self.paused_until = 0.0
        self.reported_load = math.inf
        self.rejected_share = 0.0
        self.rejected_share_at = now
        self.cold_until = now + instance.warmup_left
        self.held_slots: list[HeldSlot] = []
        self.tried = False

    def estimate_load(self, now: float, expected: float) -> float:
        """Return the estimated number of requests at the instance.

        The reported load of other VMs decays to ``expected``, their mean
        load at such an instance.
        """
        remaining = 1.0 - (now - self.peer_load_at) / LOAD_DECAY_TIME
        if remaining <= 0.0:
            return len(self.held_slots) + expected
        return (
            len(self.held_slots)
            + expected
            + (self.peer_load - expected) * remaining
        )

    def has_capacity(self, load: float, expected: float) -> bool:
        """Return whether the instance may get another request now.

        ``load`` is the estimated load and ``expected`` that of other VMs. If
        other VMs use the instance, this VM borrows few of its slots, as all
        of them may do so at the same time. One request may then wait at the
        instance: that costs less than waiting for an instance of this VM.
        """
        if expected <= NEGLIGIBLE_LOAD:
            return load + 1.0 <= self.capacity
        return len(self.held_slots) < BORROWED_SLOTS and load <= self.capacity

    def has_reported_room(self, now: float) -> bool:
        """Return whether its last answer, if recent, told of a free slot."""
        if now - self.peer_load_at > REPORT_LIFETIME:
            return False
        return self.reported_load <= self.instance.slots

    def rejection_chance(self, now: float) -> float:
        """Return the chance that it rejects a request despite a free slot."""
        if not self.rejected_share:
            return 0.0
        elapsed = now - self.rejected_share_at
        return self.rejected_share * math.exp(-elapsed / REJECTION_DECAY_TIME)

    def record_acceptance(self, accepted: bool, now: float) -> None:
        """Record whether it accepted a request while a slot was free."""
        share = self.rejection_chance(now)
        target = 0.0 if accepted else 1.0
        self.rejected_share = share + REJECTION_WEIGHT * (target - share)
        self.rejected_share_at = now

    def update_load(self, load: Load, now: float) -> None:
        """Record a reported load, which includes the answered request."""
        self.reported_load = float(load.running + load.waiting)
        peer_load = self.reported_load - 1.0 - len(self.held_slots)
        self.peer_load = max(0.0, peer_load)
        self.peer_load_at = now
