"""Chooses the instance that gets the next attempt of one service.

A VM uses the instances it leads first, least loaded first. When those are
full it spills to instances of other leads, which shed when they have no slot
free; sheds are paced by a back-off for each instance and by a budget for the
service. Every step is constant or logarithmic in the number of instances.
"""

import enum
import heapq
import math
import random
import typing

from primrosemill.configuration import document as documents
from primrosemill.decisions import buckets
from primrosemill.decisions import standings

SHED_SHARE = 0.2  # sheds that each answered attempt allows for
SHED_BURST = 10.0  # sheds
LEADING_PAUSE = 0.1  # seconds between spills over budget, beside own slots
LOST_PAUSE = 0.005  # seconds between them where no own instance is usable
FIRST_HOLD = 0.01  # seconds an attempt takes, until one was measured
HOLD_WEIGHT = 0.05  # of the latest attempt in the moving average
LONGEST_BACK_OFF = 1.0  # seconds
TRIAL_PAUSE = 0.25  # seconds between two trial requests
DOUBLINGS = 6
PATIENCE = 0.6  # of the mean hold that a request waits for an own slot


class Tier(enum.IntEnum):
    """The order in which instances are asked."""

    TRIAL = 0
    LEAD = 1
    SECOND = 2
    OTHER = 3
    LAST = 4


SPILL_TIERS = (Tier.SECOND, Tier.OTHER)
UNUSABLE = frozenset(
    {
        standings.State.AVOIDED,
        standings.State.EJECTED,
        standings.State.DRAINING,
    }
)


class End(enum.Enum):
    """How an attempt ended, as far as slots are concerned."""

    ANSWERED = "answered"
    SHED = "shed"
    FAILED = "failed"


class _Use:
    """What this VM does with one instance."""

    __slots__ = (
        "busy",
        "held_until",
        "instance",
        "level",
        "limit",
        "rank",
        "sheds",
        "standing",
        "tier",
    )

    def __init__(self, instance: documents.Instance) -> None:
        self.instance = instance
        self.standing = standings.HEALTHY
        self.rank = 0
        self.busy = 0
        self.sheds = 0
        self.held_until = 0.0
        self.limit = 0
        self.tier: Tier | None = None
        self.level: int | None = None


class SlotPool:
    """Grants the slots of one service to the attempts of this VM."""

    def __init__(
        self, service: documents.Service, generator: random.Random
    ) -> None:
        self._service = service
        self._generator = generator
        self._uses_by_id: dict[str, _Use] = {}
        self._levels_by_tier = {tier: buckets.Levels() for tier in Tier}
        self._holds: list[tuple[float, str]] = []
        self._hold = FIRST_HOLD
        self._sheds_allowed = SHED_BURST
        self._next_spill = 0.0
        self._last_answer = 0.0
        self._last_start = 0.0
        self._leading = 0
        self._busy = 0
        self.set_service(service)

    @property
    def busy(self) -> int:
        """Return the number of attempts in flight from this VM."""
        return self._busy

    @property
    def mean_hold(self) -> float:
        """Return the moving average of an answered attempt, in seconds."""
        return self._hold

    def drain_rate(self, now: float) -> float | None:
        """Return the requests a second that leave the slots held here.

        By Little's law that is the slots held divided by the mean hold. When
        no attempt ends or starts for longer, that time stands for the hold,
        so a stall shows before anything completes. None means no slot is
        held.
        """
        if not self._busy:
            return None
        quiet = now - max(self._last_answer, self._last_start)
        return self._busy / max(self._hold, quiet)

    def set_service(self, service: documents.Service) -> None:
        """Take a new revision; counts of kept instances stay."""
        self._service = service
        wanted_by_id = {each.id: each for each in service.instances}
        for instance_id in list(self._uses_by_id):
            if instance_id not in wanted_by_id:
                self._drop(instance_id)
        for instance_id, instance in wanted_by_id.items():
            use = self._uses_by_id.get(instance_id)
            if use is None:
                use = self._uses_by_id[instance_id] = _Use(instance)
            use.instance = instance
            self._settle(use)

    def set_standing(
        self, instance_id: str, standing: standings.Standing
    ) -> None:
        """Take what is thought of an instance; unknown ids are no error."""
        use = self._uses_by_id.get(instance_id)
        if use is None or use.standing == standing:
            return
        use.standing = standing
        self._settle(use)

    def set_ranks(self, rank_by_id: dict[str, int]) -> None:
        """Take this VM's rank at each instance; 0 is the lead."""
        for instance_id, use in self._uses_by_id.items():
            use.rank = rank_by_id.get(instance_id, len(Tier))
            self._settle(use)

    def acquire(
        self,
        now: float,
        excluded: typing.Container[str] = (),
        idempotent: bool = True,
        waiting: int = 0,
    ) -> documents.Instance | None:
        """Take a slot of the best instance, or return None if none is due.

        ``excluded`` holds the instances that this request has tried,
        ``waiting`` is the number of requests queued behind it.
        """
        self._end_holds(now)
        may_spill = now >= self._next_spill_time(now, waiting)
        picked = self._pick(may_spill, excluded, idempotent)
        if picked is None:
            return None
        use = self._uses_by_id[picked]
        if use.tier in SPILL_TIERS:
            self._next_spill = now + self._spill_pause()
        return self._take(use, now)

    def acquire_named(
        self, now: float, instance_id: str
    ) -> documents.Instance | None:
        """Take a slot of one instance, in rotation or not.

        For trials; None means that it has no slot left or is leaving.
        """
        use = self._uses_by_id.get(instance_id)
        if use is None or use.instance.leaving:
            return None
        if use.standing.state is standings.State.DRAINING:
            return None
        if use.busy >= self._service.slots:
            return None
        return self._take(use, now)

    def _take(self, use: _Use, now: float) -> documents.Instance:
        if not self._busy:
            self._last_answer = now
        self._last_start = now
        self._busy += 1
        use.busy += 1
        self._settle(use)
        return use.instance

    def release(
        self, now: float, instance_id: str, held: float, end: End
    ) -> None:
        """Give a slot back that was held for ``held`` seconds.

        An instance that is gone meanwhile is no error.
        """
        self._busy -= 1
        if end is End.ANSWERED:
            self._last_answer = now
            self._hold += HOLD_WEIGHT * (held - self._hold)
            self._sheds_allowed = min(
                SHED_BURST, self._sheds_allowed + SHED_SHARE
            )
        use = self._uses_by_id.get(instance_id)
        if end is End.SHED:
            self._sheds_allowed = max(0.0, self._sheds_allowed - 1)
        if use is None:
            return
        use.busy = max(0, use.busy - 1)
        self._pace(use, now, held, end)
        self._settle(use)

    def next_chance(self, now: float, waiting: int = 0) -> float | None:
        """Return when :meth:`acquire` may succeed without a release."""
        self._end_holds(now)
        times = []
        if self._holds:
            times.append(self._holds[0][0])
        if self._can_spill():
            times.append(self._next_spill_time(now, waiting))
        return min(times, default=None)

    def _can_spill(self) -> bool:
        return any(self._levels_by_tier[tier] for tier in SPILL_TIERS)

    def _next_spill_time(self, now: float, waiting: int) -> float:
        """Return from when on a request may try others' instances.

        It waits for an own slot while one is due within the patience; when
        own instances stop answering, the time since stands for the hold.
        """
        time = now
        if self._sheds_allowed < 1:
            time = max(now, self._next_spill)
        if not self._leading:
            return time
        slots = self._leading * self._service.slots
        if waiting + 1 > PATIENCE * slots:
            return time
        patience = PATIENCE * self._hold * slots / (waiting + 1)
        return max(time, self._last_answer + patience)

    def _pick(
        self,
        may_spill: bool,
        excluded: typing.Container[str],
        idempotent: bool,
    ) -> str | None:
        tiers = [Tier.LEAD]
        if idempotent:
            tiers.insert(0, Tier.TRIAL)
        if may_spill:
            tiers += SPILL_TIERS
        if may_spill or not self._can_spill():
            tiers.append(Tier.LAST)
        return self._pick_from(tiers, excluded)

    def _pick_from(
        self, tiers: list[Tier], excluded: typing.Container[str]
    ) -> str | None:
        for tier in tiers:
            picked = self._levels_by_tier[tier].pick(excluded, self._generator)
            if picked is not None:
                return picked
        return None

    def _spill_pause(self) -> float:
        return LEADING_PAUSE if self._leading else LOST_PAUSE

    def _pace(self, use: _Use, now: float, held: float, end: End) -> None:
        """Hold an instance back after a shed, or to keep to its share."""
        pause = 0.0
        if end is End.SHED:
            pause = self._back_off(use)
        elif end is End.ANSWERED:
            use.sheds = 0
            # A slot is free there now, whatever shed this VM before.
            use.held_until = 0.0
        pause = max(pause, self._share_gap(use, held))
        if pause <= 0:
            return
        use.held_until = now + pause
        heapq.heappush(self._holds, (use.held_until, use.instance.id))

    def _back_off(self, use: _Use) -> float:
        """Return the pause after a shed: the time until a slot is due.

        With all slots busy one is due after the mean hold divided by the
        slots; jitter keeps VMs that were shed together apart.
        """
        due = self._hold / self._service.slots
        pause = due * 2 ** min(use.sheds, DOUBLINGS)
        use.sheds += 1
        jitter = 0.5 + self._generator.random()
        return min(LONGEST_BACK_OFF, pause * jitter)

    def _share_gap(self, use: _Use, held: float) -> float:
        """Return the idle time that brings use down to the share.

        An instance with a share of 0.1 of 3 slots may use 0.3 of one slot,
        so it rests 2.3 times as long as it was held.
        """
        if use.standing.state not in (
            standings.State.COLD,
            standings.State.TRIAL,
        ):
            return 0.0
        fraction = use.standing.share * self._service.slots / max(1, use.limit)
        gap = 0.0
        if 0 < fraction < 1:
            gap = held * (1 / fraction - 1)
        if use.standing.state is standings.State.TRIAL:
            gap = max(gap, TRIAL_PAUSE)
        return min(LONGEST_BACK_OFF, gap)

    def _end_holds(self, now: float) -> None:
        """Put instances back whose pause is over."""
        while self._holds and self._holds[0][0] <= now:
            until, instance_id = heapq.heappop(self._holds)
            use = self._uses_by_id.get(instance_id)
            if use is None or use.held_until != until:
                continue
            use.held_until = 0.0
            self._settle(use)

    def _settle(self, use: _Use) -> None:
        """Put an instance into the bucket that its state asks for."""
        instance_id = use.instance.id
        if use.level is not None:
            self._levels_by_tier[use.tier].remove(instance_id, use.level)
            use.level = None
        self._leading -= use.tier is Tier.LEAD
        use.tier = _find_tier(use)
        self._leading += use.tier is Tier.LEAD
        if use.tier is None:
            return
        use.limit = self._find_limit(use)
        if use.busy >= use.limit or use.held_until:
            return
        use.level = use.busy
        self._levels_by_tier[use.tier].add(instance_id, use.level)

    def _find_limit(self, use: _Use) -> int:
        if use.standing.state is standings.State.TRIAL:
            return 1
        if use.standing.state is standings.State.COLD:
            return max(1, math.ceil(self._service.slots * use.standing.share))
        return self._service.slots

    def _drop(self, instance_id: str) -> None:
        use = self._uses_by_id.pop(instance_id)
        if use.level is not None:
            self._levels_by_tier[use.tier].remove(instance_id, use.level)
        self._leading -= use.tier is Tier.LEAD


def _find_tier(use: _Use) -> Tier | None:
    """Return the tier of an instance, or None if it gets no work."""
    state = use.standing.state
    if use.instance.leaving or state in UNUSABLE:
        return None
    if state is standings.State.TRIAL:
        # Without a share its trials come by name.
        return Tier.TRIAL if use.standing.share > 0 else None
    if state is standings.State.RANKED_LAST:
        return Tier.LAST
    cold = state is standings.State.COLD
    if cold and use.standing.share <= 0:
        return None
    if use.rank == 0:
        return Tier.LEAD
    if cold:
        return Tier.LAST
    return Tier.SECOND if use.rank == 1 else Tier.OTHER
