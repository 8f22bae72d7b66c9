"""Checks the history of a concurrent run against the promises to callers.

A history holds what each caller was told and what each instance ran, both
by the tag of the request. The rules look at nothing else, so they hold for
any proxy, policy and fault.
"""

import typing

ANSWERED = "answered"
NOT_RUN = "not-run"
UNKNOWN = "unknown"
OUTCOMES = frozenset({ANSWERED, NOT_RUN, UNKNOWN})


class Call(typing.NamedTuple):
    """What one caller met.

    ``broken`` tells that the connection ended before the answer was whole,
    and then nothing was told. ``expected`` is what the body must start
    with, ``size`` how long it must be.
    """

    tag: str
    idempotent: bool
    expected: bytes
    size: int
    broken: bool = False
    outcome: str = ""
    status: int = 0
    body: bytes = b""


class History(typing.NamedTuple):
    """All calls of a run, and how often each tag was run anywhere."""

    calls: tuple[Call, ...]
    runs_by_tag: dict[str, int]


class NotWhole(typing.NamedTuple):
    """An answer that ended cleanly has the wrong size."""

    tag: str
    expected_size: int
    size: int


class NotItsOwn(typing.NamedTuple):
    """A caller got an answer to something else."""

    tag: str
    body_start: bytes


class RanAgain(typing.NamedTuple):
    """A request that must run at most once ran more often."""

    tag: str
    runs: int


class RanAfterAll(typing.NamedTuple):
    """A caller was told "not run" of a request that ran."""

    tag: str
    runs: int


class AnsweredByNobody(typing.NamedTuple):
    """A caller got an answer although no instance ran the request."""

    tag: str


class NoOutcome(typing.NamedTuple):
    """A caller got an answer that names no outcome."""

    tag: str
    outcome: str


class CalledTwice(typing.NamedTuple):
    """The history is useless: two calls share a tag."""

    tag: str


Violation = (
    NotWhole
    | NotItsOwn
    | RanAgain
    | RanAfterAll
    | AnsweredByNobody
    | NoOutcome
    | CalledTwice
)
BODY_START = 64  # bytes of a wrong body that a violation shows


def check(history: History) -> tuple[Violation, ...]:
    """Return every broken promise of a history."""
    found: list[Violation] = []
    seen: set[str] = set()
    for call in history.calls:
        if call.tag in seen:
            found.append(CalledTwice(call.tag))
        seen.add(call.tag)
        runs = history.runs_by_tag.get(call.tag, 0)
        found += _check_runs(call, runs)
        if not call.broken:
            found += _check_told(call, runs)
    return tuple(found)


def _check_runs(call: Call, runs: int) -> list[Violation]:
    if not call.idempotent and runs > 1:
        return [RanAgain(call.tag, runs)]
    return []


def _check_told(call: Call, runs: int) -> list[Violation]:
    if call.outcome not in OUTCOMES:
        return [NoOutcome(call.tag, call.outcome)]
    if call.outcome == NOT_RUN and runs:
        return [RanAfterAll(call.tag, runs)]
    if call.outcome == ANSWERED:
        return _check_answer(call, runs)
    return []


def _check_answer(call: Call, runs: int) -> list[Violation]:
    found: list[Violation] = []
    if not runs:
        found.append(AnsweredByNobody(call.tag))
    if not call.body.startswith(call.expected):
        found.append(NotItsOwn(call.tag, call.body[:BODY_START]))
    if len(call.body) != call.size:
        found.append(NotWhole(call.tag, call.size, len(call.body)))
    return found
