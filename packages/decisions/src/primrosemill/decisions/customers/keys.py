"""Finds the customer that holds a key.

Keys are indexed by a digest under a secret of the process. So the time of a
look-up depends neither on the number of customers nor on how much of a key
matches a valid one, and callers can't choose keys that collide in the index.
"""

import hashlib
import typing

from primrosemill.configuration import document as documents

DIGEST_SIZE = 16  # bytes
SECRET_SIZE = 32  # bytes


class KeyIndex:
    """The customers of one version of the configuration, by their keys."""

    def __init__(
        self, customers: typing.Iterable[documents.Customer], secret: bytes
    ) -> None:
        # A copy of it costs two thirds of a new one.
        self._keyed = hashlib.blake2b(digest_size=DIGEST_SIZE, key=secret)
        self._customers_by_digest = {
            self._digest(key.encode()): customer
            for customer in customers
            for key in customer.keys
        }

    def find(self, key: bytes) -> documents.Customer | None:
        """Return the customer that holds a key, or None if none does."""
        return self._customers_by_digest.get(self._digest(key))

    def _digest(self, key: bytes) -> bytes:
        digest = self._keyed.copy()
        digest.update(key)
        return digest.digest()
