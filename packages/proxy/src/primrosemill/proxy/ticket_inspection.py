"""Reads the ticket of a request that another VM has passed on."""

from primrosemill.decisions import outcomes
from primrosemill.decisions import routes
from primrosemill.proxy import asgi
from primrosemill.proxy import attempts
from primrosemill.proxy import counters
from primrosemill.proxy import forwarding_tickets
from primrosemill.proxy import headers
from primrosemill.proxy import peer_forwarding
from primrosemill.proxy import request_policies
from primrosemill.telemetry import events

BAD_TICKET = request_policies.Refused(outcomes.RefusalReason.BAD_TICKET)


def read_ticket(
    inspector: forwarding_tickets.Inspector | None,
    scope: asgi.Scope,
    request_id: bytes | None,
    counts: counters.Counters,
) -> forwarding_tickets.Ticket | request_policies.Refused | None:
    """Return the ticket, None without one, or the refusal of a bad one."""
    value = headers.find(scope["headers"], headers.FORWARDING_TICKET)
    if value is None or inspector is None:
        return None
    request = forwarding_tickets.Request(
        scope["method"].encode(), asgi.read_target(scope), request_id or b""
    )
    result = inspector.inspect(value, request)
    id_text = attempts.decode_request_id(request_id)
    if result.is_error():
        counts.bad_tickets.count(result.error)
        events.emit(
            events.TICKET_REFUSED,
            request_id=id_text,
            fault=result.error.value,
        )
        return BAD_TICKET
    ticket = result.ok
    counts.forwardings.count(peer_forwarding.Passage.ACCEPTED)
    events.emit(
        events.FORWARDING_ACCEPTED,
        request_id=id_text,
        vm_id=ticket.vm_id,
        service=ticket.service,
        attempted=ticket.attempted,
    )
    return ticket


def reduce_instances(
    match: routes.Match, ticket: forwarding_tickets.Ticket
) -> routes.Match:
    """Leave out of a route's limit the instances that the sender used."""
    route = match.route
    if not route.max_instances:
        return match
    left = max(1, route.max_instances - ticket.attempted)
    return match._replace(route=route._replace(max_instances=left))
