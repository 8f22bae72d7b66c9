"""Defines the states that a VM assigns to instances, with their reasons."""

import enum
import typing


class State(enum.StrEnum):
    """How this VM may use an instance."""

    IN_ROTATION = "in_rotation"
    COLD = "cold"  # Started recently; its share of requests ramps up.
    RANKED_LAST = "ranked_last"  # Suspect, but kept in by the floor.
    AVOIDED = "avoided"  # Only this VM's path to it seems broken.
    EJECTED = "ejected"  # Removed by all home VMs of the service.
    TRIAL = "trial"  # Gets a few idempotent requests to test its health.
    DRAINING = "draining"  # Leaving; gets no new requests.


class Standing(typing.NamedTuple):
    """An instance's state, its score in nats and the reason as text.

    ``share`` is the fraction of its slots that may be used, from 0 to 1.
    """

    state: State
    score: float = 0.0
    reason: str = ""
    share: float = 1.0


HEALTHY = Standing(State.IN_ROTATION)
