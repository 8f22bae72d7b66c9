"""Decides whether a VM reaches the instances of a service at all.

One instance that does not answer says something of that instance. If several
don't, and no other answers meanwhile, the VM's own paths are the more likely
cause: it then sends requests through other VMs, and does not blame the
instances. Times are in seconds.
"""

import enum
import math

# Distinct instances without an answer that show a cut; all of them, in a
# service with fewer.
MIN_SILENT_INSTANCES = 3
# A request has waited in vain after this multiple of the mean response time.
SILENCE_FACTOR = 3.0
MIN_SILENCE = 0.5  # seconds
# Without an answer, evidence of a cut holds for this long; a cut is probed
# far more often.
EVIDENCE_LIFETIME = 3.0  # seconds
PROBE_INTERVAL = 0.25  # seconds between two connections that test a cut


class State(enum.Enum):
    """What a VM reaches of a service."""

    OPEN = "open"
    # Several instances are silent; whether the path is the cause is tested.
    SUSPECTED = "suspected"
    # Connections that are open answer, new ones can't be opened.
    NO_NEW_CONNECTIONS = "no_new_connections"
    CUT = "cut"


class Reachability:
    """The evidence of one VM on its paths to the instances of a service.

    ``answered_at`` is when an instance last answered or was connected to.
    """

    def __init__(self) -> None:
        self._unconnected_at_by_id: dict[str, float] = {}
        self._silent_since_by_id: dict[str, float] = {}
        # The oldest attempt in flight at each instance.
        self._waiting_since_by_id: dict[str, float] = {}
        self._in_flight_by_id: dict[str, int] = {}
        self.answered_at = -math.inf

    @property
    def is_suspicious(self) -> bool:
        """Return whether any instance failed to answer or to connect."""
        return bool(self._unconnected_at_by_id or self._silent_since_by_id)

    def record_started(self, instance_id: str, now: float) -> None:
        """Record an attempt at an instance."""
        self._waiting_since_by_id.setdefault(instance_id, now)
        in_flight = self._in_flight_by_id.get(instance_id, 0)
        self._in_flight_by_id[instance_id] = in_flight + 1

    def record_ended(self, instance_id: str) -> None:
        """Record the end of an attempt, after what it showed."""
        in_flight = self._in_flight_by_id.get(instance_id, 0) - 1
        if in_flight > 0:
            self._in_flight_by_id[instance_id] = in_flight
            return
        self._in_flight_by_id.pop(instance_id, None)
        self._waiting_since_by_id.pop(instance_id, None)

    def record_answered(self, now: float, anew: bool) -> None:
        """Record an answer; ``anew`` if its connection was opened for it."""
        self.answered_at = now
        self._silent_since_by_id.clear()
        for instance_id in self._waiting_since_by_id:
            self._waiting_since_by_id[instance_id] = now
        if anew:
            self._unconnected_at_by_id.clear()

    def record_connected(self, now: float) -> None:
        """Record that a new connection was opened."""
        self.record_answered(now, anew=True)

    def record_unconnected(self, instance_id: str, now: float) -> None:
        """Record that no connection to an instance could be opened."""
        self._unconnected_at_by_id[instance_id] = now

    def record_silence(
        self, instance_id: str, started: float, now: float
    ) -> None:
        """Record that an attempt ended without a word of its instance."""
        if started >= self.answered_at:
            self._silent_since_by_id[instance_id] = now

    def state(
        self, now: float, mean_response_time: float, instance_count: int
    ) -> State:
        """Return what this VM reaches of a service's instances."""
        self._drop_old(now)
        needed = max(1, min(MIN_SILENT_INSTANCES, instance_count))
        unconnected_ids = self._unconnected_at_by_id.keys()
        limit = max(MIN_SILENCE, SILENCE_FACTOR * mean_response_time)
        waiting_ids = {
            instance_id
            for instance_id, since in self._waiting_since_by_id.items()
            if now - since >= limit
        }
        silent_ids = (
            waiting_ids
            | unconnected_ids
            | {
                instance_id
                for instance_id, at in self._silent_since_by_id.items()
                if at >= self.answered_at
            }
        )
        if len(silent_ids) < needed:
            return State.OPEN
        if not unconnected_ids:
            return State.SUSPECTED
        answered = any(
            self.answered_at > at for at in self._unconnected_at_by_id.values()
        )
        if not answered:
            return State.CUT
        if len(unconnected_ids) >= needed:
            return State.NO_NEW_CONNECTIONS
        return State.OPEN

    def _drop_old(self, now: float) -> None:
        for at_by_id in (self._unconnected_at_by_id, self._silent_since_by_id):
            for instance_id, at in list(at_by_id.items()):
                if now - at >= EVIDENCE_LIFETIME:
                    del at_by_id[instance_id]
