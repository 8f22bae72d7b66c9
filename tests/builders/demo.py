"""Builds the inputs of the demo's report without running a fleet."""

from primrosemill.measure import demo_fleet
from primrosemill.measure import demo_monitor
from primrosemill.measure import demo_traffic
from primrosemill.proofs import history
from primrosemill.standins import instance

GRAY_INSTANCE_ID = "reservations-1"


def fleet(runs_by_tag: dict[str, int]) -> demo_fleet.Fleet:
    """Build a fleet of one instance that has run some requests."""
    standin = instance.InstanceStandin(GRAY_INSTANCE_ID, 3, 0.0)
    standin.runs_by_tag.update(runs_by_tag)
    return demo_fleet.Fleet({}, {GRAY_INSTANCE_ID: standin}, (), {}, (), None)


def monitor(*states_by_id: tuple[str, str]) -> demo_monitor.StatusMonitor:
    """Build a monitor that recorded one change for each instance."""
    built = demo_monitor.StatusMonitor(fleet({}))
    for instance_id, state in states_by_id:
        built.changes.append(
            demo_monitor.StateChange(0.0, "entry-0", instance_id, state, "")
        )
    return built


def result(tag: str, **changes) -> demo_traffic.RequestResult:
    """Build the result of an answered request to an idempotent route."""
    body = f"{tag} reservations-1".encode()
    call = history.Call(
        tag, True, body, len(body), False, history.ANSWERED, 200, body
    )
    return demo_traffic.RequestResult(call._replace(**changes), 0.0, 0.02)
