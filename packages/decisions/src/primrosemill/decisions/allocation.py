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
from primrosemill.decisions import dispatch
from primrosemill.decisions import outcomes
from primrosemill.decisions import pool
from primrosemill.decisions import usual_times
from primrosemill.decisions import waiting_line

# A large body waits for an instance of the own failure domain this long, as
# a share of its route's target; then it crosses.
LOCAL_PATIENCE = 0.2


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
        floor_share: float = balance.FLOOR_SHARE,
    ) -> None:
        self.balance = balance.Balance(domain, generator, floor_share)
        self.times = usual_times.UsualTimes()
        self._line = waiting_line.WaitingLine()
        self._wishes_by_ticket: dict[int, dispatch.Wish] = {}
        self._next_ticket = 0
        self._last_progress = now
        self._answers = waiting_line.Rate()

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
        if not self.balance.size:
            return self._refuse(outcomes.RefusalReason.NO_INSTANCE, now)
        if not self._line:
            instance = self._choose(wish, now)
            if instance is not None:
                return Granted(instance)
        self._next_ticket += 1
        waiter = waiting_line.Waiter(
            self._next_ticket,
            route.priority,
            wish.arrived + (route.target or route.deadline),
            wish.deadline,
            self.times.usual(route.name),
        )
        drain_rate = self.drain_rate(now)
        refused = self._line.join(waiter, now, drain_rate)
        if refused is not None:
            return refused
        self._wishes_by_ticket[waiter.ticket] = wish
        estimate = self._line.estimate_wait(waiter, now, drain_rate)
        return Waiting(waiter.ticket, estimate)

    def take_spare(
        self, wish: dispatch.Wish, now: float
    ) -> documents.Instance | None:
        """Take a slot if one is free now that nobody waits for."""
        if self._line:
            return None
        return self._choose(wish, now)

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
        unmet: set[balance.Need] = set()
        for waiter in self._line.in_order(now):
            wish = self._wishes_by_ticket[waiter.ticket]
            need = self._need(wish, now)
            if need in unmet:
                continue
            instance = self.balance.choose(need, now)
            if instance is None:
                unmet.add(need)
                continue
            self.leave(waiter.ticket)
            wakeups.append(Wakeup(waiter.ticket, Granted(instance)))
        drain_rate = self.drain_rate(now)
        for waiter in self._line.hopeless(now, drain_rate):
            del self._wishes_by_ticket[waiter.ticket]
            refused = self._refuse(outcomes.RefusalReason.DEADLINE, now)
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

    def _choose(
        self, wish: dispatch.Wish, now: float
    ) -> documents.Instance | None:
        return self.balance.choose(self._need(wish, now), now)

    def _need(self, wish: dispatch.Wish, now: float) -> balance.Need:
        route = wish.route
        local = False
        if route.large_bodies and wish.only is None:
            patience = LOCAL_PATIENCE * (route.target or route.deadline)
            waited = now - wish.arrived
            local = waited < patience and self.balance.has_local(now)
        return balance.Need(wish.idempotent, wish.excluded, wish.only, local)
