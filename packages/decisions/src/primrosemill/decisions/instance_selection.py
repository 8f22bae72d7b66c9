"""Choice of the instance that gets the next request of one service.

Instances with a free slot are candidates. The request goes to the candidate
with the lowest expected cost: the cost of a failure times its probability,
plus the costs of crossing to another failure domain, of using an instance
that another VM leads, and of a nearly full instance. The lead of an instance
is the one VM of the fleet that fills its slots first (:mod:`.leads`). Waiting
for a better instance is one of the options. See docs/design/balancing.md.
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
from primrosemill.decisions import instance_limits
from primrosemill.decisions import instance_usage
from primrosemill.decisions import request_losses
from primrosemill.decisions import response_times

from primrosemill.decisions.room import open_domains

# Mean time without requests after an instance shed because it was full; the
# actual time is randomized by half of it. An instance that rejects requests
# though a slot is free is not paused: that would take its slots away.
SHED_PAUSE = 0.1  # seconds
# Below this chance of a rejection an instance counts as not rejecting.
MIN_REJECTION_CHANCE = 0.1
COLD_PENALTY = 1.0  # requests added to the load of a cold instance
# An instance is stalled once it has held a request for this multiple of the
# mean response time.
STALL_FACTOR = 4.0
MIN_STALL_TIME = 0.4  # seconds; shorter delays are common on a busy network
PEER_LOAD_WEIGHT = 0.05  # of the latest report in the mean load of peers
# A local instance that no VM of the domain has reported on for this long
# holds no requests of peers: instances in use are reported every 0.4 s, and
# answers take up to some seconds.
IDLE_AFTER = 2.0  # seconds
# Factor on the chance of success at a stalled instance. It is not 0, as the
# instance may only be slow; that is decided at the request's deadline.
STALLED_CHANCE_FACTOR = 0.2

# Costs are in lost requests: 1 is a request that finally fails.
# Traffic between domains is billed and uses the links between them. This is
# the default of the setting.
CROSSING_COST = 0.15
# Multiple of that cost for a route with large answers: they are some tens of
# times as large as others, and a price per byte takes about half their worth.
LARGE_ANSWER_FACTOR = 3.0
# The VM that leads the instance knows its load better.
BORROWING_COST = 0.02
# Cost at an instance whose slots are all taken. It grows with the square of
# the load, as instances slow down and shed when they are nearly full.
FULL_COST = 0.05
# Worth of a request that may be repeated to an instance that has been idle for
# IDLE_AFTER: it shows whether the instance is healthy, and keeps it in use.
IDLE_VALUE = 0.03
# A random draw decides between values closer than this.
TIE_MARGIN = 0.002  # lost requests


class Criteria(typing.NamedTuple):
    """Constraints and costs for choosing an instance for a request.

    ``excluded_ids`` are the instances that were already tried;
    ``allowed_ids`` are those that the request may be sent to, or None for all.
    ``local`` restricts it to the VM's own failure domain, because its body
    is large. ``wait_cost`` is the cost of a short wait for a better instance
    and ``repeat_cost`` that of another attempt, both in lost requests.
    ``crossing_factor`` multiplies the cost of crossing to another domain.
    ``last_resort`` is set if the request will otherwise be refused. An answer
    that takes longer than ``overdue_after`` seconds is overdue.
    """

    idempotent: bool
    excluded_ids: frozenset[str] = frozenset()
    allowed_ids: frozenset[str] | None = None
    local: bool = False
    wait_cost: float = math.inf
    repeat_cost: float = dispatch.REPEAT_COST
    crossing_factor: float = 1.0
    last_resort: bool = False
    overdue_after: float = math.inf

    @property
    def may_retry(self) -> bool:
        """Return whether a failure of the next attempt may be retried.

        A request that has failed before may be on its last attempt.
        """
        return (
            self.idempotent
            and not self.excluded_ids
            and self.allowed_ids is None
        )

    @property
    def failure_cost(self) -> float:
        """Return the cost of a failure of the next attempt."""
        return self.repeat_cost if self.may_retry else 1.0


class Crossing(enum.StrEnum):
    """Why a request is sent to an instance of another failure domain."""

    NONE_LOCAL = "none_local"  # All instances of the own domain are leaving.
    SUSPECT = "suspect"  # The own domain has no trusted instance.
    FULL = "full"  # Its trusted instances were full or already tried.


class Block(typing.NamedTuple):
    """The end of the pauses and limits that rule out all instances.

    ``by_limit`` is set if the instance that is free first has a limit.
    """

    end: float
    by_limit: bool


class _Choice(typing.NamedTuple):
    """The best instance found so far and its value, a negative cost."""

    usage: instance_usage.InstanceUsage | None
    value: float


_NO_CHOICE = _Choice(None, -math.inf)


class InstanceSelector:
    """Chooses among the instances of one service for one VM.

    ``domain`` is the VM's own failure domain.
    """

    def __init__(
        self,
        domain: str,
        generator: random.Random,
        floor_share: float = coverage.FLOOR_SHARE,
        crossing_cost: float = CROSSING_COST,
        shares: instance_limits.Shares | None = None,
    ) -> None:
        self.belief = beliefs.Belief()
        self.coverage = coverage.Coverage(floor_share, generator)
        self.announcements = announcements.Announcements()
        self.limits = instance_limits.InstanceLimits(shares)
        self._crossing_cost = crossing_cost
        self.mean_response_time = response_times.INITIAL_ESTIMATE
        self._domain = domain
        self._generator = generator
        self._usages_by_id: dict[str, instance_usage.InstanceUsage] = {}
        # Subsets, so that a choice need not scan all instances: those of the
        # own domain, those of others, and those with requests of this VM.
        self._local: list[instance_usage.InstanceUsage] = []
        self._remote: list[instance_usage.InstanceUsage] = []
        self._busy_by_id: dict[str, instance_usage.InstanceUsage] = {}
        self._led_ids: frozenset[str] = frozenset()
        self._mean_peer_load = 0.0
        # The other domains that have room, while some domain is short; None
        # while none is known to be.
        self.open_domains: open_domains.OpenDomains | None = None

    @property
    def in_flight(self) -> int:
        """Return the number of this VM's requests in flight."""
        return sum(
            len(usage.held_slots) for usage in self._busy_by_id.values()
        )

    def instance(self, instance_id: str) -> documents.Instance | None:
        """Return a known instance, or None."""
        usage = self._usages_by_id.get(instance_id)
        return None if usage is None else usage.instance

    def find(self, instance_id: str, boot: int) -> documents.Instance | None:
        """Return an instance if this boot of it is known, or None."""
        instance = self.instance(instance_id)
        if instance is None or instance.boot != boot:
            return None
        return instance

    def is_staying(self, instance_id: str, boot: int) -> bool:
        """Return whether this boot of an instance is known and stays."""
        usage = self._usages_by_id.get(instance_id)
        if usage is None or usage.instance.boot != boot:
            return False
        return not usage.leaving

    def in_flight_at(self, instance_id: str) -> int:
        """Return the number of this VM's requests in flight at an instance."""
        usage = self._usages_by_id.get(instance_id)
        return 0 if usage is None else len(usage.held_slots)

    def has_trusted_local(self, now: float) -> bool:
        """Return whether the own domain has a trusted instance that stays."""
        for usage in self._local:
            if usage.leaving or self._is_over_limit(usage, now):
                continue
            trust = self.belief.trust(usage.instance.id, now)
            if trust is beliefs.Trust.TRUSTED:
                return True
        return False

    def set_instances(
        self, instances: typing.Iterable[documents.Instance], now: float
    ) -> None:
        """Replace the set of known instances.

        An instance whose boot number changed starts without history.
        """
        previous_by_id = self._usages_by_id
        self._usages_by_id = {}
        for instance in instances:
            usage = previous_by_id.get(instance.id)
            if usage is None or usage.instance.boot != instance.boot:
                usage = instance_usage.InstanceUsage(instance, now)
                self.belief.forget(instance.id)
            usage.instance = instance
            usage.leaving = self.announcements.is_leaving(instance)
            pause_end = self.announcements.pause_end(instance)
            usage.paused_until = max(usage.paused_until, pause_end)
            usage.capacity = instance.slots + instance_usage.NEGLIGIBLE_LOAD
            usage.remote = instance.domain != self._domain
            usage.led_elsewhere = instance.id not in self._led_ids
            self._usages_by_id[instance.id] = usage
        usages = list(self._usages_by_id.values())
        self._local = [usage for usage in usages if not usage.remote]
        self._remote = [usage for usage in usages if usage.remote]
        self._busy_by_id = {
            usage.instance.id: usage for usage in usages if usage.held_slots
        }
        self.belief.retain(self._usages_by_id)
        self.coverage.retain(self._usages_by_id)
        self.announcements.prune([usage.instance for usage in usages], now)

    def set_led_ids(self, led_ids: frozenset[str]) -> None:
        """Set the ids of the instances that this VM leads."""
        if led_ids == self._led_ids:
            return
        self._led_ids = led_ids
        for instance_id, usage in self._usages_by_id.items():
            usage.led_elsewhere = instance_id not in led_ids

    def _open_local(self, now: float) -> list[instance_usage.InstanceUsage]:
        """Return the local instances that no limit rules out now.

        A limited instance counts as led by the VMs with a part of the limit:
        nobody else sends to it, whether or not it leads it otherwise.
        """
        if not self.limits.any_named:
            return self._local
        usages = []
        for usage in self._local:
            instance = usage.instance
            allowance = self.limits.allowance(instance, now)
            if allowance is None:
                usage.led_elsewhere = instance.id not in self._led_ids
            else:
                usage.led_elsewhere = not allowance.own_rate
            if allowance is None or allowance.next_send_at <= now:
                usages.append(usage)
        return usages

    def _open_remote(
        self, criteria: Criteria, now: float
    ) -> list[instance_usage.InstanceUsage]:
        """Return the instances of the other domains that have room."""
        allowed = self.open_domains
        if allowed is None or now >= allowed.expires_at:
            return self._remote
        domains = allowed.domains
        if criteria.last_resort:
            domains = allowed.with_room
        return [
            usage for usage in self._remote if usage.instance.domain in domains
        ]

    def in_flight_by_domain(self) -> dict[str, int]:
        """Return this VM's requests in flight by failure domain."""
        in_flight_by_domain: dict[str, int] = {}
        for usage in self._busy_by_id.values():
            domain = usage.instance.domain
            count = in_flight_by_domain.get(domain, 0)
            in_flight_by_domain[domain] = count + len(usage.held_slots)
        return in_flight_by_domain

    def slots_by_domain(self) -> dict[str, int]:
        """Return the slots of the instances that stay, by failure domain."""
        slots_by_domain: dict[str, int] = {}
        for usage in self._usages_by_id.values():
            if usage.leaving:
                continue
            domain = usage.instance.domain
            slots = slots_by_domain.get(domain, 0) + usage.instance.slots
            slots_by_domain[domain] = slots
        return slots_by_domain

    def has_room_at_home(self, now: float) -> bool:
        """Return whether an instance of the own domain may take a request."""
        for usage in self._local:
            if usage.leaving or now < usage.paused_until:
                continue
            expected = self._expected_peer_load(usage, now)
            load = usage.estimate_load(now, expected)
            if usage.has_capacity(load, expected):
                return True
        return False

    def choose(
        self,
        criteria: Criteria,
        now: float,
        loss: request_losses.RequestLoss | None = None,
    ) -> documents.Instance | None:
        """Take a slot of the best instance with a free one.

        Returns None if no instance has one, or if a full instance is enough
        better to be worth waiting for. The attempt is recorded in ``loss``.
        """
        open_local = self._open_local(now)
        due_id = self.coverage.next_due(
            open_local, self.belief, now, criteria.idempotent
        )
        best = self._best_of(open_local, criteria, now, due_id, _NO_CHOICE)
        loss_weight = 1.0
        if best.usage is not None and best.usage.instance.id == due_id:
            loss_weight = self._cover_loss_weight(best.usage, criteria, now)
        crossing_cost = criteria.crossing_factor * self._crossing_cost
        if best.value < -crossing_cost and not criteria.local:
            remote = self._open_remote(criteria, now)
            best = self._best_of(remote, criteria, now, None, best)
        if best.usage is None:
            return None
        chosen = best.usage
        wait_saving = criteria.wait_cost
        if criteria.may_retry:
            # A failed attempt doesn't avoid the wait.
            wait_saving *= self.belief.chance(chosen.instance.id, now)
        required = best.value + wait_saving
        if required < 0.0 and self._has_better(criteria, required, now):
            return None
        if loss is not None:
            loss.record_attempt(now + criteria.overdue_after, loss_weight)
        chosen.held_slots.append(instance_usage.HeldSlot(now, loss))
        chosen.tried = True
        self.coverage.record_start(chosen.instance.id, now)
        self.limits.record_sent(chosen.instance, now)
        self._busy_by_id[chosen.instance.id] = chosen
        return chosen.instance

    def _cover_loss_weight(
        self,
        due: instance_usage.InstanceUsage,
        criteria: Criteria,
        now: float,
    ) -> float:
        """Return the part of a failure at a covered instance that counts.

        That is the part that the service would lose at the best instance
        without the cover: losses by the cover must not call for more of it.
        """
        others = [usage for usage in self._local if usage is not due]
        best = self._best_of(others, criteria, now, None, _NO_CHOICE)
        if best.usage is None:
            return 1.0
        expected = 1.0 - self.belief.chance(best.usage.instance.id, now)
        return min(
            1.0, expected / (1.0 - self.belief.chance(due.instance.id, now))
        )

    def _best_of(
        self,
        usages: list[instance_usage.InstanceUsage],
        criteria: Criteria,
        now: float,
        due_id: str | None,
        best: _Choice,
    ) -> _Choice:
        """Return the best instance with a free slot, or ``best`` if better.

        The instance with the id ``due_id`` gets the highest value.
        """
        for usage in usages:
            if now < usage.paused_until or not self._is_eligible(
                usage, criteria
            ):
                continue
            expected = self._expected_peer_load(usage, now)
            load = usage.estimate_load(now, expected)
            if not usage.has_capacity(load, expected):
                continue
            value = self._value(usage, criteria, load, now)
            if usage.instance.id == due_id:
                value = 0.0
            elif criteria.may_retry and not usage.remote:
                value += self._idle_value(usage, now)
            value -= TIE_MARGIN * self._generator.random()
            if value > best.value and not self._is_over_limit(usage, now):
                best = _Choice(usage, value)
        return best

    def _idle_value(
        self, usage: instance_usage.InstanceUsage, now: float
    ) -> float:
        """Return what it is worth to use an instance that has been idle."""
        used_at = self.coverage.last_used_at(usage.instance.id, self.belief)
        return IDLE_VALUE * min(1.0, (now - used_at) / IDLE_AFTER)

    def _has_better(
        self, criteria: Criteria, required: float, now: float
    ) -> bool:
        """Return whether some full instance has a higher value."""
        for usage in self._usages_by_id.values():
            if now < usage.paused_until or not self._is_eligible(
                usage, criteria
            ):
                continue
            if self._is_over_limit(usage, now):
                continue
            load = float(usage.instance.slots)
            if self._value(usage, criteria, load, now) > required:
                return True
        return False

    def _value(
        self,
        usage: instance_usage.InstanceUsage,
        criteria: Criteria,
        load: float,
        now: float,
    ) -> float:
        """Return the negative expected cost of a request at an instance."""
        chance = self.belief.chance(usage.instance.id, now)
        if usage.held_slots and self._is_stalled(usage, now):
            chance *= STALLED_CHANCE_FACTOR
        cost = (1.0 - chance) * criteria.failure_cost
        if usage.remote:
            cost += criteria.crossing_factor * self._crossing_cost
        elif usage.led_elsewhere:
            cost += BORROWING_COST
        if now < usage.cold_until:
            load += COLD_PENALTY
        if usage.rejected_share:
            # A rejected request takes another attempt from the budget.
            cost += usage.rejection_chance(now) * criteria.repeat_cost
        utilization = load / max(1, usage.instance.slots)
        return -cost - FULL_COST * utilization * utilization

    def _is_stalled(
        self, usage: instance_usage.InstanceUsage, now: float
    ) -> bool:
        """Return whether the oldest request in flight is overdue."""
        limit = max(MIN_STALL_TIME, STALL_FACTOR * self.mean_response_time)
        return now - usage.held_slots[0].taken_at > limit

    def crossing_reason(self, instance_id: str, now: float) -> Crossing | None:
        """Return why a request was sent to an instance of another domain.

        Returns None for an instance of the own domain.
        """
        chosen = self._usages_by_id.get(instance_id)
        if chosen is None or not chosen.remote:
            return None
        reason = Crossing.NONE_LOCAL
        for usage in self._local:
            if usage.leaving:
                continue
            trust = self.belief.trust(usage.instance.id, now)
            if trust is beliefs.Trust.TRUSTED:
                return Crossing.FULL
            reason = Crossing.SUSPECT
        return reason

    def release(self, instance_id: str, started: float) -> None:
        """Release the slot that was taken closest to the time ``started``.

        Unknown instances are ignored, as the instance may have been removed.
        """
        usage = self._usages_by_id.get(instance_id)
        if usage is None or not usage.held_slots:
            return
        nearest = min(
            usage.held_slots, key=lambda slot: abs(slot.taken_at - started)
        )
        usage.held_slots.remove(nearest)
        if not usage.held_slots:
            self._busy_by_id.pop(instance_id, None)

    def record_overdue(self, now: float) -> None:
        """Count the requests whose answers have become overdue as lost."""
        for usage in self._busy_by_id.values():
            for slot in usage.held_slots:
                if slot.loss is not None:
                    self.coverage.losses.record_overdue(slot.loss, now)

    def record_load(
        self, instance_id: str, load: instance_usage.Load, now: float
    ) -> None:
        """Record the load that an instance reported with an answer.

        The reported load includes the answered request, whose slot has
        already been released here.
        """
        usage = self._usages_by_id.get(instance_id)
        if usage is None:
            return
        usage.update_load(load, now)
        if usage.rejected_share:
            usage.record_acceptance(True, now)
        if usage.led_elsewhere:
            surplus = usage.peer_load - self._mean_peer_load
            self._mean_peer_load += PEER_LOAD_WEIGHT * surplus

    def record_shed(self, instance_id: str, now: float) -> None:
        """Record that an instance shed a request, and pause a full one.

        One that has a free slot goes on: its next answer may be a good one.
        """
        usage = self._usages_by_id.get(instance_id)
        if usage is None:
            return
        if usage.has_reported_room(now):
            usage.record_acceptance(False, now)
            return
        pause = SHED_PAUSE * (0.5 + self._generator.random())
        usage.paused_until = max(usage.paused_until, now + pause)

    def rejects_with_room(self, now: float) -> bool:
        """Return whether an own instance rejects requests despite free slots.

        The number of busy slots then says nothing of the capacity.
        """
        for usage in self._local:
            if usage.leaving or now < usage.paused_until:
                continue
            if usage.rejection_chance(now) < MIN_REJECTION_CHANCE:
                continue
            if usage.has_reported_room(now):
                return True
        return False

    def record_leaving(self, instance_id: str, boot: int) -> bool:
        """Stop sending to an instance that is leaving.

        Returns whether this was not known before.
        """
        usage = self._usages_by_id.get(instance_id)
        if usage is None or usage.instance.boot != boot:
            return False
        was_leaving = usage.leaving
        usage.leaving = True
        return self.announcements.record_leaving(usage.instance) and (
            not was_leaving
        )

    def record_pause(
        self, instance_id: str, boot: int, seconds: float, now: float
    ) -> None:
        """Pause an instance for as many seconds as it asked for."""
        usage = self._usages_by_id.get(instance_id)
        if usage is None or usage.instance.boot != boot:
            return
        self.announcements.record_pause(usage.instance, seconds, now)
        usage.paused_until = max(usage.paused_until, now + seconds)

    def find_block(self, criteria: Criteria, now: float) -> Block | None:
        """Return until when pauses and limits rule out all instances.

        Returns None if some instance is ruled out by neither, or if none may
        get the request at all.
        """
        earliest = None
        for usage in self._candidates(criteria):
            pause_end = self.announcements.pause_end(usage.instance)
            send_at = self.limits.next_send_at(usage.instance, now)
            if max(pause_end, send_at) <= now:
                return None
            block = Block(max(pause_end, send_at), send_at > pause_end)
            if earliest is None or block < earliest:
                earliest = block
        return earliest

    def limited_instances(self) -> list[documents.Instance]:
        """Return the instances that have named a limit, now or before."""
        instances = (
            self.find(*incarnation)
            for incarnation in self.limits.incarnations()
        )
        return [each for each in instances if each is not None]

    def limited_rate(self, now: float) -> float | None:
        """Return the requests per second that all limits allow this VM.

        Returns None if some instance has no limit.
        """
        if not self.limits.any_named:
            return None
        total = 0.0
        for usage in self._usages_by_id.values():
            if usage.leaving:
                continue
            own_rate = self.limits.own_rate(usage.instance, now)
            if own_rate is None:
                return None
            total += own_rate
        return total

    def has_candidate(self, criteria: Criteria) -> bool:
        """Return whether any instance may get the request, now or later."""
        return any(True for _ in self._candidates(criteria))

    def _candidates(
        self, criteria: Criteria
    ) -> typing.Iterator[instance_usage.InstanceUsage]:
        """Yield the instances that may get the request, now or later."""
        for instance_id, usage in self._usages_by_id.items():
            if usage.leaving or instance_id in criteria.excluded_ids:
                continue
            if (
                criteria.allowed_ids is None
                or instance_id in criteria.allowed_ids
            ):
                yield usage

    def _is_over_limit(
        self, usage: instance_usage.InstanceUsage, now: float
    ) -> bool:
        """Return whether the limit of an instance rules out a request now."""
        if not self.limits.any_named:
            return False
        return self.limits.next_send_at(usage.instance, now) > now

    def next_attempt_at(self, now: float) -> float:
        """Return when a choice may succeed without a released slot."""
        return now + SHED_PAUSE / 4

    def _expected_peer_load(
        self, usage: instance_usage.InstanceUsage, now: float
    ) -> float:
        """Return the expected number of peers' requests at an instance.

        It is capped at the instance's slots, so that only a recent report
        can mark an instance as full: otherwise it would get no requests, and
        a fall of its load would never be reported. A local instance that no
        peer reports on has none, as peers report on those they use.
        """
        if not usage.led_elsewhere:
            return 0.0
        idle_time = now - self.belief.last_used_at(usage.instance.id)
        if not usage.remote and idle_time > IDLE_AFTER:
            return 0.0
        return min(self._mean_peer_load, usage.instance.slots)

    def _is_eligible(
        self, usage: instance_usage.InstanceUsage, criteria: Criteria
    ) -> bool:
        """Return whether an instance meets the constraints of a request."""
        instance = usage.instance
        if usage.leaving or instance.id in criteria.excluded_ids:
            return False
        if (
            criteria.allowed_ids is not None
            and instance.id not in criteria.allowed_ids
        ):
            return False
        return not (criteria.local and usage.remote)
