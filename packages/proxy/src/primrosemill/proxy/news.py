"""Tells other VMs what this one has seen of instances.

A failure is told at once, to the entry points of all domains where it changes
what they should believe, else to the own domain. Good answers are told in
the own domain only, some at a time, and not where all heard of the instance
a moment ago. So what a VM sends does not grow with its traffic.
"""

import typing

import trio

from primrosemill.decisions import belief as beliefs
from primrosemill.decisions import rate
from primrosemill.fleet import messages
from primrosemill.proxy import learned
from primrosemill.telemetry import events

NEWS_WAITING = 64  # messages that were not sent yet; later ones are dropped
BATCH_INTERVAL = 0.2  # seconds between messages on good answers
# An instance whose good answers were told by anyone so lately is not told of
# again: a spell hardly begins meanwhile.
TELL_AFTER = 0.4  # seconds
# Failures that a VM tells to other domains, a second on average: at 48 VMs and
# 140 bytes each they take less than half of what control may send.
MOST_WIDE = 1.0
# An instance that is avoided already is not told of again so soon.
TELL_AGAIN_AFTER = 0.3  # seconds
MOST_SIGHTINGS = 16  # in one message; more wait for the next one
# Of them in a message, so that it fits a datagram with its envelope.
SIGHTINGS_SIZE = 1_150  # bytes
SIGHTING_OVERHEAD = 24  # bytes of one besides its names
MILLISECONDS = 1_000

Tell = typing.Callable[
    [messages.Message, typing.Iterable[str]], typing.Awaitable[None]
]


class Recipients(typing.Protocol):
    """Says which VMs hear of what."""

    def told_of(self, domain: str) -> tuple[str, ...]:
        """Return who hears of bad news on an instance in a domain."""
        ...

    def told_at_home(self) -> tuple[str, ...]:
        """Return who hears of good answers."""
        ...


class _Message(typing.NamedTuple):
    message: messages.Message
    told_ids: tuple[str, ...]


class News:
    """Collects what is to be told, and sends it."""

    def __init__(self, domain: str, recipients: Recipients) -> None:
        self._domain = domain
        self._recipients = recipients
        self._send, self._waiting = trio.open_memory_channel[_Message](
            NEWS_WAITING
        )
        self._good_by_id: dict[str, learned.Changed] = {}
        self._told_at_by_id: dict[str, float] = {}
        self._failure_told_at_by_id: dict[str, float] = {}
        self._wide = rate.Rate()

    def note_departure(self, departure: learned.Departure) -> None:
        """Tell that an instance said it is leaving."""
        instance = departure.instance
        message = messages.Departure(
            departure.service, instance.id, instance.boot
        )
        self._tell(message, self._recipients.told_of(instance.domain))

    def note(self, changed: learned.Changed, now: float) -> None:
        """Take what this VM has seen, or heard of from a peer."""
        instance = changed.instance
        if changed.failed:
            self._told_at_by_id.pop(instance.id, None)
            self._good_by_id.pop(instance.id, None)
            if changed.shared:
                self._tell_failure(changed, now)
            return
        if not changed.shared:
            self._told_at_by_id[instance.id] = now
            return
        told_at = self._told_at_by_id.get(instance.id, -TELL_AFTER)
        if instance.domain == self._domain and now - told_at >= TELL_AFTER:
            self._good_by_id[instance.id] = changed

    async def send_messages(self, tell: Tell) -> None:
        """Send what is to be told at once, until cancelled."""
        async for each in self._waiting:
            await tell(each.message, each.told_ids)

    async def send_good_answers(self, tell: Tell) -> None:
        """Send the good answers now and then, until cancelled."""
        while True:
            await trio.sleep(BATCH_INTERVAL)
            now = trio.current_time()
            self._forget_old(now)
            chosen = self._take_good(now)
            if chosen:
                sightings = tuple(_sighting(each, now) for each in chosen)
                told_ids = self._recipients.told_at_home()
                await tell(messages.Sightings(sightings), told_ids)

    def _take_good(self, now: float) -> list[learned.Changed]:
        """Return the good answers to tell now, as many as fit."""
        chosen: list[learned.Changed] = []
        room = SIGHTINGS_SIZE
        for instance_id, changed in list(self._good_by_id.items()):
            names = changed.service.encode() + instance_id.encode()
            room -= len(names) + SIGHTING_OVERHEAD
            if room < 0 or len(chosen) == MOST_SIGHTINGS:
                break
            del self._good_by_id[instance_id]
            self._told_at_by_id[instance_id] = now
            chosen.append(changed)
        return chosen

    def _forget_old(self, now: float) -> None:
        for told_at_by_id in (
            self._told_at_by_id,
            self._failure_told_at_by_id,
        ):
            for instance_id, told_at in list(told_at_by_id.items()):
                if now - told_at >= TELL_AFTER:
                    del told_at_by_id[instance_id]

    def _tell_failure(self, changed: learned.Changed, now: float) -> None:
        change, instance = changed.change, changed.instance
        told_at = self._failure_told_at_by_id.get(instance.id)
        if beliefs.trust_of(change.before) is beliefs.Trust.AVOIDED and (
            told_at is not None and now - told_at < TELL_AGAIN_AFTER
        ):
            return
        self._failure_told_at_by_id[instance.id] = now
        told_ids = self._recipients.told_at_home()
        if beliefs.trust_of(change.after) is not beliefs.Trust.TRUSTED and (
            self._wide.per_second(now) < MOST_WIDE
        ):
            self._wide.note(now)
            told_ids = self._recipients.told_of(instance.domain)
        message = messages.Sightings((_sighting(changed, now),))
        self._tell(message, told_ids)

    def _tell(
        self, message: messages.Message, told_ids: tuple[str, ...]
    ) -> None:
        try:
            self._send.send_nowait(_Message(message, told_ids))
        except trio.WouldBlock:
            events.emit(
                events.NEWS_DROPPED, message=type(message).__name__.lower()
            )


def _sighting(changed: learned.Changed, now: float) -> messages.Sighting:
    seen = messages.Seen.FAILED if changed.failed else messages.Seen.GOOD
    age = max(0, round((now - changed.at) * MILLISECONDS))
    instance = changed.instance
    return messages.Sighting(
        changed.service, instance.id, instance.boot, seen, age
    )
