"""Model of the attempts of one request, with pauses and late responses.

The decisions are those of :mod:`primrosemill.decisions.retries`. An attempt
that was written may run at any later time or never. Connections may break
and the process may pause until after the deadline between any two steps.
After the request has ended, another request uses the connection.
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
ATTEMPT_LIMIT = 3

READY, WRITTEN, DONE = "ready", "written", "done"
ANSWERED, NOT_RUN, UNKNOWN = "answered", "not run", "unknown"


class Guards(typing.NamedTuple):
    """Rules of the protocol; tests disable one at a time."""

    closed_is_unknown: bool = True  # A written attempt is never "not run".
    require_shed_header: bool = True  # A 503 alone is not a shed.
    retry_only_not_run: bool = True  # The rule of the retry policy.
    check_at_send: bool = True  # The deadline is checked before sending.
    close_unanswered: bool = True  # Close connections without a response.


class State(typing.NamedTuple):
    """State of a request, its attempts, and the next request.

    ``pending`` counts the written attempts that may still run, ``ran`` tells
    whether the current attempt did, and ``runs`` counts all runs. ``dirty``
    means that a late response may arrive on a connection that stays open.
    ``outcome`` is reported to the caller; ``next_answer`` tells whose answer
    the next request on the connection receives.
    """

    phase: str
    history: retries.History
    attempts: int
    pending: int
    ran: bool
    runs: int
    expired: bool
    sent_late: bool
    dirty: bool
    outcome: str
    next_answer: str


INITIAL_STATE = State(
    READY, retries.History(), 0, 0, False, 0, False, False, False, "", ""
)
Step = tuple[str, State]


class OutcomesModel:
    """Transitions and invariants of the protocol."""

    def __init__(self, idempotent: bool, guards: Guards) -> None:
        self._idempotent = idempotent
        treated_as_idempotent = idempotent or not guards.retry_only_not_run
        self._request = retries.Request(treated_as_idempotent, DEADLINE)
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
            initial=INITIAL_STATE,
            transitions=self._transitions,
            invariants=invariants,
        )

    def _transitions(self, state: State) -> list[Step]:
        state = State(*state)
        steps = []
        if not state.expired:
            expired = state._replace(expired=True)
            steps.append(("the process pauses past the deadline", expired))
        if state.phase == READY:
            steps.extend(self._send_steps(state))
        elif state.phase == WRITTEN:
            steps.extend(self._end_steps(state))
        if state.pending:
            steps.append(("a written attempt runs", _run_attempt(state)))
        if state.phase == DONE and not state.next_answer:
            answer = "another's" if state.dirty else "its own"
            steps.append(
                (
                    "the next request uses the connection",
                    state._replace(next_answer=answer),
                )
            )
        return steps

    def _send_steps(self, state: State) -> list[Step]:
        now = _now(state)
        may_send = retries.may_send(self._request, state.history, now)
        if self._guards.check_at_send and not may_send:
            return [("the request is given up", _finish(state))]
        if state.attempts >= ATTEMPT_LIMIT:
            return []
        written = state._replace(
            phase=WRITTEN,
            attempts=state.attempts + 1,
            pending=state.pending + 1,
            ran=False,
            sent_late=state.sent_late or state.expired,
        )
        refused = self._after_failure(state, REFUSED)
        return [
            ("the attempt is written", written),
            ("the connection is refused", refused),
        ]

    def _end_steps(self, state: State) -> list[Step]:
        closed_as = CLOSED if self._guards.closed_is_unknown else REFUSED
        stays_open = not self._guards.close_unanswered
        abandoned = state._replace(dirty=state.dirty or stays_open)
        steps = [
            ("the connection closes", self._after_failure(state, closed_as)),
            ("the attempt times out", self._after_failure(abandoned, TIMEOUT)),
        ]
        if state.ran:
            answered = state._replace(phase=DONE, outcome=ANSWERED)
            steps.append(("the response arrives", answered))
            if not self._guards.require_shed_header:
                unavailable = self._after_failure(state, SHED)
                steps.append(
                    ("a 503 arrives and is treated as a shed", unavailable)
                )
        elif state.pending:
            rejected = state._replace(pending=state.pending - 1)
            steps.append(
                ("the attempt is shed", self._after_failure(rejected, SHED))
            )
        return steps

    def _after_failure(self, state: State, outcome: outcomes.Outcome) -> State:
        """Return the state after an attempt that ended without a response."""
        history = retries.add_attempt(state.history, outcome)
        ended = state._replace(history=history, ran=False)
        budget = retry_budget.RetryBudget()
        decision = retries.decide(self._request, history, budget, _now(state))
        if isinstance(decision, retries.Retry):
            return ended._replace(phase=READY)
        return _finish(ended)


def _now(state: State) -> float:
    return AFTER_DEADLINE if state.expired else 0.0


def _run_attempt(state: State) -> State:
    """Run an attempt, either the current one or an abandoned one."""
    is_current = state.phase == WRITTEN and not state.ran
    return state._replace(
        pending=state.pending - 1, runs=state.runs + 1, ran=is_current
    )


def _finish(state: State) -> State:
    outcome = UNKNOWN if state.history.may_have_run else NOT_RUN
    return state._replace(phase=DONE, outcome=outcome)


def _not_run_is_true(fields: dict) -> bool:
    return fields["outcome"] != NOT_RUN or fields["runs"] == 0


def _nothing_sent_late(fields: dict) -> bool:
    return not fields["sent_late"]


def _own_answer(fields: dict) -> bool:
    return fields["next_answer"] != "another's"


def _at_most_one_run(fields: dict) -> bool:
    return fields["runs"] <= 1


def check(idempotent: bool, guards: Guards) -> dict[str, typing.Any]:
    """Check the model; return the report of the model checker."""
    return minicheck.check_safety(OutcomesModel(idempotent, guards).protocol())
