"""Says which instances should get a request, whatever their chance.

The choice by expected value keeps to the few instances that answered last.
An instance that nobody has tried is unknown for ever then, and where part of
the requests fail, keeping to few of them may be the cause: the operator's
floor asks that a share of the instances that are well by all that is known
stays in use. Times are in seconds.
"""

import math
import typing

from primrosemill.decisions import belief as beliefs
from primrosemill.decisions import holdings

FLOOR_SHARE = 0.7  # of the instances that stay in use in trouble
# An instance that failed is left out of the floor for so long; the operator
# takes one that failed by itself for sound again then.
FAILURE_AGE = 2.0  # seconds
# The floor is judged over spans of 2 s, so that an instance in use gets a
# request more often than that.
USED_WITHIN = 1.2  # seconds
OUTCOME_FADE = 1.5  # seconds in which the weight of an outcome falls by e
# From this share of requests without an answer on, the floor is kept up; the
# operator's measure begins at a tenth.
TROUBLE_SHARE = 0.05
LEAST_LOST = 2.0  # requests; fewer are no sign of trouble
# Below this chance an instance is in a spell or out of this VM's reach; it is
# none that the floor counts, and a request there helps nobody.
LEAST_CHANCE = 0.5


class Coverage:
    """Keeps the share of lost requests, and says who is due one."""

    def __init__(self, floor_share: float = FLOOR_SHARE) -> None:
        self._floor_share = floor_share
        self._served = 0.0
        self._lost = 0.0
        self._noted = -math.inf

    def note(self, served: bool, now: float) -> None:
        """Count how an attempt ended."""
        self._fade(now)
        if served:
            self._served += 1.0
        else:
            self._lost += 1.0

    def in_trouble(self, now: float) -> bool:
        """Tell whether more is lost than ordinary errors explain."""
        self._fade(now)
        total = self._served + self._lost
        return self._lost >= LEAST_LOST and self._lost > TROUBLE_SHARE * total

    def due(
        self,
        local: typing.Sequence[holdings.Holding],
        belief: beliefs.Belief,
        now: float,
    ) -> str | None:
        """Return the instance that should get the next request, if any.

        ``local`` are the instances of the own domain; a VM cares for those
        that it leads.
        """
        trouble = self.in_trouble(now)
        unused: list[str] = []
        used = 0
        for each in local:
            instance_id = each.instance.id
            if each.other_lead or each.leaving or now < each.paused_until:
                continue
            heard_at = belief.heard_at(instance_id)
            if heard_at == -math.inf and not each.tried:
                if now >= each.cold_until:
                    return instance_id
                continue
            if not trouble or self._is_left_out(instance_id, belief, now):
                continue
            if each.starts or now - heard_at < USED_WITHIN:
                used += 1
            else:
                unused.append(instance_id)
        if used >= math.ceil(self._floor_share * (used + len(unused))):
            return None
        return max(unused, key=lambda each: belief.chance(each, now))

    def _is_left_out(
        self, instance_id: str, belief: beliefs.Belief, now: float
    ) -> bool:
        """Tell whether an instance need not be in use."""
        if now - belief.failed_at(instance_id) < FAILURE_AGE:
            return True
        return belief.chance(instance_id, now) < LEAST_CHANCE

    def _fade(self, now: float) -> None:
        kept = math.exp((self._noted - now) / OUTCOME_FADE)
        self._served *= kept
        self._lost *= kept
        self._noted = now
