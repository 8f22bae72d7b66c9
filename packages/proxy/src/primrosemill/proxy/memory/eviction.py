"""Decides which connections are given up for the others.

Those that hold most and progress least go first. A connection whose address
has many counts more than one whose address has few.
"""

import enum
import typing

# Seconds added to each wait, so that size decides among new holders.
MIN_AGE = 0.05
# How much more a second without progress counts than one of age.
STALL_WEIGHT = 4.0
# Connections of one address from which on its weight rises.
USUAL_CONNECTIONS = 8
# A connection that waited less is not closed to make room for a new one.
MIN_WAIT = 0.1  # seconds


class Phase(enum.StrEnum):
    """What a connection waits for."""

    SILENT = "silent"  # the first byte of its first request
    HEAD = "head"  # the rest of a head
    BODY = "body"  # the rest of a body
    ANSWER = "answer"  # the answer of a complete request
    READER = "reader"  # its caller, who does not read the answer
    IDLE = "idle"  # the next request
    CLOSING = "closing"  # the caller's close


# How much a second of waiting counts in the choice of connections to close for
# new ones. A caller that was answered may send again at any time, and one
# that waits for an answer is never closed for a new one.
WEIGHTS_BY_PHASE = {
    Phase.CLOSING: 16.0,
    Phase.HEAD: 8.0,
    Phase.READER: 8.0,
    Phase.BODY: 4.0,
    Phase.SILENT: 4.0,
    Phase.IDLE: 1.0,
    Phase.ANSWER: 0.0,
}


# How much held bytes count by what they are for. Closing an idle connection
# frees little, and a request that waits for its answer was sent whole.
HELD_WEIGHTS_BY_PHASE = dict.fromkeys(Phase, 1.0) | {
    Phase.IDLE: 0.1,
    Phase.ANSWER: 0.25,
}


class Candidate(typing.NamedTuple):
    """A connection that may be given up; times in seconds.

    ``number`` tells it apart, ``held`` is in bytes, ``age`` the time in its
    phase, ``stalled`` the time since a byte passed, ``neighbours`` the number
    of connections of its address.
    """

    number: int
    phase: Phase
    held: int
    age: float
    stalled: float
    neighbours: int


def _address_weight(candidate: Candidate) -> float:
    return max(1.0, candidate.neighbours / USUAL_CONNECTIONS)


def _weigh_held(candidate: Candidate) -> float:
    """Return how much a connection holds, for how long, and in vain."""
    seconds = MIN_AGE + candidate.age + STALL_WEIGHT * candidate.stalled
    weight = HELD_WEIGHTS_BY_PHASE[candidate.phase]
    return weight * candidate.held * seconds * _address_weight(candidate)


def _weigh_waiting(candidate: Candidate) -> float:
    """Return how long a connection kept its place in vain."""
    return (
        WEIGHTS_BY_PHASE[candidate.phase]
        * candidate.age
        * _address_weight(candidate)
    )


def choose_holders(
    candidates: typing.Iterable[Candidate], excess: int
) -> list[Candidate]:
    """Return the connections to give up until ``excess`` bytes are free."""
    chosen = []
    for candidate in sorted(candidates, key=_weigh_held, reverse=True):
        if excess <= 0:
            break
        chosen.append(candidate)
        excess -= candidate.held
    return chosen


def choose_waiting(
    candidates: typing.Iterable[Candidate], count: int
) -> list[Candidate]:
    """Return up to ``count`` connections to close for new ones."""
    waiting = [
        candidate
        for candidate in candidates
        if candidate.age >= MIN_WAIT and _weigh_waiting(candidate) > 0.0
    ]
    waiting.sort(key=_weigh_waiting, reverse=True)
    return waiting[:count]


def is_address_full(
    neighbours: int, connections: int, max_connections: int
) -> bool:
    """Tell whether a new connection of an address is refused.

    While few places are left, an address that has many gets no more.
    """
    left = max_connections - connections
    if left > max_connections // 4:
        return False
    return neighbours > max(USUAL_CONNECTIONS, max_connections // 2)
