"""Decides when an instance is probed, and by whom.

A probe costs an instance about 25 ms of a slot, so only the VM that leads
an instance probes it, seldom, and not while requests tell more.
"""

import typing

from primrosemill.configuration import document as documents

RECENT_ENOUGH = 1.0  # attempts; more make a probe superfluous.


class Probe(typing.NamedTuple):
    """An instance and the path to ask it for."""

    instance_id: str
    path: str


class Schedule:
    """Spaces the probes of the instances that this VM leads."""

    def __init__(self) -> None:
        self._next_by_id: dict[str, float] = {}

    def due(
        self,
        service: documents.Service,
        recent_by_id: dict[str, float],
        now: float,
    ) -> tuple[Probe, ...]:
        """Return what to probe now among these instances.

        ``recent_by_id`` counts the recent attempts at each.
        """
        probes = []
        for instance_id, recent in sorted(recent_by_id.items()):
            first = now + service.probe_interval
            next_time = self._next_by_id.setdefault(instance_id, first)
            if now < next_time:
                continue
            self._next_by_id[instance_id] = first
            if recent > RECENT_ENOUGH:
                continue
            probes.append(Probe(instance_id, service.probe_path))
        return tuple(probes)
