"""Selection of instances that need a request regardless of their chance.

The choice by expected cost prefers the few instances that answered last. An
instance that no VM has tried would stay unknown, and while part of the
requests fail, using too few instances may be the cause. So the operator
sets a floor: a minimum share of the apparently healthy instances that must
stay in use while the service is degraded (:mod:`.service_losses`). Times are
in seconds.
"""

import math
import random
import typing

from primrosemill.decisions import belief as beliefs
from primrosemill.decisions import instance_usage
from primrosemill.decisions import service_losses

# Share of the apparently healthy instances in use while the service is
# degraded.
FLOOR_SHARE = 0.7
# An instance is exempt from the floor for this long after a failure; the
# operator counts an instance that failed on its own as healthy after that.
FAILURE_EXEMPTION = 2.0  # seconds
# The operator measures the floor in windows of 2 s, so an instance in use
# must get requests more often than that.
MAX_IDLE_TIME = 1.4  # seconds
# The lead of an instance covers it first. If it does not, because it restarts,
# is busy or has no callers, any other entry point of the domain does.
LEAD_HEAD_START = 0.2  # seconds
# Below this chance a request at an instance will probably fail. One that must
# not be repeated is spent on it only if no other has come in this time.
MIN_CHANCE = 0.5
REPEATABLE_HEAD_START = 0.3  # seconds
# Shortest time between two reports, by any VM, that an instance is in use.
START_REPEAT_INTERVAL = 0.5  # seconds
# Below this chance the path to an instance is probably still cut; one failure
# counts for some 5 s.
MIN_PATH_CHANCE = 0.75
# VMs that choose at the same time, before they hear of each other's starts,
# choose at random between instances whose chances differ by less than this.
SPREAD = 0.05


class Coverage:
    """Enforces the floor for the instances of one VM's failure domain.

    A VM that peers don't tell of their requests (``hears_peers``) doesn't know
    which instances are idle, so it covers none.
    """

    def __init__(
        self,
        floor_share: float = FLOOR_SHARE,
        generator: random.Random | None = None,
    ) -> None:
        self._floor_share = floor_share
        self._generator = generator or random.Random()
        self.hears_peers = True
        self.losses = service_losses.ServiceLosses()
        self._started_at_by_id: dict[str, float] = {}
        self._told_at_by_id: dict[str, float] = {}

    def record_start(self, instance_id: str, at: float) -> None:
        """Record that this VM sent a request to an instance."""
        known_at = self._started_at_by_id.get(instance_id, -math.inf)
        self._started_at_by_id[instance_id] = max(known_at, at)

    def record_peer_start(self, instance_id: str, at: float) -> None:
        """Record that a peer told of a request that it sent."""
        self.record_start(instance_id, at)
        self._told_at_by_id[instance_id] = at

    def take_start_report(
        self, instance_id: str, belief: beliefs.Belief, now: float
    ) -> bool:
        """Return whether peers are to be told of a request sent now.

        They are told while the service may be failing, as they choose among
        the idle instances then, and unless they have just heard of a use, as
        they do of answers.
        """
        known_at = max(
            self._told_at_by_id.get(instance_id, -math.inf),
            belief.last_used_at(instance_id),
        )
        if now - known_at < START_REPEAT_INTERVAL:
            return False
        if not self.losses.may_be_failing(now):
            return False
        self._told_at_by_id[instance_id] = now
        return True

    def retain(self, instance_ids: typing.Container[str]) -> None:
        """Drop what is known of all other instances."""
        for times_by_id in (self._started_at_by_id, self._told_at_by_id):
            for instance_id in list(times_by_id):
                if instance_id not in instance_ids:
                    del times_by_id[instance_id]

    def last_used_at(self, instance_id: str, belief: beliefs.Belief) -> float:
        """Return when any VM is known to have last used an instance."""
        return max(
            belief.last_used_at(instance_id),
            self._started_at_by_id.get(instance_id, -math.inf),
        )

    def next_due(
        self,
        local: typing.Sequence[instance_usage.InstanceUsage],
        belief: beliefs.Belief,
        now: float,
        idempotent: bool = True,
    ) -> str | None:
        """Return the instance that should get the next request, if any.

        ``local`` are the instances of the VM's own domain, and ``idempotent``
        tells whether the request may be repeated. One that may takes part
        earlier, as the signs are often wrong at first, and a failure costs it
        little.
        """
        untried_id = self._find_untried(local, belief, now)
        if untried_id is not None:
            return untried_id
        if not self.hears_peers:
            return None
        if not self.losses.may_be_failing(now):
            return None
        if not idempotent and not self.losses.is_failing(now):
            return None
        counted = [
            usage
            for usage in local
            if not usage.leaving
            and now >= usage.paused_until
            and not _is_exempt(usage.instance.id, belief, now)
        ]
        idle_time_by_id = {
            usage.instance.id: now
            - self.last_used_at(usage.instance.id, belief)
            for usage in counted
        }
        idle = [
            usage
            for usage in counted
            if idle_time_by_id[usage.instance.id] >= MAX_IDLE_TIME
        ]
        used_count = len(counted) - len(idle)
        if used_count >= math.ceil(self._floor_share * len(counted)):
            return None
        due_ids = [
            usage.instance.id
            for usage in idle
            if idle_time_by_id[usage.instance.id]
            >= _allowed_idle_time(usage, belief, now, idempotent)
        ]
        return max(
            due_ids,
            key=lambda due_id: (
                belief.chance(due_id, now) + SPREAD * self._generator.random()
            ),
            default=None,
        )

    def _find_untried(
        self,
        local: typing.Sequence[instance_usage.InstanceUsage],
        belief: beliefs.Belief,
        now: float,
    ) -> str | None:
        """Return a led instance that no VM has tried yet and that is warm."""
        for usage in local:
            if usage.led_elsewhere or usage.tried or usage.leaving:
                continue
            if now < usage.paused_until or now < usage.cold_until:
                continue
            if self.last_used_at(usage.instance.id, belief) == -math.inf:
                return usage.instance.id
        return None


def _allowed_idle_time(
    usage: instance_usage.InstanceUsage,
    belief: beliefs.Belief,
    now: float,
    idempotent: bool,
) -> float:
    """Return after how long without use a request of this VM is due."""
    allowed = MAX_IDLE_TIME
    if usage.led_elsewhere:
        allowed += LEAD_HEAD_START
    unlikely = belief.chance(usage.instance.id, now) < MIN_CHANCE
    if unlikely and not idempotent:
        allowed += REPEATABLE_HEAD_START
    return allowed


def _is_exempt(instance_id: str, belief: beliefs.Belief, now: float) -> bool:
    """Return whether the floor doesn't count an instance.

    The operator counts one that failed by itself as healthy soon after. One
    that this VM cannot reach may be reached by others.
    """
    if now - belief.last_failed_at(instance_id) < FAILURE_EXEMPTION:
        return True
    return belief.path_chance(instance_id, now) < MIN_PATH_CHANCE
