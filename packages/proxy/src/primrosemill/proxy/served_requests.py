"""Tells whether a request that has ended counts as served by its service."""

import functools

from primrosemill.decisions import outcomes
from primrosemill.decisions import request_losses
from primrosemill.proxy import exchange
from primrosemill.proxy import request_policies

# Refusals for the state of the service. Others are for the request itself, its
# customer, or the VM.
UNSERVED_REASONS = frozenset(
    {
        outcomes.RefusalReason.DEADLINE,
        outcomes.RefusalReason.INSTANCES_LIMITED,
        outcomes.RefusalReason.INSTANCES_PAUSED,
        outcomes.RefusalReason.NO_INSTANCE,
        outcomes.RefusalReason.NO_PATH,
        outcomes.RefusalReason.QUEUE_FULL,
        outcomes.RefusalReason.RETRIES_SPENT,
    }
)


@functools.singledispatch
def is_served(
    result: exchange.Result, loss: request_losses.RequestLoss
) -> bool | None:
    """Return whether a request was served, or None if it doesn't count.

    A caller that has left says nothing of the service. What another VM did
    for this one, without an attempt here, is counted there.
    """
    return None


@is_served.register
def _(
    result: request_policies.Refused, loss: request_losses.RequestLoss
) -> bool | None:
    return False if result.reason in UNSERVED_REASONS else None


@is_served.register
def _(
    result: exchange.Relayed, loss: request_losses.RequestLoss
) -> bool | None:
    if not loss.has_started:
        return None
    return result.status < outcomes.FIRST_SERVER_ERROR


@is_served.register(exchange.Aborted)
@is_served.register(outcomes.Unknown)
def _(
    result: exchange.Aborted | outcomes.Unknown,
    loss: request_losses.RequestLoss,
) -> bool | None:
    return False if loss.has_started else None
