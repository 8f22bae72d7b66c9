"""Builds what the demo's report reads, without running a fleet."""

from primrosemill.measure import demo_callers
from primrosemill.measure import demo_fleet
from primrosemill.measure import demo_watch
from primrosemill.proofs import history
from primrosemill.standins import instance

SICK_ID = "reservations-1"


def fleet(runs_by_tag: dict[str, int]) -> demo_fleet.Fleet:
    """Build a fleet whose one instance ran some requests."""
    standin = instance.InstanceStandin(SICK_ID, 3, 0.0)
    standin.runs_by_tag.update(runs_by_tag)
    return demo_fleet.Fleet({}, {SICK_ID: standin}, (), {}, (), None)


def watch(*states_by_id: tuple[str, str]) -> demo_watch.Watch:
    """Build a watch that saw instances come to some states."""
    built = demo_watch.Watch(fleet({}))
    for instance_id, state in states_by_id:
        built.changes.append(
            demo_watch.Change(0.0, "entry-0", instance_id, state, "")
        )
    return built


def met(tag: str, **changes) -> demo_callers.Met:
    """Build an answered request for an idempotent route."""
    body = f"{tag} reservations-1".encode()
    call = history.Call(
        tag, True, body, len(body), False, history.ANSWERED, 200, body
    )
    return demo_callers.Met(call._replace(**changes), 0.0, 0.02)
