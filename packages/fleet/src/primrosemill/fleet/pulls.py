"""Moves published values between VMs in bounded messages.

The holder answers a pull from the values it has, and the puller collects the
pieces and says what to ask next; both are pure.
"""

import typing

import msgspec

from primrosemill.configuration import values
from primrosemill.fleet import messages
from primrosemill.fleet import transport

ANSWER_SIZE = 64 * 1_024  # bytes of values in one answer
PIECE_OVERHEAD = 200  # bytes counted for each piece besides its chunk
WANTS_PER_PULL = 256
MEMBERS_KEY = "members"

_entries_form = list[messages.Entry]


def encode_members(entries: typing.Iterable[messages.Entry]) -> bytes:
    """Encode a table of members as a value that can be pulled."""
    return msgspec.msgpack.encode(list(entries))


def decode_members(value: bytes) -> list[messages.Entry] | None:
    """Decode a pulled table of members; None where it is malformed."""
    try:
        return msgspec.msgpack.decode(value, type=_entries_form)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None


def answer(
    pull: messages.Pull,
    version: messages.VersionInForce,
    values_by_key: typing.Mapping[str, bytes],
) -> messages.PullAnswer:
    """Answer as many of the wants, in order, as one message may hold."""
    pieces = []
    room = ANSWER_SIZE
    for want in pull.wants:
        if room <= PIECE_OVERHEAD:
            break
        value = values_by_key.get(want.key, b"")
        chunk = value[want.offset : want.offset + room - PIECE_OVERHEAD]
        pieces.append(messages.Piece(want.key, want.offset, len(value), chunk))
        room -= len(chunk) + PIECE_OVERHEAD
    return messages.PullAnswer(pull.nonce, version, tuple(pieces))


class Collection:
    """Collects the values of some keys from one holder."""

    def __init__(self, keys: typing.Iterable[str]) -> None:
        self.values_by_key: dict[str, bytes] = {}
        self.failed = False
        self._chunks_by_key = {key: bytearray() for key in keys}

    def next_wants(self) -> tuple[messages.Want, ...]:
        """Return what is still missing; nothing once done or failed."""
        if self.failed:
            return ()
        wants = []
        for key, received in self._chunks_by_key.items():
            if len(wants) == WANTS_PER_PULL:
                break
            wants.append(messages.Want(key, len(received)))
        return tuple(wants)

    def take(self, pieces: tuple[messages.Piece, ...]) -> None:
        """Take the pieces of an answer; any that does not fit fails all."""
        if not pieces:
            self.failed = True
        for piece in pieces:
            if not self._take_piece(piece):
                self.failed = True
                return

    def _take_piece(self, piece: messages.Piece) -> bool:
        received = self._chunks_by_key.get(piece.key)
        if received is None or piece.offset != len(received):
            return False
        if not 0 < piece.size <= values.VALUE_SIZE_LIMIT:
            return False
        if not piece.chunk or len(received) + len(piece.chunk) > piece.size:
            return False
        received += piece.chunk
        if len(received) == piece.size:
            self.values_by_key[piece.key] = bytes(received)
            del self._chunks_by_key[piece.key]
        return True


async def collect(
    requests: transport.Requests, keys: typing.Iterable[str]
) -> dict[str, bytes] | None:
    """Pull whole values from one VM; None where that failed."""
    collection = Collection(keys)
    while True:
        wants = collection.next_wants()
        if not wants:
            break
        answer = await requests.pull(wants)
        if answer is None:
            return None
        collection.take(answer.pieces)
    return None if collection.failed else collection.values_by_key


async def collect_one(requests: transport.Requests, key: str) -> bytes | None:
    """Pull one whole value from one VM; None where that failed."""
    collected = await collect(requests, [key])
    return None if collected is None else collected[key]


async def collect_members(
    requests: transport.Requests,
) -> list[messages.Entry] | None:
    """Pull the table of members of one VM; None where that failed."""
    value = await collect_one(requests, MEMBERS_KEY)
    return None if value is None else decode_members(value)
