"""Chooses the instance that gets the next request of one service.

An instance is used while it has a slot to spare. Among those with one, the
request goes where most is to be expected: the chance that it succeeds there,
less what a failure, a crossing to another failure domain, a slot of an
instance that another VM leads, and a nearly full instance cost. Waiting for a
better instance is one of the choices. docs/design/balancing.md.
"""

import enum
import math
import random
import typing

from primrosemill.configuration import document as documents
from primrosemill.decisions import announcements
from primrosemill.decisions import belief as beliefs
from primrosemill.decisions import coverage
from primrosemill.decisions import dispatch
from primrosemill.decisions import holdings
from primrosemill.decisions import usual_times

SHED_PAUSE = 0.1  # seconds that an instance which shed gets no request
COLD_PENALTY = 1.0  # requests that a cold instance counts as holding
STALL_FACTOR = 4.0  # times the usual time after which no answer is a sign
LEAST_STALL = 0.4  # seconds; shorter delays are common on a busy network
OTHERS_WEIGHT = 0.05  # of the latest told load in the usual one
# An instance at home that no VM of the domain has told of for so long holds
# nothing of others: those in use are told of every 0.4 s, and answers take
# up to some seconds.
UNUSED_AFTER = 2.0  # seconds
# Of the chance of an instance that holds a request for far too long: it may
# only be slow, and the deadline tells.
STALLED_CHANCE = 0.2

# Costs are in lost requests: 1 is a request that fails for good.
# Bytes that cross are priced and use the links between domains; the default
# of the setting.
CROSSING_COST = 0.15
# Another VM fills the instance and knows its load better.
BORROWING_COST = 0.02
# At an instance whose slots are all taken; it grows with the square, as
# instances slow down and shed when they are nearly full.
FULL_COST = 0.05
# Values closer than this are as good as equal, and a random draw decides.
TIE = 0.002


class Need(typing.NamedTuple):
    """What a request asks of an instance.

    ``excluded`` are the instances that it has tried; ``only`` names those
    that it may still be sent to, or is None for all. ``local`` keeps it in
    the VM's own failure domain, as its body is large. ``wait_cost`` is what
    a short wait for a better instance costs it, ``repeat_cost`` what another
    attempt costs.
    """

    idempotent: bool
    excluded: frozenset[str] = frozenset()
    only: frozenset[str] | None = None
    local: bool = False
    wait_cost: float = math.inf
    repeat_cost: float = dispatch.REPEAT_COST

    @property
    def may_fail_once(self) -> bool:
        """Tell whether another attempt may follow where the next one fails.

        One that has failed before may be on its last attempt.
        """
        return self.idempotent and not self.excluded and self.only is None

    @property
    def failure_cost(self) -> float:
        """Return what is lost where its next attempt fails."""
        return self.repeat_cost if self.may_fail_once else 1.0


class Crossing(enum.StrEnum):
    """Why a request goes to an instance of another failure domain."""

    NONE_LOCAL = "none_local"  # The own domain has none that is staying.
    SUSPECT = "suspect"  # None there is trusted.
    FULL = "full"  # Those that are trusted had no room, or were tried.


class _Found(typing.NamedTuple):
    """The best instance so far, and what is to be expected of it."""

    holding: holdings.Holding | None
    value: float


_NONE_FOUND = _Found(None, -math.inf)


class Balance:
    """Chooses among the instances of one service for one VM."""

    def __init__(
        self,
        domain: str,
        generator: random.Random,
        floor_share: float = coverage.FLOOR_SHARE,
        crossing_cost: float = CROSSING_COST,
    ) -> None:
        self.belief = beliefs.Belief()
        self.coverage = coverage.Coverage(floor_share)
        self.announcements = announcements.Announcements()
        self._crossing_cost = crossing_cost
        self.usual_time = usual_times.FIRST_GUESS
        self._domain = domain
        self._generator = generator
        self._uses_by_id: dict[str, holdings.Holding] = {}
        # The same, for a choice that need not look at all of them: those of
        # the own domain, the others, and those with requests of this VM.
        self._local: list[holdings.Holding] = []
        self._remote: list[holdings.Holding] = []
        self._busy_by_id: dict[str, holdings.Holding] = {}
        self._led_ids: frozenset[str] = frozenset()
        self._usual_others = 0.0

    @property
    def busy(self) -> int:
        """Return the number of requests that this VM has at instances."""
        return sum(len(use.starts) for use in self._busy_by_id.values())

    def instance(self, instance_id: str) -> documents.Instance | None:
        """Return an instance that is known now."""
        use = self._uses_by_id.get(instance_id)
        return None if use is None else use.instance

    def busy_at(self, instance_id: str) -> int:
        """Return the number of this VM's requests at an instance."""
        use = self._uses_by_id.get(instance_id)
        return 0 if use is None else len(use.starts)

    def has_local(self, now: float) -> bool:
        """Tell whether the VM's own domain has an instance to trust."""
        for use in self._local:
            if use.leaving:
                continue
            trust = self.belief.trust(use.instance.id, now)
            if trust is beliefs.Trust.TRUSTED:
                return True
        return False

    def set_instances(
        self, instances: typing.Iterable[documents.Instance], now: float
    ) -> None:
        """Take the instances that are known now."""
        before_by_id = self._uses_by_id
        self._uses_by_id = {}
        for instance in instances:
            use = before_by_id.get(instance.id)
            if use is None or use.instance.boot != instance.boot:
                use = holdings.Holding(instance, now)
                self.belief.forget(instance.id)
            use.instance = instance
            use.leaving = self.announcements.is_leaving(instance)
            pause_end = self.announcements.pause_end(instance)
            use.paused_until = max(use.paused_until, pause_end)
            use.room = instance.slots + holdings.PART_LOAD
            use.remote = instance.domain != self._domain
            use.other_lead = instance.id not in self._led_ids
            self._uses_by_id[instance.id] = use
        uses = list(self._uses_by_id.values())
        self._local = [use for use in uses if not use.remote]
        self._remote = [use for use in uses if use.remote]
        self._busy_by_id = {use.instance.id: use for use in uses if use.starts}
        self.belief.keep(self._uses_by_id)
        self.announcements.keep([use.instance for use in uses], now)

    def set_led(self, led_ids: frozenset[str]) -> None:
        """Take the instances that this VM should fill first."""
        if led_ids == self._led_ids:
            return
        self._led_ids = led_ids
        for instance_id, use in self._uses_by_id.items():
            use.other_lead = instance_id not in led_ids

    def choose(self, need: Need, now: float) -> documents.Instance | None:
        """Take a slot of the best instance.

        Returns None where none has room, or a better one than those that
        have some is worth waiting for.
        """
        due_id = self.coverage.due(self._local, self.belief, now)
        best = self._best_of(self._local, need, now, due_id, _NONE_FOUND)
        if best.value < -self._crossing_cost and not need.local:
            best = self._best_of(self._remote, need, now, None, best)
        if best.holding is None:
            return None
        chosen = best.holding
        saved = need.wait_cost
        if need.may_fail_once:
            # An attempt that fails saves no wait.
            saved *= self.belief.chance(chosen.instance.id, now)
        wanted = best.value + saved
        if wanted < 0.0 and self._has_better(need, wanted, now):
            return None
        chosen.starts.append(now)
        chosen.tried = True
        self._busy_by_id[chosen.instance.id] = chosen
        return chosen.instance

    def _best_of(
        self,
        uses: list[holdings.Holding],
        need: Need,
        now: float,
        due_id: str | None,
        best: _Found,
    ) -> _Found:
        """Return the best instance with room, if better than ``best``."""
        for use in uses:
            if now < use.paused_until or not self._may_get(use, need):
                continue
            usual = self._usual_of(use, now)
            occupied = use.occupied(now, usual)
            if not use.has_room(occupied, usual):
                continue
            value = self._value(use, need, occupied, now)
            if use.instance.id == due_id:
                value = 0.0
            value -= TIE * self._generator.random()
            if value > best.value:
                best = _Found(use, value)
        return best

    def _has_better(self, need: Need, wanted: float, now: float) -> bool:
        """Tell whether an instance without room is worth more than that."""
        for use in self._uses_by_id.values():
            if now < use.paused_until or not self._may_get(use, need):
                continue
            occupied = float(use.instance.slots)
            if self._value(use, need, occupied, now) > wanted:
                return True
        return False

    def _value(
        self,
        use: holdings.Holding,
        need: Need,
        occupied: float,
        now: float,
    ) -> float:
        """Return what is to be expected, as a negative cost."""
        chance = self.belief.chance(use.instance.id, now)
        if use.starts and self._is_stalled(use, now):
            chance *= STALLED_CHANCE
        cost = (1.0 - chance) * need.failure_cost
        if use.remote:
            cost += self._crossing_cost
        elif use.other_lead:
            cost += BORROWING_COST
        if now < use.cold_until:
            occupied += COLD_PENALTY
        fill = occupied / max(1, use.instance.slots)
        return -cost - FULL_COST * fill * fill

    def _is_stalled(self, use: holdings.Holding, now: float) -> bool:
        """Tell whether an instance holds a request for far too long."""
        limit = max(LEAST_STALL, STALL_FACTOR * self.usual_time)
        return now - use.starts[0] > limit

    def crossing(self, instance_id: str, now: float) -> Crossing | None:
        """Return why a request was sent to an instance of another domain.

        None where it is one of the own domain.
        """
        chosen = self._uses_by_id.get(instance_id)
        if chosen is None or not chosen.remote:
            return None
        found = Crossing.NONE_LOCAL
        for use in self._local:
            if use.leaving:
                continue
            trust = self.belief.trust(use.instance.id, now)
            if trust is beliefs.Trust.TRUSTED:
                return Crossing.FULL
            found = Crossing.SUSPECT
        return found

    def release(self, instance_id: str, started: float) -> None:
        """Give back a slot that was taken at about a time.

        An instance that is gone is no error.
        """
        use = self._uses_by_id.get(instance_id)
        if use is None or not use.starts:
            return
        nearest = min(use.starts, key=lambda start: abs(start - started))
        use.starts.remove(nearest)
        if not use.starts:
            self._busy_by_id.pop(instance_id, None)

    def note_load(
        self, instance_id: str, load: holdings.Load, now: float
    ) -> None:
        """Take what an instance told with an answer.

        It counts the request that it answers, whose slot was given back.
        """
        use = self._uses_by_id.get(instance_id)
        if use is None:
            return
        use.take_load(load, now)
        if use.other_lead:
            surplus = use.others - self._usual_others
            self._usual_others += OTHERS_WEIGHT * surplus

    def note_shed(self, instance_id: str, now: float) -> None:
        """Leave an instance alone for a moment that was full."""
        use = self._uses_by_id.get(instance_id)
        if use is not None:
            pause = SHED_PAUSE * (0.5 + self._generator.random())
            use.paused_until = max(use.paused_until, now + pause)

    def note_leaving(self, instance_id: str, boot: int) -> bool:
        """Send no more to an instance that is leaving.

        Returns whether that is news.
        """
        use = self._uses_by_id.get(instance_id)
        if use is None or use.instance.boot != boot:
            return False
        was_leaving = use.leaving
        use.leaving = True
        return self.announcements.note_leaving(use.instance) and (
            not was_leaving
        )

    def note_pause(
        self, instance_id: str, boot: int, seconds: float, now: float
    ) -> None:
        """Send nothing to an instance for as long as it asks for."""
        use = self._uses_by_id.get(instance_id)
        if use is None or use.instance.boot != boot:
            return
        self.announcements.note_pause(use.instance, seconds, now)
        use.paused_until = max(use.paused_until, now + seconds)

    def first_return(self, now: float) -> float | None:
        """Return when the first instance takes requests again.

        None where some instance has not asked for a pause, or none is left.
        """
        first = math.inf
        for use in self._uses_by_id.values():
            if use.leaving:
                continue
            end = self.announcements.pause_end(use.instance)
            if end <= now:
                return None
            first = min(first, end)
        return first if first < math.inf else None

    def has_candidate(self, need: Need) -> bool:
        """Tell whether any instance may get the request, now or later."""
        for instance_id, use in self._uses_by_id.items():
            if use.leaving or instance_id in need.excluded:
                continue
            if need.only is None or instance_id in need.only:
                return True
        return False

    def next_chance(self, now: float) -> float:
        """Return when a choice may succeed without a release."""
        return now + SHED_PAUSE / 4

    def _usual_of(self, use: holdings.Holding, now: float) -> float:
        """Return what others usually hold at an instance.

        Only what it has just told closes it: what is usual leaves room, or
        it would never be seen to fall. Peers tell of the instances at home
        that they use.
        """
        if not use.other_lead:
            return 0.0
        quiet = now - self.belief.heard_at(use.instance.id)
        if not use.remote and quiet > UNUSED_AFTER:
            return 0.0
        return min(self._usual_others, use.instance.slots)

    def _may_get(self, use: holdings.Holding, need: Need) -> bool:
        """Tell whether an instance with a free slot may get a request."""
        instance = use.instance
        if use.leaving or instance.id in need.excluded:
            return False
        if need.only is not None and instance.id not in need.only:
            return False
        return not (need.local and use.remote)
