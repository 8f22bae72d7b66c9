"""Watches whether this VM reaches the instances of each service.

It turns the ends of attempts into evidence, tests a cut with connections of
its own, and logs when a cut begins and ends.
"""

import random
import typing

import trio

from primrosemill.configuration import document as documents
from primrosemill.decisions import outcomes
from primrosemill.decisions import reachability
from primrosemill.proxy import attempts
from primrosemill.proxy import connections
from primrosemill.proxy import outcome_classification
from primrosemill.proxy import request_policies
from primrosemill.telemetry import events

UNCONNECTED_REASONS = outcome_classification.PATH_FAILURE_REASONS | {
    outcomes.NotRunReason.CONNECT_REFUSED
}
# An attempt that ended so tells nothing of the path: it was not sent, or the
# instance has spoken.
SPOKEN_REASONS = frozenset(
    {
        outcomes.NotRunReason.SHED,
        outcomes.NotRunReason.OTHER_INSTANCE,
        outcomes.UnknownReason.TRUNCATED,
        outcomes.UnknownReason.PROTOCOL,
        outcomes.UnknownReason.OVERLONG,
        outcomes.UnknownReason.FOREIGN_ANSWER,
        outcomes.UnknownReason.ERROR_ANSWER,
    }
)
UNSENT_REASONS = frozenset(
    {
        outcomes.NotRunReason.CANCELLED_UNSENT,
        outcomes.NotRunReason.INSTANCE_LEFT,
        outcomes.NotRunReason.KEY_REFUSED,
    }
)


FAILING_STATES = frozenset(
    {reachability.State.NO_NEW_CONNECTIONS, reachability.State.CUT}
)


class Service(typing.NamedTuple):
    """What decides whether a service is reached, besides its attempts."""

    name: str
    instances: tuple[documents.Instance, ...]
    mean_response_time: float


FindServices = typing.Callable[[], list[Service]]


def _shows_silence(end: request_policies.AttemptEnd) -> bool:
    """Return whether an attempt without an answer may be due to the path.

    An instance that accepts a connection and says nothing is reached.
    """
    if end.connected_anew or end.outcome.reason in UNSENT_REASONS:
        return False
    return not end.abandoned or end.timed_out


class PathWatch:
    """The paths of one VM to the instances of all services.

    ``find_services`` returns the services as they are now.
    """

    def __init__(
        self, find_services: FindServices, generator: random.Random
    ) -> None:
        self._find_services = find_services
        self._generator = generator
        self._paths_by_service: dict[str, reachability.Reachability] = {}
        self._states_by_service: dict[str, reachability.State] = {}
        self._cut_since_by_service: dict[str, float] = {}

    def state(self, service: str) -> reachability.State:
        """Return what this VM reaches of a service."""
        paths = self._paths_by_service.get(service)
        if paths is None:
            return reachability.State.OPEN
        if paths.is_suspicious or service in self._states_by_service:
            self._update_states()
        return self._states_by_service.get(service, reachability.State.OPEN)

    def is_failing(self, service: str) -> bool:
        """Return whether failures at a service are those of the path."""
        return self.state(service) in FAILING_STATES

    def is_isolated(self) -> bool:
        """Return whether this VM reaches no instance of any service in use.

        A service without attempts or tests since the cut began is unknown.
        """
        if not self._cut_since_by_service:
            return False
        began = min(self._cut_since_by_service.values())
        return all(
            service in self._cut_since_by_service or paths.answered_at < began
            for service, paths in self._paths_by_service.items()
        )

    def attempt_started(self, start: request_policies.AttemptStart) -> None:
        """Record an attempt."""
        paths = self._paths_by_service.get(start.service)
        if paths is None:
            paths = reachability.Reachability()
            self._paths_by_service[start.service] = paths
        paths.record_started(start.instance_id, start.started)

    def attempt_ended(self, end: request_policies.AttemptEnd) -> None:
        """Record what an attempt showed of the path to its instance."""
        start = end.start
        paths = self._paths_by_service.get(start.service)
        if paths is None:
            return
        now = trio.current_time()
        reason = getattr(end.outcome, "reason", None)
        if reason is None or reason in SPOKEN_REASONS:
            paths.record_answered(now, end.connected_anew)
        elif reason in UNCONNECTED_REASONS:
            paths.record_unconnected(start.instance_id, now)
        elif _shows_silence(end):
            paths.record_silence(start.instance_id, start.started, now)
        paths.record_ended(start.instance_id)

    async def run(self, pool: connections.Connections) -> None:
        """Test cuts with new connections, until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(reachability.PROBE_INTERVAL)
                self._update_states()
                for service in self._find_services():
                    if self._is_tested(service.name):
                        nursery.start_soon(self._probe, service, pool)

    def _is_tested(self, service: str) -> bool:
        """Return whether to test the paths to a service.

        While one service is cut off, those that get no requests may be too.
        """
        if service not in self._paths_by_service:
            return False
        return bool(self._cut_since_by_service) or (
            service in self._states_by_service
        )

    async def _probe(
        self, service: Service, pool: connections.Connections
    ) -> None:
        """Open a connection to some instance, which is kept if it works."""
        paths = self._paths_by_service.get(service.name)
        if paths is None or not service.instances:
            return
        instance = self._generator.choice(service.instances)
        with trio.move_on_after(attempts.CONNECT_TIMEOUT):
            try:
                connection = await pool.open(instance)
            except OSError:
                paths.record_unconnected(instance.id, trio.current_time())
                return
            pool.put_new(instance, connection)
            paths.record_connected(trio.current_time())
            self._update_states()
            return
        paths.record_unconnected(instance.id, trio.current_time())

    def _update_states(self) -> None:
        """Update which services are cut off, and log what has changed."""
        now = trio.current_time()
        services = self._find_services()
        self._forget_others({service.name for service in services})
        for service in services:
            paths = self._paths_by_service.get(service.name)
            if paths is None:
                continue
            state = paths.state(
                now, service.mean_response_time, len(service.instances)
            )
            self._set_state(service.name, state)

    def _forget_others(self, names: typing.Container[str]) -> None:
        """Drop the evidence on services that are not there any more."""
        for service in list(self._paths_by_service):
            if service not in names:
                del self._paths_by_service[service]
                self._states_by_service.pop(service, None)
                self._cut_since_by_service.pop(service, None)

    def _set_state(self, service: str, state: reachability.State) -> None:
        previous = self._states_by_service.pop(
            service, reachability.State.OPEN
        )
        if state is not reachability.State.OPEN:
            self._states_by_service[service] = state
        if state is reachability.State.CUT:
            self._cut_since_by_service.setdefault(service, trio.current_time())
        else:
            self._cut_since_by_service.pop(service, None)
        if state is not previous:
            events.emit(
                events.PATHS_CHANGED,
                service=service,
                state=state.value,
                previous=previous.value,
            )
