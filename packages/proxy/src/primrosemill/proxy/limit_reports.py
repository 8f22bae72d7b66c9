"""Converts what is known of instances' limits to and from messages."""

import typing

from primrosemill.decisions import instance_limits
from primrosemill.fleet import messages
from primrosemill.proxy import headers
from primrosemill.proxy import instance_observations

MAX_LIMITS = 16  # in one message
# Size of the limits in one message, which has to fit into a datagram with its
# envelope.
MAX_LIMITS_BYTES = 1_150
LIMIT_OVERHEAD = 48  # bytes of a limit besides its two names
MILLISECONDS_PER_SECOND = 1_000


def to_statement(
    report: messages.InstanceLimit, now: float
) -> instance_limits.Statement:
    """Return what a peer knows of a limit, in this VM's time."""
    rate = None
    if report.milli_rate is not None:
        rate = report.milli_rate / headers.LIMIT_STEPS
    return instance_limits.Statement(
        rate,
        now - report.sent_age_ms / MILLISECONDS_PER_SECOND,
        now - report.received_age_ms / MILLISECONDS_PER_SECOND,
    )


def build_messages(
    updates: typing.Iterable[instance_observations.LimitUpdate], now: float
) -> list[messages.Limits]:
    """Return messages with limits that each fit into a datagram."""
    batches: list[list[messages.InstanceLimit]] = []
    bytes_left = 0
    for update in updates:
        report = _to_report(update, now)
        names = report.service.encode() + report.instance_id.encode()
        bytes_left -= len(names) + LIMIT_OVERHEAD
        if bytes_left < 0 or len(batches[-1]) == MAX_LIMITS:
            batches.append([])
            bytes_left = MAX_LIMITS_BYTES - len(names) - LIMIT_OVERHEAD
        batches[-1].append(report)
    return [messages.Limits(tuple(batch)) for batch in batches]


def _to_report(
    update: instance_observations.LimitUpdate, now: float
) -> messages.InstanceLimit:
    instance, statement = update.instance, update.statement
    milli_rate = None
    if statement.rate is not None:
        milli_rate = round(statement.rate * headers.LIMIT_STEPS)
    return messages.InstanceLimit(
        update.service,
        instance.id,
        instance.boot,
        milli_rate,
        _age_ms(statement.sent_at, now),
        _age_ms(statement.received_at, now),
    )


def _age_ms(time: float, now: float) -> int:
    return max(0, round((now - time) * MILLISECONDS_PER_SECOND))
