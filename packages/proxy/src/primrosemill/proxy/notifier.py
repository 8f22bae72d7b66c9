"""Notifies other VMs of what this VM observed of instances.

A failure is sent at once: to the entry points of all domains if the instance
is no longer trusted, else within the VM's own domain. Successes are sent in
batches within that domain, and skipped for an instance whose success was
reported recently. So the number of messages doesn't grow with the traffic.
"""

import math
import typing

import trio

from primrosemill.decisions import belief as beliefs
from primrosemill.decisions import instance_limits
from primrosemill.decisions import rate
from primrosemill.fleet import messages
from primrosemill.proxy import instance_observations
from primrosemill.proxy import limit_reports
from primrosemill.telemetry import events

MAX_QUEUED_MESSAGES = 64  # further ones are dropped
BATCH_INTERVAL = 0.2  # seconds between messages with successes
# Shortest time between two reports, by any VM, that an instance succeeds. A
# new period of failures is unlikely to begin within it.
SUCCESS_REPEAT_INTERVAL = 0.4  # seconds
# Average rate of failures that a VM reports to other domains. At 48 VMs and
# 140 bytes each, they take less than half of what control messages may use.
MAX_CROSS_DOMAIN_RATE = 1.0  # failures per second
# Shortest time between two reports of failures of an avoided instance.
FAILURE_REPEAT_INTERVAL = 0.3  # seconds
MAX_SIGHTINGS = 16  # in one message; more wait for the next one
# Size of the sightings in one message, which has to fit into a datagram with
# its envelope.
MAX_SIGHTINGS_BYTES = 1_150
SIGHTING_OVERHEAD = 24  # bytes of a sighting besides its two names
MILLISECONDS_PER_SECOND = 1_000

# Shortest time between two messages on the limit of an instance, which may
# name another number in each answer.
MIN_LIMIT_INTERVAL = 0.5  # seconds

Send = typing.Callable[
    [messages.Message, typing.Iterable[str]], typing.Awaitable[None]
]


LimitsToRepeat = typing.Callable[
    [float], list[instance_observations.LimitUpdate]
]


class Recipients(typing.Protocol):
    """Names the VMs that receive each kind of message."""

    def recipients_for(self, domain: str) -> tuple[str, ...]:
        """Return the VMs in all domains to notify of an instance."""
        ...

    def own_domain_recipients(self) -> tuple[str, ...]:
        """Return the VMs to notify in this VM's own domain."""
        ...


class _Message(typing.NamedTuple):
    message: messages.Message
    recipient_ids: tuple[str, ...]


class Notifier:
    """Collects the observations for peers and sends them."""

    def __init__(self, domain: str, recipients: Recipients) -> None:
        self._domain = domain
        self._recipients = recipients
        self._send_channel, self._receive_channel = trio.open_memory_channel[
            _Message
        ](MAX_QUEUED_MESSAGES)
        self._successes_by_id: dict[
            str, instance_observations.BeliefUpdate
        ] = {}
        self._reported_at_by_id: dict[str, float] = {}
        self._failure_reported_at_by_id: dict[str, float] = {}
        self._limit_told_at_by_id: dict[str, float] = {}
        self._cross_domain_rate = rate.Rate()

    def add_departure(
        self, departure: instance_observations.Departure
    ) -> None:
        """Queue a message that an instance announced its departure."""
        instance = departure.instance
        message = messages.Departure(
            departure.service, instance.id, instance.boot
        )
        self._enqueue(
            message, self._recipients.recipients_for(instance.domain)
        )

    def add_update(
        self, update: instance_observations.BeliefUpdate, now: float
    ) -> None:
        """Record an update that this VM observed or a peer reported."""
        instance = update.instance
        if update.failed:
            self._reported_at_by_id.pop(instance.id, None)
            self._successes_by_id.pop(instance.id, None)
            if update.shareable:
                self._enqueue_failure(update, now)
            return
        if not update.shareable:
            self._reported_at_by_id[instance.id] = now
            return
        reported_at = self._reported_at_by_id.get(
            instance.id, -SUCCESS_REPEAT_INTERVAL
        )
        if (
            instance.domain == self._domain
            and now - reported_at >= SUCCESS_REPEAT_INTERVAL
        ):
            self._successes_by_id[instance.id] = update

    def add_start(self, start: instance_observations.Start) -> None:
        """Queue a message that this VM sent a request to an instance now."""
        instance = start.instance
        self._enqueue(
            messages.Starts(
                (messages.Start(start.service, instance.id, instance.boot, 0),)
            ),
            self._recipients.own_domain_recipients(),
        )

    def add_limit(
        self, update: instance_observations.LimitUpdate, now: float
    ) -> None:
        """Queue a message that an instance named or dropped a limit."""
        told_at = self._limit_told_at_by_id.get(update.instance.id, -math.inf)
        if now - told_at < MIN_LIMIT_INTERVAL:
            return
        self._limit_told_at_by_id[update.instance.id] = now
        (message,) = limit_reports.build_messages((update,), now)
        self._enqueue(
            message, self._recipients.recipients_for(update.instance.domain)
        )

    def add_newcomers(
        self,
        vm_ids: typing.Iterable[str],
        limits: list[instance_observations.LimitUpdate],
        now: float,
    ) -> None:
        """Queue messages that tell VMs which have just started of limits."""
        for message in limit_reports.build_messages(limits, now):
            self._enqueue(message, tuple(vm_ids))

    async def repeat_limits(
        self, limits_to_repeat: LimitsToRepeat, send: Send
    ) -> None:
        """Repeat limits to peers that may have missed them, until cancelled.

        ``limits_to_repeat`` returns those that this VM has to repeat now.
        """
        while True:
            await trio.sleep(instance_limits.REPEAT_INTERVAL)
            now = trio.current_time()
            updates_by_domain: dict[
                str, list[instance_observations.LimitUpdate]
            ] = {}
            for update in limits_to_repeat(now):
                domain = update.instance.domain
                updates_by_domain.setdefault(domain, []).append(update)
            for domain, domain_updates in updates_by_domain.items():
                recipient_ids = self._recipients.recipients_for(domain)
                for message in limit_reports.build_messages(
                    domain_updates, now
                ):
                    await send(message, recipient_ids)

    async def send_queued(self, send: Send) -> None:
        """Send queued messages as they come, until cancelled."""
        async for each in self._receive_channel:
            await send(each.message, each.recipient_ids)

    async def send_success_batches(self, send: Send) -> None:
        """Send successes in batches, until cancelled."""
        while True:
            await trio.sleep(BATCH_INTERVAL)
            now = trio.current_time()
            self._drop_expired(now)
            batch = self._take_successes(now)
            if batch:
                sightings = tuple(_to_sighting(each, now) for each in batch)
                recipient_ids = self._recipients.own_domain_recipients()
                await send(messages.Sightings(sightings), recipient_ids)

    def _take_successes(
        self, now: float
    ) -> list[instance_observations.BeliefUpdate]:
        """Remove and return as many successes as fit into a message."""
        batch: list[instance_observations.BeliefUpdate] = []
        bytes_left = MAX_SIGHTINGS_BYTES
        for instance_id, update in list(self._successes_by_id.items()):
            names = update.service.encode() + instance_id.encode()
            bytes_left -= len(names) + SIGHTING_OVERHEAD
            if bytes_left < 0 or len(batch) == MAX_SIGHTINGS:
                break
            del self._successes_by_id[instance_id]
            self._reported_at_by_id[instance_id] = now
            batch.append(update)
        return batch

    def _drop_expired(self, now: float) -> None:
        for reported_at_by_id, interval in (
            (self._reported_at_by_id, SUCCESS_REPEAT_INTERVAL),
            (self._failure_reported_at_by_id, SUCCESS_REPEAT_INTERVAL),
            (self._limit_told_at_by_id, MIN_LIMIT_INTERVAL),
        ):
            for instance_id, reported_at in list(reported_at_by_id.items()):
                if now - reported_at >= interval:
                    del reported_at_by_id[instance_id]

    def _enqueue_failure(
        self, update: instance_observations.BeliefUpdate, now: float
    ) -> None:
        change, instance = update.change, update.instance
        reported_at = self._failure_reported_at_by_id.get(instance.id)
        if beliefs.trust_of(change.before) is beliefs.Trust.AVOIDED and (
            reported_at is not None
            and now - reported_at < FAILURE_REPEAT_INTERVAL
        ):
            return
        self._failure_reported_at_by_id[instance.id] = now
        recipient_ids = self._recipients.own_domain_recipients()
        if beliefs.trust_of(change.after) is not beliefs.Trust.TRUSTED and (
            self._cross_domain_rate.per_second(now) < MAX_CROSS_DOMAIN_RATE
        ):
            self._cross_domain_rate.count_event(now)
            recipient_ids = self._recipients.recipients_for(instance.domain)
        message = messages.Sightings((_to_sighting(update, now),))
        self._enqueue(message, recipient_ids)

    def _enqueue(
        self, message: messages.Message, recipient_ids: tuple[str, ...]
    ) -> None:
        try:
            self._send_channel.send_nowait(_Message(message, recipient_ids))
        except trio.WouldBlock:
            events.emit(
                events.NEWS_DROPPED, message=type(message).__name__.lower()
            )


def _to_sighting(
    update: instance_observations.BeliefUpdate, now: float
) -> messages.Sighting:
    seen = (
        messages.SightingOutcome.FAILED
        if update.failed
        else messages.SightingOutcome.GOOD
    )
    age = max(0, round((now - update.observed_at) * MILLISECONDS_PER_SECOND))
    instance = update.instance
    return messages.Sighting(
        update.service, instance.id, instance.boot, seen, age
    )
