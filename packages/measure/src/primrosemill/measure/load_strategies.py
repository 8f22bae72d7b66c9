"""Strategies of choosing an instance that the load patterns compare."""

import random
import typing

from primrosemill.configuration import document as documents
from primrosemill.decisions import allocation
from primrosemill.decisions import belief as beliefs
from primrosemill.decisions import coverage
from primrosemill.decisions import instance_selection
from primrosemill.decisions import instance_usage
from primrosemill.decisions import request_losses
from primrosemill.measure import load_instances
from primrosemill.measure import load_simulation


class _OwnCountSelector(instance_selection.InstanceSelector):
    """Chooses among the instances with a free slot by this VM's own counts.

    The requests of other VMs are not considered.
    """

    def choose(
        self,
        criteria: instance_selection.Criteria,
        now: float,
        loss: request_losses.RequestLoss | None = None,
    ) -> documents.Instance | None:
        """Take a slot of the instance that :meth:`pick` returns."""
        candidates = [
            usage
            for usage in self._usages_by_id.values()
            if now >= usage.paused_until
            and self._is_eligible(usage, criteria)
            and len(usage.held_slots) < usage.instance.slots
        ]
        if not candidates:
            return None
        chosen = self.pick(candidates)
        chosen.held_slots.append(instance_usage.HeldSlot(now))
        self._busy_by_id[chosen.instance.id] = chosen
        return chosen.instance

    def pick(
        self, candidates: list[instance_usage.InstanceUsage]
    ) -> instance_usage.InstanceUsage:
        """Return the instance to use."""
        raise NotImplementedError


class RoundRobin(_OwnCountSelector):
    """Uses the instances in turn."""

    _turn = 0

    def pick(
        self, candidates: list[instance_usage.InstanceUsage]
    ) -> instance_usage.InstanceUsage:
        """Return the next instance."""
        self._turn += 1
        return candidates[self._turn % len(candidates)]


class TwoChoices(_OwnCountSelector):
    """Uses the less loaded of two random instances (Mitzenmacher, 2001)."""

    def pick(
        self, candidates: list[instance_usage.InstanceUsage]
    ) -> instance_usage.InstanceUsage:
        """Return the less loaded of two random instances."""
        pair = self._generator.choices(candidates, k=2)
        return min(pair, key=lambda usage: len(usage.held_slots))


class _OracleBelief(beliefs.Belief):
    """A belief that knows the true state of each instance.

    It knows each spell and each lost or silent instance from the start, but
    no other fault.
    """

    def __init__(self, simulation: load_simulation.Simulation) -> None:
        super().__init__()
        self._simulation = simulation

    def chance(self, instance_id: str, now: float) -> float:
        """Return the true probability of success."""
        instance = self._simulation.instances_by_id[instance_id]
        spells = self._simulation.pattern.spells
        for intervals in (instance.lost, instance.silent):
            if load_instances.covers(intervals, now):
                return 0.0
        if load_instances.covers(instance.spells, now):
            return 1.0 - spells.failure_share
        return 1.0 - spells.ordinary_failure_share


def _new_allocation(
    simulation: load_simulation.Simulation,
    domain: str,
    floor_share: float = coverage.FLOOR_SHARE,
) -> allocation.Allocation:
    generator = random.Random(simulation.generator.random())
    return allocation.Allocation(
        domain,
        generator,
        0.0,
        floor_share,
        instance_selection.CROSSING_COST,
    )


def make_current(
    simulation: load_simulation.Simulation, domain: str
) -> allocation.Allocation:
    """Return the product's own allocation."""
    return _new_allocation(simulation, domain)


def make_without_floor(
    simulation: load_simulation.Simulation, domain: str
) -> allocation.Allocation:
    """Return the product's allocation with no floor of instances in use."""
    return _new_allocation(simulation, domain, floor_share=0.0)


def make_oracle(
    simulation: load_simulation.Simulation, domain: str
) -> allocation.Allocation:
    """Return the product's allocation with a belief that knows the truth."""
    vm_allocation = _new_allocation(simulation, domain)
    vm_allocation.selector.belief = _OracleBelief(simulation)
    return vm_allocation


def make_round_robin(
    simulation: load_simulation.Simulation, domain: str
) -> allocation.Allocation:
    """Return an allocation that uses the instances in turn."""
    vm_allocation = _new_allocation(simulation, domain)
    vm_allocation.selector = RoundRobin(domain, simulation.generator)
    return vm_allocation


def make_two_choices(
    simulation: load_simulation.Simulation, domain: str
) -> allocation.Allocation:
    """Return an allocation that uses the less loaded of two instances."""
    vm_allocation = _new_allocation(simulation, domain)
    vm_allocation.selector = TwoChoices(domain, simulation.generator)
    return vm_allocation


FACTORIES_BY_STRATEGY: typing.Mapping[
    str, load_simulation.AllocationFactory
] = {
    "belief": make_current,
    "round robin": make_round_robin,
    "two choices": make_two_choices,
    "oracle": make_oracle,
    "without floor": make_without_floor,
}
