"""Grants the slots of one service, and says who waits and who is refused.

This joins :mod:`.balance`, :mod:`.waiting_line` and :mod:`.usual_times`:
whoever drives it carries each grant and refusal to the request that holds
its ticket, and calls :meth:`Allocation.wake` at the time that
:meth:`Allocation.next_wake` names.
"""

import random
import typing

from primrosemill.configuration import document as documents
from primrosemill.decisions import balance
from primrosemill.decisions import coverage
from primrosemill.decisions import dispatch
from primrosemill.decisions import outcomes
from primrosemill.decisions import pool
from primrosemill.decisions import rate
from primrosemill.decisions import usual_times
from primrosemill.decisions import waiting_line

# A large body waits for an instance of the own failure domain this long, as
# a share of its route's target; then it crosses.
LOCAL_PATIENCE = 0.2
# What a wait for a better instance costs a request, in lost requests: more
# than a crossing at once, so that a request waits to stay off a bad instance
# and not to stay at home; once it is late, what a late answer is worth less.
FIRST_WAIT_COST = 0.2
LATE_COST = 0.7
COST_STEP = 0.05  # so that many who wait ask for the same
# Callers that were refused until a pause ends come back over so long.
RETURN_SPREAD = 0.5  # seconds


class Granted(typing.NamedTuple):
    """A request may be sent to an instance now."""

    instance: documents.Instance


class Waiting(typing.NamedTuple):
    """A request waits; the estimate is in seconds."""

    ticket: int
    estimate: float


class Wakeup(typing.NamedTuple):
    """A waiting request is granted a slot, or refused."""

    ticket: int
    told: Granted | waiting_line.Refused


class Allocation:
    """Decides on the instances and the line of one service."""

    def __init__(
        self,
        domain: str,
        generator: random.Random,
        now: float,
        floor_share: float = coverage.FLOOR_SHARE,
        crossing_cost: float = balance.CROSSING_COST,
    ) -> None:
        self.balance = balance.Balance(
            domain, generator, floor_share, crossing_cost
        )
        self._generator = generator
        self.times = usual_times.UsualTimes()
        self._line = waiting_line.WaitingLine()
        self._wishes_by_ticket: dict[int, dispatch.Wish] = {}
        self._next_ticket = 0
        self._last_progress = now
        self._answers = rate.Rate()

    @property
    def waiting(self) -> int:
        """Return the number of requests that wait."""
        return len(self._line)

    def ask(
        self, wish: dispatch.Wish, now: float
    ) -> Granted | Waiting | waiting_line.Refused:
        """Grant a slot, let the request wait or refuse it."""
        route = wish.route
        if not wish.excluded and wish.only is None:
            # A further attempt is no further request.
            self._line.note_arrival(route.priority, now)
        refused = self._refuse_unserved(wish, now)
        if refused is not None:
            return refused
        if not self._line:
            need = self._patient_need(wish, 0, now)
            instance = self.balance.choose(need, now)
            if instance is not None:
                return Granted(instance)
        self._next_ticket += 1
        waiter = waiting_line.Waiter(
            self._next_ticket,
            route.priority,
            wish.arrived + route.patience,
            wish.deadline,
            self.times.usual(route.name),
        )
        drain_rate = self.drain_rate(now)
        refused = self._line.join(waiter, now, drain_rate)
        if refused is not None:
            instance = self._last_resort(wish, now)
            return refused if instance is None else Granted(instance)
        self._wishes_by_ticket[waiter.ticket] = wish
        estimate = self._line.estimate_wait(waiter, now, drain_rate)
        return Waiting(waiter.ticket, estimate)

    def _refuse_unserved(
        self, wish: dispatch.Wish, now: float
    ) -> waiting_line.Refused | None:
        """Refuse what no instance can serve in time, however it waits."""
        if not self.balance.has_candidate(self._lasting_need(wish, now)):
            return self._refuse(outcomes.RefusalReason.NO_INSTANCE, now)
        first_return = self.balance.first_return(now)
        if first_return is None:
            return None
        work = self.times.usual(wish.route.name)
        if first_return + work <= wish.arrived + wish.route.patience:
            return None
        return self._refuse_until(first_return, now)

    def _refuse_until(
        self, first_return: float, now: float
    ) -> waiting_line.Refused:
        spread = RETURN_SPREAD * self._generator.random()
        return waiting_line.Refused(
            outcomes.RefusalReason.INSTANCES_PAUSED,
            first_return - now + spread,
        )

    def take_spare(
        self, wish: dispatch.Wish, now: float
    ) -> documents.Instance | None:
        """Take a slot if one is free now that nobody waits for."""
        if self._line:
            return None
        return self.balance.choose(self._need(wish, now), now)

    def release(
        self, instance_id: str, held: float, end: pool.End, now: float
    ) -> None:
        """Give a slot back that was held for so many seconds."""
        self._last_progress = now
        if end is pool.End.ANSWERED:
            self._answers.note(now)
        self.balance.usual_time = self.times.overall
        self.balance.release(instance_id, now - held)
        if end is pool.End.SHED:
            self.balance.note_shed(instance_id, now)

    def leave(self, ticket: int) -> bool:
        """Take a request out of the line; tell whether it was there."""
        self._wishes_by_ticket.pop(ticket, None)
        return self._line.leave(ticket)

    def refuse_late(self, now: float) -> waiting_line.Refused:
        """Return the refusal of a request whose deadline has passed."""
        return self._refuse(outcomes.RefusalReason.DEADLINE, now)

    def wake(self, now: float) -> list[Wakeup]:
        """Grant free slots in order, and refuse whom none can serve."""
        wakeups = []
        ahead = 0
        unmet: set[balance.Need] = set()
        for waiter in self._line.in_order(now):
            wish = self._wishes_by_ticket[waiter.ticket]
            need = self._patient_need(wish, ahead, now)
            instance = None
            if need not in unmet:
                instance = self.balance.choose(need, now)
            if instance is None:
                unmet.add(need)
                ahead += 1
                continue
            self.leave(waiter.ticket)
            wakeups.append(Wakeup(waiter.ticket, Granted(instance)))
        drain_rate = self.drain_rate(now)
        for waiter in self._line.hopeless(now, drain_rate):
            wish = self._wishes_by_ticket.pop(waiter.ticket)
            instance = self._last_resort(wish, now)
            told = self._refuse(outcomes.RefusalReason.DEADLINE, now)
            if instance is not None:
                told = Granted(instance)
            wakeups.append(Wakeup(waiter.ticket, told))
        return wakeups + self._refuse_paused(now)

    def _refuse_paused(self, now: float) -> list[Wakeup]:
        """Refuse those who wait and can't be served after the pauses."""
        first_return = self.balance.first_return(now)
        if first_return is None:
            return []
        wakeups = []
        for waiter in self._line.in_order(now):
            if first_return + waiter.work <= waiter.deadline:
                continue
            self.leave(waiter.ticket)
            refused = self._refuse_until(first_return, now)
            wakeups.append(Wakeup(waiter.ticket, refused))
        return wakeups

    def next_wake(self, now: float) -> float | None:
        """Return when :meth:`wake` may have something without a release."""
        return self.balance.next_chance(now) if self._line else None

    def drain_rate(self, now: float) -> float | None:
        """Return the requests a second that are served here.

        By Little's law that is the slots held divided by the usual time.
        When none is given back for longer, that time stands for it. Where
        instances shed, few slots are held and the answers tell more.
        """
        busy = self.balance.busy
        if not busy:
            return None
        quiet = now - self._last_progress
        by_slots = busy / max(self.times.overall, quiet)
        return max(by_slots, self._answers.per_second(now))

    def _refuse(
        self, reason: outcomes.RefusalReason, now: float
    ) -> waiting_line.Refused:
        return waiting_line.Refused(
            reason, self._line.retry_after(self.drain_rate(now))
        )

    def _need(self, wish: dispatch.Wish, now: float) -> balance.Need:
        route = wish.route
        waited = now - wish.arrived
        local = False
        if route.large_bodies and wish.only is None:
            patience = LOCAL_PATIENCE * route.patience
            local = waited < patience and self.balance.has_local(now)
        return balance.Need(
            wish.idempotent,
            wish.excluded,
            wish.only,
            local,
            repeat_cost=_step(wish.repeat_cost),
        )

    def _last_resort(
        self, wish: dispatch.Wish, now: float
    ) -> documents.Instance | None:
        """Take a slot for a request that would be refused otherwise.

        A refusal is true and lets the caller come back, so it is better
        than an instance that most probably fails.
        """
        need = self._lasting_need(wish, now)._replace(wait_cost=LATE_COST)
        return self.balance.choose(need, now)

    def _patient_need(
        self, wish: dispatch.Wish, ahead: int, now: float
    ) -> balance.Need:
        """Return what a request asks for with ``ahead`` others before it."""
        waits = now - wish.arrived
        drain_rate = self.drain_rate(now)
        if drain_rate:
            waits += (ahead + 1) / drain_rate
        cost = _wait_cost(waits, wish.route.patience)
        need = self._lasting_need(wish, now)
        return need._replace(wait_cost=_step(cost))

    def _lasting_need(self, wish: dispatch.Wish, now: float) -> balance.Need:
        """Return what a request asks for that waits until it is served.

        Where all others are gone, an instance that it tried is better than
        none.
        """
        need = self._need(wish, now)
        if need.excluded and not self.balance.has_candidate(need):
            return need._replace(excluded=frozenset())
        return need


def _wait_cost(waits: float, patience: float) -> float:
    """Return what it costs a request to wait so long from its arrival."""
    share = min(1.0, waits / patience) if patience > 0.0 else 1.0
    return FIRST_WAIT_COST + share * (LATE_COST - FIRST_WAIT_COST)


def _step(cost: float) -> float:
    """Round a cost, so that many who wait ask for the same."""
    return COST_STEP * round(cost / COST_STEP)
