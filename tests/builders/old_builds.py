"""VMs that behave on the wire as the builds before customers do."""

import enum
import typing

import expression
import msgspec
import trio

from primrosemill.configuration import document as documents
from primrosemill.fleet import feed
from primrosemill.fleet import feed_follower
from primrosemill.fleet import feed_reader_policy
from primrosemill.fleet import messages
from primrosemill.fleet import node
from primrosemill.fleet import trimmed_encoding
from primrosemill.fleet import wire


class Kind(enum.IntEnum):
    """The kinds of messages that build 9a036b2 knows."""

    PING = 1
    ACK = 2
    PROBE_REQUEST = 3
    PROBE_RESULT = 4
    EVIDENCE = 5
    PULL = 6
    PULL_ANSWER = 7
    CHANGES = 8
    DEPARTURE = 10
    SIGHTINGS = 11
    LIMITS = 12
    SUSPICIONS = 13
    LOSSES = 14


class Route(typing.NamedTuple):
    """A route as a build without customers decodes it."""

    host: str
    path_prefix: str
    methods: tuple[str, ...]
    idempotent: bool
    deadline: float
    name: str = ""
    target_time: float = 0.0
    priority: int = 0
    max_instances: int = 0
    shares: tuple[documents.Share, ...] = ()
    large_bodies: bool = False


class Routing(typing.NamedTuple):
    """A routing as a build without customers decodes it."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[documents.BackendService, ...]
    request_limits: documents.RequestLimits


class Item(typing.NamedTuple):
    key: str
    revision: int
    discovered: feed.Discovered | None = None
    routing: Routing | None = None
    retain: float = 0.0


class Batch(typing.NamedTuple):
    after: int
    revision: int
    items: tuple[Item, ...]
    whole: bool = False
    epoch: int = 0


class Envelope(typing.NamedTuple):
    """The fields that surround the payload of every message."""

    fleet: messages.Name
    sender_id: messages.Name
    incarnation: messages.Count
    sequence: messages.Count
    kind: Kind
    payload: msgspec.Raw


_kinds_by_type = {
    message_type: kind
    for message_type, kind in messages.KINDS_BY_TYPE.items()
    if kind in set(Kind)
}


class Opener(wire.Opener):
    """Refuses what an old build refuses; counts it by reason."""

    refused: int = 0

    def open(self, data: bytes, size_limit: int = wire.DATAGRAM_SIZE_LIMIT):
        if not is_decoded(data):
            self.refused += 1
            return expression.Error(wire.RefusalReason.MALFORMED)
        return super().open(data, size_limit)


def is_decoded(data: bytes) -> bool:
    """Return whether an old build decodes a sealed message."""
    try:
        envelope = msgspec.msgpack.decode(
            data[wire.HEADER_SIZE :], type=Envelope
        )
        if envelope.kind is Kind.CHANGES:
            msgspec.msgpack.decode(envelope.payload, type=tuple[Batch])
    except msgspec.DecodeError:
        return False
    return True


class Feed:
    """A feed as an old build reads it: without customers."""

    def __init__(self, wrapped: feed.Feed) -> None:
        self._wrapped = wrapped

    async def read(self) -> feed.ReadResult:
        return (await self._wrapped.read()).map(_reduce)

    async def watch(
        self, after: feed.Position, wait: float
    ) -> feed.ReadResult:
        return (await self._wrapped.watch(after, wait)).map(_reduce)


def _reduce(read: feed.Read) -> feed.Read:
    return read._replace(batch=trimmed_encoding.reduce_batch(read.batch))


async def _wait_forever(in_force: trio.Event) -> None:
    await trio.sleep_forever()


class FeedFollower(feed_follower.FeedFollower):
    """Follows the feed as an old build does."""

    def __init__(self, *arguments) -> None:
        super().__init__(*arguments)
        # It asks no reader, and relies on all that are said to read.
        self.age.run = _wait_forever
        self._erase_digest()

    def _erase_digest(self) -> None:
        self._view.version = self._view.version._replace(digest=b"")

    def _apply(self, batch, source):
        super()._apply(batch, source)
        self._erase_digest()

    def receive_changes(self, vm_id, incarnation, changes):
        # An old build takes over what any peer has read.
        self._builds.record(vm_id, incarnation, b"customers")
        super().receive_changes(vm_id, incarnation, changes)

    def _apply_unconfirmed(self, batch, source):
        self._apply(batch, source)

    def answer_pull(self, pull):
        known = tuple(
            want
            for want in pull.wants
            if not want.key.startswith(feed_follower.CHANGES_KEY_PREFIX)
        )
        if known == pull.wants:
            return super().answer_pull(pull)
        pieces = tuple(
            messages.Piece(want.key, want.offset, 0, b"")
            for want in pull.wants
        )
        return messages.PullAnswer(pull.nonce, self._view.version, pieces)

    async def _pull_changes(self, vm_id, after):
        # It knows only the older key.
        self._builds.record(
            vm_id,
            self._view.table.members_by_id[vm_id].entry.incarnation,
            b"",
        )
        await super()._pull_changes(vm_id, after)


class Node(node.Node):
    """A VM of an old build."""

    def _create_components(self) -> None:
        self._transport._opener = self.opener = Opener(
            self._identity.fleet,
            self._identity.vm_id,
            wire.derive_key(self._identity.secret),
        )
        super()._create_components()

    def _create_feed_follower(self, source, now):
        self.membership.set_leaving(True)
        return FeedFollower(
            self.membership,
            Feed(source),
            feed_reader_policy.FeedReaderPolicy(self._generator, now),
            self._transport,
            self._hooks.observe,
            self._hooks.on_change,
            self._generator,
        )
