"""Models the attempts of one request, with pauses and late answers.

The decisions are those of :mod:`primrosemill.decisions.retries`. Whatever
was written may run at any later time or never, connections break at any
moment, and the process may pause between any two steps until the deadline
has passed. Another request then uses the connection.
"""

import typing

import minicheck

from primrosemill.decisions import outcomes
from primrosemill.decisions import retries
from primrosemill.decisions import retry_budget

DEADLINE = 10.0  # seconds
AFTER_DEADLINE = 11.0  # seconds
REFUSED = outcomes.NotRun(outcomes.NotRunReason.CONNECT_REFUSED)
SHED = outcomes.NotRun(outcomes.NotRunReason.SHED)
CLOSED = outcomes.Unknown(outcomes.UnknownReason.CLOSED)
TIMEOUT = outcomes.Unknown(outcomes.UnknownReason.TIMEOUT)
MOST_SENT = 3

READY, WRITTEN, DONE = "ready", "written", "done"
ANSWERED, NOT_RUN, UNKNOWN = "answered", "not run", "unknown"


class Guards(typing.NamedTuple):
    """The rules of the protocol; a test removes one at a time."""

    typed_unknown: bool = True  # What was written is never "not run".
    own_word: bool = True  # Only the instance's own word makes a shed.
    repeat_only_not_run: bool = True  # The rule of the retry policy.
    check_at_send: bool = True  # The deadline is checked when sending.
    close_connection: bool = True  # Unanswered connections are closed.


class State(typing.NamedTuple):
    """One request, the instances it met, and the next request.

    ``pending`` counts attempts that were written and may yet run, ``ran``
    tells that the present attempt did; ``told`` is what the caller learnt,
    ``next_answer`` whose answer the next request on a connection gets.
    """

    phase: str
    history: retries.History
    sent: int
    pending: int
    ran: bool
    runs: int
    expired: bool
    sent_late: bool
    dirty: bool
    told: str
    next_answer: str


START = State(
    READY, retries.History(), 0, 0, False, 0, False, False, False, "", ""
)
Step = tuple[str, State]


class OutcomesModel:
    """Lists the steps of the protocol and what must hold."""

    def __init__(self, idempotent: bool, guards: Guards) -> None:
        self._idempotent = idempotent
        treated_as = idempotent or not guards.repeat_only_not_run
        self._request = retries.Request(treated_as, DEADLINE)
        self._guards = guards

    def protocol(self) -> minicheck.Protocol:
        """Return the model for the checker."""
        invariants = {
            "not run is true": _not_run_is_true,
            "nothing is sent after the deadline": _nothing_sent_late,
            "each request gets its own answer": _own_answer,
        }
        if not self._idempotent:
            invariants["at most one run"] = _at_most_one_run
        return minicheck.Protocol(
            name="outcomes",
            candidate=True,
            fields=State._fields,
            initial=START,
            transitions=self._steps,
            invariants=invariants,
        )

    def _steps(self, state: State) -> list[Step]:
        state = State(*state)
        steps = []
        if not state.expired:
            expired = state._replace(expired=True)
            steps.append(("the process pauses past the deadline", expired))
        if state.phase == READY:
            steps.extend(self._send(state))
        elif state.phase == WRITTEN:
            steps.extend(self._end(state))
        if state.pending:
            steps.append(("a written attempt runs", _run(state)))
        if state.phase == DONE and not state.next_answer:
            answer = "another's" if state.dirty else "its own"
            steps.append(
                (
                    "the next request uses the connection",
                    state._replace(next_answer=answer),
                )
            )
        return steps

    def _send(self, state: State) -> list[Step]:
        now = _now(state)
        may_send = retries.may_send(self._request, state.history, now)
        if self._guards.check_at_send and not may_send:
            return [("the request is given up", _finish(state))]
        if state.sent >= MOST_SENT:
            return []
        written = state._replace(
            phase=WRITTEN,
            sent=state.sent + 1,
            pending=state.pending + 1,
            ran=False,
            sent_late=state.sent_late or state.expired,
        )
        refused = self._after(state, REFUSED)
        return [
            ("the attempt is written", written),
            ("the connection is refused", refused),
        ]

    def _end(self, state: State) -> list[Step]:
        closed_as = CLOSED if self._guards.typed_unknown else REFUSED
        dirty = not self._guards.close_connection
        abandoned = state._replace(dirty=state.dirty or dirty)
        steps = [
            ("the connection closes", self._after(state, closed_as)),
            ("the attempt times out", self._after(abandoned, TIMEOUT)),
        ]
        if state.ran:
            answered = state._replace(phase=DONE, told=ANSWERED)
            steps.append(("the answer arrives", answered))
            if not self._guards.own_word:
                unavailable = self._after(state, SHED)
                steps.append(("503 arrives, taken for a shed", unavailable))
        elif state.pending:
            unrun = state._replace(pending=state.pending - 1)
            steps.append(("the attempt is shed", self._after(unrun, SHED)))
        return steps

    def _after(self, state: State, outcome: outcomes.Outcome) -> State:
        """Return the state after an attempt ended without an answer."""
        history = retries.add_attempt(state.history, outcome)
        ended = state._replace(history=history, ran=False)
        budget = retry_budget.RetryBudget()
        decision = retries.decide(self._request, history, budget, _now(state))
        if isinstance(decision, retries.Retry):
            return ended._replace(phase=READY)
        return _finish(ended)


def _now(state: State) -> float:
    return AFTER_DEADLINE if state.expired else 0.0


def _run(state: State) -> State:
    """Run an attempt: the present one, or one that was given up."""
    present = state.phase == WRITTEN and not state.ran
    return state._replace(
        pending=state.pending - 1, runs=state.runs + 1, ran=present
    )


def _finish(state: State) -> State:
    told = UNKNOWN if state.history.may_have_run else NOT_RUN
    return state._replace(phase=DONE, told=told)


def _not_run_is_true(fields: dict) -> bool:
    return fields["told"] != NOT_RUN or fields["runs"] == 0


def _nothing_sent_late(fields: dict) -> bool:
    return not fields["sent_late"]


def _own_answer(fields: dict) -> bool:
    return fields["next_answer"] != "another's"


def _at_most_one_run(fields: dict) -> bool:
    return fields["runs"] <= 1


def check(idempotent: bool, guards: Guards) -> dict[str, typing.Any]:
    """Return the checker's report on the model."""
    return minicheck.check_safety(OutcomesModel(idempotent, guards).protocol())
