"""Selection of instances that need a request regardless of their chance.

The choice by expected cost prefers the few instances that answered last. An
instance that no VM has tried would stay unknown, and while part of the
requests fail, using too few instances may be the cause. So the operator
sets a floor: a minimum share of the apparently healthy instances that must
stay in use. Times are in seconds.
"""

import math
import typing

from primrosemill.decisions import belief as beliefs
from primrosemill.decisions import instance_usage

# Share of the apparently healthy instances in use while the service is
# degraded.
FLOOR_SHARE = 0.7
# An instance is exempt from the floor for this long after a failure; the
# operator counts an instance that failed on its own as healthy after that.
FAILURE_EXEMPTION = 2.0  # seconds
# The operator measures the floor in windows of 2 s, so an instance in use
# must get requests more often than that.
MAX_IDLE_TIME = 1.2  # seconds
OUTCOME_DECAY_TIME = 1.5  # seconds in which an outcome's weight falls to 1/e
# The floor applies above this share of lost requests; the operator measures
# it from a tenth on.
MIN_LOST_SHARE = 0.05
MIN_LOST_REQUESTS = 2.0  # fewer don't indicate a degraded service
# Below this chance an instance is in a spell of errors or unreachable from
# this VM. The floor doesn't count it, and a request there would be wasted.
MIN_CHANCE = 0.5


class Coverage:
    """Tracks the share of lost requests and enforces the floor."""

    def __init__(self, floor_share: float = FLOOR_SHARE) -> None:
        self._floor_share = floor_share
        self._served = 0.0
        self._lost = 0.0
        self._decayed_at = -math.inf

    def record(self, served: bool, now: float) -> None:
        """Record whether an attempt was answered."""
        self._decay(now)
        if served:
            self._served += 1.0
        else:
            self._lost += 1.0

    def is_degraded(self, now: float) -> bool:
        """Return whether more requests are lost than by sporadic errors."""
        self._decay(now)
        total = self._served + self._lost
        return (
            self._lost >= MIN_LOST_REQUESTS
            and self._lost > MIN_LOST_SHARE * total
        )

    def next_due(
        self,
        local: typing.Sequence[instance_usage.InstanceUsage],
        belief: beliefs.Belief,
        now: float,
    ) -> str | None:
        """Return the instance that should get the next request, if any.

        ``local`` are the instances of the VM's own domain. Each VM covers
        only those that it leads.
        """
        degraded = self.is_degraded(now)
        idle_ids: list[str] = []
        used_count = 0
        for usage in local:
            instance_id = usage.instance.id
            if (
                usage.led_elsewhere
                or usage.leaving
                or now < usage.paused_until
            ):
                continue
            last_used_at = belief.last_used_at(instance_id)
            if last_used_at == -math.inf and not usage.tried:
                if now >= usage.cold_until:
                    return instance_id
                continue
            if not degraded or self._is_exempt(instance_id, belief, now):
                continue
            if usage.start_times or now - last_used_at < MAX_IDLE_TIME:
                used_count += 1
            else:
                idle_ids.append(instance_id)
        if used_count >= math.ceil(
            self._floor_share * (used_count + len(idle_ids))
        ):
            return None
        return max(idle_ids, key=lambda idle_id: belief.chance(idle_id, now))

    def _is_exempt(
        self, instance_id: str, belief: beliefs.Belief, now: float
    ) -> bool:
        """Return whether the floor doesn't count an instance."""
        if now - belief.last_failed_at(instance_id) < FAILURE_EXEMPTION:
            return True
        return belief.chance(instance_id, now) < MIN_CHANCE

    def _decay(self, now: float) -> None:
        decay = math.exp((self._decayed_at - now) / OUTCOME_DECAY_TIME)
        self._served *= decay
        self._lost *= decay
        self._decayed_at = now
