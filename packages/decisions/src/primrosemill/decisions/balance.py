"""Chooses the instance that gets the next request of one service.

An instance is used while it has a slot to spare, counted from this VM's own
requests and from the load that the instance told in its last answer. That
load fades: to nothing where this VM leads the instance, else to what others
usually hold at such instances. Among those with a slot, trusted instances
go before suspect ones, then those of the VM's own failure domain, then those
that this VM leads. A request that must not be repeated prefers an instance
that has just answered well, any other one the instance that has not been
heard of for longest; then the least loaded goes.
"""

import enum
import math
import random
import typing

from primrosemill.configuration import document as documents
from primrosemill.decisions import announcements
from primrosemill.decisions import avoidance
from primrosemill.decisions import usual_times

# A told load stands for what other VMs do there; it fades in this time, as
# most requests that were counted have ended by then.
LOAD_LIFETIME = 0.4  # seconds
SHED_PAUSE = 0.1  # seconds that an instance which shed gets no request
COLD_PENALTY = 1.0  # requests that a cold instance counts as holding
STALL_FACTOR = 4.0  # times the usual time after which no answer is a sign
LEAST_STALL = 0.4  # seconds; shorter delays are common on a busy network
EVIDENCE_STEP = 0.5  # seconds; good answers closer than that are equal
OTHERS_WEIGHT = 0.05  # of the latest told load in the usual one
# Slots of an instance that a VM uses at a time while another VM leads it and
# others are there, too; docs/design/balancing.
BORROWED_SLOTS = 1
# Failures from which on a spell is certain; one fades below its full weight.
CONFIRMED_FAILURES = 1.5
PART_LOAD = 0.5  # requests; a faded load below it counts as none
FLOOR_SHARE = 0.7  # of the instances that stay usable whatever is suspected
TRUSTED = avoidance.Trust.TRUSTED


class Load(typing.NamedTuple):
    """What an instance told of itself: requests, and its slots."""

    running: int
    waiting: int
    slots: int


class Need(typing.NamedTuple):
    """What a request asks of an instance.

    ``excluded`` are the instances that it has tried; ``only`` names those
    that it may still be sent to, or is None for all. ``local`` keeps it in
    the VM's own failure domain, as its body is large.
    """

    idempotent: bool
    excluded: frozenset[str] = frozenset()
    only: frozenset[str] | None = None
    local: bool = False

    @property
    def explores(self) -> bool:
        """Tell whether the request may find out how an instance is.

        One that has failed before may be on its last attempt, so it goes
        where all was well, as one does that must not be repeated.
        """
        return self.idempotent and not self.excluded and self.only is None


# How willingly an instance gets a request: by trust, then those of the own
# domain, then those that this VM leads.
Place = tuple[float, bool, bool]
NO_PLACE: Place = (math.inf, True, True)


class Crossing(enum.StrEnum):
    """Why a request goes to an instance of another failure domain."""

    NONE_LOCAL = "none_local"  # The own domain has none that is staying.
    SUSPECT = "suspect"  # None there is trusted.
    FULL = "full"  # Those that are trusted had no room, or were tried.


class _Use:
    """What this VM knows and does with one instance."""

    __slots__ = (
        "cold_until",
        "instance",
        "leaving",
        "other_lead",
        "others",
        "others_at",
        "paused_until",
        "remote",
        "room",
        "starts",
        "well_at",
    )

    def __init__(self, instance: documents.Instance, now: float) -> None:
        self.instance = instance
        self.leaving = False
        self.room = 0.0
        self.remote = False
        self.other_lead = True
        self.others = 0.0
        self.others_at = now
        self.paused_until = 0.0
        self.cold_until = now + instance.cold_for
        self.starts: list[float] = []
        self.well_at = now

    def occupied(self, now: float, usual: float) -> float:
        """Return the requests that the instance probably holds.

        What it told of others fades into ``usual``, what such an instance
        usually holds of them.
        """
        fade = 1.0 - (now - self.others_at) / LOAD_LIFETIME
        if fade <= 0.0:
            return len(self.starts) + usual
        return len(self.starts) + usual + (self.others - usual) * fade


class Balance:
    """Chooses among the instances of one service for one VM."""

    def __init__(
        self,
        domain: str,
        generator: random.Random,
        floor_share: float = FLOOR_SHARE,
    ) -> None:
        self.avoidance = avoidance.Avoidance()
        self.announcements = announcements.Announcements()
        self._floor_share = floor_share
        self.usual_time = usual_times.FIRST_GUESS
        self._domain = domain
        self._generator = generator
        self._uses_by_id: dict[str, _Use] = {}
        # The same, for a choice that need not look at all of them: those of
        # the own domain, the others, and those with requests of this VM.
        self._local: list[_Use] = []
        self._remote: list[_Use] = []
        self._busy_by_id: dict[str, _Use] = {}
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
            if self.avoidance.trust(use.instance.id, now) is TRUSTED:
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
                use = _Use(instance, now)
                self.avoidance.forget(instance.id)
            use.instance = instance
            use.leaving = self.announcements.is_leaving(instance)
            pause_end = self.announcements.pause_end(instance)
            use.paused_until = max(use.paused_until, pause_end)
            use.room = instance.slots + PART_LOAD
            use.remote = instance.domain != self._domain
            use.other_lead = instance.id not in self._led_ids
            self._uses_by_id[instance.id] = use
        uses = list(self._uses_by_id.values())
        self._local = [use for use in uses if not use.remote]
        self._remote = [use for use in uses if use.remote]
        self._busy_by_id = {use.instance.id: use for use in uses if use.starts}
        self.avoidance.keep(self._uses_by_id)
        self.announcements.keep([use.instance for use in uses], now)

    def set_led(self, led_ids: frozenset[str]) -> None:
        """Take the instances that this VM should fill first."""
        if led_ids == self._led_ids:
            return
        self._led_ids = led_ids
        for instance_id, use in self._uses_by_id.items():
            use.other_lead = instance_id not in led_ids

    def choose(self, need: Need, now: float) -> documents.Instance | None:
        """Take a slot of the best instance, or None if all are full."""
        trust_by_id = self._suspects(now)
        best, place = self._best_of(
            self._local, need, now, trust_by_id, NO_PLACE
        )
        if place[0] > TRUSTED:
            # No other domain's instance goes before a trusted one at home.
            found, _ = self._best_of(
                self._remote, need, now, trust_by_id, place
            )
            best = found or best
        if best is None:
            return None
        best.starts.append(now)
        self._busy_by_id[best.instance.id] = best
        return best.instance

    def _best_of(
        self,
        uses: list[_Use],
        need: Need,
        now: float,
        trust_by_id: dict[str, avoidance.Trust],
        best_place: Place,
    ) -> tuple[_Use | None, Place]:
        """Return the best instance in a place at least as good, if any."""
        best: _Use | None = None
        best_rank: tuple[float, ...] = (math.inf,)
        for use in uses:
            occupied = self._held_unless_full(use, now)
            if occupied is None or now < use.paused_until:
                continue
            trust = trust_by_id.get(use.instance.id, TRUSTED)
            if not self._may_get(use, need, trust):
                continue
            standing = _standing(trust, need.explores and not use.remote)
            place = (standing, use.remote, use.other_lead)
            if place > best_place:
                continue
            rank = self._rank(use, need, trust, occupied, now)
            if place < best_place or rank < best_rank:
                best, best_place, best_rank = use, place, rank
        return best, best_place

    def crossing(self, instance_id: str, now: float) -> Crossing | None:
        """Return why a request was sent to an instance of another domain.

        None where it is one of the own domain.
        """
        chosen = self._uses_by_id.get(instance_id)
        if chosen is None or not chosen.remote:
            return None
        trust_by_id = self._suspects(now)
        found = Crossing.NONE_LOCAL
        for use in self._local:
            if use.leaving:
                continue
            if use.instance.id not in trust_by_id:
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

    def note_load(self, instance_id: str, load: Load, now: float) -> None:
        """Take what an instance told with an answer.

        It counts the request that it answers, whose slot was given back.
        """
        use = self._uses_by_id.get(instance_id)
        if use is None:
            return
        own = len(use.starts)
        told = load.running + load.waiting - 1
        use.others = float(max(0, told - own))
        use.others_at = now
        if use.other_lead:
            surplus = use.others - self._usual_others
            self._usual_others += OTHERS_WEIGHT * surplus

    def note_well(self, instance_id: str, started: float) -> None:
        """Note that a request that started then was answered well."""
        use = self._uses_by_id.get(instance_id)
        if use is not None:
            use.well_at = max(use.well_at, started)

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

    def _held_unless_full(self, use: _Use, now: float) -> float | None:
        """Return the requests an instance probably holds; None if full.

        At an instance that another VM leads, this one borrows few slots, as
        all others may do so at the same time. One request may wait there:
        that costs less than to wait for an own instance to come back.
        """
        usual = self._usual_others if use.other_lead else 0.0
        # Only what an instance has just told closes it: what is usual leaves
        # room, or it would never be seen to fall.
        usual = min(usual, use.instance.slots)
        occupied = use.occupied(now, usual)
        if usual <= PART_LOAD:
            return occupied if occupied + 1.0 <= use.room else None
        if len(use.starts) >= BORROWED_SLOTS or occupied > use.room:
            return None
        return occupied

    def _suspects(self, now: float) -> dict[str, avoidance.Trust]:
        """Return the instances that are not trusted, with the floor kept.

        An instance that holds a request for far too long is avoided, too.
        The operator's share of the instances stays usable: where more are
        suspect, the least suspect ones are used after all others.
        """
        trust_by_id = self.avoidance.suspects(now)
        limit = max(LEAST_STALL, STALL_FACTOR * self.usual_time)
        for instance_id, use in self._busy_by_id.items():
            if now - use.starts[0] > limit:
                trust_by_id[instance_id] = avoidance.Trust.AVOIDED
        avoided = [
            instance_id
            for instance_id, trust in trust_by_id.items()
            if trust is avoidance.Trust.AVOIDED
        ]
        allowed = int((1.0 - self._floor_share) * len(self._uses_by_id))
        if len(avoided) > allowed:
            avoided.sort(key=self.avoidance.failures)
            for instance_id in avoided[: len(avoided) - allowed]:
                trust_by_id[instance_id] = avoidance.Trust.LAST
        return trust_by_id

    def _may_get(self, use: _Use, need: Need, trust: avoidance.Trust) -> bool:
        """Tell whether an instance with a free slot may get a request."""
        instance = use.instance
        if use.leaving or instance.id in need.excluded:
            return False
        if need.only is not None and instance.id not in need.only:
            return False
        if need.local and use.remote:
            return False
        if trust is avoidance.Trust.ON_TRIAL and use.starts:
            # One request at a time tries it.
            return False
        if trust is avoidance.Trust.AVOIDED:
            return self._may_try(use, need)
        return True

    def _may_try(self, use: _Use, need: Need) -> bool:
        """Tell whether a request may try an instance that is avoided.

        A single failure is an ordinary one as often as not, so what may be
        repeated tries the instance, one at a time, before it waits.
        """
        if not need.idempotent or use.starts:
            return False
        return self.avoidance.failures(use.instance.id) < CONFIRMED_FAILURES

    def _rank(
        self,
        use: _Use,
        need: Need,
        trust: avoidance.Trust,
        occupied: float,
        now: float,
    ) -> tuple[float, ...]:
        """Return the order among instances in the same place."""
        if now < use.cold_until:
            occupied += COLD_PENALTY
        age = (now - use.well_at) // EVIDENCE_STEP
        if trust is avoidance.Trust.LAST:
            # The least suspect ones first, whoever asks.
            failures = self.avoidance.failures(use.instance.id)
            return (failures, occupied, self._generator.random())
        return (
            # What may be repeated finds out about instances that have been
            # quiet; what may not goes where all was well lately.
            -age if need.explores else age,
            occupied / max(1, use.instance.slots),
            self._generator.random(),
        )


def _standing(trust: avoidance.Trust, may_try: bool) -> float:
    """Return the order by trust; trials go first where they do no harm."""
    if trust is avoidance.Trust.ON_TRIAL and may_try:
        return -1.0
    return float(trust)
