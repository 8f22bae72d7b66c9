"""Fingerprints that recognise a request when its caller sends it again.

A caller that sends a request again uses a new request id and maybe another
VM, but the same method, host, target, caller and body. A fingerprint is a pair
of digests of these. The digests are keyed with a secret of the fleet, so that
callers can't construct two requests with one fingerprint, and the messages
between VMs carry no content of requests.
"""

import hashlib
import typing

DIGEST_SIZE = 16  # bytes
KEY_SIZE = 32  # bytes
LENGTH_SIZE = 4  # bytes of the length before each part of a head
_HEAD_PERSON = b"head"
_BODY_PERSON = b"body"


class Fingerprint(typing.NamedTuple):
    """The digests of a request's head and body; no body digest if empty."""

    head: bytes
    body: bytes = b""

    def __str__(self) -> str:
        return (self.head + self.body).hex()


def parse(text: str) -> Fingerprint | None:
    """Return the fingerprint that a text shows, or None if it shows none."""
    try:
        digests = bytes.fromhex(text)
    except ValueError:
        return None
    if len(digests) not in (DIGEST_SIZE, 2 * DIGEST_SIZE):
        return None
    return Fingerprint(digests[:DIGEST_SIZE], digests[DIGEST_SIZE:])


class Hasher:
    """Computes the digests of one fleet's requests."""

    def __init__(self, secret: bytes = b"") -> None:
        self._key = hashlib.blake2b(secret, digest_size=KEY_SIZE).digest()

    def digest_head(self, parts: typing.Iterable[bytes]) -> bytes:
        """Return the digest of the parts of a head.

        The length of each part is included, so that no other division of the
        same bytes has the same digest.
        """
        digest = self._new(_HEAD_PERSON)
        for part in parts:
            digest.update(len(part).to_bytes(LENGTH_SIZE, "big"))
            digest.update(part)
        return digest.digest()

    def start_body(self) -> "hashlib._Hash":
        """Return a digest to update with a body as it passes."""
        return self._new(_BODY_PERSON)

    def _new(self, person: bytes) -> "hashlib._Hash":
        return hashlib.blake2b(
            key=self._key, digest_size=DIGEST_SIZE, person=person
        )
