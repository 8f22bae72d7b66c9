"""Updates the belief in an instance from the outcome of an attempt."""

from primrosemill.configuration import document as documents
from primrosemill.decisions import allocation
from primrosemill.proxy import instance_observations
from primrosemill.proxy import outcome_classification
from primrosemill.proxy import request_policies

SLOW = "slow"  # The cause logged for a success that took far too long.


def update_belief(
    allocator: allocation.Allocation,
    instance: documents.Instance,
    end: request_policies.AttemptEnd,
    classification: outcome_classification.Classification,
    now: float,
) -> instance_observations.BeliefUpdate:
    """Apply a conclusive attempt to the belief in its instance.

    The update may be shared with peers unless the attempt failed on the path
    from this VM to the instance.
    """
    belief = allocator.selector.belief
    start = end.start
    cause = outcome_classification.cause_label(end.outcome)
    failed, shareable = bool(classification.failed), True
    if not failed and _is_slow(allocator, end, now):
        failed, cause = True, SLOW
    observed_at = now if failed else start.started
    if classification.failed and not classification.shareable:
        shareable = False
        change = belief.record_unreachable(instance.id, now)
    elif failed:
        change = belief.record_failure(instance.id, now)
    else:
        belief.record_reached(instance.id, now)
        change = belief.record_success(instance.id, observed_at, now)
    return instance_observations.BeliefUpdate(
        start.service,
        instance,
        change,
        cause,
        failed,
        shareable,
        observed_at,
        start.request_id,
    )


def _is_slow(
    allocator: allocation.Allocation,
    end: request_policies.AttemptEnd,
    now: float,
) -> bool:
    """Return whether a success took far longer than is usual for its route.

    Also records the elapsed time among the times of the route.
    """
    times = allocator.response_times
    route = end.start.route
    usual = times.mean(route) if times.is_reliable(route) else None
    times.record(route, end.elapsed)
    if usual is None:
        return False
    return allocator.selector.belief.record_time_ratio(
        end.start.instance_id, end.elapsed / usual, now
    )
