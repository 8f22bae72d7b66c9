"""Chooses the instance of a service that gets the next attempt."""

import random

from primrosemill.configuration import document as documents


class SlotTable:
    """Counts the slots of one service that this VM uses and grants them.

    The instance with the fewest attempts in flight goes first, ties broken
    at random so that VMs with the same view do not collide.
    """

    def __init__(
        self, service: documents.Service, generator: random.Random
    ) -> None:
        self._service = service
        self._generator = generator
        self._in_flight_by_id: dict[str, int] = {}
        self.set_service(service)

    def set_service(self, service: documents.Service) -> None:
        """Take a new revision; counts of kept instances stay."""
        self._service = service
        self._in_flight_by_id = {
            each.id: self._in_flight_by_id.get(each.id, 0)
            for each in service.instances
        }

    def acquire(self, excluded: frozenset[str]) -> documents.Instance | None:
        """Take a slot of the best instance, or return None if all are full."""
        best = None
        best_rank = (0, 0.0)
        for instance in self._service.instances:
            if instance.leaving or instance.id in excluded:
                continue
            in_flight = self._in_flight_by_id[instance.id]
            if in_flight >= self._service.slots:
                continue
            rank = (in_flight, self._generator.random())
            if best is None or rank < best_rank:
                best, best_rank = instance, rank
        if best is not None:
            self._in_flight_by_id[best.id] += 1
        return best

    def release(self, instance_id: str) -> None:
        """Give a slot back; an instance that is gone is no error."""
        if instance_id in self._in_flight_by_id:
            self._in_flight_by_id[instance_id] -= 1
