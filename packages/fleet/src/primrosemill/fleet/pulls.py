"""Transfers published values between VMs in messages of bounded size.

A pull asks for values from given offsets on. ``build_answer`` returns the
next pieces, and ``ValueCollector`` assembles them and tells what to ask for
next.
"""

import typing

import msgspec

from primrosemill.configuration import values
from primrosemill.fleet import messages
from primrosemill.fleet import transport

ANSWER_SIZE_LIMIT = 64 * 1_024  # bytes of values in one answer
PIECE_OVERHEAD = 200  # bytes counted for each piece besides its chunk
MAX_WANTS_PER_PULL = 256  # the bound of a pull message
MEMBERS_KEY = "members"

_entries_type = list[messages.Entry]


def encode_members(entries: typing.Iterable[messages.Entry]) -> bytes:
    """Encode a member table as a value that can be pulled."""
    return msgspec.msgpack.encode(list(entries))


def decode_members(value: bytes) -> list[messages.Entry] | None:
    """Decode a pulled member table; None if it is malformed."""
    try:
        return msgspec.msgpack.decode(value, type=_entries_type)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return None


def build_answer(
    pull: messages.Pull,
    version: messages.VersionInForce,
    values_by_key: typing.Mapping[str, bytes],
) -> messages.PullAnswer:
    """Answer the wants in order, as many as fit into one message.

    A value that is not held is answered with a piece of size 0.
    """
    pieces = []
    size_left = ANSWER_SIZE_LIMIT
    for want in pull.wants:
        if size_left <= PIECE_OVERHEAD:
            break
        value = values_by_key.get(want.key, b"")
        chunk = value[want.offset : want.offset + size_left - PIECE_OVERHEAD]
        pieces.append(messages.Piece(want.key, want.offset, len(value), chunk))
        size_left -= len(chunk) + PIECE_OVERHEAD
    return messages.PullAnswer(pull.nonce, version, tuple(pieces))


class ValueCollector:
    """Assembles the values of given keys from the answers of one VM."""

    def __init__(self, keys: typing.Iterable[str]) -> None:
        self.values_by_key: dict[str, bytes] = {}
        self.failed = False
        self._chunks_by_key = {key: bytearray() for key in keys}

    def next_wants(self) -> tuple[messages.Want, ...]:
        """Return the missing parts; empty once complete or failed."""
        if self.failed:
            return ()
        wants = []
        for key, received in self._chunks_by_key.items():
            if len(wants) == MAX_WANTS_PER_PULL:
                break
            wants.append(messages.Want(key, len(received)))
        return tuple(wants)

    def add_pieces(self, pieces: tuple[messages.Piece, ...]) -> None:
        """Add the pieces of an answer; fail if any of them does not fit."""
        if not pieces:
            self.failed = True
        for piece in pieces:
            if not self._add_piece(piece):
                self.failed = True
                return

    def _add_piece(self, piece: messages.Piece) -> bool:
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


async def pull_values(
    connection: transport.PullConnection, keys: typing.Iterable[str]
) -> dict[str, bytes] | None:
    """Pull whole values from one VM; return None on failure."""
    collector = ValueCollector(keys)
    while True:
        wants = collector.next_wants()
        if not wants:
            break
        answer = await connection.pull(wants)
        if answer is None:
            return None
        collector.add_pieces(answer.pieces)
    return None if collector.failed else collector.values_by_key


async def pull_value(
    connection: transport.PullConnection, key: str
) -> bytes | None:
    """Pull one whole value from one VM; return None on failure."""
    values_by_key = await pull_values(connection, [key])
    return None if values_by_key is None else values_by_key[key]


async def pull_members(
    connection: transport.PullConnection,
) -> list[messages.Entry] | None:
    """Pull the member table of one VM; return None on failure."""
    value = await pull_value(connection, MEMBERS_KEY)
    return None if value is None else decode_members(value)
