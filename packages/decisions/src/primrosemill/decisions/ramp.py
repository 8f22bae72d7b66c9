"""Ramps up the share of work of instances that started lately.

Nobody tells a VM when an instance started. It counts an instance as cold
when it is new in a newer revision than the first one that this VM saw, when
its address changed, or when it comes back from a trial. A VM that starts
knows no ages and counts every instance as warm: taking a whole service for
cold would leave most of its capacity unused.
"""

import typing

from primrosemill.configuration import document as documents
from primrosemill.decisions import standings

LEAST_SHARE = 0.1  # of the slots, for an instance that has just started
MOST_COLD = 0.5  # of the instances; beyond, there is nobody to carry the rest


class _Known(typing.NamedTuple):
    """An instance as it was last seen."""

    address: tuple[str, int]
    serving: bool


class Ramp:
    """Follows the cold instances of one service."""

    def __init__(self, service: documents.Service) -> None:
        self._cold_start = service.cold_start
        self._count = 0
        self._known_by_id: dict[str, _Known] = {}
        self._started_by_id: dict[str, float] = {}
        self._take(service)

    def set_service(self, service: documents.Service, now: float) -> None:
        """Take a new revision; its new instances are cold from now on."""
        before_by_id = self._known_by_id
        self._take(service)
        for instance_id in list(self._started_by_id):
            if instance_id not in self._known_by_id:
                del self._started_by_id[instance_id]
        for instance_id, known in self._known_by_id.items():
            if known.serving and before_by_id.get(instance_id) != known:
                self._started_by_id[instance_id] = now

    def note_return(self, instance_id: str, now: float) -> None:
        """Learn that an instance came back from its trial."""
        if instance_id in self._known_by_id:
            self._started_by_id[instance_id] = now

    def share(self, instance_id: str, now: float) -> float:
        """Return the share of its slots that an instance may use."""
        started = self._started_by_id.get(instance_id)
        if started is None:
            return 1.0
        if now >= started + self._cold_start:
            del self._started_by_id[instance_id]
            return 1.0
        if len(self._started_by_id) > MOST_COLD * self._count:
            return 1.0
        elapsed = max(0.0, now - started)
        return max(LEAST_SHARE, elapsed / self._cold_start)

    @property
    def any_cold(self) -> bool:
        """Tell whether :meth:`cold` may have something to return."""
        return bool(self._started_by_id)

    def cold(self, now: float) -> dict[str, float]:
        """Return the shares below 1 by instance.

        The cost follows the number of cold instances, not of all.
        """
        share_by_id = {}
        for instance_id in list(self._started_by_id):
            share = self.share(instance_id, now)
            if share < 1.0:
                share_by_id[instance_id] = share
        return share_by_id

    def apply(
        self, instance_id: str, standing: standings.Standing, now: float
    ) -> standings.Standing:
        """Return the standing with the ramp taken into account.

        Only an instance in rotation turns cold; whatever speaks against an
        instance goes first.
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

    def _take(self, service: documents.Service) -> None:
        self._cold_start = service.cold_start
        self._known_by_id = {
            each.id: _Known((each.ip, each.port), not each.leaving)
            for each in service.instances
        }
        self._count = len(self._known_by_id)
