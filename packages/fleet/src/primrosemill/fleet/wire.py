"""Seals messages for the network and opens received ones.

A sealed message consists of the protocol version in one byte, an
authentication tag, and the envelope as a msgpack array. Opening never raises
for any input: it returns a refusal reason instead.
"""

import enum
import hashlib
import hmac
import typing

import expression
import msgspec

from primrosemill.fleet import messages
from primrosemill.fleet import replay_filter

TAG_SIZE = 16  # bytes
KEY_SIZE = 32  # bytes
HEADER_SIZE = 1 + TAG_SIZE  # bytes
DATAGRAM_SIZE_LIMIT = 1_400  # bytes; below the usual path MTU
STREAM_SIZE_LIMIT = 128 * 1_024  # bytes of one message over TCP


class RefusalReason(enum.StrEnum):
    """Why a received message was dropped."""

    TOO_LARGE = "too_large"
    TOO_SHORT = "too_short"
    WRONG_PROTOCOL = "wrong_protocol"
    WRONG_TAG = "wrong_tag"
    MALFORMED = "malformed"
    FOREIGN_FLEET = "foreign_fleet"
    OWN_MESSAGE = "own_message"
    WRONG_SENDER = "wrong_sender"
    OLD_INCARNATION = "old_incarnation"
    REPLAYED = "replayed"
    UNEXPECTED_KIND = "unexpected_kind"
    INBOX_FULL = "inbox_full"


class Envelope(typing.NamedTuple):
    """The fields that surround the payload of every message."""

    fleet: messages.Name
    sender_id: messages.Name
    incarnation: messages.Count
    sequence: messages.Count
    kind: messages.Kind
    payload: msgspec.Raw


class Received(typing.NamedTuple):
    """A message that passed every check, with its sender."""

    sender_id: str
    incarnation: int
    sequence: int
    message: messages.Message


class Sender(typing.NamedTuple):
    """The identity under which a process seals messages."""

    fleet: str
    vm_id: str
    incarnation: int


_envelope_decoder = msgspec.msgpack.Decoder(Envelope)
_decoders_by_kind = {
    kind: msgspec.msgpack.Decoder(message_type)
    for message_type, kind in messages.KINDS_BY_TYPE.items()
}
_encoder = msgspec.msgpack.Encoder()


def derive_key(secret: bytes) -> bytes:
    """Derive a key of fixed size from the secret of the settings.

    The key of an empty secret is public: tags then detect corruption, but not
    forgery.
    """
    return hashlib.blake2b(secret, digest_size=KEY_SIZE).digest()


def _tag(key: bytes, body: bytes) -> bytes:
    return hashlib.blake2b(body, key=key, digest_size=TAG_SIZE).digest()


class Sealer:
    """Numbers and seals the messages of one process."""

    def __init__(self, sender: Sender, key: bytes) -> None:
        self.sender = sender
        self._key = key
        self._sequence = 0

    def seal(self, message: messages.Message) -> bytes:
        """Return the bytes to send."""
        self._sequence += 1
        envelope = Envelope(
            self.sender.fleet,
            self.sender.vm_id,
            self.sender.incarnation,
            self._sequence,
            messages.KINDS_BY_TYPE[type(message)],
            msgspec.Raw(_encoder.encode(message)),
        )
        body = _encoder.encode(envelope)
        version = messages.PROTOCOL_VERSION.to_bytes(1, "big")
        return version + _tag(self._key, version + body) + body


class Opener:
    """Checks and decodes the messages that one process receives."""

    def __init__(self, fleet: str, vm_id: str, key: bytes) -> None:
        self._fleet = fleet
        self._vm_id = vm_id
        self._key = key
        self._replays = replay_filter.ReplayFilter()

    def open(
        self, data: bytes, size_limit: int = DATAGRAM_SIZE_LIMIT
    ) -> expression.Result[Received, RefusalReason]:
        """Return the message, or the reason for its refusal."""
        refusal = self._check_header(data, size_limit)
        if refusal is not None:
            return expression.Error(refusal)
        try:
            envelope = _envelope_decoder.decode(data[HEADER_SIZE:])
            decoder = _decoders_by_kind[envelope.kind]
            message = decoder.decode(envelope.payload)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
            return expression.Error(RefusalReason.MALFORMED)
        refusal = self._check_envelope(envelope, message)
        if refusal is not None:
            return expression.Error(refusal)
        return expression.Ok(
            Received(
                envelope.sender_id,
                envelope.incarnation,
                envelope.sequence,
                message,
            )
        )

    def _check_header(
        self, data: bytes, size_limit: int
    ) -> RefusalReason | None:
        if len(data) > size_limit:
            return RefusalReason.TOO_LARGE
        if len(data) <= HEADER_SIZE:
            return RefusalReason.TOO_SHORT
        if data[0] != messages.PROTOCOL_VERSION:
            return RefusalReason.WRONG_PROTOCOL
        expected = _tag(self._key, data[:1] + data[HEADER_SIZE:])
        if not hmac.compare_digest(expected, data[1:HEADER_SIZE]):
            return RefusalReason.WRONG_TAG
        return None

    def _check_envelope(
        self, envelope: Envelope, message: messages.Message
    ) -> RefusalReason | None:
        if envelope.fleet != self._fleet:
            return RefusalReason.FOREIGN_FLEET
        if envelope.sender_id == self._vm_id:
            return RefusalReason.OWN_MESSAGE
        if not _has_matching_sender(envelope, message):
            return RefusalReason.WRONG_SENDER
        verdict = self._replays.admit(
            envelope.sender_id, envelope.incarnation, envelope.sequence
        )
        if verdict is replay_filter.Verdict.OLD_INCARNATION:
            return RefusalReason.OLD_INCARNATION
        if verdict is replay_filter.Verdict.REPEATED:
            return RefusalReason.REPLAYED
        return None


def _has_matching_sender(
    envelope: Envelope, message: messages.Message
) -> bool:
    """Return whether the sender in a message, if any, is its envelope's."""
    sender = getattr(message, "sender", None)
    if sender is None:
        return True
    identity = (sender.vm_id, sender.incarnation)
    return identity == (envelope.sender_id, envelope.incarnation)
