"""Keeps what one VM has and may still put at one instance.

A VM counts its own requests there and the load that the instance told with
its last answer. That load fades: to nothing where this VM leads the instance,
else to what others usually hold at such instances. Times are in seconds.
"""

import typing

from primrosemill.configuration import document as documents

# A told load stands for what other VMs do there; it fades in this time, as
# most requests that were counted have ended by then.
LOAD_LIFETIME = 0.4  # seconds
# Slots of an instance that a VM uses at a time while another VM leads it and
# others are there, too; docs/design/balancing.
BORROWED_SLOTS = 1
PART_LOAD = 0.5  # requests; a faded load below it counts as none


class Load(typing.NamedTuple):
    """What an instance told of itself: requests, and its slots."""

    running: int
    waiting: int
    slots: int


class Holding:
    """What this VM knows of one instance's room, and has there."""

    __slots__ = (
        "cold_until",
        "instance",
        "leaving",
        "other_lead",
        "others",
        "others_at",
        "paused_until",
        "remote",
        "room",
        "starts",
        "tried",
    )

    def __init__(self, instance: documents.Instance, now: float) -> None:
        self.instance = instance
        self.leaving = False
        self.room = 0.0
        self.remote = False
        self.other_lead = True
        self.others = 0.0
        self.others_at = now
        self.paused_until = 0.0
        self.cold_until = now + instance.cold_for
        self.starts: list[float] = []
        self.tried = False

    def occupied(self, now: float, usual: float) -> float:
        """Return the requests that the instance probably holds.

        What it told of others fades into ``usual``, what such an instance
        usually holds of them.
        """
        fade = 1.0 - (now - self.others_at) / LOAD_LIFETIME
        if fade <= 0.0:
            return len(self.starts) + usual
        return len(self.starts) + usual + (self.others - usual) * fade

    def has_room(self, occupied: float, usual: float) -> bool:
        """Tell whether it may get another request now.

        At an instance that another VM leads, this one borrows few slots, as
        all others may do so at the same time. One request may wait there:
        that costs less than to wait for an own instance to come back.
        """
        if usual <= PART_LOAD:
            return occupied + 1.0 <= self.room
        return len(self.starts) < BORROWED_SLOTS and occupied <= self.room

    def take_load(self, load: Load, now: float) -> None:
        """Take what the instance told; the answered request is counted."""
        told = load.running + load.waiting - 1
        self.others = float(max(0, told - len(self.starts)))
        self.others_at = now
