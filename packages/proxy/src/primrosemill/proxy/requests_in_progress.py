"""Follows the requests of callers from their arrival to their final answer.

A VM that stops ends what it can't wait for, and logs what it cuts off.
"""

import enum
import math

import trio

from primrosemill.decisions import planned_stop
from primrosemill.proxy import callers
from primrosemill.proxy import exchange
from primrosemill.proxy import request_deadline
from primrosemill.telemetry import events

MAX_LOGGED = 256  # requests that are logged as cut off


class Phase(enum.StrEnum):
    """How far a request has come."""

    ADMISSION = "admission"
    WAITING = "waiting"
    PASSED_ON = "passed_on"
    ANSWERING = "answering"


class RequestInProgress:
    """A request without its final answer; times are trio times."""

    def __init__(
        self,
        request_id: str,
        caller: callers.Caller,
        deadline: request_deadline.RequestDeadline,
    ) -> None:
        self.request_id = request_id
        self.arrived = trio.current_time()
        self.deadline = deadline
        self._caller = caller
        self._exchange: exchange.Exchange | None = None

    @property
    def phase(self) -> Phase:
        """Return how far the request has come."""
        if self._caller.started:
            return Phase.ANSWERING
        if self._exchange is None:
            return Phase.ADMISSION
        if self._exchange.is_attempting:
            return Phase.PASSED_ON
        return Phase.WAITING

    def set_exchange(self, request_exchange: exchange.Exchange) -> None:
        """Set what passes the request on."""
        self._exchange = request_exchange


class RequestsInProgress:
    """The requests of one VM, which its planned stop brings to an end."""

    def __init__(self) -> None:
        self.stop = planned_stop.PlannedStop()
        self._requests: set[RequestInProgress] = set()

    def __len__(self) -> int:
        return len(self._requests)

    def add(
        self,
        request_id: str,
        caller: callers.Caller,
        deadline: request_deadline.RequestDeadline,
    ) -> RequestInProgress:
        """Add a request that has arrived."""
        request = RequestInProgress(request_id, caller, deadline)
        self._requests.add(request)
        return request

    def remove(self, request: RequestInProgress) -> None:
        """Remove a request that has its final answer."""
        self._requests.discard(request)

    def begin_stop(self, times: planned_stop.Times) -> None:
        """Answer each request before connections are cut off."""
        self.stop.begin(times)
        for request in self._requests:
            request.deadline.follow_stop()

    def log_cut_off(self) -> None:
        """Log the requests that end with the process."""
        now = trio.current_time()
        for request in list(self._requests)[:MAX_LOGGED]:
            seconds_left = request.deadline.time_limit - now
            events.emit(
                events.REQUEST_CUT_OFF,
                request_id=request.request_id,
                phase=request.phase.value,
                age=round(now - request.arrived, 3),
                seconds_left=(
                    round(seconds_left, 3)
                    if math.isfinite(seconds_left)
                    else None
                ),
            )
