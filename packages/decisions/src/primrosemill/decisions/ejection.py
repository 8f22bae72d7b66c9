"""Decides which instances a VM may remove without violating the floor.

The floor is the number of healthy instances that must stay in rotation. The
rule is stated in docs/design/floor.md and checked by the model in
:mod:`primrosemill.proofs.floor`. Instances that are leaving, cold,
unreachable, or removed by this VM or a peer don't count as healthy capacity.
"""

import typing

from primrosemill.decisions import standings


class Suspect(typing.NamedTuple):
    """An instance that is removed or that this VM proposes to remove.

    ``proposed`` is AVOIDED, EJECTED, or TRIAL for trial requests only.
    ``removed`` tells that the instance is out of rotation already.
    """

    instance_id: str
    score: float
    proposed: standings.State
    removed: bool


class Capacity(typing.NamedTuple):
    """The capacity of a service as known to a VM.

    ``usable`` are the instances that are not leaving, cold or unreachable;
    ``removed_by_peers`` those that any peer last reported as ejected or in
    trial. ``floor`` is a number of instances.
    """

    usable: frozenset[str]
    removed_by_peers: frozenset[str]
    floor: int


def decide(
    suspects: typing.Sequence[Suspect], capacity: Capacity
) -> dict[str, standings.State]:
    """Return the proposed state of each suspect, or RANKED_LAST.

    Removed instances stay removed unless the floor requires them back, those
    with the lowest score first. Others are removed, those with the highest
    score first, while the remaining instances that are not suspect still
    reach the floor.
    """
    by_score = sorted(
        suspects, key=lambda each: (-each.score, each.instance_id)
    )
    state_by_id = {}
    remaining = set(capacity.usable - capacity.removed_by_peers)
    for suspect in by_score:
        if suspect.removed:
            remaining.discard(suspect.instance_id)
            state_by_id[suspect.instance_id] = suspect.proposed
    _restore_to_floor(by_score, capacity, remaining, state_by_id)
    healthy = remaining - {suspect.instance_id for suspect in suspects}
    for suspect in by_score:
        if suspect.removed:
            continue
        state_by_id[suspect.instance_id] = suspect.proposed
        if len(healthy) < capacity.floor:
            state_by_id[suspect.instance_id] = standings.State.RANKED_LAST
    return state_by_id


def _restore_to_floor(
    by_score: list[Suspect],
    capacity: Capacity,
    remaining: set[str],
    state_by_id: dict[str, standings.State],
) -> None:
    """Restore removed instances, ranked last, until the floor is reached."""
    for suspect in reversed(by_score):
        if len(remaining) >= capacity.floor:
            return
        if not suspect.removed or suspect.instance_id not in capacity.usable:
            continue
        state_by_id[suspect.instance_id] = standings.State.RANKED_LAST
        remaining.add(suspect.instance_id)
