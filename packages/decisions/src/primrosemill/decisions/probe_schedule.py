"""Schedules the health probes of instances.

A probe occupies one of the instance's slots for about 25 ms. So probes are
infrequent, only the instance's lead sends them (the VM that also has first
claim to its slots), and they are skipped while requests give better evidence.
"""

import typing

from primrosemill.configuration import document as documents

# Decaying count of attempts at an instance above which no probe is needed.
MAX_RECENT_ATTEMPTS = 1.0


class Probe(typing.NamedTuple):
    """A health probe of an instance: a request for ``path``."""

    instance_id: str
    path: str


class Schedule:
    """Spaces the probes of instances by the service's probe interval."""

    def __init__(self) -> None:
        self._due_at_by_id: dict[str, float] = {}

    def due(
        self,
        service: documents.Service,
        recent_by_id: dict[str, float],
        now: float,
    ) -> tuple[Probe, ...]:
        """Return the probes that are due.

        ``recent_by_id`` maps the instances to probe to their decaying counts
        of recent attempts.
        """
        probes = []
        for instance_id, recent in sorted(recent_by_id.items()):
            following = now + service.probe_interval
            due_at = self._due_at_by_id.setdefault(instance_id, following)
            if now < due_at:
                continue
            self._due_at_by_id[instance_id] = following
            if recent > MAX_RECENT_ATTEMPTS:
                continue
            probes.append(Probe(instance_id, service.probe_path))
        return tuple(probes)
