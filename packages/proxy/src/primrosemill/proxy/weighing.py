"""Changes what is believed of an instance by how an attempt there ended."""

from primrosemill.configuration import document as documents
from primrosemill.decisions import allocation
from primrosemill.proxy import judgements
from primrosemill.proxy import learned
from primrosemill.proxy import plugs

SLOW = "slow"  # The cause where answers are good, but late.


def weigh(
    decided: allocation.Allocation,
    instance: documents.Instance,
    end: plugs.AttemptEnd,
    judged: judgements.Judgement,
    now: float,
) -> learned.Changed:
    """Take an attempt that says something of its instance.

    Peers are to hear of it, unless it was this VM's path that failed.
    """
    belief = decided.balance.belief
    start = end.start
    cause = judgements.cause(end.outcome)
    failed, shared = bool(judged.failed), True
    if not failed and _is_slow(decided, end, now):
        failed, cause = True, SLOW
    at = now if failed else start.started
    if judged.failed and not judged.shared:
        shared = False
        change = belief.no_path(instance.id, now)
    elif failed:
        change = belief.failed(instance.id, now)
    else:
        belief.reached(instance.id, now)
        change = belief.succeeded(instance.id, at, now)
    return learned.Changed(
        start.service,
        instance,
        change,
        cause,
        failed,
        shared,
        at,
        start.request_id,
    )


def _is_slow(
    decided: allocation.Allocation, end: plugs.AttemptEnd, now: float
) -> bool:
    """Tell whether an instance answers well, but far too slowly."""
    times = decided.times
    route = end.start.route
    usual = times.usual(route) if times.known(route) else None
    times.note(route, end.elapsed)
    if usual is None:
        return False
    return decided.balance.belief.is_slow(
        end.start.instance_id, end.elapsed / usual, now
    )
