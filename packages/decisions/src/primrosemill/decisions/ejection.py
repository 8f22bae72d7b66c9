"""Decides which instances a VM may take out without breaking the floor.

The rule is the one that docs/design/floor.md states and the model in
:mod:`primrosemill.proofs.floor` checks. Instances that are leaving, cold,
unreachable or out, here or by a peer's word, are no healthy capacity.
"""

import typing

from primrosemill.decisions import standings


class Suspect(typing.NamedTuple):
    """An instance that is out or should be, and what this VM wishes for.

    ``wish`` is AVOIDED, EJECTED, or TRIAL to send it but a trickle. ``out``
    tells that it is out already.
    """

    instance_id: str
    score: float
    wish: standings.State
    out: bool


class Capacity(typing.NamedTuple):
    """What a VM knows of a service's capacity.

    ``usable`` are the instances that are not leaving, cold or unreachable;
    ``out_elsewhere`` those that any peer last reported as ejected.
    """

    usable: frozenset[str]
    out_elsewhere: frozenset[str]
    floor: int


def decide(
    suspects: typing.Sequence[Suspect], capacity: Capacity
) -> dict[str, standings.State]:
    """Return the wish of each suspect, or RANKED_LAST.

    What is out stays out unless the floor calls it back, the least suspect
    first. What is not yet out goes out, the most suspect first, while the
    instances that remain and are above suspicion stay at the floor.
    """
    ranked = sorted(suspects, key=lambda each: (-each.score, each.instance_id))
    state_by_id = {}
    kept = set(capacity.usable - capacity.out_elsewhere)
    for suspect in ranked:
        if suspect.out:
            kept.discard(suspect.instance_id)
            state_by_id[suspect.instance_id] = suspect.wish
    _call_back(ranked, capacity, kept, state_by_id)
    healthy = kept - {suspect.instance_id for suspect in suspects}
    for suspect in ranked:
        if suspect.out:
            continue
        state_by_id[suspect.instance_id] = suspect.wish
        if len(healthy) < capacity.floor:
            state_by_id[suspect.instance_id] = standings.State.RANKED_LAST
    return state_by_id


def _call_back(
    ranked: list[Suspect],
    capacity: Capacity,
    kept: set[str],
    state_by_id: dict[str, standings.State],
) -> None:
    """Rank instances last that are out while fewer than the floor are in."""
    for suspect in reversed(ranked):
        if len(kept) >= capacity.floor:
            return
        if not suspect.out or suspect.instance_id not in capacity.usable:
            continue
        state_by_id[suspect.instance_id] = standings.State.RANKED_LAST
        kept.add(suspect.instance_id)
