"""Ramps up the share of slots of instances that started recently.

A VM isn't told when an instance starts. It takes an instance for cold when it
appears in a later revision than the first one that the VM saw, when its
address changes, or when it returns from a trial. A VM that itself starts
takes every instance for warm, as taking the whole service for cold would
leave most of its capacity unused.
"""

import typing

from primrosemill.configuration import document as documents
from primrosemill.decisions import standings

MIN_SHARE = 0.1  # of the slots, for an instance that has just started
# Share of the instances. If more of them are cold, the warm ones can't carry
# the load, so no instance is restricted.
MAX_COLD_SHARE = 0.5


class _KnownInstance(typing.NamedTuple):
    """An instance as of the last revision."""

    address: tuple[str, int]
    serving: bool


class ColdStartRamp:
    """Tracks the cold instances of one service and their shares of slots."""

    def __init__(self, service: documents.Service) -> None:
        self._cold_start = service.cold_start
        self._instance_count = 0
        self._known_by_id: dict[str, _KnownInstance] = {}
        self._started_at_by_id: dict[str, float] = {}
        self._apply_service(service)

    def set_service(self, service: documents.Service, now: float) -> None:
        """Apply a new revision; its new instances are cold from now on."""
        previous_by_id = self._known_by_id
        self._apply_service(service)
        for instance_id in list(self._started_at_by_id):
            if instance_id not in self._known_by_id:
                del self._started_at_by_id[instance_id]
        for instance_id, known in self._known_by_id.items():
            if known.serving and previous_by_id.get(instance_id) != known:
                self._started_at_by_id[instance_id] = now

    def record_return(self, instance_id: str, now: float) -> None:
        """Record that an instance returned from its trial."""
        if instance_id in self._known_by_id:
            self._started_at_by_id[instance_id] = now

    def share(self, instance_id: str, now: float) -> float:
        """Return the share of its slots that an instance may use."""
        started_at = self._started_at_by_id.get(instance_id)
        if started_at is None:
            return 1.0
        if now >= started_at + self._cold_start:
            del self._started_at_by_id[instance_id]
            return 1.0
        if len(self._started_at_by_id) > MAX_COLD_SHARE * self._instance_count:
            return 1.0
        elapsed = max(0.0, now - started_at)
        return max(MIN_SHARE, elapsed / self._cold_start)

    @property
    def may_have_cold(self) -> bool:
        """Return whether :meth:`cold` may return any instance."""
        return bool(self._started_at_by_id)

    def cold_shares(self, now: float) -> dict[str, float]:
        """Return the shares of the cold instances, which are below 1.

        The cost depends on the number of cold instances only.
        """
        share_by_id = {}
        for instance_id in list(self._started_at_by_id):
            share = self.share(instance_id, now)
            if share < 1.0:
                share_by_id[instance_id] = share
        return share_by_id

    def apply(
        self, instance_id: str, standing: standings.Standing, now: float
    ) -> standings.Standing:
        """Return the standing with a cold instance's share applied.

        Only instances in rotation become COLD; any other state takes
        precedence.
        """
        if standing.state is not standings.State.IN_ROTATION:
            return standing
        share = self.share(instance_id, now)
        if share >= 1.0:
            return standing
        return standing._replace(
            state=standings.State.COLD,
            share=min(share, standing.share),
            reason="started lately",
        )

    def _apply_service(self, service: documents.Service) -> None:
        self._cold_start = service.cold_start
        self._known_by_id = {
            each.id: _KnownInstance((each.ip, each.port), not each.leaving)
            for each in service.instances
        }
        self._instance_count = len(self._known_by_id)
