"""Holds the ways of choosing an instance that the load patterns compare."""

import random
import typing

from primrosemill.configuration import document as documents
from primrosemill.decisions import allocation
from primrosemill.decisions import belief as beliefs
from primrosemill.decisions import instance_selection
from primrosemill.decisions import instance_usage
from primrosemill.measure import load_instances
from primrosemill.measure import load_play


class _OwnRoom(instance_selection.InstanceSelector):
    """Chooses among the instances with room by this VM's own counts."""

    def choose(
        self, criteria: instance_selection.Criteria, now: float
    ) -> documents.Instance | None:
        """Take a slot of the instance that the way picks."""
        free = [
            usage
            for usage in self._usages_by_id.values()
            if now >= usage.paused_until
            and self._is_eligible(usage, criteria)
            and len(usage.start_times) < usage.instance.slots
        ]
        if not free:
            return None
        chosen = self.pick(free)
        chosen.start_times.append(now)
        self._busy_by_id[chosen.instance.id] = chosen
        return chosen.instance

    def pick(
        self, free: list[instance_usage.InstanceUsage]
    ) -> instance_usage.InstanceUsage:
        """Return the instance to use."""
        raise NotImplementedError


class RoundRobin(_OwnRoom):
    """Takes the instances in turn."""

    _turn = 0

    def pick(
        self, free: list[instance_usage.InstanceUsage]
    ) -> instance_usage.InstanceUsage:
        """Return the next instance."""
        self._turn += 1
        return free[self._turn % len(free)]


class TwoChoices(_OwnRoom):
    """Takes the less loaded of two (Mitzenmacher, 2001)."""

    def pick(
        self, free: list[instance_usage.InstanceUsage]
    ) -> instance_usage.InstanceUsage:
        """Return the less loaded of two instances at random."""
        pair = self._generator.choices(free, k=2)
        return min(pair, key=lambda usage: len(usage.start_times))


class _Truth(beliefs.Belief):
    """Knows each spell and loss from its start, and nothing else."""

    def __init__(self, play: load_play.Play) -> None:
        super().__init__()
        self._play = play

    def chance(self, instance_id: str, now: float) -> float:
        """Return the true probability of success."""
        instance = self._play.instances_by_id[instance_id]
        spells = self._play.pattern.spells
        for spans in (instance.lost, instance.silent):
            if load_instances.covers(spans, now):
                return 0.0
        if load_instances.covers(instance.spells, now):
            return 1.0 - spells.fails
        return 1.0 - spells.ordinary


def _allocation_of(play: load_play.Play, domain: str) -> allocation.Allocation:
    generator = random.Random(play.generator.random())
    return allocation.Allocation(
        domain, generator, 0.0, crossing_cost=instance_selection.CROSSING_COST
    )


def make_current(play: load_play.Play, domain: str) -> allocation.Allocation:
    """Return the product's own decisions."""
    return _allocation_of(play, domain)


def make_oracle(play: load_play.Play, domain: str) -> allocation.Allocation:
    """Return the product's choice with the truth in place of a belief."""
    made = _allocation_of(play, domain)
    made.selector.belief = _Truth(play)
    return made


def make_round_robin(
    play: load_play.Play, domain: str
) -> allocation.Allocation:
    """Return decisions that take the instances in turn."""
    made = _allocation_of(play, domain)
    made.selector = RoundRobin(domain, play.generator)
    return made


def make_two_choices(
    play: load_play.Play, domain: str
) -> allocation.Allocation:
    """Return decisions that take the less loaded of two instances."""
    made = _allocation_of(play, domain)
    made.selector = TwoChoices(domain, play.generator)
    return made


WAYS_BY_NAME: typing.Mapping[str, load_play.Make] = {
    "belief": make_current,
    "round robin": make_round_robin,
    "two choices": make_two_choices,
    "oracle": make_oracle,
}
