"""Identifies the customer that sends a request by its key.

The key itself goes no further than this VM, except to another VM that a
request is passed on to: instances get the customer's name instead.
"""

import math
import secrets
import typing

import trio

from primrosemill.configuration import document as documents
from primrosemill.decisions import outcomes
from primrosemill.proxy import asgi
from primrosemill.proxy import dialects
from primrosemill.proxy import headers
from primrosemill.proxy import request_policies

from primrosemill.decisions.customers import keys

# A caller with an unknown key has no reason to return soon, but its key may be
# part of the next configuration.
UNKNOWN_KEY_RETRY_AFTER = 1.0  # seconds
# The feed or another reader may answer by then, and another VM may know more.
STALE_RETRY_AFTER = 0.3  # seconds
# A caller may use a new key before this VM has it. A request with an unknown
# key waits for the next version for this long, which takes a reader about
# 0.15 s; and no more of them wait at a time than this.
NEW_KEY_TIMEOUT = 0.3  # seconds
MAX_WAITING = 64
UNKNOWN_KEY = request_policies.Refused(
    outcomes.RefusalReason.UNKNOWN_KEY, UNKNOWN_KEY_RETRY_AFTER
)
STALE = request_policies.Refused(
    outcomes.RefusalReason.CONFIGURATION_STALE, STALE_RETRY_AFTER
)
# Not for good: the key held when the request was sent.
WITHDRAWN = request_policies.Refused(
    outcomes.RefusalReason.KEY_WITHDRAWN, STALE_RETRY_AFTER
)
Identified = documents.Customer | None | request_policies.Refused


class Freshness(typing.Protocol):
    """Tells and lowers the age of what this VM knows, in seconds."""

    def age(self) -> float:
        """Return the seconds for which a change may be unknown here."""
        ...

    def record_demand(self) -> None:
        """Record that a request with a key has arrived."""
        ...

    async def wait_until(self, max_age: float) -> bool:
        """Wait until the age is low enough; return False if that fails."""
        ...


class AlwaysFresh:
    """For a source of the configuration that withdraws no keys."""

    def age(self) -> float:
        """Return 0: no change is unknown."""
        return 0.0

    def record_demand(self) -> None:
        """Ignore the request."""

    async def wait_until(self, max_age: float) -> bool:
        """Return True."""
        return True


class Ages(typing.NamedTuple):
    """How old what a VM knows may be, in seconds.

    Keys are served up to an age of ``served``, and unknown ones refused for
    good up to an age of ``refused``.
    """

    served: float = math.inf
    refused: float = math.inf


class Access:
    """The customers of the document in force, and what their requests need.

    While the document names no customers, requests need no key and are passed
    on unchanged. ``freshness`` tells how old the document may be.
    """

    def __init__(self, dialect: dialects.Dialect) -> None:
        self.freshness: Freshness = AlwaysFresh()
        self.ages = Ages()
        # Set, and replaced, as other customers come into force.
        self._changed = trio.Event()
        self._waiting = 0
        self._dialect = dialect
        self._secret = secrets.token_bytes(keys.SECRET_SIZE)
        self._customers: tuple[documents.Customer, ...] | None = None
        self._index: keys.KeyIndex | None = None

    @property
    def needs_keys(self) -> bool:
        """Return whether the configuration in force names customers."""
        return self._index is not None

    def set_document(self, document: documents.Document) -> None:
        """Apply the customers of a document, if they are other ones."""
        if document.customers is self._customers:
            return
        self._customers = document.customers
        self._index = None
        if document.customers is not None:
            self._index = keys.KeyIndex(document.customers, self._secret)
        self._changed.set()
        self._changed = trio.Event()

    def read_key(self, request_headers: asgi.Headers) -> bytes | None:
        """Return the key of a request; None without one.

        A request with several keys has none that counts: readers that
        disagree on which one does would take it for several customers.
        """
        found = {
            key
            for name, value in request_headers
            if name.lower() == headers.AUTHORIZATION
            for key in (self._parse_credentials(value),)
            if key is not None
        }
        if len(found) > 1:
            return b""
        return found.pop() if found else None

    def identify(
        self,
        request_headers: asgi.Headers,
        route: documents.Route,
        now: float,
    ) -> Identified:
        """Return the customer of a request, or why it is refused.

        None stands for a request that needs no customer: it has no key and
        its route is public, or the configuration names no customers. ``now``
        is a trio time.
        """
        if self._index is None:
            return None
        key = self.read_key(request_headers)
        if key is None and route.public:
            return None
        customer = None if key is None else self._index.find(key)
        age = self.freshness.age()
        if customer is None:
            # The key, or the route as a public one, may be in a newer version.
            return UNKNOWN_KEY if age <= self.ages.refused else STALE
        return customer if age <= self.ages.served else STALE

    async def wait_for_change(
        self, refused: request_policies.Refused, request_headers: asgi.Headers
    ) -> bool:
        """Wait for what may admit a refused request after all.

        Returns whether to identify it once more.
        """
        if refused is STALE:
            key = self.read_key(request_headers)
            known = key is not None and self._index.find(key) is not None
            return await self.freshness.wait_until(
                self.ages.served if known else self.ages.refused
            )
        if refused is not UNKNOWN_KEY or self._waiting >= MAX_WAITING:
            return False
        if self.read_key(request_headers) is None:
            return False
        self._waiting += 1
        try:
            with trio.move_on_after(NEW_KEY_TIMEOUT) as scope:
                await self._changed.wait()
        finally:
            self._waiting -= 1
        return not scope.cancelled_caught

    def recheck(
        self, key: bytes | None, customer: documents.Customer | None
    ) -> request_policies.Refused | None:
        """Return the refusal of a request whose key holds no more.

        It was identified before, and has waited since.
        """
        if self._index is None or key is None or customer is None:
            return None
        holder = self._index.find(key)
        if holder is None or holder.name != customer.name:
            return WITHDRAWN
        return None if self.freshness.age() <= self.ages.served else STALE

    def rewrite(
        self,
        forwarded: asgi.Headers,
        customer: documents.Customer | None,
    ) -> asgi.Headers:
        """Return the headers of a request as instances may see them.

        They contain no credentials, and the name of the customer as the only
        header under that name, whatever the caller has sent.
        """
        name_header = self._dialect.customer_name
        if self._index is None or name_header is None:
            return forwarded
        rewritten = [
            line
            for line in forwarded
            if headers.canonical_name(line[0])
            not in (headers.AUTHORIZATION, name_header)
        ]
        if customer is not None:
            rewritten.append((name_header, customer.name.encode()))
        return rewritten

    def build_credentials(self, key: bytes | None) -> bytes | None:
        """Return the credentials of a request for another VM, or None.

        They are part of its headers as long as no keys are needed.
        """
        if key is None or not self.needs_keys:
            return None
        return self._dialect.key_scheme + b" " + key

    def _parse_credentials(self, value: bytes) -> bytes | None:
        """Return the key in a value of the header; None in other schemes.

        The scheme has no case, and any blanks may follow it.
        """
        scheme, _, key = value.strip().partition(b" ")
        if scheme.lower() != self._dialect.key_scheme:
            return None
        return key.strip()
