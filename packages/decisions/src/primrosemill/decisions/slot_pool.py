"""Chooses the instance that gets the next attempt of one service.

The home VMs of a service, the few entry VMs assigned to it, divide its
instances among them: each instance has one lead, the VM with first claim to
its slots. A VM uses the instances that it leads first, the least loaded one
before others. When those are full it spills to instances led by other VMs,
which shed the request if they have no slot free. Sheds are limited by a
backoff for each instance and by a budget for the service. Every step takes
constant or logarithmic time in the number of instances.
"""

import enum
import heapq
import math
import random
import typing

from primrosemill.configuration import document as documents
from primrosemill.decisions import buckets
from primrosemill.decisions import standings

SHED_BUDGET_PER_ANSWER = 0.2  # sheds that each answered attempt permits
SHED_BUDGET_LIMIT = 10.0  # sheds
# Seconds between spills while the shed budget is used up, for a VM that leads
# usable instances of the service and for one that leads none usable.
SPILL_PAUSE_WITH_LED = 0.1
SPILL_PAUSE_WITHOUT_LED = 0.005
# The mean hold time before the first answer.
INITIAL_MEAN_HOLD_TIME = 0.01  # seconds
HOLD_TIME_WEIGHT = 0.05  # of the latest attempt in the moving average
MAX_BACKOFF = 1.0  # seconds
TRIAL_INTERVAL = 0.25  # seconds between two trial requests
MAX_BACKOFF_DOUBLINGS = 6
# Multiple of the mean hold time that a request waits for a led instance.
OWN_SLOT_WAIT_FACTOR = 0.6


class Tier(enum.IntEnum):
    """The order in which instances are considered for an attempt."""

    TRIAL = 0
    LEAD = 1  # This VM leads the instance.
    SECOND = 2  # This VM ranks second, after the lead.
    OTHER = 3
    LAST = 4  # Used if nothing else is left.


SPILL_TIERS = (Tier.SECOND, Tier.OTHER)
UNUSABLE_STATES = frozenset(
    {
        standings.State.AVOIDED,
        standings.State.EJECTED,
        standings.State.DRAINING,
    }
)


class SlotOutcome(enum.Enum):
    """How an attempt ended, as far as it matters for slots."""

    ANSWERED = "answered"
    SHED = "shed"
    FAILED = "failed"


class _InstanceUsage:
    """Usage of one instance by this VM.

    ``busy`` is the number of slots that this VM holds, ``rank`` this VM's
    rank at the instance, and ``level`` the bucket that it is in, if any.
    ``paused_until`` is 0 without a pause.
    """

    __slots__ = (
        "busy",
        "paused_until",
        "instance",
        "level",
        "slot_limit",
        "rank",
        "consecutive_sheds",
        "standing",
        "tier",
    )

    def __init__(self, instance: documents.Instance) -> None:
        self.instance = instance
        self.standing = standings.HEALTHY
        self.rank = 0
        self.busy = 0
        self.consecutive_sheds = 0
        self.paused_until = 0.0
        self.slot_limit = 0
        self.tier: Tier | None = None
        self.level: int | None = None


class SlotPool:
    """Grants the slots of one service to the attempts of this VM."""

    def __init__(
        self, service: documents.Service, generator: random.Random
    ) -> None:
        self._service = service
        self._generator = generator
        self._usages_by_id: dict[str, _InstanceUsage] = {}
        self._levels_by_tier = {tier: buckets.Levels() for tier in Tier}
        self._pauses: list[tuple[float, str]] = []
        self._mean_hold_time = INITIAL_MEAN_HOLD_TIME
        self._shed_budget = SHED_BUDGET_LIMIT
        self._next_spill = 0.0
        self._last_answer = 0.0
        self._last_start = 0.0
        self._led_count = 0
        self._busy = 0
        self.set_service(service)

    @property
    def busy(self) -> int:
        """Return the number of attempts in flight from this VM."""
        return self._busy

    @property
    def mean_hold_time(self) -> float:
        """Return the moving average duration of answered attempts, in s."""
        return self._mean_hold_time

    def drain_rate(self, now: float) -> float | None:
        """Return the rate at which slots become free, in requests a second.

        By Little's law it is the number of slots that this VM uses divided by
        the mean hold time. If no attempt has started or been answered for
        longer than that, the time since then is used instead, which shows a
        stall before any attempt ends. None means that no slot is in use.
        """
        if not self._busy:
            return None
        idle_time = now - max(self._last_answer, self._last_start)
        return self._busy / max(self._mean_hold_time, idle_time)

    def set_service(self, service: documents.Service) -> None:
        """Apply a new revision; counts of remaining instances are kept."""
        self._service = service
        instances_by_id = {each.id: each for each in service.instances}
        for instance_id in list(self._usages_by_id):
            if instance_id not in instances_by_id:
                self._drop(instance_id)
        for instance_id, instance in instances_by_id.items():
            usage = self._usages_by_id.get(instance_id)
            if usage is None:
                usage = self._usages_by_id[instance_id] = _InstanceUsage(
                    instance
                )
            usage.instance = instance
            self._update_bucket(usage)

    def set_standing(
        self, instance_id: str, standing: standings.Standing
    ) -> None:
        """Set the standing of an instance; unknown ids are ignored."""
        usage = self._usages_by_id.get(instance_id)
        if usage is None or usage.standing == standing:
            return
        usage.standing = standing
        self._update_bucket(usage)

    def is_staying(self, instance_id: str, boot: int) -> bool:
        """Return whether this boot of an instance is known and stays."""
        usage = self._usages_by_id.get(instance_id)
        if usage is None or usage.instance.boot != boot:
            return False
        if usage.standing.state is standings.State.DRAINING:
            return False
        return not usage.instance.leaving

    def set_ranks(self, rank_by_id: dict[str, int]) -> None:
        """Set this VM's rank at each instance; 0 is the lead."""
        for instance_id, usage in self._usages_by_id.items():
            usage.rank = rank_by_id.get(instance_id, len(Tier))
            self._update_bucket(usage)

    def acquire(
        self,
        now: float,
        excluded_ids: typing.Container[str] = (),
        idempotent: bool = True,
        waiting: int = 0,
    ) -> documents.Instance | None:
        """Take a slot of the best instance, or return None without one.

        ``excluded_ids`` holds the instances that this request has already
        tried, ``waiting`` is the number of requests queued behind it.
        """
        self._end_pauses(now)
        may_spill = now >= self._next_spill_time(now, waiting)
        instance_id = self._pick(may_spill, excluded_ids, idempotent)
        if instance_id is None:
            return None
        usage = self._usages_by_id[instance_id]
        if usage.tier in SPILL_TIERS:
            self._next_spill = now + self._spill_pause()
        return self._occupy_slot(usage, now)

    def acquire_instance(
        self, now: float, instance_id: str
    ) -> documents.Instance | None:
        """Take a slot of a given instance, in rotation or not, for a trial.

        None means that the instance has no slot left or is leaving.
        """
        usage = self._usages_by_id.get(instance_id)
        if usage is None or usage.instance.leaving:
            return None
        if usage.standing.state is standings.State.DRAINING:
            return None
        if usage.busy >= self._service.slots:
            return None
        return self._occupy_slot(usage, now)

    def _occupy_slot(
        self, usage: _InstanceUsage, now: float
    ) -> documents.Instance:
        if not self._busy:
            self._last_answer = now
        self._last_start = now
        self._busy += 1
        usage.busy += 1
        self._update_bucket(usage)
        return usage.instance

    def release(
        self,
        now: float,
        instance_id: str,
        hold_time: float,
        outcome: SlotOutcome,
    ) -> None:
        """Release a slot that was held for ``hold_time`` seconds.

        The instance may have been removed from the service meanwhile.
        """
        self._busy -= 1
        if outcome is SlotOutcome.ANSWERED:
            self._last_answer = now
            self._mean_hold_time += HOLD_TIME_WEIGHT * (
                hold_time - self._mean_hold_time
            )
            self._shed_budget = min(
                SHED_BUDGET_LIMIT, self._shed_budget + SHED_BUDGET_PER_ANSWER
            )
        usage = self._usages_by_id.get(instance_id)
        if outcome is SlotOutcome.SHED:
            self._shed_budget = max(0.0, self._shed_budget - 1)
        if usage is None:
            return
        usage.busy = max(0, usage.busy - 1)
        self._pause(usage, now, hold_time, outcome)
        self._update_bucket(usage)

    def next_acquire_time(self, now: float, waiting: int = 0) -> float | None:
        """Return when :meth:`acquire` may succeed without a release."""
        self._end_pauses(now)
        times = []
        if self._pauses:
            times.append(self._pauses[0][0])
        if self._can_spill():
            times.append(self._next_spill_time(now, waiting))
        return min(times, default=None)

    def _can_spill(self) -> bool:
        return any(self._levels_by_tier[tier] for tier in SPILL_TIERS)

    def _next_spill_time(self, now: float, waiting: int) -> float:
        """Return from when on a request may spill to other leads' instances.

        A request waits as long as a slot of a led instance is expected within
        ``OWN_SLOT_WAIT_FACTOR`` times the mean hold time. If the led
        instances stop answering, the time since the last answer replaces the
        hold time in the expectation.
        """
        earliest = now
        if self._shed_budget < 1:
            earliest = max(now, self._next_spill)
        if not self._led_count:
            return earliest
        slots = self._led_count * self._service.slots
        if waiting + 1 > OWN_SLOT_WAIT_FACTOR * slots:
            return earliest
        max_wait = (
            OWN_SLOT_WAIT_FACTOR * self._mean_hold_time * slots / (waiting + 1)
        )
        return max(earliest, self._last_answer + max_wait)

    def _pick(
        self,
        may_spill: bool,
        excluded_ids: typing.Container[str],
        idempotent: bool,
    ) -> str | None:
        tiers = [Tier.LEAD]
        if idempotent:
            tiers.insert(0, Tier.TRIAL)
        if may_spill:
            tiers += SPILL_TIERS
        if may_spill or not self._can_spill():
            tiers.append(Tier.LAST)
        return self._pick_from(tiers, excluded_ids)

    def _pick_from(
        self, tiers: list[Tier], excluded_ids: typing.Container[str]
    ) -> str | None:
        for tier in tiers:
            instance_id = self._levels_by_tier[tier].pick(
                excluded_ids, self._generator
            )
            if instance_id is not None:
                return instance_id
        return None

    def _spill_pause(self) -> float:
        return (
            SPILL_PAUSE_WITH_LED
            if self._led_count
            else SPILL_PAUSE_WITHOUT_LED
        )

    def _pause(
        self,
        usage: _InstanceUsage,
        now: float,
        hold_time: float,
        outcome: SlotOutcome,
    ) -> None:
        """Pause an instance after a shed, or to keep to its share of slots."""
        pause = 0.0
        if outcome is SlotOutcome.SHED:
            pause = self._backoff(usage)
        elif outcome is SlotOutcome.ANSWERED:
            usage.consecutive_sheds = 0
            # The answer freed a slot, so an earlier shed doesn't matter.
            usage.paused_until = 0.0
        pause = max(pause, self._share_pause(usage, hold_time))
        if pause <= 0:
            return
        usage.paused_until = now + pause
        heapq.heappush(self._pauses, (usage.paused_until, usage.instance.id))

    def _backoff(self, usage: _InstanceUsage) -> float:
        """Return the pause after a shed, in seconds.

        With all slots busy one becomes free after the mean hold time divided
        by the number of slots. Repeated sheds double the pause. Jitter
        spreads the retries of VMs that were shed at the same time.
        """
        slot_interval = self._mean_hold_time / self._service.slots
        pause = slot_interval * 2 ** min(
            usage.consecutive_sheds, MAX_BACKOFF_DOUBLINGS
        )
        usage.consecutive_sheds += 1
        jitter = 0.5 + self._generator.random()
        return min(MAX_BACKOFF, pause * jitter)

    def _share_pause(self, usage: _InstanceUsage, hold_time: float) -> float:
        """Return the pause that limits an instance to its share, in seconds.

        An instance with a share of 0.1 of 3 slots may use 0.3 of one slot,
        so it is paused for 2.3 times as long as the slot was held.
        """
        if usage.standing.state not in (
            standings.State.COLD,
            standings.State.TRIAL,
        ):
            return 0.0
        fraction = (
            usage.standing.share
            * self._service.slots
            / max(1, usage.slot_limit)
        )
        pause = 0.0
        if 0 < fraction < 1:
            pause = hold_time * (1 / fraction - 1)
        if usage.standing.state is standings.State.TRIAL:
            pause = max(pause, TRIAL_INTERVAL)
        return min(MAX_BACKOFF, pause)

    def _end_pauses(self, now: float) -> None:
        """Make the instances available whose pause is over."""
        while self._pauses and self._pauses[0][0] <= now:
            ends_at, instance_id = heapq.heappop(self._pauses)
            usage = self._usages_by_id.get(instance_id)
            if usage is None or usage.paused_until != ends_at:
                continue
            usage.paused_until = 0.0
            self._update_bucket(usage)

    def _update_bucket(self, usage: _InstanceUsage) -> None:
        """Move an instance to the bucket for its tier and its load."""
        instance_id = usage.instance.id
        if usage.level is not None:
            self._levels_by_tier[usage.tier].remove(instance_id, usage.level)
            usage.level = None
        self._led_count -= usage.tier is Tier.LEAD
        usage.tier = _tier_of(usage)
        self._led_count += usage.tier is Tier.LEAD
        if usage.tier is None:
            return
        usage.slot_limit = self._slot_limit(usage)
        if usage.busy >= usage.slot_limit or usage.paused_until:
            return
        usage.level = usage.busy
        self._levels_by_tier[usage.tier].add(instance_id, usage.level)

    def _slot_limit(self, usage: _InstanceUsage) -> int:
        if usage.standing.state is standings.State.TRIAL:
            return 1
        if usage.standing.state is standings.State.COLD:
            return max(
                1, math.ceil(self._service.slots * usage.standing.share)
            )
        return self._service.slots

    def _drop(self, instance_id: str) -> None:
        usage = self._usages_by_id.pop(instance_id)
        if usage.level is not None:
            self._levels_by_tier[usage.tier].remove(instance_id, usage.level)
        self._led_count -= usage.tier is Tier.LEAD


def _tier_of(usage: _InstanceUsage) -> Tier | None:
    """Return the tier of an instance, or None if it gets no attempts."""
    state = usage.standing.state
    if usage.instance.leaving or state in UNUSABLE_STATES:
        return None
    if state is standings.State.TRIAL:
        # Without a share it gets trial requests by acquire_instance() only.
        return Tier.TRIAL if usage.standing.share > 0 else None
    if state is standings.State.RANKED_LAST:
        return Tier.LAST
    cold = state is standings.State.COLD
    if cold and usage.standing.share <= 0:
        return None
    if usage.rank == 0:
        return Tier.LEAD
    if cold:
        return Tier.LAST
    return Tier.SECOND if usage.rank == 1 else Tier.OTHER
